"""Keep the audit trail in the table."""

import asyncio
import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import eliot

from radishtally.audit.core import (
    AUDIT_PARTITION,
    AuditEntry,
    make_audit_put,
    read_entry,
)
from radishtally.outcome import Ok, Result
from radishtally.store.core import Invalid, Put, ReadError, Row, Table

BUFFERED_ENTRIES: Final = 1000
GROUP_ENTRIES: Final = 50
RETRY_SECONDS: Final = 1.0
PAGE_ROWS: Final = 100
SCANNED_ROWS: Final = 10_000
"""Most rows that one filtered read looks at."""


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class AuditLog:
    """Read the audit trail and add entries that belong to no other transaction."""

    def __init__(self, table: Table, clock_ms: Callable[[], int] = _read_wall_ms):
        self._table = table
        self._clock_ms = clock_ms
        self._numbers = itertools.count()
        self._buffer: deque[Put] = deque()
        self._group_entries = GROUP_ENTRIES
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    @property
    def waiting(self) -> int:
        """Count the entries that are not in the table yet."""
        return len(self._buffer)

    def start(self) -> None:
        """Write buffered entries in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Try once to write what is left, then end."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        while self._buffer and await self.write_group():
            pass
        self._count_dropped(len(self._buffer))

    def record(
        self,
        who: str,
        what: str,
        subject: str,
        cause: str,
        before: dict[str, Any],
        after: dict[str, Any],
    ) -> None:
        """Add an entry; it reaches the table as soon as the table can be reached."""
        number = f"{next(self._numbers):08d}"
        now_ms = self._clock_ms()
        put = make_audit_put(now_ms, who, what, subject, cause, before, after, number)
        if len(self._buffer) >= BUFFERED_ENTRIES:
            self._count_dropped(1)
            return
        self._buffer.append(put)
        self._wake.set()

    async def write_group(self) -> bool:
        """Write the oldest buffered entries; tell whether it is worth going on."""
        group = list(itertools.islice(self._buffer, self._group_entries))
        if not group:
            return True
        # A lost reply leaves rows that may stand. Their keys are unique and carry no
        # condition, so writing them again changes nothing and adds none twice.
        result = await self._table.transact(list(group), group[0].key.sk)
        if result.is_error():
            if not isinstance(result.error, Invalid):
                return False
            self._take_refusal(group, result.error)
            return True
        for _ in group:
            self._buffer.popleft()
        if not self._buffer:
            self._group_entries = GROUP_ENTRIES
        return True

    def _take_refusal(self, group: list[Put], refusal: Invalid) -> None:
        """Drop the entry that the table will never take, once it is found.

        Tried again it would hold up all that come behind it, until they find no room.
        """
        if len(group) > 1:
            self._group_entries = 1
            return
        put = self._buffer.popleft()
        self._group_entries = GROUP_ENTRIES
        eliot.log_message("audit:refused", key=put.key.sk, reason=refusal.message)
        self._count_dropped(1)

    async def read(
        self, limit: int, subject: str | None = None, newest_first: bool = True
    ) -> Result[list[AuditEntry], ReadError]:
        """Read entries in the order of time, newest first if not told otherwise."""
        if newest_first:
            return await self._read_newest(limit, subject)
        return await self._read_oldest(limit, subject)

    async def _read_newest(
        self, limit: int, subject: str | None
    ) -> Result[list[AuditEntry], ReadError]:
        # The table's contract pages forwards only, so a filtered read of the newest
        # asks for one large page.
        rows = limit if subject is None else SCANNED_ROWS
        result = await self._table.query(AUDIT_PARTITION, limit=rows, newest_first=True)
        return result.map(lambda found: _select(found, subject)[:limit])

    async def _read_oldest(
        self, limit: int, subject: str | None
    ) -> Result[list[AuditEntry], ReadError]:
        entries: list[AuditEntry] = []
        after = ""
        for _ in range(SCANNED_ROWS // PAGE_ROWS):
            result = await self._table.query(
                AUDIT_PARTITION, after=after, limit=PAGE_ROWS
            )
            if result.is_error():
                return result
            rows = result.ok
            entries += _select(rows, subject)
            if len(entries) >= limit or len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key.sk
        return Ok(entries[:limit])

    def _count_dropped(self, count: int) -> None:
        if not count:
            return
        self.dropped += count
        eliot.log_message("audit:dropped", count=count, total=self.dropped)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._buffer:
                if not await self.write_group():
                    await asyncio.sleep(RETRY_SECONDS)


def _select(rows: list[Row], subject: str | None) -> list[AuditEntry]:
    entries = [read_entry(row) for row in rows]
    if subject is None:
        return entries
    return [entry for entry in entries if entry.subject == subject]
