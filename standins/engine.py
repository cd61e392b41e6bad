"""Stand-in for a model engine: OpenAI HTTP with the usual extensions."""

import argparse
import asyncio
import os
import secrets
import time
from collections import Counter, OrderedDict
from typing import Any, Final, Literal, NamedTuple, NotRequired, TypedDict

import msgspec
from aiohttp import web

from standins.batch import (
    PROFILES,
    Batch,
    LaggingLoad,
    PrefixCache,
    Sequence,
    decode_seconds,
    hash_blocks,
    hash_prefix,
    prefill_rate,
)
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
    DEFAULT_MAX_TOKENS,
    DONE,
    Body,
    ChatBody,
    CompletionBody,
    Prompt,
    Usage,
    Writer,
    build_token,
    digest_seed,
    read_chat,
    read_completion,
)

MIN_SLEEP: Final = 0.002
MAX_BEHIND: Final = 0.05
KEPT_KV: Final = 256
KV_BYTES_PER_TOKEN: Final = 64
CRASH_DELAY: Final = 0.01
# How long a load takes, as a multiple of a change of role.
LOAD_FACTORS: Final = {"role": 1.0, "model": 2.0, "adapter": 0.2}


class Settings(NamedTuple):
    """Hold what the command line gives an engine."""

    role: str
    model: str
    version: str
    adapters: tuple[str, ...]
    speed: float
    report_lag: float
    cache_tokens: int
    role_change_seconds: float
    checks_fencing: bool


class Order(TypedDict):
    """Order a change of role, or a load of a model or an adapter."""

    order_id: str
    fencing: int
    kind: Literal["role", "model", "adapter"]
    role: NotRequired[Literal["mixed", "prefill", "decode"] | None]
    model: NotRequired[str | None]
    version: NotRequired[str | None]
    adapter: NotRequired[str | None]


class Fault(TypedDict):
    """Describe the fault that the engine shows."""

    crash_in_change: NotRequired[bool]
    stall: NotRequired[float]
    crash: NotRequired[bool]


class Export(TypedDict):
    """Name the request whose KV is wanted."""

    request_id: str


class Kv(NamedTuple):
    """Stand for the KV of a prefix."""

    digest: str
    tokens: int


class Update(NamedTuple):
    """Tell a request's handler of a new token or of the end."""

    text: str = ""
    finish_reason: str | None = None
    lost: bool = False


class Job:
    """Tie a request to its sequence in the batch."""

    def __init__(self, request_id: str, body: Body, prompt: Prompt) -> None:
        self.request_id = request_id
        self.model = body["model"]
        self.prompt = prompt
        self.digest = digest_seed(prompt.seed)
        self.keeps_kv = (body.get("kv_transfer_params") or {}).get("export", False)
        self.updates: asyncio.Queue[Update] = asyncio.Queue()
        self.ended = False
        self.started = False
        max_tokens = body.get("max_tokens") or DEFAULT_MAX_TOKENS
        left = max(0, body.get("stop_after", max_tokens + prompt.start) - prompt.start)
        self.natural_end = "stop_after" in body and left <= max_tokens
        prefixes = hash_blocks(self.model, prompt.words)
        self.sequence = Sequence(
            prefixes, len(prompt.words), min(max_tokens, left), body.get("priority", 0)
        )

    @property
    def usage(self) -> Usage:
        """Count the tokens so far."""
        sequence = self.sequence
        return Usage(sequence.prompt_tokens, sequence.generated, sequence.cached_tokens)

    @property
    def done(self) -> bool:
        """Tell whether the last token is there."""
        return self.sequence.generated == self.sequence.max_tokens

    def push_token(self) -> None:
        """Hand the newest token to the handler."""
        index = self.prompt.start + self.sequence.generated - 1
        reason = ("stop" if self.natural_end else "length") if self.done else None
        self.updates.put_nowait(Update(build_token(self.digest, index), reason))

    def snapshot_kv(self) -> Kv:
        """Describe the KV that the engine holds for this request."""
        start, generated = self.prompt.start, self.sequence.generated
        made = [build_token(self.digest, start + i).strip() for i in range(generated)]
        prompt_end = self.sequence.kv_tokens - generated
        words = self.prompt.words[:prompt_end] + made
        return Kv(hash_prefix(self.model, words), len(words))


