"""Record the sources of streams in the store."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, TypedDict

import msgspec
from eliot import log_message

from radishtally.direct.core import Instance
from radishtally.gateway.const import ERA_READ_SPREAD_SECONDS
from radishtally.outcome import Error, Ok, Result
from radishtally.routes.core import Route, RouteKind
from radishtally.serving.origins import CHANGE_RETENTION_SECONDS, UNKNOWN_VERSION
from radishtally.serving.sources import (
    Source,
    StoredRoutes,
    UsableSources,
    merge_sources,
)
from radishtally.store.core import ABSENT, Key, Put, Row, Table
from radishtally.store.settle import transact_settled

SOURCES_KEY: Final = Key("streams", "sources")
WAIT_SECONDS: Final = 1.0
"""Time after which streams begin at a source that could not be recorded: the store may
be away for long."""
RETRY_SECONDS: Final = 0.3
MAX_RETRY_SECONDS: Final = 5.0
ANY_ROUTE: Final = ""
"""Key that overlaps all routes."""
WRITE_TIMEOUT_SECONDS: Final = 1.0
BATCH_SECONDS: Final = 0.01
"""Time over which streams of unknown origin are gathered for one read."""
SPREAD_SECONDS_PER_GATEWAY: Final = 0.005
MAX_SPREAD_SECONDS: Final = 0.5
"""Spread of the gateways' reads, as all see a new version at once. Most of them then
find it recorded."""
MAX_REVIEW_GAP_SECONDS: Final = 60.0
"""Time without a current host list after which sources may have been missed."""


class SourceRow(TypedDict):
    """Describe the row of the sources."""

    routes: StoredRoutes


class _Single(NamedTuple):
    """Hold the only possible source of a route, and since when it has been that."""

    source: Source
    since: float


class SourceRecorder:
    """Record the sources that this gateway may use, and find the sole ones."""

    def __init__(
        self,
        table: Table,
        make_write_id: Callable[[], str],
        usable: UsableSources,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._table = table
        self._make_write_id = make_write_id
        self._usable = usable
        self._clock = clock
        self._routes: dict[str, tuple[str, ...]] = {}
        """Upstreams by route."""
        self._versions: set[tuple[str, str]] = set()
        """Upstreams and versions of the listed hosts."""
        self._recorded: set[Source] = set()
        self._pending: set[Source] = set()
        """Sources that must be recorded."""
        self._stored: StoredRoutes = {}
        """Routes in the store, as last read or written here."""
        self._singles: dict[str, _Single] = {}
        self._reviewed_at = float("-inf")
        self._lasting: set[Source] = set()
        """Sources that have been the only possible ones for longer than any stream."""
        self._due = asyncio.Event()
        self._is_new_era = False
        self._next_read: asyncio.Task | None = None
        """Read of the row that has not begun."""
        self.gateway_count = 1

    def configure(self, routes: Iterable[Route]) -> None:
        """Apply the routes of a configuration."""
        self._routes = {
            route.key: tuple(split.upstream for split in route.splits if split.weight)
            for route in routes
            if route.kind == RouteKind.STREAM and route.is_resumable
        }
        self._require()

    def note_host(self, upstream: str, version: str) -> None:
        """Record the version of a listed host before it is used."""
        if version and (upstream, version) not in self._versions:
            self._versions.add((upstream, version))
            self._require()

    def note_unknown(self, upstream: str) -> None:
        """Record that streams of an upstream may begin at a version not yet listed."""
        self._versions.add((upstream, UNKNOWN_VERSION))
        self._require()

    def enter_era(self) -> None:
        """Record all sources again: the latest writes may be lost from the store."""
        self._pending |= self._recorded
        self._recorded = set()
        self._singles.clear()
        self._is_new_era = True
        self._due.set()

    def review(self, hosts: Iterable[Instance]) -> None:
        """Forget the sources that are not possible any longer, by a current list."""
        now = self._clock()
        if now > self._reviewed_at + MAX_REVIEW_GAP_SECONDS:
            self._singles.clear()
        self._reviewed_at = now
        self._versions = {
            (host.upstream, host.version) for host in hosts if host.version
        }
        possible = self._list_possible()
        self._recorded &= possible
        self._pending &= possible
        self._usable.retain(possible)
        self._require()
        self._collect_lasting(possible, now)

    def _collect_lasting(self, possible: set[Source], now: float) -> None:
        for route in self._routes:
            sources = [source for source in possible if source.route == route]
            if len(sources) != 1:
                self._singles.pop(route, None)
                continue
            (source,) = sources
            known = self._singles.get(route)
            if known is None or known.source != source:
                self._singles[route] = _Single(source, now)
            elif now >= known.since + CHANGE_RETENTION_SECONDS:
                self._singles[route] = _Single(source, now)
                self._lasting.add(source)
                self._due.set()

    def is_ambiguous(self, upstream: str) -> bool:
        """Return whether streams of an upstream may have begun at several versions."""
        possible = Counter(source.route for source in self._list_possible())
        return any(
            possible[route] > 1 or (route in self._stored and not self._stored[route])
            for route, upstreams in self._routes.items()
            if upstream in upstreams
        )

    def _list_possible(self) -> set[Source]:
        return {
            Source(route, upstream, version)
            for route, upstreams in self._routes.items()
            for upstream, version in self._versions
            if upstream in upstreams
        }

    def _require(self) -> None:
        """Have the possible sources recorded that are not."""
        missing = self._list_possible() - self._recorded - self._pending
        if not missing:
            return
        self._pending |= missing
        loop = asyncio.get_running_loop()
        for source in missing:
            loop.call_later(WAIT_SECONDS, self._allow_late, source)
        self._due.set()

    def _allow_late(self, source: Source) -> None:
        if source in self._pending and not self._usable.allows(source):
            log_message("sources:not_recorded", **source._asdict())
            self._usable.allow(source)

    async def run(self) -> None:
        """Record sources until cancelled."""
        while True:
            await self._due.wait()
            self._due.clear()
            await asyncio.sleep(random.uniform(0.0, self._find_spread_seconds()))
            pause = RETRY_SECONDS
            while self._pending or self._lasting:
                recorded = await self._record()
                if recorded.is_error():
                    log_message("sources:unwritten", reason=recorded.error)
                    await asyncio.sleep(pause)
                    pause = min(2 * pause, MAX_RETRY_SECONDS)

    def _find_spread_seconds(self) -> float:
        if self._is_new_era:
            self._is_new_era = False
            return ERA_READ_SPREAD_SECONDS
        return min(MAX_SPREAD_SECONDS, self.gateway_count * SPREAD_SECONDS_PER_GATEWAY)

    async def _record(self) -> Result[None, str]:
        """Add the pending sources to the row."""
        pending, lasting = self._pending.copy(), self._lasting.copy()
        read = await self._read()
        if read.is_error():
            return read
        row, routes = read.ok
        used = pending | self._recorded
        merged = merge_sources(routes, sorted(used))
        for source in lasting:
            # Another source may have come up since.
            if all(other == source for other in used if other.route == source.route):
                merged[source.route] = source.describe()
        if merged != routes:
            put = Put(SOURCES_KEY, SourceRow(routes=merged), row.rev if row else ABSENT)
            deadline = time.monotonic() + WRITE_TIMEOUT_SECONDS
            written = await transact_settled(
                self._table, [put], self._make_write_id(), deadline=deadline
            )
            if written.is_error():
                return Error(str(written.error))
            log_message("sources:recorded", routes=merged)
        self._stored = merged
        self._pending -= pending
        self._lasting -= lasting
        self._recorded |= pending
        for source in pending:
            self._usable.allow(source)
        return Ok(None)

    async def _read(self) -> Result[tuple[Row | None, StoredRoutes], str]:
        read = await self._table.get(SOURCES_KEY)
        if read.is_error():
            return Error(str(read.error))
        row = read.ok
        if row is None:
            return Ok((None, {}))
        try:
            return Ok((row, msgspec.convert(row.value, SourceRow)["routes"]))
        except msgspec.ValidationError:
            # Which sources it showed is not known any longer.
            log_message("sources:row_invalid")
            return Ok((row, {ANY_ROUTE: None}))

    async def _read_soon(self) -> Result[tuple[Row | None, StoredRoutes], str]:
        """Read the row for all that ask until then."""
        await asyncio.sleep(BATCH_SECONDS)
        self._next_read = None
        return await self._read()

    async def find_sole(self, route: str) -> Source | None:
        """Return the only source that a route has had, None if that isn't certain."""
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read_soon())
        read = await asyncio.shield(self._next_read)
        sole = None if read.is_error() else read.ok[1].get(route)
        return None if sole is None else Source(route, **sole)
