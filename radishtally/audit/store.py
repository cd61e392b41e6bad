"""Write the audit trail to the table, and read it."""

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

MAX_BUFFERED_ENTRIES: Final = 1000
MAX_BATCH_ENTRIES: Final = 50
RETRY_SECONDS: Final = 1.0
PAGE_ROWS: Final = 100
MAX_SCANNED_ROWS: Final = 10_000
"""Maximum number of rows that a filtered read scans."""


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class AuditLog:
    """Read the audit trail, and buffer and write entries outside other transactions."""

    def __init__(self, table: Table, clock_ms: Callable[[], int] = _read_wall_ms):
        self._table = table
        self._clock_ms = clock_ms
        self._numbers = itertools.count()
        self._buffer: deque[Put] = deque()
        self._batch_entries = MAX_BATCH_ENTRIES
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    @property
    def waiting(self) -> int:
        """Return the number of entries not yet written to the table."""
        return len(self._buffer)

    def start(self) -> None:
        """Start writing buffered entries in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the background task; write remaining entries until a write fails."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        while self._buffer and await self.write_batch():
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
        """Buffer an entry; it is written once the table is available."""
        number = f"{next(self._numbers):08d}"
        now_ms = self._clock_ms()
        put = make_audit_put(now_ms, who, what, subject, cause, before, after, number)
        if len(self._buffer) >= MAX_BUFFERED_ENTRIES:
            self._count_dropped(1)
            return
        self._buffer.append(put)
        self._wake.set()

    async def write_batch(self) -> bool:
        """Write the oldest buffered entries; return False if to be retried later."""
        batch = list(itertools.islice(self._buffer, self._batch_entries))
        if not batch:
            return True
        # If the reply is lost, the rows may have been written. Their keys are unique
        # and the writes unconditional, so a retry is idempotent.
        result = await self._table.transact(list(batch), batch[0].key.sk)
        if result.is_error():
            if not isinstance(result.error, Invalid):
                return False
            self._handle_refusal(batch, result.error)
            return True
        for _ in batch:
            self._buffer.popleft()
        if not self._buffer:
            self._batch_entries = MAX_BATCH_ENTRIES
        return True

    def _handle_refusal(self, batch: list[Put], refusal: Invalid) -> None:
        """Retry a refused batch entry by entry, and drop the entry that is refused.

        If it stayed, it would block all later entries until the buffer overflows.
        """
        if len(batch) > 1:
            self._batch_entries = 1
            return
        put = self._buffer.popleft()
        self._batch_entries = MAX_BATCH_ENTRIES
        eliot.log_message("audit:refused", key=put.key.sk, reason=refusal.message)
        self._count_dropped(1)

    async def read(
        self, limit: int, subject: str | None = None, newest_first: bool = True
    ) -> Result[list[AuditEntry], ReadError]:
        """Read up to limit entries in order of time, newest first by default."""
        if newest_first:
            return await self._read_newest(limit, subject)
        return await self._read_oldest(limit, subject)

    async def _read_newest(
        self, limit: int, subject: str | None
    ) -> Result[list[AuditEntry], ReadError]:
        # The table only supports paging forwards, so a filtered read of the newest
        # entries requests one large page.
        rows = limit if subject is None else MAX_SCANNED_ROWS
        result = await self._table.query(AUDIT_PARTITION, limit=rows, newest_first=True)
        return result.map(lambda found: _filter_by_subject(found, subject)[:limit])

    async def _read_oldest(
        self, limit: int, subject: str | None
    ) -> Result[list[AuditEntry], ReadError]:
        entries: list[AuditEntry] = []
        after = ""
        for _ in range(MAX_SCANNED_ROWS // PAGE_ROWS):
            result = await self._table.query(
                AUDIT_PARTITION, after=after, limit=PAGE_ROWS
            )
            if result.is_error():
                return result
            rows = result.ok
            entries += _filter_by_subject(rows, subject)
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
                if not await self.write_batch():
                    await asyncio.sleep(RETRY_SECONDS)


def _filter_by_subject(rows: list[Row], subject: str | None) -> list[AuditEntry]:
    read = [read_entry(row) for row in rows]
    entries = [entry.ok for entry in read if entry.is_ok()]
    if subject is None:
        return entries
    return [entry for entry in entries if entry.subject == subject]
