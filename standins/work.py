"""Run the batch of a stand-in engine and carry out its orders."""

import asyncio
import os
import secrets
import time
from collections import Counter, OrderedDict
from typing import Any, Final, Literal, NamedTuple, NotRequired, TypedDict

from standins.batch import Batch, LaggingLoad, PrefixCache, Sequence, hash_prefix
from standins.jobs import Job, Kv, Update, keep_kv

MIN_SLEEP_SECONDS: Final = 0.002
MAX_LAG_SECONDS: Final = 0.05
CHANGE_TIME_FACTORS: Final = {"role": 1.0, "model": 2.0, "adapter": 0.2}
"""Duration of each kind of change, as a multiple of a change of role."""


class Settings(NamedTuple):
    """Represent an engine's command-line settings."""

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
        """Cancel all requests with this id and return their number."""
        jobs = [job for job in self._jobs.values() if job.request_id == request_id]
        for job in jobs:
            self.drop(job)
            lost = not job.started
            job.updates.put_nowait(Update(finish_reason="cancelled", lost=lost))
        return len(jobs)

    def drop(self, job: Job) -> None:
        """Remove an unfinished request from the batch; its tokens count as wasted."""
        if job.ended:
            return
        self.totals["wasted_tokens"] += job.sequence.generated
        self._end(job)

    def find_kv(self, request_id: str) -> Kv | None:
        """Find the KV of a running request, or KV kept after a request's end."""
        for job in self._jobs.values():
            if job.request_id == request_id and job.started:
                return job.snapshot_kv()
        return self.kept_kv.get(request_id)

    def take_order(self, order: Order) -> tuple[int, dict[str, Any]]:
        """Start a change or reject it; return the status and body of the answer."""
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
        seconds = self.settings.role_change_seconds * CHANGE_TIME_FACTORS[order["kind"]]
        entry = {name: order.get(name) for name in ("order_id", "fencing", "kind")}
        self.orders.append({**entry, "role": order.get("role")})
        self.changing = order
        self.change_ends_at = time.monotonic() + seconds
        if order["kind"] != "adapter":
            self._drop_all_work()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds / 2, self._crash_if_set)
        loop.call_later(seconds, self._end_change)

    def _drop_all_work(self) -> None:
        for job in list(self._jobs.values()):
            self._end(job)
            self.totals["cut"] += job.started
            job.updates.put_nowait(Update(lost=True))
        self.cache.clear(time.monotonic())
        self.kept_kv.clear()
        self.imported.clear()

    def _crash_if_set(self) -> None:
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
            keep_kv(self.kept_kv, job.request_id, job.snapshot_kv())
        self._record_load()

    def _record_load(self) -> None:
        self.lagging_load.record(self._batch.load, time.monotonic())

    async def run(self) -> None:
        """Run the steps of the batch until cancelled."""
        due = time.monotonic()
        short_steps = 0
        while True:
            if not self._jobs:
                self._wake.clear()
                await self._wake.wait()
                due = time.monotonic()
            await self._wait_for_stall_end()
            self._start_jobs()
            step = self._batch.plan()
            due = max(due, time.monotonic() - MAX_LAG_SECONDS) + step.seconds
            # Steps shorter than the sleep's resolution run in groups. This keeps the
            # rates right and still yields to the event loop.
            delay = due - time.monotonic()
            short_steps = (
                0 if delay >= MIN_SLEEP_SECONDS or short_steps > 8 else short_steps + 1
            )
            if short_steps == 0:
                await asyncio.sleep(max(delay, MIN_SLEEP_SECONDS))
            self._push_tokens(self._batch.finish(step, time.monotonic()))

    async def _wait_for_stall_end(self) -> None:
        while (left := self.stalled_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    def _start_jobs(self) -> None:
        for sequence in self._batch.admit():
            job = self._jobs[sequence]
            job.started = True
            self.requests[job.request_id] += 1
        self._record_load()

    def _push_tokens(self, gained: list[Sequence]) -> None:
        for sequence in gained:
            job = self._jobs[sequence]
            job.push_token()
            if job.done:
                self.totals["completed"] += 1
                self._end(job)
