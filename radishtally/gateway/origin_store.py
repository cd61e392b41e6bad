"""Keep the origins of streams in the store, where they outlive all gateways.

As long as a route has had a single source, the row of the sources tells where its
streams began. Otherwise one gateway of each data centre writes the origins of the
streams that have begun there, which its peers send it, in one row for each interval.
"""

import asyncio
import time
from base64 import b64decode, b64encode
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypedDict

import msgspec
from eliot import log_message

from radishtally.links.gateway_messages import StreamsBegun
from radishtally.outcome import Result
from radishtally.serving.origins import MAX_STREAMS, UNKNOWN_VERSION
from radishtally.store.core import Delete, Key, Put, Row, Table, TableError

PARTITION: Final = "stream-origins"
WRITE_SECONDS: Final = 0.5
"""Interval of the writes: a stream that is younger when all gateways end is refused."""
MAX_RETRY_SECONDS: Final = 4.0
EXPIRY_SECONDS: Final = 5.0
"""Interval at which streams are forgotten that can't be resumed any longer."""
READ_SECONDS: Final = 0.3
"""Shortest interval between two reads of all rows."""
MAX_ROWS: Final = 1_000
MAX_STREAMS_PER_ROW: Final = 1_500
"""A row holds 65,536 bytes, and a stream takes 25 of them."""
MAX_ROWS_PER_WRITE: Final = 20
PRUNE_SECONDS: Final = 15.0
PRUNE_MARGIN_SECONDS: Final = 60.0
"""Difference between two machines' clocks that a row outlasts."""
MAX_DELETES: Final = 50


class StoredOrigins(TypedDict):
    """Describe the streams of one row that have begun at one version."""

    upstream: str
    version: str
    streams: list[str]
    """Keys in base 64."""


class OriginRow(TypedDict):
    """Describe a row of origins."""

    expires: float
    """Unix seconds at which the last stream of the row can't be resumed any longer."""
    origins: list[StoredOrigins]


class Begin(NamedTuple):
    """Describe where a stream began."""

    upstream: str
    version: str


class _Known(NamedTuple):
    """Hold a stream of this data centre for as long as it may be resumed."""

    begin: Begin
    until: float


