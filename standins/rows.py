"""Stand-in for the platform's metadata store: rows, transactions and feeds."""

import asyncio
import random
import time
from collections.abc import Iterable
from typing import Any, Final, NamedTuple, NotRequired, TypedDict

from aiohttp import web

from standins.common import (
    STORE_MODES,
    FaultGate,
    build_app,
    build_parser,
    read_json,
    reply_json,
    serve,
)

PAGE_ROWS: Final = 500
ERA_HEADER: Final = "Store-Era"


class RowId(NamedTuple):
    """Identify a row."""

    table: str
    part: str
    key: str


VersionedRows = dict[RowId, tuple[int, str | None]]
"""Version and value of every row; None as the value marks a removed row."""


class Snapshot(NamedTuple):
    """Represent the contents of the store at one moment."""

    rows: VersionedRows
    version: int
    compacted_version: int


class Restore(TypedDict):
    """Request a restore of the last snapshot."""

    rewrite: NotRequired[list[str]]
    """Tables whose rows get their values from before the restore back at once."""


class Rows:
    """Store rows and the versions at which they changed."""

    def __init__(self, era: int = 0, seed: int = 0) -> None:
        self.fault_gate = FaultGate(STORE_MODES)
        self.era = era
        """Number of the era in answers; with 0 the store never reports an era."""
        self._random = random.Random(seed)
        self._rows: VersionedRows = {}
        self._version = 0
        self._compacted_version = 0
        """Version up to which the history was dropped."""
        self._changed = asyncio.Event()
        self._snapshot = self.take_snapshot()
        """Snapshot that `POST /_restore` goes back to."""
        self._rows_before_restore: VersionedRows = {}
        """Rows as they were before the last restore."""
        self._restores = 0
        self.waiting_feeds = 0
        """Number of feeds that wait for a change."""

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.on_response_prepare.append(self._add_era_header)
        app.router.add_post("/_compact", self._compact)
        app.router.add_post("/_copy", self._take_snapshot)
        app.router.add_post("/_restore", self._restore)
        app.router.add_post("/_write", self._write)
        self.fault_gate.install(app)
        app.router.add_post("/api/rows-tx", self._transact)
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        return app

    def write(self, row_id: RowId, value: str | None) -> int:
        """Write or remove a row, as the operator and the hosts do."""
        self._version += 1
        self._rows[row_id] = self._version, value
        self._notify_feeds()
        return self._version

    def compact(self) -> None:
        """Drop the history; feeds behind it get a 410 answer."""
        self._version += 1
        self._compacted_version = self._version
        self._notify_feeds()

    def take_snapshot(self) -> Snapshot:
        """Copy all rows and their version."""
        return Snapshot(dict(self._rows), self._version, self._compacted_version)

    async def _write(self, request: web.Request) -> web.Response:
        row = await read_json(request, dict[str, Any])
        return reply_json({"ver": self.write(_parse_id(row), row.get("value"))})

    def restore(self, snapshot: Snapshot) -> None:
        """Restore a snapshot and start a new era; later writes are lost."""
        self._rows_before_restore = self._rows
        self._rows = dict(snapshot.rows)
        self._version, self._compacted_version = (
            snapshot.version,
            snapshot.compacted_version,
        )
        self._restores += 1
        self.era += 1 if self.era else 0
        self._notify_feeds()

    def rewrite(self, row_ids: Iterable[RowId]) -> None:
        """Write the values that rows had before the last restore, in random order."""
        shuffled = sorted(row_ids)
        self._random.shuffle(shuffled)
        for row_id in shuffled:
            self.write(row_id, self._rows_before_restore.get(row_id, (0, None))[1])

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a transaction; return the status and body of the answer."""
        expected = [(_parse_id(row), row["ver"]) for row in body.get("expected", [])]
        if any(self._get_version(row_id) != version for row_id, version in expected):
            rows = [
                self._encode_row(row_id)
                for row_id, _ in expected
                if self._exists(row_id)
            ]
            return 412, self._page(rows)
        self._version += 1
        for row in body.get("writes", []):
            self._rows[_parse_id(row)] = self._version, row["value"]
        for row in body.get("remove", []):
            self._rows[_parse_id(row)] = self._version, None
        self._notify_feeds()
        return 200, self._page([])

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _add_era_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers.setdefault(ERA_HEADER, str(self.era))

    async def _compact(self, request: web.Request) -> web.Response:
        self.compact()
        return reply_json({})

    async def _take_snapshot(self, request: web.Request) -> web.Response:
        self._snapshot = self.take_snapshot()
        return reply_json({})

    async def _restore(self, request: web.Request) -> web.Response:
        body = await read_json(request, Restore)
        tables = body.get("rewrite", [])
        self.restore(self._snapshot)
        self.rewrite(
            row_id for row_id in self._rows_before_restore if row_id.table in tables
        )
        return reply_json({})

    async def _transact(self, request: web.Request) -> web.Response:
        status, page = self.transact(await read_json(request, dict[str, Any]))
        return reply_json(page, status=status)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        row_ids = sorted(
            row_id
            for row_id in self._rows
            if row_id.table == query["table"]
            and row_id.part == query.get("part", "")
            and row_id.key >= start
            and (not end or row_id.key < end)
            and self._exists(row_id)
        )
        page = self._page([self._encode_row(row_id) for row_id in row_ids[:limit]])
        return reply_json({**page, "morePages": len(row_ids) > limit})

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        restores = self._restores
        while True:
            if restores != self._restores:
                return abort(request)
            if not self._compacted_version <= after <= self._version:
                return web.Response(status=410)
            rows = [
                self._encode_row(row_id)
                for row_id, (version, _) in self._rows.items()
                if row_id.table == table and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                return reply_json(self._page(rows))
            await self._wait(left)

    async def _wait(self, seconds: float) -> None:
        changed = self._changed
        self.waiting_feeds += 1
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return
        finally:
            self.waiting_feeds -= 1

    def _exists(self, row_id: RowId) -> bool:
        return self._rows.get(row_id, (0, None))[1] is not None

    def _get_version(self, row_id: RowId) -> int:
        return self._rows[row_id][0] if self._exists(row_id) else 0

    def _encode_row(self, row_id: RowId) -> dict[str, Any]:
        version, value = self._rows[row_id]
        row = {**row_id._asdict(), "ver": version}
        return {**row, "tombstone": True} if value is None else {**row, "value": value}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        steady = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self._version, "nowMs": steady}


def abort(request: web.Request) -> web.Response:
    """Abort the connection of a request."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _parse_id(row: dict[str, Any]) -> RowId:
    return RowId(row["table"], row.get("part", ""), row["key"])


def main() -> None:
    """Run the store."""
    parser = build_parser("metadata store")
    parser.add_argument("--era", type=int, default=0)
    args = parser.parse_args()
    serve(Rows(args.era).build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
