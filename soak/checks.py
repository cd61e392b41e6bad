"""Check what is promised by what callers and hosts have seen."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import NamedTuple

from soak.const import (
    DENIED,
    EVENTS,
    GONE_SECONDS,
    NOT_RUN,
    ONCE,
    ORDER_SLACK_SECONDS,
    STREAMS,
)
from soak.wire import Answer
from standins.runs import RUN, Order, Run, digest, read_clock
from standins.staged import make_event


class Sent(NamedTuple):
    """Hold a request as its caller sent it."""

    id: str
    kind: str
    method: str
    path: str
    body: str
    """Digest of the body."""
    gateway: str
    at: float
    done: int = 0
    """Last event of the stream that the caller has."""


class Signed(NamedTuple):
    """Hold what a caller got as a host's own answer."""

    sent: Sent
    status: int
    signature: str
    body: str
    """Digest of the body; empty for a stream."""


@dataclass
class Trouble:
    """Keep from when to when what was disturbed."""

    spans: dict[str, list[list[float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @contextmanager
    def mark(self, *what: str, tail: float = 0.0) -> Iterator[None]:
        """Note trouble, and some time after it."""
        spans = [[read_clock(), float("inf")] for _ in what]
        for name, span in zip(what, spans, strict=True):
            self.spans[name].append(span)
        try:
            yield
        finally:
            for span in spans:
                span[1] = read_clock() + tail

    def touches(self, since: float, until: float, *what: str) -> bool:
        """Tell whether any of these was disturbed in that time."""
        spans = (span for name in what for span in self.spans.get(name, ()))
        return any(begin <= until and end >= since for begin, end in spans)


class Ledger:
    """Hold requests, runs and answers, and say where they don't fit."""

    def __init__(self, trouble: Trouble) -> None:
        self.findings: list[str] = []
        self.counts: Counter[str] = Counter()
        self.served: dict[tuple[str, str], float] = {}
        """Begin of the newest served request of each gateway and kind."""
        self.gone: dict[str, float] = {}
        """Time at which a host's entry was gone."""
        self._trouble = trouble
        self._sent: dict[str, Sent] = {}
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._promised: dict[str, int] = {}
        self._signed: list[Signed] = []
        self._fences: dict[str, int] = {}
        self._owners: dict[int, str] = {}

    def find(self, text: str) -> None:
        """Note a broken promise."""
        self.findings.append(text)
        print(f"FINDING {text}", flush=True)

    def send(self, sent: Sent) -> None:
        """Note that a request goes out."""
        self._sent[sent.id] = sent
        self.counts["sent"] += 1

    def end(self, sent: Sent, answer: Answer) -> None:
        """Note what has come of a request."""
        if answer.fault:
            self.find(f"{sent}: what came is no answer: {answer.fault}")
        self.counts[f"{sent.kind} {answer.status or 'broken'}"] += 1
        if answer.status:
            self._check_answer(sent, answer)

    def _check_answer(self, sent: Sent, answer: Answer) -> None:
        signature = answer.get("x-server-signature")
        is_stream = sent.kind in STREAMS and answer.status == 200
        if is_stream:
            self._check_events(sent, answer)
        if answer.status < 300 and not signature:
            self.find(f"{sent}: a success without signature")
        if not answer.is_whole:
            self.counts[f"{sent.kind} cut"] += 1
            return
        if signature:
            self._check_name(sent, answer)
            body = "" if is_stream else digest(bytes(answer.body))
            self._signed.append(Signed(sent, answer.status, signature, body))
        elif answer.status in DENIED:
            self.find(f"{sent}: denied with {answer.status} {bytes(answer.body)!r}")
        if answer.status in NOT_RUN and sent.kind in ONCE:
            self._promised[sent.id] = answer.status
            self._check_once(sent)
        if answer.status == 200:
            key = sent.gateway, sent.kind
            self.served[key] = max(sent.at, self.served.get(key, 0.0))

    def _check_name(self, sent: Sent, answer: Answer) -> None:
        names = answer.headers.get("x-request-id", [])
        if names not in ([], [sent.id]):
            self.find(f"{sent}: the answer names {names}")

    def _check_events(self, sent: Sent, answer: Answer) -> None:
        """Check that events begin behind the last one, and none is missing or twice."""
        numbers = range(sent.done + 1, EVENTS + 1)
        due = b"".join(make_event(sent.id, number) for number in numbers)
        came = bytes(answer.body)
        if not due.startswith(came):
            self.find(f"{sent}: not its events: {came!r}")
        elif answer.is_whole and came != due:
            self.find(f"{sent}: complete before its last event: {came[-80:]!r}")

    def take(self, records: Iterable[Run | Order]) -> None:
        """Take what hosts have noted since the last time."""
        for record in records:
            if isinstance(record, Order):
                self._take_order(record)
            else:
                self._take_run(record)

    def _take_run(self, run: Run) -> None:
        self.counts[run.kind] += 1
        sent = self._sent.get(run.id)
        if sent is None:
            self.find(f"{run}: no caller sent it")
            return
        if (run.method, run.path, run.body) != (sent.method, sent.path, sent.body):
            self.find(f"{run}: it was sent as {sent}")
        self._check_gone(run, sent)
        if run.kind == RUN:
            self._runs[run.id].append(run)
            self._check_once(sent)

    def _check_once(self, sent: Sent) -> None:
        runs = self._runs.get(sent.id, [])
        if sent.kind not in ONCE or not runs:
            return
        if len(runs) > 1:
            self.find(f"{sent}: ran {len(runs)} times: {runs}")
        if sent.id in self._promised:
            status = self._promised[sent.id]
            self.find(f"{sent}: answered {status}, and ran: {runs}")

    def _check_gone(self, run: Run, sent: Sent) -> None:
        gone = self.gone.get(run.host)
        if gone is None or run.at < gone + GONE_SECONDS:
            return
        what = "store", f"store:{sent.gateway}", sent.gateway, run.host
        if not self._trouble.touches(run.at - GONE_SECONDS, run.at, *what):
            late = run.at - gone
            self.find(f"{run}: {late:.1f} s after its host was gone: {sent}")

    def _take_order(self, order: Order) -> None:
        self.counts["orders"] += 1
        owner = self._owners.setdefault(order.fence, order.owner)
        if owner != order.owner:
            self.find(f"{order}: {owner} ordered under the same number")
        highest = self._fences.get(order.host, 0)
        self._fences[order.host] = max(highest, order.fence)
        if order.fence >= highest:
            return
        since = order.at - ORDER_SLACK_SECONDS
        if not self._trouble.touches(since, order.at, order.owner, order.host):
            self.find(f"{order}: {highest} was seen before")

    def take_signed(self) -> list[Signed]:
        """Give the answers that are to be compared with what hosts note from now on."""
        signed, self._signed = self._signed, []
        return signed

    def check_signed(self, signed: Iterable[Signed]) -> None:
        """Check that each answer is that of a run of its request.

        A run is noted before its answer goes out: what has none now never had one.
        """
        for one in signed:
            mine = (one.status, one.signature, one.body)
            runs = self._runs.get(one.sent.id, [])
            if mine not in [(run.status, run.signature, run.answer) for run in runs]:
                self.find(f"{one}: no run of that request gave it: {runs}")
