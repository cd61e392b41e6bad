"""Probes that tell whether the process behind an ended connection is still alive."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, NamedTuple

import aiohttp
from eliot import log_message

from radishtally.direct.answer_checks import (
    IncompleteAnswerError,
    IncompleteReason,
    MismatchedAnswerError,
)
from radishtally.direct.core import Instance
from radishtally.liveness import (
    RETRIED_SIGNS,
    Evidence,
    Liveness,
    Patience,
    SharedProbes,
    Sign,
    assess,
)

BROKEN_ANSWER: Final = Patience(answer_seconds=0.1, retry_seconds=0.25)
"""The next attempt of the request waits for the result."""

Query = Callable[[Instance, Patience], Awaitable[Sign]]
CountOpen = Callable[[Instance, float, float], int]


class _Probe(NamedTuple):
    instance: Instance
    patience: Patience


class HostProbes:
    """Probe hosts; concurrent callers share a probe."""

    def __init__(self, query: Query, count_open: CountOpen) -> None:
        self._query = query
        self._count_open = count_open
        self._probes = SharedProbes(self._assess)

    async def has_ended(
        self, instance: Instance, error: BaseException, has_begun: bool
    ) -> bool:
        """Return whether an answer broke off because its host has terminated.

        A reset, a cut link and a corrupt answer look alike on the connection and say
        nothing about the request. Answers that break off together share one probe.
        """
        is_foreign = isinstance(error, MismatchedAnswerError)
        if is_foreign or not isinstance(error, aiohttp.ClientError):
            return False
        if isinstance(error, IncompleteAnswerError) and error.was_probed:
            return error.reason == IncompleteReason.HOST_ENDED
        evidence = await self.probe(instance, BROKEN_ANSWER)
        # A relay may accept connections for a killed host. A host above its limit of
        # connections closes new ones as well, but none on which it has begun to answer.
        is_unanswered = evidence.sign in RETRIED_SIGNS and not evidence.open_connections
        is_presumed = has_begun and is_unanswered
        if is_presumed:
            _log_end(instance, evidence)
        return is_presumed or evidence.liveness == Liveness.ENDED

    def cancel_all(self) -> None:
        """Cancel all probes."""
        self._probes.cancel_all()

    async def probe(self, instance: Instance, patience: Patience) -> Evidence:
        """Return evidence on whether a host still lives at the time of the call."""
        return await self._probes.probe(_Probe(instance, patience))

    async def _assess(self, probe: _Probe) -> Evidence:
        instance = probe.instance
        evidence = await assess(
            partial(self._query, instance, probe.patience),
            partial(self._count_open, instance),
            probe.patience,
        )
        if evidence.liveness == Liveness.ENDED:
            _log_end(instance, evidence)
        return evidence


def _log_end(instance: Instance, evidence: Evidence) -> None:
    log_message(
        "upstream:ended",
        upstream_host=instance.host,
        sign=evidence.sign,
        queries=evidence.queries,
    )
