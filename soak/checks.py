"""Check the guarantees by comparing the records of callers and hosts."""

import functools
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from soak.const import (
    AT_MOST_ONCE_KINDS,
    CRASHES_TO_KNOW,
    DEREGISTRATION_SECONDS,
    EVENTS,
    LIMIT_WINDOW_SECONDS,
    MAX_IN_LIMIT_WINDOW,
    MAX_LATE_RUNS,
    MAX_REJECTED_SHARE,
    MIN_JUDGED,
    NOT_EXECUTED_STATUSES,
    ORDER_SLACK_SECONDS,
    STABLE_SECONDS,
    STREAMING_KINDS,
    UNEXPECTED_STATUSES,
)
from soak.wire import Answer
from standins.runs import RUN, UNFRAMED, Order, Run, digest, read_clock
from standins.staged import make_event

EVENT_VERSION: Final = re.compile(rb"^data: [^@\n]*@(.*)\n", re.MULTILINE)
DENIED_CODE: Final = b'"ends_hosts"'
"""Contained in the answer to a request that hosts have terminated under."""
SUSPECT_SECONDS: Final = 5.0
"""Time after the last run with a bad part for which its companions are watched."""
CUT_VERSION: Final = re.compile(rb"@(.*)$")
"""Version in an event of which only a part was received."""


class SentRequest(NamedTuple):
    """Represent a request as its caller sent it."""

    id: str
    kind: str
    method: str
    path: str
    body: str
    """Digest of the body."""
    gateway: str
    at: float
    last_event: int = 0
    """Number of the last stream event that the caller received before; 0 for none."""
    first: str = ""
    """Request that brought the stream's first event, if the caller resumes it."""
    software: str = ""
    """Software version of the events that the caller received before."""
    bad_part: str = ""
    """Part of its prompt that crashes engines."""


class SignedAnswer(NamedTuple):
    """Represent an answer that carries a host's signature."""

    sent: SentRequest
    status: int
    signature: str
    body: str
    """Digest of the body; empty for a stream."""


def _count_from(times: list[float], since: float) -> int:
    """Count the times in the window that begins at one of them."""
    return sum(since <= at < since + LIMIT_WINDOW_SECONDS for at in times)


def find_versions(body: bytes) -> set[str]:
    """Return the software versions that a stream's events name."""
    return {version.decode() for version in EVENT_VERSION.findall(body)}


