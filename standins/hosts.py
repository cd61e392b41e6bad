"""Stand-in for the host list: Prometheus HTTP service discovery."""

import asyncio
from typing import Final, Literal, NotRequired, TypedDict

from aiohttp import web

from standins.common import (
    STORE_MODES,
    FaultGate,
    bad_request,
    build_app,
    build_parser,
    read_json,
    reply_json,
    serve,
)

DEFAULT_LAG_SECONDS: Final = 2.0


class Change(TypedDict):
    """Describe a change of one host's entry, visible after a lag."""

    host: str
    state: Literal["live", "leaving", "gone"]
    place: NotRequired[str]
    upstream: NotRequired[str]
    target: NotRequired[str]
    lag: NotRequired[float]


class Server:
    """Serve the host list's HTTP interface."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._visible: dict[str, Change] = {}
        self._applied: dict[str, int] = {}
        self._changes = 0

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_get("/hosts", self._list)
        app.router.add_post("/_hosts", self._change)
        FaultGate(STORE_MODES).install(app)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        hosts = sorted(self._visible)
        return reply_json([_build_entry(self._visible[host]) for host in hosts])

    async def _change(self, request: web.Request) -> web.Response:
        change = await read_json(request, Change)
        is_complete = change.keys() >= {"place", "upstream", "target"}
        if change["state"] != "gone" and not is_complete:
            raise bad_request("place, upstream and target are needed")
        self._changes += 1
        lag = change.get("lag", self._lag)
        loop = asyncio.get_running_loop()
        loop.call_later(lag, self._apply, self._changes, change)
        return reply_json({})

    def _apply(self, number: int, change: Change) -> None:
        # A change with a shorter lag may overtake an older one of the same host.
        host = change["host"]
        if number < self._applied.get(host, 0):
            return
        self._applied[host] = number
        if change["state"] == "gone":
            self._visible.pop(host, None)
            return
        self._visible[host] = change


def _build_entry(change: Change) -> dict[str, object]:
    labels = {name: change[name] for name in ("host", "place", "upstream", "state")}
    return {"targets": [change["target"]], "labels": labels}


def main() -> None:
    """Run the host list."""
    parser = build_parser("host list")
    parser.add_argument("--lag", type=float, default=DEFAULT_LAG_SECONDS)
    args = parser.parse_args()
    serve(Server(args.lag).build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
