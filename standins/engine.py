"""Stand-in for a model engine: OpenAI HTTP with extensions for KV and orders."""

import argparse
import asyncio
import os
import secrets
import time
from collections import OrderedDict
from typing import Any, Final, NotRequired, TypedDict

import msgspec
from aiohttp import web

from standins.batch import PROFILES, decode_seconds, prefill_rate
from standins.common import (
    bad_request,
    build_app,
    build_parser,
    parse_bool,
    read_json,
    reply_json,
    serve,
)
from standins.completions import (
    DONE,
    Body,
    ChatBody,
    CompletionBody,
    Prompt,
    Writer,
    read_chat,
    read_completion,
)
from standins.jobs import Job, Kv, Update, keep_kv
from standins.work import Engine, Order, Settings

KV_BYTES_PER_TOKEN: Final = 64
CRASH_DELAY_SECONDS: Final = 0.01


class Fault(TypedDict):
    """Describe an injected fault of the engine."""

    crash_in_change: NotRequired[bool]
    stall: NotRequired[float]
    crash: NotRequired[bool]


class Export(TypedDict):
    """Select the request whose KV to export."""

    request_id: str


class Server:
    """Serve the engine's HTTP interface."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._engine: Engine
        self._exports: OrderedDict[str, Kv] = OrderedDict()

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.cleanup_ctx.append(self._run_engine)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete_chat)
        app.router.add_post("/v1/requests/{id}/cancel", self._cancel)
        app.router.add_post("/kv/export", self._export_kv)
        app.router.add_post("/kv/import", self._import_kv)
        app.router.add_get("/kv/{handle}", self._read_kv)
        app.router.add_get("/state", self._report_state)
        app.router.add_get("/events", self._report_events)
        app.router.add_post("/orders", self._take_order)
        app.router.add_post("/_fault", self._set_fault)
        app.router.add_get("/_counts", self._report_counts)
        return app

    async def _run_engine(self, app: web.Application) -> Any:
        self._engine = Engine(self._settings)
        task = asyncio.create_task(self._engine.run())
        task.add_done_callback(_exit_on_error)
        yield
        task.cancel()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await read_json(request, CompletionBody)
        try:
            prompt = read_completion(body)
        except ValueError as error:
            raise bad_request(str(error)) from error
        return await self._answer(request, body, prompt, chat=False)

    async def _complete_chat(self, request: web.Request) -> web.StreamResponse:
        body = await read_json(request, ChatBody)
        try:
            prompt = read_chat(body)
        except ValueError as error:
            raise bad_request(str(error)) from error
        return await self._answer(request, body, prompt, chat=True)

    async def _answer(
        self, request: web.Request, body: Body, prompt: Prompt, chat: bool
    ) -> web.StreamResponse:
        if self._engine.changing:
            return _reply_not_started()
        if body["model"] not in (self._engine.model, *self._engine.adapters):
            return reply_json({"error": {"code": "model_not_found"}}, status=404)
        request_id = request.headers.get("X-Request-Id") or secrets.token_hex(8)
        job = Job(request_id, body, prompt)
        writer = Writer(request_id, body["model"], chat)
        if job.done:
            job.ended = True
            job.updates.put_nowait(Update(finish_reason="stop"))
        else:
            params = body.get("kv_transfer_params") or {}
            self._engine.submit(job, params.get("handle"))
        try:
            if body.get("stream"):
                usage = (body.get("stream_options") or {}).get("include_usage", False)
                return await _stream(request, job, writer, usage)
            return await _collect(request, job, writer)
        finally:
            self._engine.drop(job)

    async def _cancel(self, request: web.Request) -> web.Response:
        cancelled = self._engine.cancel(request.match_info["id"])
        return reply_json({"cancelled": cancelled}, status=200 if cancelled else 404)

    async def _export_kv(self, request: web.Request) -> web.Response:
        body = await read_json(request, Export)
        kv = self._engine.find_kv(body["request_id"])
        if kv is None:
            return reply_json({"error": {"code": "unknown_request"}}, status=404)
        handle = secrets.token_hex(8)
        keep_kv(self._exports, handle, kv)
        size = len(_encode_kv(kv))
        return reply_json({"handle": handle, "tokens": kv.tokens, "bytes": size})

    async def _read_kv(self, request: web.Request) -> web.Response:
        kv = self._exports.get(request.match_info["handle"])
        if kv is None:
            return reply_json({"error": {"code": "unknown_handle"}}, status=404)
        return web.Response(body=_encode_kv(kv))

    async def _import_kv(self, request: web.Request) -> web.Response:
        handle = request.query.get("handle", "")
        try:
            kv = msgspec.json.decode((await request.read()).rstrip(b"\0"), type=Kv)
        except msgspec.DecodeError as error:
            raise bad_request(str(error)) from error
        if not handle:
            raise bad_request("handle is missing")
        keep_kv(self._engine.imported, handle, kv)
        return reply_json({"handle": handle, "tokens": kv.tokens})

    async def _report_state(self, request: web.Request) -> web.Response:
        engine, speed = self._engine, self._settings.speed
        now = time.monotonic()
        state = {
            "role": engine.role,
            "model": engine.model,
            "version": engine.version,
            "adapters": engine.adapters,
            "changing": engine.changing is not None,
            "change_ends_in": max(0.0, engine.change_ends_at - now),
            "incarnation": engine.incarnation,
            "fencing": engine.fencing,
            "max_batch": PROFILES[engine.role].max_batch,
            "prefill_tokens_per_second": prefill_rate(engine.role, speed),
            "decode_seconds_per_token": decode_seconds(speed),
        }
        return reply_json({**state, **engine.lagging_load.read(now)._asdict()})

    async def _report_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            raise bad_request("after is a number") from error
        events = self._engine.cache.events_after(after, time.monotonic())
        last = events[-1].seq if events else after
        return reply_json({"events": [e._asdict() for e in events], "last": last})

    async def _take_order(self, request: web.Request) -> web.Response:
        order = await read_json(request, Order)
        if not order.get(order["kind"]):
            raise bad_request(f"{order['kind']} is missing")
        status, body = self._engine.take_order(order)
        return reply_json(body, status=status)

    async def _set_fault(self, request: web.Request) -> web.Response:
        fault = await read_json(request, Fault)
        engine = self._engine
        engine.crash_in_change = fault.get("crash_in_change", engine.crash_in_change)
        if "stall" in fault:
            engine.stalled_until = time.monotonic() + fault["stall"]
        if fault.get("crash"):
            asyncio.get_running_loop().call_later(CRASH_DELAY_SECONDS, os._exit, 1)
        return reply_json({})

    async def _report_counts(self, request: web.Request) -> web.Response:
        engine = self._engine
        counts = {"requests": engine.requests, "orders": engine.orders}
        return reply_json({**counts, **engine.totals})


def _exit_on_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    asyncio.get_running_loop().call_exception_handler(
        {"message": "engine loop failed", "exception": task.exception()}
    )
    os._exit(2)


def _encode_kv(kv: Kv) -> bytes:
    return msgspec.json.encode(kv).ljust(kv.tokens * KV_BYTES_PER_TOKEN, b"\0")


def _reply_not_started() -> web.Response:
    return reply_json({"error": {"code": "not_started"}}, status=503)


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _collect(request: web.Request, job: Job, writer: Writer) -> web.Response:
    text = ""
    update = Update()
    while update.finish_reason is None:
        update = await job.updates.get()
        if update.lost:
            return _abort(request) if job.started else _reply_not_started()
        text += update.text
    body = writer.build_answer(text, update.finish_reason, job.usage)
    headers = {"X-Request-Id": job.request_id}
    return web.Response(body=body, headers=headers, content_type="application/json")


async def _stream(
    request: web.Request, job: Job, writer: Writer, usage: bool
) -> web.StreamResponse:
    update = await job.updates.get()
    if update.lost:
        return _abort(request) if job.started else _reply_not_started()
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": job.request_id}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    while update.finish_reason is None:
        await response.write(writer.build_event(update.text, None))
        update = await job.updates.get()
        if update.lost:
            _abort(request)
            return response
    await response.write(writer.build_event(update.text, update.finish_reason))
    if usage:
        await response.write(writer.build_usage_event(job.usage))
    await response.write(DONE)
    await response.write_eof()
    return response


def parse_settings(args: argparse.Namespace) -> Settings:
    """Build the engine's settings from its arguments."""
    values = {name: getattr(args, name) for name in Settings._fields}
    adapters = tuple(name for name in args.adapters.split(",") if name)
    return Settings(**{**values, "adapters": adapters})


def main() -> None:
    """Run the model engine."""
    parser = build_parser("model engine")
    parser.add_argument("--role", choices=sorted(PROFILES), default="mixed")
    parser.add_argument("--model", default="model")
    parser.add_argument("--version", default="1")
    parser.add_argument("--adapters", default="")
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--report-lag", type=float, default=1.0)
    parser.add_argument("--cache-tokens", type=int, default=65536)
    parser.add_argument("--role-change-seconds", type=float, default=3.0)
    parser.add_argument("--checks-fencing", type=parse_bool, default=True)
    args = parser.parse_args()
    app = Server(parse_settings(args)).build_app()
    serve(app, args.address, args.port, cancel_on_disconnect=True)


if __name__ == "__main__":
    main()
