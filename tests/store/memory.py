"""In-memory table and object store that can lose and delay calls."""

import asyncio
from typing import Final

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import (
    ABSENT,
    Key,
    Put,
    ReadError,
    Row,
    TableError,
    Unavailable,
    Unclear,
    Write,
)
from tests.common import Rows

PASS: Final = "pass"
REQUEST_LOST: Final = "lost"
"""The write never arrives, and the writer gets no reply."""
REPLY_LOST: Final = "kept"
"""The write takes effect, and its reply is lost."""
DELAYED: Final = "late"
"""The write arrives before the next one, and its reply is lost."""
DELAYED_TO_END: Final = "last"
"""The write arrives after all others, and its reply is lost."""
THROTTLED: Final = "throttled"
OVERTAKEN: Final = "other"
"""Another writer writes all rows first; then the write is handled."""
READ_FAILS: Final = "unread"
"""The write is handled, and the next read fails."""


class FaultyTable:
    """Store rows in memory and inject a list of faults, one per transaction."""

    def __init__(self, faults: list[str] | None = None) -> None:
        self._rows = Rows()
        self.rows = self._rows.rows
        self.faults = list(faults or [])
        self.applied: list[str] = []
        """Write ids in the order in which they took effect."""
        self._delayed: list[tuple[list[Write], str]] = []
        self._delayed_to_end: list[tuple[list[Write], str]] = []
        self._failing_reads = 0

    async def get(self, key: Key) -> Result[Row | None, ReadError]:
        """Read one row."""
        await asyncio.sleep(0)
        if self._failing_reads:
            self._failing_reads -= 1
            return Error(Unavailable("unread"))
        return Ok(self.rows.get(key))

    async def query(
        self,
        pk: str,
        *,
        after: str = "",
        prefix: str = "",
        limit: int = 100,
        newest_first: bool = False,
    ) -> Result[list[Row], ReadError]:
        """Read rows of one partition in the order of their sort keys."""
        return Ok(self._rows.query(pk, after, prefix, limit, newest_first))

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        """Carry out all writes or none, or inject the next fault."""
        await asyncio.sleep(0)
        self._deliver(self._delayed)
        fault = self.faults.pop(0) if self.faults else PASS
        if fault in (DELAYED, DELAYED_TO_END):
            pending = self._delayed if fault == DELAYED else self._delayed_to_end
            pending.append((writes, write_id))
        if fault in (REQUEST_LOST, DELAYED, DELAYED_TO_END):
            return Error(Unclear(fault))
        if fault == THROTTLED:
            return Error(Unavailable(fault))
        if fault == OVERTAKEN:
            self.write_as_other(writes)
        if fault == READ_FAILS:
            self._failing_reads = 1
        result = self._carry_out(writes, write_id)
        return Error(Unclear(fault)) if fault == REPLY_LOST else result

    def deliver_all(self) -> None:
        """Carry out all writes that are still in flight."""
        self._deliver(self._delayed)
        self._deliver(self._delayed_to_end)

    def write_as_other(self, writes: list[Write]) -> None:
        """Write the rows as another writer that knows their revisions."""
        keys = [write.key for write in writes if isinstance(write, Put)]
        puts: list[Write] = [Put(key, {}, self._get_revision(key)) for key in keys]
        self._carry_out(puts, "other")

    def _deliver(self, pending: list[tuple[list[Write], str]]) -> None:
        while pending:
            self._carry_out(*pending.pop(0))

    def _get_revision(self, key: Key) -> int:
        row = self.rows.get(key)
        return ABSENT if row is None else row.rev

    def _carry_out(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        result = self._rows.apply(writes, write_id)
        if result.is_ok():
            self.applied.append(write_id)
        return result


class MemoryObjects:
    """Store objects in memory; the next `failing` calls fail."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.failing = 0

    async def put(self, key: str, body: bytes) -> Result[None, Unavailable]:
        """Store an object."""
        await asyncio.sleep(0)
        if self._fail():
            return Error(Unavailable("down"))
        self.objects[key] = body
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Unavailable]:
        """Read an object."""
        await asyncio.sleep(0)
        if self._fail():
            return Error(Unavailable("down"))
        return Ok(self.objects.get(key))

    def _fail(self) -> bool:
        self.failing -= 1
        return self.failing >= 0
