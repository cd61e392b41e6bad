"""Discover at startup which prompt parts the engines hold in their caches."""

import asyncio
from collections.abc import Callable, Collection
from typing import Final, Protocol

from eliot import log_message
from xxhash import xxh3_64_intdigest

from radishtally.direct.core import CachedPart, Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.outcome import Result
from radishtally.routing.core import rank

ENGINE_POLL_SECONDS: Final = 0.1
"""Interval between checks whether engines are listed yet."""
MAX_ENGINE_POLLS: Final = 30
"""Number of checks after which waiting for engines ends: an engine that is listed later
has just started, and its cache is empty."""


class CacheReader(Protocol):
    """Read the cache contents of engines."""

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        """Query which prompt parts an engine holds in its cache."""


class CacheDiscovery:
    """Learn when a gateway starts which prompt parts the engines hold.

    If all gateways stop at once, this knowledge is lost, and each part would be
    prefilled again at another engine. Without these queries, a fleet of six prefilled
    1.5 million tokens again on a day that ended with such a stop, and 0.3 million on
    one that did not. Each engine is queried by only one gateway, chosen by name, which
    informs the others: a query delays the engine's work, and thirty of them would
    noticeably slow it down.
    """

    def __init__(
        self,
        own_name: str,
        engines: CacheReader,
        placement: EnginePlacement,
        list_instances: Callable[[], list[Instance]],
    ) -> None:
        self._own_name = own_name
        self._engines = engines
        self._placement = placement
        self._list_instances = list_instances

    async def run(self, names: Collection[str]) -> None:
        """Query once each of the engines that are assigned to this gateway."""
        for _ in range(MAX_ENGINE_POLLS):
            listed = [item for item in self._list_instances() if item.role]
            if listed:
                break
            await asyncio.sleep(ENGINE_POLL_SECONDS)
        assigned = [item for item in listed if self._is_assigned(item, names)]
        await asyncio.gather(*map(self._read_engine, assigned))

    def _is_assigned(self, instance: Instance, names: Collection[str]) -> bool:
        key = xxh3_64_intdigest(instance.host.encode())
        return rank(names, key)[0] == self._own_name

    async def _read_engine(self, instance: Instance) -> None:
        cached = await self._engines.read_cached_parts(instance)
        if cached.is_error():
            log_message(
                "recall:engine_unread", engine=instance.host, reason=cached.error
            )
            return
        count = self._placement.record_cached_parts(instance.host, cached.ok)
        log_message("recall:engine_read", engine=instance.host, parts=count)
