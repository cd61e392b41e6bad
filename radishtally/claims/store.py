"""Claim idempotency keys in the table."""

import asyncio
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

import eliot

from radishtally.claims.core import ClaimCore, ClaimLimits
from radishtally.claims.events import (
    CallFinished,
    CallReleased,
    ClaimOutcome,
    ClaimRequested,
    Command,
    Granted,
    GroupSettled,
    OutcomeLost,
    ReadRow,
    ReplyToCaller,
    RowRead,
    RowReadFailed,
    SendGroup,
    Tick,
    WakeAt,
)
from radishtally.claims.record import Claim, StoredAnswer
from radishtally.driver import CoreDriver
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds

CLAIM_TIMEOUT_SECONDS: Final = 2.0
"""Time after which a claim that is not confirmed is refused."""
KEY_RETENTION_SECONDS: Final = 24 * 3600
"""How long a key and its outcome are kept."""
STOP_TIMEOUT_SECONDS: Final = 2.0
STOP_POLL_SECONDS: Final = 0.02

_PendingClaim = tuple[Claim, asyncio.Future[ClaimOutcome]]


class ClaimStore(CoreDriver):
    """Claim keys for one process; each start of it needs a new `holder`."""

    def __init__(
        self,
        table: Table,
        holder: str,
        write_ids: WriteIds,
        limits: ClaimLimits | None = None,
        *,
        seconds: float = CLAIM_TIMEOUT_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        super().__init__(
            ClaimCore(holder, write_ids, limits or ClaimLimits()), Tick(), clock
        )
        self._seconds = seconds
        self._wall = wall
        self._pending: dict[int, _PendingClaim] = {}
        self._last_caller = 0
        self.lost = 0
        """Number of outcomes that could not be stored."""

    @property
    def waiting(self) -> int:
        """Number of rows whose write is not settled yet."""
        return self._core.waiting

    async def stop(self) -> None:
        """Wait up to STOP_TIMEOUT_SECONDS for pending writes, then stop."""
        until = self._clock() + STOP_TIMEOUT_SECONDS
        while self._core.waiting and self._clock() < until:
            await asyncio.sleep(STOP_POLL_SECONDS)
        await self._cancel_all()

    async def claim(
        self, team: str, key: str, request: str, body_hash: str
    ) -> ClaimOutcome:
        """Request a claim; the call may run only if the outcome is Granted."""
        claim = Claim(team, key, request, body_hash)
        future: asyncio.Future[ClaimOutcome] = asyncio.Future()
        self._last_caller += 1
        caller = self._last_caller
        self._pending[caller] = claim, future
        deadline = self._clock() + self._seconds
        expires = int(self._wall()) + KEY_RETENTION_SECONDS
        self._handle(ClaimRequested(caller, claim, deadline, expires))
        try:
            return await future
        except asyncio.CancelledError:
            # The caller was cancelled after the grant but before it received it.
            if not future.cancelled() and isinstance(future.result(), Granted):
                self._handle(CallReleased(claim))
            raise

    def finish(
        self,
        team: str,
        key: str,
        request: str,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        """Store the answer of a granted call for its repeats."""
        claim = Claim(team, key, request, "")
        self._handle(CallFinished(claim, StoredAnswer(status, headers, body)))

    def release(self, team: str, key: str, request: str) -> None:
        """Release a claim whose call certainly did not run and never will."""
        self._handle(CallReleased(Claim(team, key, request, "")))

    @singledispatchmethod
    def _execute(self, command: Command) -> None:
        raise TypeError(f"unknown command {command!r}")

    @_execute.register
    def _(self, command: SendGroup) -> None:
        self._start_call(self._send(command))

    @_execute.register
    def _(self, command: ReadRow) -> None:
        self._start_call(self._read(command))

    @_execute.register
    def _(self, command: ReplyToCaller) -> None:
        claim, future = self._pending.pop(command.caller)
        if not future.done():
            future.set_result(command.outcome)
            return
        if isinstance(command.outcome, Granted):
            # The caller was cancelled before the claim was granted.
            asyncio.get_running_loop().call_soon(self._handle, CallReleased(claim))

    @_execute.register
    def _(self, command: OutcomeLost) -> None:
        self.lost += 1
        eliot.log_message(
            "claims:outcome-lost", request=command.request, cause=command.cause
        )

    @_execute.register
    def _(self, command: WakeAt) -> None:
        self._schedule_tick(command.time)

    async def _send(self, command: SendGroup) -> None:
        outcome = await self._table.transact(list(command.puts), command.write_id)
        self._handle(GroupSettled(command.write_id, outcome))

    async def _read(self, command: ReadRow) -> None:
        result = await self._table.get(command.key)
        if result.is_error():
            self._handle(RowReadFailed(command.key))
            return
        self._handle(RowRead(command.key, result.ok))