class Engine:
    """Run the batch and carry out orders."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.role = settings.role
        self.model, self.version = settings.model, settings.version
        self.adapters = list(settings.adapters)
        self.fencing = 0
        self.cache = PrefixCache(settings.cache_tokens)
        self.lagging_load = LaggingLoad(settings.report_lag)
        self.kept_kv: OrderedDict[str, Kv] = OrderedDict()
        self.imported: OrderedDict[str, Kv] = OrderedDict()
        self.crash_in_change = False
        self.stalled_until = 0.0
        self.changing: Order | None = None
        self.change_ends_at = 0.0
        self.requests: Counter[str] = Counter()
        self.orders: list[dict[str, Any]] = []
        self.totals = dict.fromkeys(
            ("completed", "wasted_tokens", "conflicts", "cut"), 0
        )
        self._carried_out: set[str] = set()
        self._batch = Batch(self.role, settings.speed, self.cache)
        self._jobs: dict[Sequence, Job] = {}
        self._wake = asyncio.Event()

    def submit(self, job: Job, handle: str | None) -> None:
        """Queue a request."""
        kv = self.imported.get(handle or "")
        words = job.prompt.words
        if kv and kv.digest == hash_prefix(job.model, words[: kv.tokens]):
            job.sequence.imported_tokens = kv.tokens
        self._jobs[job.sequence] = job
        self._batch.submit(job.sequence)
        self._record_load()
        self._wake.set()

    def cancel(self, request_id: str) -> int:
        """End all work under a request id."""
        jobs = [job for job in self._jobs.values() if job.request_id == request_id]
        for job in jobs:
            self.drop(job)
            lost = not job.started
            job.updates.put_nowait(Update(finish_reason="cancelled", lost=lost))
        return len(jobs)

    def drop(self, job: Job) -> None:
        """Take a request that nobody waits for out of the batch."""
        if job.ended:
            return
        self.totals["wasted_tokens"] += job.sequence.generated
        self._end(job)

    def find_kv(self, request_id: str) -> Kv | None:
        """Find the KV of a running request or of one kept after its end."""
        for job in self._jobs.values():
            if job.request_id == request_id and job.started:
                return job.snapshot_kv()
        return self.kept_kv.get(request_id)

    def take_order(self, order: Order) -> tuple[int, dict[str, Any]]:
        """Start a change, or say why not."""
        running = self.changing and self.changing["order_id"]
        if order["order_id"] in self._carried_out:
            return 200, {"order_id": order["order_id"]}
        if running == order["order_id"]:
            return 202, {"order_id": running}
        if self.settings.checks_fencing:
            if order["fencing"] < self.fencing:
                return 409, {"error": "stale fencing", "highest": self.fencing}
            self.fencing = order["fencing"]
        if running:
            self.totals["conflicts"] += 1
            return 423, {"error": "changing", "order_id": running}
        self._start_change(order)
        return 202, {"order_id": order["order_id"]}

    def _start_change(self, order: Order) -> None:
        seconds = self.settings.role_change_seconds * LOAD_FACTORS[order["kind"]]
        entry = {name: order.get(name) for name in ("order_id", "fencing", "kind")}
        self.orders.append({**entry, "role": order.get("role")})
        self.changing = order
        self.change_ends_at = time.monotonic() + seconds
        if order["kind"] != "adapter":
            self._lose_work()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds / 2, self._pass_middle)
        loop.call_later(seconds, self._end_change)

    def _lose_work(self) -> None:
        for job in list(self._jobs.values()):
            self._end(job)
            self.totals["cut"] += job.started
            job.updates.put_nowait(Update(lost=True))
        self.cache.clear(time.monotonic())
        self.kept_kv.clear()
        self.imported.clear()

    def _pass_middle(self) -> None:
        if self.crash_in_change:
            os._exit(1)

    def _end_change(self) -> None:
        order = self.changing
        assert order is not None
        match order["kind"]:
            case "role":
                self.role = order["role"] or self.role
            case "model":
                self.model = order["model"] or self.model
                self.version = order.get("version") or self.version
                self.adapters = []
            case "adapter":
                self.adapters = sorted({*self.adapters, order["adapter"] or ""})
        if order["kind"] != "adapter":
            self._batch = Batch(self.role, self.settings.speed, self.cache)
        self._carried_out.add(order["order_id"])
        self.changing = None

    def _end(self, job: Job) -> None:
        job.ended = True
        self._batch.remove(job.sequence)
        self._jobs.pop(job.sequence, None)
        if job.keeps_kv and job.started:
            keep(self.kept_kv, job.request_id, job.snapshot_kv())
        self._record_load()

    def _record_load(self) -> None:
        self.lagging_load.record(self._batch.load, time.monotonic())

    async def run(self) -> None:
        """Step through the batch for ever."""
        due = time.monotonic()
        short_steps = 0
        while True:
            if not self._jobs:
                self._wake.clear()
                await self._wake.wait()
                due = time.monotonic()
            await self._wait_out_stall()
            self._start_jobs()
            step = self._batch.plan()
            due = max(due, time.monotonic() - MAX_BEHIND) + step.seconds
            # Steps shorter than a sleep's grain are run in groups, so that the
            # rates hold and the loop still gives way.
            delay = due - time.monotonic()
            short_steps = (
                0 if delay >= MIN_SLEEP or short_steps > 8 else short_steps + 1
            )
            if short_steps == 0:
                await asyncio.sleep(max(delay, MIN_SLEEP))
            self._deliver(self._batch.finish(step, time.monotonic()))

    async def _wait_out_stall(self) -> None:
        while (left := self.stalled_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    def _start_jobs(self) -> None:
        for sequence in self._batch.admit():
            job = self._jobs[sequence]
            job.started = True
            self.requests[job.request_id] += 1
        self._record_load()

    def _deliver(self, gained: list[Sequence]) -> None:
        for sequence in gained:
            job = self._jobs[sequence]
            job.push_token()
            if job.done:
                self.totals["completed"] += 1
                self._end(job)


def keep(store: OrderedDict[str, Kv], name: str, kv: Kv) -> None:
    """Remember a KV and forget the oldest beyond the limit."""
    store[name] = kv
    if len(store) > KEPT_KV:
        store.popitem(last=False)


class Server:
    """Answer the engine's HTTP calls."""

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
        task.add_done_callback(_stop_on_error)
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
            return _refuse()
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
        keep(self._exports, handle, kv)
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
        keep(self._engine.imported, handle, kv)
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
            asyncio.get_running_loop().call_later(CRASH_DELAY, os._exit, 1)
        return reply_json({})

    async def _report_counts(self, request: web.Request) -> web.Response:
        engine = self._engine
        counts = {"requests": engine.requests, "orders": engine.orders}
        return reply_json({**counts, **engine.totals})


