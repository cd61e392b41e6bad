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
    """Name a row."""

    table: str
    part: str
    key: str


Held = dict[RowId, tuple[int, str | None]]
"""Version and value of each row that ever was; no value once it is dropped."""


class Snapshot(NamedTuple):
    """Hold what the store held at one moment."""

    rows: Held
    version: int
    oldest: int


class Restore(TypedDict):
    """Ask for a restore."""

    rewrite: NotRequired[list[str]]
    """Tables whose rows of before are written again at once."""


class Rows:
    """Keep rows and the versions at which they changed."""

    def __init__(self, era: int = 0, seed: int = 0) -> None:
        self.fault_gate = FaultGate(STORE_MODES)
        self.era = era
        """Number of the era that answers name; 0 names none, for ever."""
        self._random = random.Random(seed)
        self._rows: Held = {}
        self._version = 0
        self._oldest = 0
        """Version behind which the history is known."""
        self._changed = asyncio.Event()
        self._copy = self.take_snapshot()
        """Copy that a restore asked for by a call goes back to."""
        self._lost: Held = {}
        """Rows as they were before the last restore."""
        self._restores = 0
        self.waiting_feeds = 0
        """Feeds that wait for a change."""

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.on_response_prepare.append(self._name_era)
        app.router.add_post("/_compact", self._compact)
        app.router.add_post("/_copy", self._keep_copy)
        app.router.add_post("/_restore", self._restore)
        app.router.add_post("/_write", self._write)
        self.fault_gate.install(app)
        app.router.add_post("/api/rows-tx", self._transact)
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        return app

    def write(self, name: RowId, value: str | None) -> int:
        """Write a row, or drop it, as the operator and the hosts do."""
        self._version += 1
        self._rows[name] = self._version, value
        self._wake()
        return self._version

    def compact(self) -> None:
        """Forget the history."""
        self._version += 1
        self._oldest = self._version
        self._wake()

    def take_snapshot(self) -> Snapshot:
        """Copy all rows, and the version that comes with them."""
        return Snapshot(dict(self._rows), self._version, self._oldest)

    async def _write(self, request: web.Request) -> web.Response:
        row = await read_json(request, dict[str, Any])
        return reply_json({"ver": self.write(_name(row), row.get("value"))})

    def restore(self, copy: Snapshot) -> None:
        """Go back to a copy, in a new era; what was written since is lost."""
        self._lost = self._rows
        self._rows = dict(copy.rows)
        self._version, self._oldest = copy.version, copy.oldest
        self._restores += 1
        self.era += 1 if self.era else 0
        self._wake()

    def rewrite(self, names: Iterable[RowId]) -> None:
        """Write rows again as they were before the last restore, in any order."""
        shuffled = sorted(names)
        self._random.shuffle(shuffled)
        for name in shuffled:
            self.write(name, self._lost.get(name, (0, None))[1])

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out a transaction; give status and body of the answer."""
        expected = [(_name(row), row["ver"]) for row in body.get("expected", [])]
        if any(self._get_version(name) != version for name, version in expected):
            rows = [self._show(name) for name, _ in expected if self._is_there(name)]
            return 412, self._page(rows)
        self._version += 1
        for row in body.get("writes", []):
            self._rows[_name(row)] = self._version, row["value"]
        for row in body.get("remove", []):
            self._rows[_name(row)] = self._version, None
        self._wake()
        return 200, self._page([])

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _name_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era:
            response.headers.setdefault(ERA_HEADER, str(self.era))

    async def _compact(self, request: web.Request) -> web.Response:
        self.compact()
        return reply_json({})

    async def _keep_copy(self, request: web.Request) -> web.Response:
        self._copy = self.take_snapshot()
        return reply_json({})

    async def _restore(self, request: web.Request) -> web.Response:
        asked = await read_json(request, Restore)
        tables = asked.get("rewrite", [])
        self.restore(self._copy)
        self.rewrite(name for name in self._lost if name.table in tables)
        return reply_json({})

    async def _transact(self, request: web.Request) -> web.Response:
        status, page = self.transact(await read_json(request, dict[str, Any]))
        return reply_json(page, status=status)

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        names = sorted(
            name
            for name in self._rows
            if name.table == query["table"]
            and name.part == query.get("part", "")
            and name.key >= start
            and (not end or name.key < end)
            and self._is_there(name)
        )
        page = self._page([self._show(name) for name in names[:limit]])
        return reply_json({**page, "morePages": len(names) > limit})

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        restores = self._restores
        while True:
            if restores != self._restores:
                return abort(request)
            if not self._oldest <= after <= self._version:
                return web.Response(status=410)
            rows = [
                self._show(name)
                for name, (version, _) in self._rows.items()
                if name.table == table and version > after
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

    def _is_there(self, name: RowId) -> bool:
        return self._rows.get(name, (0, None))[1] is not None

    def _get_version(self, name: RowId) -> int:
        return self._rows[name][0] if self._is_there(name) else 0

    def _show(self, name: RowId) -> dict[str, Any]:
        version, value = self._rows[name]
        row = {**name._asdict(), "ver": version}
        return {**row, "tombstone": True} if value is None else {**row, "value": value}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        steady = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self._version, "nowMs": steady}


def abort(request: web.Request) -> web.Response:
    """End a request as a lost connection."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _name(row: dict[str, Any]) -> RowId:
    return RowId(row["table"], row.get("part", ""), row["key"])


def main() -> None:
    """Run the store."""
    parser = build_parser("metadata store")
    parser.add_argument("--era", type=int, default=0)
    args = parser.parse_args()
    serve(Rows(args.era).build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