class OriginStore:
    """Write the origins of streams to the store, and read those that none remembers."""

    def __init__(
        self,
        table: Table,
        make_write_id: Callable[[], str],
        is_needed: Callable[[str], bool],
        is_writer: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        read_unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._make_write_id = make_write_id
        self._is_needed = is_needed
        """Returns whether streams of an upstream may have begun at several versions."""
        self._is_writer = is_writer
        """Returns whether this gateway writes for its data centre."""
        self._clock = clock
        self._read_unix_time = read_unix_time
        self._streams: dict[bytes, _Known] = {}
        self._unwritten: dict[str, dict[bytes, None]] = defaultdict(dict)
        """Streams that are not written yet, by upstream: most never have to be."""
        self._expired_at = self._pruned_at = clock()
        self._has_rows = True
        """Whether rows may be left to prune."""
        self._stored: dict[bytes, Begin] = {}
        """Origins at the last read of all rows."""
        self._read_at = float("-inf")
        self._reading: asyncio.Task[bool] | None = None

    def add(self, message: StreamsBegun) -> None:
        """Record streams that have begun, or whose version can't be told any longer."""
        now = self._clock()
        begin = Begin(message.upstream, message.version)
        for stream, left, _ in message.streams:
            known = self._streams.get(stream)
            until = now + left
            if known is None and len(self._streams) >= MAX_STREAMS:
                return
            if known is not None and known.begin == begin and until <= known.until:
                continue
            if known is not None:
                self._unwritten[known.begin.upstream].pop(stream, None)
            self._streams[stream] = _Known(begin, until)
            self._unwritten[begin.upstream][stream] = None

    def enter_era(self) -> None:
        """Write all streams again: the latest writes may be lost from the store."""
        for stream, known in self._streams.items():
            self._unwritten[known.begin.upstream][stream] = None
        self._stored.clear()
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Write the origins of new streams until cancelled."""
        pause = WRITE_SECONDS
        while True:
            await asyncio.sleep(pause)
            is_done = await self.write()
            pause = WRITE_SECONDS if is_done else min(2 * pause, MAX_RETRY_SECONDS)
            if self._has_rows and self._clock() >= self._pruned_at + PRUNE_SECONDS:
                await self._prune()

    async def write(self) -> bool:
        """Write what is not written yet; return whether that has succeeded."""
        if self._clock() >= self._expired_at + EXPIRY_SECONDS:
            self._forget_expired()
        if not self._is_writer():
            return True
        due: list[bytes] = []
        for upstream, streams in self._unwritten.items():
            if streams and self._is_needed(upstream):
                due += streams
        if not due:
            return True
        due = due[: MAX_ROWS_PER_WRITE * MAX_STREAMS_PER_ROW]
        written = {stream: self._streams[stream] for stream in due}
        outcome = await self._write_rows(due)
        if outcome.is_error():
            log_message("origins:unwritten", streams=len(due), error=str(outcome.error))
            return False
        self._has_rows = True
        for stream, known in written.items():
            # It may have changed during the write.
            if self._streams.get(stream) == known:
                self._unwritten[known.begin.upstream].pop(stream, None)
        return True

    async def _write_rows(self, streams: list[bytes]) -> Result[None, TableError]:
        write_id = self._make_write_id()
        rows = [
            self._make_row(streams[first : first + MAX_STREAMS_PER_ROW])
            for first in range(0, len(streams), MAX_STREAMS_PER_ROW)
        ]
        # Nobody else writes these keys: a repeat after a lost reply does no harm.
        return await self._table.transact(
            [
                Put(Key(PARTITION, f"{write_id}-{number}"), row, None)
                for number, row in enumerate(rows)
            ],
            write_id,
        )

    def _make_row(self, streams: list[bytes]) -> OriginRow:
        groups: dict[Begin, list[str]] = defaultdict(list)
        for stream in streams:
            begin = self._streams[stream].begin
            groups[begin].append(b64encode(stream).decode())
        left = max(self._streams[stream].until for stream in streams) - self._clock()
        return OriginRow(
            expires=round(self._read_unix_time() + left, 1),
            origins=[
                StoredOrigins(upstream=begin.upstream, version=begin.version, streams=s)
                for begin, s in groups.items()
            ],
        )

    def _forget_expired(self) -> None:
        now = self._expired_at = self._clock()
        for stream in [s for s, known in self._streams.items() if known.until <= now]:
            known = self._streams.pop(stream)
            self._unwritten[known.begin.upstream].pop(stream, None)

    async def _prune(self) -> None:
        """Remove rows whose streams can't be resumed any longer, whoever wrote them."""
        self._pruned_at = self._clock()
        if not self._is_writer():
            return
        read = await self._table.query(PARTITION, limit=MAX_ROWS)
        if read.is_error():
            return
        oldest = self._read_unix_time() - PRUNE_MARGIN_SECONDS
        old = [row for row in read.ok if _find_expiry(row) < oldest]
        self._has_rows = len(read.ok) > 0
        if old:
            deletes = [Delete(row.key, row.rev) for row in old[:MAX_DELETES]]
            removed = await self._table.transact(deletes, self._make_write_id())
            log_message("origins:pruned", rows=len(deletes), is_done=removed.is_ok())

    async def find(self, stream: bytes) -> Begin | None:
        """Return where a stream began; None if the store does not tell."""
        # A later row may have brought a doubt about the stream.
        is_recent = self._clock() < self._read_at + READ_SECONDS
        if not (is_recent and stream in self._stored) and not await self._read():
            return None
        begin = self._stored.get(stream)
        return None if begin is None or begin.version == UNKNOWN_VERSION else begin

    async def _read(self) -> bool:
        """Read all rows, once for all that ask; return whether that has succeeded."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_soon())
        return await asyncio.shield(self._reading)

    async def _read_soon(self) -> bool:
        wait = self._read_at + READ_SECONDS - self._clock()
        await asyncio.sleep(max(0.0, wait))
        self._read_at = self._clock()
        read = await self._table.query(PARTITION, limit=MAX_ROWS)
        if read.is_error():
            log_message("origins:unread", reason=str(read.error))
            return False
        self._stored = merge_rows(read.ok)
        log_message("origins:read", rows=len(read.ok), streams=len(self._stored))
        return True


def merge_rows(rows: Iterable[Row]) -> dict[bytes, Begin]:
    """Return the origins of all rows; those that contradict each other are unknown."""
    merged: dict[bytes, Begin] = {}
    for row in rows:
        try:
            value = msgspec.convert(row.value, OriginRow)
            begun = [
                (b64decode(stream, validate=True), Begin(o["upstream"], o["version"]))
                for o in value["origins"]
                for stream in o["streams"]
            ]
        except (msgspec.ValidationError, ValueError):
            log_message("origins:row_invalid", key=row.key.sk)
            continue
        for stream, begin in begun:
            if merged.setdefault(stream, begin) != begin:
                merged[stream] = Begin(begin.upstream, UNKNOWN_VERSION)
    return merged


def _find_expiry(row: Row) -> float:
    """Return when a row can be removed; another writer's row can be at once."""
    expires = row.value.get("expires")
    is_number = isinstance(expires, int | float) and not isinstance(expires, bool)
    return expires if is_number else 0.0
