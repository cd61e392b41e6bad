"""Ask engines what they keep, where all gateways may have forgotten it."""

import asyncio
from collections.abc import Callable, Collection
from typing import Final, Protocol

from eliot import log_message
from xxhash import xxh3_64_intdigest

from radishtally.direct.core import CachedPart, Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.outcome import Result
from radishtally.routing.core import rank

LOOK_SECONDS: Final = 0.1
"""Time between two looks whether engines are listed yet."""
LOOKS: Final = 30
"""Looks after which no engines are waited for: what is listed later has just started,
and keeps nothing."""


class Engines(Protocol):
    """Reach engines."""

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        """Ask an engine which parts of prompts it keeps."""


class Recall:
    """Learn at the start of a gateway which parts of prompts engines keep.

    Gateways that all stop at once forget it, and each part would be read again at
    another engine. On a fleet of six 1.5 million tokens were read again on a day that
    ends so, 0.3 million on one that does not, before engines were asked. Each engine is
    asked by one gateway alone, chosen by name, which tells the others: an answer holds
    up the engine's work, and one that is asked by thirty would feel it.
    """

    def __init__(
        self,
        own: str,
        engines: Engines,
        placement: EnginePlacement,
        list_instances: Callable[[], list[Instance]],
    ) -> None:
        self._own = own
        self._engines = engines
        self._placement = placement
        self._list_instances = list_instances

    async def run(self, names: Collection[str]) -> None:
        """Ask those engines that fall to this one of some gateways, once each."""
        for _ in range(LOOKS):
            listed = [item for item in self._list_instances() if item.role]
            if listed:
                break
            await asyncio.sleep(LOOK_SECONDS)
        ours = [item for item in listed if self._is_ours(item, names)]
        await asyncio.gather(*map(self._ask, ours))

    def _is_ours(self, instance: Instance, names: Collection[str]) -> bool:
        key = xxh3_64_intdigest(instance.host.encode())
        return rank(names, key)[0] == self._own

    async def _ask(self, instance: Instance) -> None:
        kept = await self._engines.read_cached_parts(instance)
        if kept.is_error():
            log_message("recall:engine_unread", engine=instance.host, reason=kept.error)
            return
        count = self._placement.record_kept_parts(instance.host, kept.ok)
        log_message("recall:engine_read", engine=instance.host, parts=count)
