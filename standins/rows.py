"""Stand-in for the platform's metadata store: rows, transactions and feeds."""

import asyncio
import time
from typing import Any, Final, NamedTuple

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


class Name(NamedTuple):
    """Name a row."""

    table: str
    part: str
    key: str


class Rows:
    """Keep rows and the versions at which they changed."""

    def __init__(self) -> None:
        self.gate = FaultGate(STORE_MODES)
        self._rows: dict[Name, tuple[int, str | None]] = {}
        """Version and value of each row that ever was; no value once it is dropped."""
        self._version = 0
        self._oldest = 0
        """Version behind which the history is known."""
        self._changed = asyncio.Event()

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_post("/_compact", self._compact)
        app.router.add_post("/_write", self._write)
        self.gate.install(app)
        app.router.add_post("/api/rows-tx", self._transact)
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        return app

    def write(self, name: Name, value: str | None) -> int:
        """Write a row, or drop it, as the operator and the hosts do."""
        self._version += 1
        self._rows[name] = self._version, value
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def compact(self) -> None:
        """Forget the history."""
        self._version += 1
        self._oldest = self._version
        self._changed.set()
        self._changed = asyncio.Event()

    async def _write(self, request: web.Request) -> web.Response:
        row = await read_json(request, dict[str, Any])
        return reply_json({"ver": self.write(_name(row), row.get("value"))})

    async def _compact(self, request: web.Request) -> web.Response:
        self.compact()
        return reply_json({})

    async def _transact(self, request: web.Request) -> web.Response:
        body = await read_json(request, dict[str, Any])
        expected = [(_name(row), row["ver"]) for row in body.get("expected", [])]
        if any(self._get_version(name) != version for name, version in expected):
            rows = [self._show(name) for name, _ in expected if self._is_there(name)]
            return reply_json(self._page(rows), status=412)
        self._version += 1
        for row in body.get("writes", []):
            self._rows[_name(row)] = self._version, row["value"]
        for row in body.get("remove", []):
            self._rows[_name(row)] = self._version, None
        self._changed.set()
        self._changed = asyncio.Event()
        return reply_json(self._page([]))

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
        while True:
            if after < self._oldest:
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
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return

    def _is_there(self, name: Name) -> bool:
        return self._rows.get(name, (0, None))[1] is not None

    def _get_version(self, name: Name) -> int:
        return self._rows[name][0] if self._is_there(name) else 0

    def _show(self, name: Name) -> dict[str, Any]:
        version, value = self._rows[name]
        row = {**name._asdict(), "ver": version}
        return {**row, "tombstone": True} if value is None else {**row, "value": value}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        steady = int(time.monotonic() * 1000)
        return {"rows": rows, "ver": self._version, "nowMs": steady}


def _name(row: dict[str, Any]) -> Name:
    return Name(row["table"], row.get("part", ""), row["key"])


def main() -> None:
    """Run the store."""
    args = build_parser("metadata store").parse_args()
    serve(Rows().build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