@dataclass
class Disturbances:
    """Record which components were disturbed, and when."""

    spans: dict[str, list[list[float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    @contextmanager
    def mark(self, *names: str, tail: float = 0.0) -> Iterator[None]:
        """Mark components as disturbed for the block and `tail` seconds after it."""
        spans = [[read_clock(), float("inf")] for _ in names]
        for name, span in zip(names, spans, strict=True):
            self.spans[name].append(span)
        try:
            yield
        finally:
            for span in spans:
                span[1] = read_clock() + tail

    def overlaps(self, since: float, until: float, *names: str) -> bool:
        """Tell whether any of these components was disturbed in that period."""
        spans = (span for name in names for span in self.spans.get(name, ()))
        return any(begin <= until and end >= since for begin, end in spans)


class Ledger:
    """Record requests, runs and answers, and report contradictions between them."""

    def __init__(self, disturbances: Disturbances) -> None:
        self.findings: list[str] = []
        self.counts: Counter[str] = Counter()
        self.served: dict[tuple[str, str], float] = {}
        """Send time of the newest request served, by gateway and kind."""
        self.removed_at: dict[str, float] = {}
        """Time at which each host's entry was removed, or said long before its end that
        it leaves."""
        self._disturbances = disturbances
        self._sent: dict[str, SentRequest] = {}
        self._runs: dict[str, list[Run]] = defaultdict(list)
        self._not_executed: dict[str, int] = {}
        self._signed: list[SignedAnswer] = []
        self._unframed: list[Run] = []
        """Runs of plain hosts that sent an answer without framing to its end."""
        self._received: dict[str, tuple[float, str]] = {}
        """Time and signature of each complete answer."""
        self._highest_fences: dict[str, int] = {}
        self._fence_owners: dict[int, str] = {}
        self._bad_runs: dict[str, list[Run]] = defaultdict(list)
        """Runs of prompts with a bad part, by that part."""
        self._reached: dict[str, list[tuple[float, str]]] = defaultdict(list)
        """Times of the requests that reached each host, and their gateways."""
        self._limits: list[tuple[str, float, float]] = []
        """Hosts that named a limit, and the periods in which it is judged."""
        self._streams: list[tuple[SentRequest, bool]] = []
        """Sound streams that were asked for, and whether they were denied."""

    def report_finding(self, text: str) -> None:
        """Report a broken guarantee."""
        self.findings.append(text)
        print(f"FINDING {text}", flush=True)

    def record_leaving(self, host: str) -> None:
        """Record that a host may get no new requests from a while later on."""
        self.removed_at.setdefault(host, read_clock())

    def record_request(self, sent: SentRequest) -> None:
        """Record that a caller sends a request."""
        self._sent[sent.id] = sent
        self.counts["sent"] += 1

    def record_answer(self, sent: SentRequest, answer: Answer) -> None:
        """Record and check the answer to a request."""
        if answer.protocol_error:
            self.report_finding(
                f"{sent}: no answer in valid HTTP: {answer.protocol_error}"
            )
        self.counts[f"{sent.kind} {answer.status or 'broken'}"] += 1
        if sent.first:
            self.counts[f"resumed {answer.status or 'broken'}"] += 1
        if answer.status:
            self._check_answer(sent, answer)
        if sent.kind in STREAMING_KINDS and not sent.bad_part:
            is_denied = DENIED_CODE in answer.body
            self._streams.append((sent, is_denied))
            self.counts["denied"] += is_denied

    def _check_answer(self, sent: SentRequest, answer: Answer) -> None:
        signature = answer.get_header("x-server-signature")
        is_stream = sent.kind in STREAMING_KINDS and answer.status == 200
        if is_stream:
            self._check_events(sent, answer)
        if answer.status < 300 and not signature:
            self.report_finding(f"{sent}: success without signature")
        if not answer.is_complete:
            self.counts[f"{sent.kind} cut"] += 1
            return
        self._received[sent.id] = read_clock(), signature
        if signature:
            self._check_request_id(sent, answer)
            body = "" if is_stream else digest(bytes(answer.body))
            self._signed.append(SignedAnswer(sent, answer.status, signature, body))
        elif answer.status in UNEXPECTED_STATUSES:
            self.report_finding(
                f"{sent}: denied with {answer.status} {bytes(answer.body)!r}"
            )
        if answer.status in NOT_EXECUTED_STATUSES and sent.kind in AT_MOST_ONCE_KINDS:
            self._not_executed[sent.id] = answer.status
            self._check_once(sent)
        if answer.status == 200:
            key = sent.gateway, sent.kind
            self.served[key] = max(sent.at, self.served.get(key, 0.0))

    def _check_request_id(self, sent: SentRequest, answer: Answer) -> None:
        names = answer.headers.get("x-request-id", [])
        if names not in ([], [sent.id]):
            self.report_finding(f"{sent}: the answer names {names}")

    def _check_events(self, sent: SentRequest, answer: Answer) -> None:
        """Check that events resume after the last one, without gaps or repeats.

        All events of a stream must be of one software version, over all tries.
        """
        received = bytes(answer.body)
        versions = {sent.software, *find_versions(received)} - {""}
        if len(versions) > 1:
            self.report_finding(f"{sent}: events of versions {sorted(versions)}")
            return
        cut = CUT_VERSION.search(received)
        software = "".join(versions) or (cut[1].decode() if cut else "")
        numbers = range(sent.last_event + 1, EVENTS + 1)
        expected = b"".join(make_event(sent.id, number, software) for number in numbers)
        if not expected.startswith(received):
            self.report_finding(f"{sent}: not its events: {received!r}")
        elif answer.is_complete and received != expected:
            self.report_finding(
                f"{sent}: complete before its last event: {received[-80:]!r}"
            )

    def add_records(self, records: Iterable[Run | Order]) -> None:
        """Add and check new records of the hosts."""
        for record in records:
            if isinstance(record, Order):
                self._check_order(record)
            else:
                self._check_run(record)

    def _check_run(self, run: Run) -> None:
        self.counts[run.kind] += 1
        sent = self._sent.get(run.id)
        if sent is None:
            self.report_finding(f"{run}: no caller sent it")
            return
        if (run.method, run.path, run.body) != (sent.method, sent.path, sent.body):
            self.report_finding(f"{run}: it was sent as {sent}")
        self._check_removed(run, sent)
        if run.kind != UNFRAMED:
            self._reached[run.host].append((run.at, sent.gateway))
        if run.kind == RUN:
            self._runs[run.id].append(run)
            if sent.bad_part:
                self._bad_runs[sent.bad_part].append(run)
            self._check_once(sent)
        elif run.kind == UNFRAMED:
            self._unframed.append(run)

    def _check_once(self, sent: SentRequest) -> None:
        runs = self._runs.get(sent.id, [])
        if sent.kind not in AT_MOST_ONCE_KINDS or not runs:
            return
        if len(runs) > 1:
            self.report_finding(f"{sent}: ran {len(runs)} times: {runs}")
        if sent.id in self._not_executed:
            status = self._not_executed[sent.id]
            self.report_finding(f"{sent}: answered {status}, and ran: {runs}")

    def _check_removed(self, run: Run, sent: SentRequest) -> None:
        removed_at = self.removed_at.get(run.host)
        if removed_at is None or run.at < removed_at + DEREGISTRATION_SECONDS:
            return
        names = "store", f"store:{sent.gateway}", sent.gateway, run.host
        if not self._disturbances.overlaps(
            run.at - DEREGISTRATION_SECONDS, run.at, *names
        ):
            delay = run.at - removed_at
            self.report_finding(f"{run}: {delay:.1f} s after its host was gone: {sent}")

    def _check_order(self, order: Order) -> None:
        self.counts["orders"] += 1
        owner = self._fence_owners.setdefault(order.fence, order.owner)
        if owner != order.owner:
            self.report_finding(
                f"{order}: {owner} ordered under the same fencing token"
            )
        highest = self._highest_fences.get(order.host, 0)
        self._highest_fences[order.host] = max(highest, order.fence)
        if order.fence >= highest:
            return
        since = order.at - ORDER_SLACK_SECONDS
        if not self._disturbances.overlaps(since, order.at, order.owner, order.host):
            self.report_finding(f"{order}: fencing token {highest} was seen before")

    def check_bad_parts(self) -> None:
        """Check that parts that crash engines are denied, and their companions not."""
        for part, runs in self._bad_runs.items():
            self._check_bad_part(part, sorted(runs, key=lambda run: run.at))

    def _check_bad_part(self, part: str, runs: list[Run]) -> None:
        crashes = sorted({run.host: run.at for run in reversed(runs)}.values())
        self.counts["bad parts"] += 1
        self.counts["crashes by them"] += len(crashes)
        known_at = crashes[:CRASHES_TO_KNOW][-1] + STABLE_SECONDS
        late = [
            run
            for run in runs
            if run.at > known_at and self._is_in_touch(self._sent[run.id], run.at)
        ]
        if len(crashes) >= CRASHES_TO_KNOW and len(late) > MAX_LATE_RUNS:
            self.report_finding(f"{part}: {len(late)} late runs, the first {late[0]}")
        judged = [
            is_denied
            for sent, is_denied in self._streams
            if known_at + STABLE_SECONDS < sent.at < runs[-1].at + SUSPECT_SECONDS
            and self._is_in_touch(sent, sent.at)
        ]
        if len(judged) >= MIN_JUDGED and sum(judged) > len(judged) / 2:
            self.report_finding(f"{part}: {sum(judged)} of {len(judged)} denied beside")

    def _is_in_touch(self, sent: SentRequest, at: float) -> bool:
        """Tell whether a request's gateway was undisturbed for long enough."""
        return not self._disturbances.overlaps(at - STABLE_SECONDS, at, sent.gateway)

    def record_limit(self, host: str, since: float, until: float) -> None:
        """Record that a host named its limit in all answers of a period."""
        self._limits.append((host, since + STABLE_SECONDS, until))

    def check_limits(self) -> None:
        """Check that hosts got no more than the limits they named."""
        for host, since, until in self._limits:
            times = [
                at
                for at, gateway in self._reached.get(host, ())
                if since <= at < until
                and not self._disturbances.overlaps(
                    at - STABLE_SECONDS, at, gateway, host
                )
            ]
            most = max(map(functools.partial(_count_from, times), times), default=0)
            self.counts["limits"] += 1
            self.counts["most in a limit"] = max(most, self.counts["most in a limit"])
            if most > MAX_IN_LIMIT_WINDOW:
                self.report_finding(
                    f"{host}: {most} requests within its limit's window"
                )

    def check_flood(self, gateway: str, since: float, closed: int) -> None:
        """Check that a flooded gateway turned connections away unread."""
        self.counts["closed unread"] += closed
        is_disturbed = self._disturbances.overlaps(since - 1.0, read_clock(), gateway)
        if not closed and not is_disturbed:
            self.report_finding(f"{gateway}: read all connections of a flood")

    def check_crowd(
        self, since: float, gateways: Sequence[str], taken: int, rejected: int
    ) -> None:
        """Check that gateways didn't send crowded hosts what those reject."""
        self.counts["crowd taken"] += taken
        self.counts["crowd rejected"] += rejected
        now, start = read_clock(), since - STABLE_SECONDS
        if any(self._disturbances.overlaps(start, now, name) for name in gateways):
            return
        self.counts["crowds judged"] += 1
        if rejected > MAX_REJECTED_SHARE * taken:
            self.report_finding(f"crowd: {rejected} calls rejected, {taken} taken")

    def count_given_up(self) -> None:
        """Count whole answers without framing in place of which callers got others.

        The gateway may give them up; host, gateway and their links were undisturbed.
        """
        given_up = [run for run in self._unframed if self._is_given_up(run)]
        self.counts["unframed given up"] = len(given_up)

    def _is_given_up(self, run: Run) -> bool:
        sent, received = self._sent.get(run.id), self._received.get(run.id)
        if sent is None or received is None or received[1] == run.signature:
            return False
        names = run.host, f"crash:{run.host}", sent.gateway, f"front:{sent.gateway}"
        return not self._disturbances.overlaps(run.at, received[0], *names)

    def pop_signed(self) -> list[SignedAnswer]:
        """Return and clear the signed answers to compare with the next host records."""
        signed, self._signed = self._signed, []
        return signed

    def check_signed(self, signed: Iterable[SignedAnswer]) -> None:
        """Check that each signed answer belongs to a run of its request.

        A host records a run before it sends the answer, so a missing record is final.
        """
        for answer in signed:
            claimed = (answer.status, answer.signature, answer.body)
            runs = self._runs.get(answer.sent.id, [])
            if claimed not in [(run.status, run.signature, run.answer) for run in runs]:
                self.report_finding(f"{answer}: no run of that request gave it: {runs}")
