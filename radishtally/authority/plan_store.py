"""Store plans and drains in the table."""

import time
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from radishtally.audit.core import make_audit_put
from radishtally.authority.plan import (
    DRAIN,
    Drain,
    Plan,
    Wanted,
    encode_record,
    make_drain_key,
    make_drain_writes,
    make_next_plan,
    make_plan_key,
    make_plan_writes,
    read_drain_row,
    read_plan_row,
)
from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import (
    ABSENT,
    Check,
    Conflict,
    Invalid,
    Put,
    ReadError,
    Row,
    Table,
    TableError,
    Write,
)
from radishtally.store.ids import WriteIds
from radishtally.store.settle import transact_settled

WRITE_TIMEOUT_SECONDS: Final = 2.0
MAX_ATTEMPTS: Final = 3
"""Attempts of a transaction that conflicts with a renewal of this process's own lease,
or with an edit by another process."""
MAX_DRAIN_ROWS: Final = 10_000


class NotHeld(NamedTuple):
    """Error: the lease is not held, so nothing was written."""


class Superseded(NamedTuple):
    """Error: the plan in force is not the one that the new plan was built on."""

    current: Plan | None


PlanError = NotHeld | Superseded | TableError | ReadError


class Lease(Protocol):
    """Provide the planner lease's fencing token and check, as LeaseDriver does."""

    @property
    def fencing(self) -> int | None:
        """Return the fencing token if the lease is held now."""

    def make_check(self) -> Check | None:
        """Build a check that fails a transaction if the lease row has changed."""


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class PlanStore:
    """Read and write plans and drains for one process."""

    def __init__(
        self,
        table: Table,
        host: str,
        ids: WriteIds,
        *,
        clock: Callable[[], float] = time.monotonic,
        clock_ms: Callable[[], int] = _read_wall_ms,
    ) -> None:
        self._table = table
        self._host = host
        self._ids = ids
        self._clock = clock
        self._clock_ms = clock_ms

    async def read_plan(self, place: str) -> Result[Plan | None, ReadError]:
        """Read the plan in force."""
        result = await self._table.get(make_plan_key(place))
        return result.bind(_read_plan)

    async def write_plan(
        self,
        place: str,
        previous: Plan | None,
        wanted: dict[str, Wanted],
        cause: str,
        lease: Lease,
    ) -> Result[Plan, PlanError]:
        """Put in force a plan that was built on the previous one."""
        fencing = lease.fencing
        result: Result[Plan, PlanError] = Error(NotHeld())
        for _ in range(MAX_ATTEMPTS):
            if fencing is None or lease.fencing != fencing:
                return Error(NotHeld())
            result = await self._try_plan(place, previous, wanted, cause, lease)
            if result.is_ok() or not isinstance(result.error, Conflict):
                return result
        return result

    async def read_drains(self) -> Result[dict[str, Drain], ReadError]:
        """Read the drain rows of all hosts that have ever had one."""
        result = await self._table.query(DRAIN, limit=MAX_DRAIN_ROWS)
        return result.map(_read_drains)

    async def write_drain(
        self, host: str, drained: bool, who: str, cause: str
    ) -> Result[Drain, TableError | ReadError]:
        """Drain a host or end its drain."""
        drain = Drain(host, drained, who, cause)
        result: Result[Drain, TableError | ReadError] = Ok(drain)
        for _ in range(MAX_ATTEMPTS):
            result = await self._try_drain(drain)
            if result.is_ok() or not isinstance(result.error, Conflict):
                return result
        return result

    async def _try_plan(
        self,
        place: str,
        previous: Plan | None,
        wanted: dict[str, Wanted],
        cause: str,
        lease: Lease,
    ) -> Result[Plan, PlanError]:
        read = await self._table.get(make_plan_key(place))
        if read.is_error():
            return read
        decoded = _read_plan(read.ok)
        if decoded.is_error():
            return decoded
        current = decoded.ok
        if current != previous:
            return Error(Superseded(current))
        # Check the lease after the read, which may take long: this process may have
        # been paused meanwhile.
        check, fencing = lease.make_check(), lease.fencing
        if check is None or fencing is None:
            return Error(NotHeld())
        plan = make_next_plan(place, previous, fencing, cause, wanted)
        rev = ABSENT if read.ok is None else read.ok.rev
        audit = self._audit_plan(previous, plan)
        result = await self._transact(make_plan_writes(plan, rev, check, audit))
        return result.map(lambda _: plan)

    async def _try_drain(self, drain: Drain) -> Result[Drain, TableError | ReadError]:
        read = await self._table.get(make_drain_key(drain.host))
        if read.is_error():
            return read
        audit = self._audit_drain(read.ok, drain)
        result = await self._transact(make_drain_writes(drain, read.ok, audit))
        return result.map(lambda _: drain)

    async def _transact(self, writes: list[Write]) -> Result[None, TableError]:
        write_id = self._ids.make()
        deadline = self._clock() + WRITE_TIMEOUT_SECONDS
        return await transact_settled(
            self._table, writes, write_id, deadline=deadline, clock=self._clock
        )

    def _audit_plan(self, previous: Plan | None, plan: Plan) -> Put:
        before = _list_changed_hosts(plan, previous)
        after = _list_changed_hosts(previous, plan)
        return make_audit_put(
            self._clock_ms(),
            self._host,
            "plan",
            plan.place,
            plan.cause,
            before,
            {**after, "number": plan.number, "fencing": plan.fencing},
            self._ids.make(),
        )

    def _audit_drain(self, row: Row | None, drain: Drain) -> Put:
        before = {} if row is None else dict(row.value)
        return make_audit_put(
            self._clock_ms(),
            drain.who,
            "drain" if drain.drained else "undrain",
            drain.host,
            drain.cause,
            before,
            encode_record(drain),
            self._ids.make(),
        )


def _read_plan(row: Row | None) -> Result[Plan | None, Invalid]:
    return Ok(None) if row is None else read_plan_row(row)


def _read_drains(rows: list[Row]) -> dict[str, Drain]:
    """Return the drains by host, without the rows that can't be read."""
    drains = [read_drain_row(row) for row in rows]
    return {drain.ok.host: drain.ok for drain in drains if drain.is_ok()}


def _list_changed_hosts(base: Plan | None, plan: Plan | None) -> dict[str, object]:
    """List only the hosts that differ, since a plan names all hosts of a place."""
    known = {} if base is None else base.wanted
    hosts = {} if plan is None else plan.wanted
    return {h: w._asdict() for h, w in hosts.items() if known.get(h) != w}