def _stop_on_error(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    asyncio.get_running_loop().call_exception_handler(
        {"message": "engine loop failed", "exception": task.exception()}
    )
    os._exit(2)


def _encode_kv(kv: Kv) -> bytes:
    return msgspec.json.encode(kv).ljust(kv.tokens * KV_BYTES_PER_TOKEN, b"\0")


def _refuse() -> web.Response:
    return reply_json({"error": {"code": "not_started"}}, status=503)


def _break(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _collect(request: web.Request, job: Job, writer: Writer) -> web.Response:
    text = ""
    update = Update()
    while update.finish_reason is None:
        update = await job.updates.get()
        if update.lost:
            return _break(request) if job.started else _refuse()
        text += update.text
    body = writer.build_answer(text, update.finish_reason, job.usage)
    headers = {"X-Request-Id": job.request_id}
    return web.Response(body=body, headers=headers, content_type="application/json")


async def _stream(
    request: web.Request, job: Job, writer: Writer, usage: bool
) -> web.StreamResponse:
    update = await job.updates.get()
    if update.lost:
        return _break(request) if job.started else _refuse()
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": job.request_id}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    while update.finish_reason is None:
        await response.write(writer.build_event(update.text, None))
        update = await job.updates.get()
        if update.lost:
            _break(request)
            return response
    await response.write(writer.build_event(update.text, update.finish_reason))
    if usage:
        await response.write(writer.build_usage_event(job.usage))
    await response.write(DONE)
    await response.write_eof()
    return response


def parse_settings(args: argparse.Namespace) -> Settings:
    """Take the engine's settings from its arguments."""
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
