"""Stand-in for a model engine that runs either prefill or decode."""

import asyncio
import itertools
import os
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

from aiohttp import web

from standins.common import build_app, build_parser, read_json, reply_json, serve
from standins.runs import ORDER, PROMPT, RUN, Order, Run, RunLog, digest, read_clock
from standins.spoiling import (
    DELIVERY_SECONDS,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    SOUND,
    EventWriter,
    RunFault,
    draw_faults,
)

EVENTS: Final = 4
EXIT_CRASHED: Final = 70
LATE_CRASH: Final = "late"
"""Contained in the names of the parts on which it exits only after the first event."""
NOT_RUN: Final = {"X-Not-Executed": "1"}


class StagedEngine:
    """Run prefill or decode requests, according to its phase, and count them."""

    def __init__(
        self, instance: str, phase: str, seconds: float = 0.0, log: str = ""
    ) -> None:
        self.instance = instance
        self.events = EVENTS
        """Number of events of each answer."""
        self.phase = phase
        self.version = ""
        """Version of its software, which its events name; empty to name none."""
        self.extra_headers: dict[str, str] = {}
        """Headers to add to every answer."""
        self.seconds = seconds
        """Time that it takes for each event, and for a prompt."""
        self.crash_prefix = ""
        """Start of the names of prompt parts on which its process exits; empty for
        none."""
        self.started_ms = 0
        """Time of its start in Unix milliseconds; not reported while 0."""
        self.runs: Counter[str] = Counter()
        self.handles: set[str] = set()
        self.orders: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.is_full = False
        """Whether it refuses every request as if it were full."""
        self.loses_handles = False
        self.cut_after: int | None = None
        """Event after which it breaks off a stream; None for never."""
        self.faults: Iterator[RunFault] = iter(())
        """Faults of the next runs, which take precedence over `cut_after`."""
        self.fetched_handles: list[str] = []
        """Sources of KV that requests told it to fetch."""
        self.freed_handles: list[str] = []
        """Handles that callers freed."""
        self.cached_prefixes: list[list] = []
        """Cached prefixes of prompts, in the form of its list."""
        self.cache_list_calls = 0
        """Number of calls for that list."""
        self.disconnected: list[str] = []
        """Requests whose callers disconnected before the end."""
        self._handle_numbers = itertools.count(1)
        self._log = RunLog(log)
        self._signatures = itertools.count(1)

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_post("/_fault", self._set_fault)
        app.router.add_post("/_limit", self._set_limit)
        app.router.add_get("/api/report", self._report)
        app.router.add_get("/health", self._report_health)
        app.router.add_post("/api/order", self._receive_order)
        app.router.add_get("/api/kv-list", self._list_cached_prefixes)
        app.router.add_delete("/api/kv-handle/{name}", self._free_handle)
        app.router.add_route("*", "/{path:.*}", self._serve)
        app.on_response_prepare.append(_echo_request_id)
        app.on_response_prepare.append(self._add_extra_headers)
        return app

    async def _add_extra_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers.update(self.extra_headers)

    def restart(self, started_ms: int) -> None:
        """Restart under the same id without any state, as after a reset.

        Open requests get no further data, but their connections stay open.
        """
        self.started_ms = started_ms
        self.handles.clear()
        self.orders.clear()
        self.highest_fence = 0
        self._handle_numbers = itertools.count(1)

    async def _set_fault(self, request: web.Request) -> web.Response:
        fault = await read_json(request, dict[str, Any])
        self.is_full = fault.get("refuses", False)
        self.loses_handles = fault.get("loses_handles", False)
        self.cut_after = fault.get("cut_after")
        self.faults = draw_faults(fault.get("runs", ()), fault.get("seed", 0))
        return reply_json({})

    async def _set_limit(self, request: web.Request) -> web.Response:
        """Set the requests a second that it names in its answers; 0 to name none."""
        limit = (await read_json(request, dict[str, float]))["limit"]
        self.extra_headers.pop("Server-Limit", None)
        if limit:
            self.extra_headers["Server-Limit"] = str(limit)
        return reply_json({})

    def describe_start(self) -> dict[str, int]:
        """Return the start time as its entry and its reports contain it."""
        return {"born": self.started_ms} if self.started_ms else {}

    async def _sleep(self, started_ms: int) -> None:
        """Simulate work; block forever if the engine has restarted meanwhile."""
        await asyncio.sleep(self.seconds)
        if started_ms != self.started_ms:
            await asyncio.Event().wait()

    async def _report(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Target-Instance") != self.instance:
            return web.Response(status=421, headers={"X-Instance-Id": self.instance})
        state = {"phase": self.phase, "busy": False, "sequence": len(self.orders)}
        return reply_json({**state, **self.describe_start()})

    async def _report_health(self, request: web.Request) -> web.Response:
        is_addressed = request.headers.get("X-Target-Instance") == self.instance
        status = 200 if is_addressed else 421
        return web.Response(status=status, headers={"X-Instance-Id": self.instance})

    async def _list_cached_prefixes(self, request: web.Request) -> web.Response:
        self.cache_list_calls += 1
        return reply_json({"epoch": 1, "next": 1, "held": self.cached_prefixes})

    async def _receive_order(self, request: web.Request) -> web.Response:
        if request.headers.get("X-Target-Instance") != self.instance:
            return web.Response(status=421, headers={"X-Instance-Id": self.instance})
        order = await request.json()
        status = self._apply_order(order)
        seen = order["owner"], order["fenceToken"], order["phase"], status
        self._log.write(Order(ORDER, read_clock(), self.instance, *seen))
        return web.Response(status=status)

    def _apply_order(self, order: dict[str, Any]) -> int:
        if order["fenceToken"] < self.highest_fence:
            return 412
        if order.get("expected", len(self.orders)) != len(self.orders):
            return 409
        self.highest_fence = order["fenceToken"]
        if order["phase"] == self.phase:
            return 200
        self.orders.append(order)
        self.phase = order["phase"]
        return 202

    async def _free_handle(self, request: web.Request) -> web.Response:
        self.freed_handles.append(request.match_info["name"])
        self.handles.discard(request.match_info["name"])
        return web.Response()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if request.headers.get("X-Target-Instance") != self.instance:
            return web.Response(status=421, headers={"X-Instance-Id": self.instance})
        if self.is_full:
            return web.Response(status=503, headers=NOT_RUN)
        wants_prefill = request.headers.get("X-Serving-Phase") == "prefill"
        if wants_prefill != (self.phase == "prefill"):
            return web.Response(status=421, headers=NOT_RUN)
        request_id = request.headers[REQUEST_ID_HEADER]
        if wants_prefill:
            self._record_run(PROMPT, request, body, "")
            return await self._read_prompt()
        if "X-Kv-Source" in request.headers:
            self.fetched_handles.append(request.headers["X-Kv-Source"])
            if self.loses_handles:
                return web.Response(status=503, headers=NOT_RUN)
        signature = f"by-{self.instance}-{next(self._signatures)}"
        fault = next(self.faults, SOUND._replace(cut_after=self.cut_after))
        if fault.status:
            return self._answer_error(request, body, signature, fault)
        self._record_run(RUN, request, body, signature)
        return await self._stream(request, request_id, signature, fault)

    def _answer_error(
        self, request: web.Request, asked: bytes, signature: str, fault: RunFault
    ) -> web.Response:
        self.runs[request.headers[REQUEST_ID_HEADER]] += 1
        body = fault.body.encode()
        self._record_run(RUN, request, asked, signature, fault.status, digest(body))
        headers = {SIGNATURE_HEADER: signature}
        return web.Response(status=fault.status, body=body, headers=headers)

    def _record_run(
        self,
        kind: str,
        request: web.Request,
        body: bytes,
        signature: str,
        status: int = 200,
        answer: str = "",
    ) -> None:
        request_id, asked = request.headers[REQUEST_ID_HEADER], digest(body)
        sent = request_id, request.method, request.raw_path, asked
        run = Run(kind, read_clock(), self.instance, *sent, signature, status, answer)
        self._log.write(run)

    async def _read_prompt(self) -> web.Response:
        await self._sleep(self.started_ms)
        handle = f"{self.instance}-{next(self._handle_numbers)}"
        self.handles.add(handle)
        return reply_json({"kvHandle": handle, "tokens": 1, "version": 1})

    def _is_crashing(self, request: web.Request) -> bool:
        """Return whether a prompt has a part on which the process exits."""
        parts = request.headers.get("X-Prompt-Prefix", "").split(",")
        prefix = self.crash_prefix
        return bool(prefix) and any(part.startswith(prefix) for part in parts)

    async def _stream(
        self, request: web.Request, request_id: str, signature: str, fault: RunFault
    ) -> web.StreamResponse:
        started_ms = self.started_ms
        self.runs[request_id] += 1
        headers = {
            "Content-Type": "text/event-stream",
            SIGNATURE_HEADER: signature,
        }
        writer = EventWriter(request, headers, fault)
        await writer.start()
        asked = int(request.headers.get("Last-Event-Id", 0)) + 1
        if self._is_crashing(request):
            if LATE_CRASH in request.headers["X-Prompt-Prefix"]:
                await writer.write(make_event(request_id, asked, self.version))
                await asyncio.sleep(DELIVERY_SECONDS)
            os._exit(EXIT_CRASHED)
        if fault.cut_after == 0:
            await writer.break_off()
            return writer.response
        try:
            for number in range(fault.first_event or asked, self.events + 1):
                await asyncio.sleep(fault.pause_seconds)
                await self._sleep(started_ms)
                await writer.write(make_event(request_id, number, self.version))
                if number == fault.cut_after:
                    await writer.break_off()
                    return writer.response
        except (ConnectionError, asyncio.CancelledError):
            self.disconnected.append(request_id)
            raise
        await writer.end()
        return writer.response


async def _echo_request_id(request: web.Request, response: web.StreamResponse) -> None:
    """Repeat the request id in every answer, including refusals and handles."""
    request_id = request.headers.get(REQUEST_ID_HEADER)
    if request_id is not None:
        response.headers[REQUEST_ID_HEADER] = request_id


def make_event(request_id: str, number: int, version: str = "") -> bytes:
    """Make one event of the answer to a request by a version of the engine."""
    by = f"@{version}" if version else ""
    return f"id: {number}\ndata: {request_id}.{number}{by}\n\n".encode()


def main() -> None:
    """Run the engine."""
    parser = build_parser("staged engine")
    parser.add_argument("--instance", default="i-0")
    parser.add_argument("--phase", default="decode", choices=["prefill", "decode"])
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument("--events", type=int, default=EVENTS)
    parser.add_argument("--log", default="")
    parser.add_argument("--version", default="", help="version of its software")
    parser.add_argument("--started-ms", type=int, default=0, help="0 to name none")
    parser.add_argument("--crash-prefix", default="", help="parts to exit on")
    args = parser.parse_args()
    engine = StagedEngine(args.instance, args.phase, args.seconds, args.log)
    engine.crash_prefix = args.crash_prefix
    engine.started_ms = args.started_ms
    engine.events, engine.version = args.events, args.version
    serve(engine.build_app(), args.address, args.port, cancel_on_disconnect=True)


if __name__ == "__main__":
    main()
