"""Probes that detect terminated hosts."""

import asyncio

import aiohttp
from eliot import log_message

from radishtally.direct.answer_checks import MismatchedAnswerError
from radishtally.direct.core import Instance
from radishtally.direct.pool import is_connection_refused


class HostProbes:
    """Probe whether hosts have terminated; concurrent callers share a probe."""

    def __init__(self) -> None:
        self._running: dict[Instance, asyncio.Task[bool]] = {}

    async def has_ended(self, instance: Instance, error: BaseException) -> bool:
        """Return whether an answer broke off because its host has terminated.

        A reset, a cut link and a corrupt answer look alike on the connection and say
        nothing about the request. Answers that break off together share one probe.
        """
        is_foreign = isinstance(error, MismatchedAnswerError)
        if is_foreign or not isinstance(error, aiohttp.ClientError):
            return False
        return await self.probe(instance)

    async def probe(self, instance: Instance) -> bool:
        """Return whether nothing listens at the host's address any more."""
        probe = self._running.get(instance)
        if probe is None:
            probe = asyncio.create_task(_probe(instance))
            self._running[instance] = probe
            probe.add_done_callback(lambda _: self._running.pop(instance))
        return await asyncio.shield(probe)


async def _probe(instance: Instance) -> bool:
    has_ended = await is_connection_refused(instance.address)
    if has_ended:
        log_message("upstream:ended", upstream_host=instance.host)
    return has_ended
