"""Count what a gateway does, for the metrics address."""

import time
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from radishtally.direct.answer_checks import AnswerMismatch
from radishtally.direct.core import Notice
from radishtally.gateway.endings import Ending
from radishtally.gateway.requests import Routed
from radishtally.stalls import Stall

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
LATENCY_BUCKETS: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)
"""Bounds in seconds; the deployments' objectives, 0.15 to 0.85 s, lie between them."""
ANSWERED: Final = "answered"
FAILED: Final = "failed"
REFUSED: Final = "refused"
BROKEN_OFF: Final = "broken_off"
"""Given up when its caller had a part of the answer already."""
LEFT: Final = "caller_left"


class GatewayMetrics:
    """Hold the counters and histograms of one gateway."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._ended = Counter(
            "radishtally_requests",
            "Requests by kind of route and by how they ended",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self._endings = Counter(
            "radishtally_answer_endings",
            "Answers by kind of route, end as the caller sees it, and outcome",
            ["kind", "ending", "outcome"],
            registry=self._registry,
        )
        self._refusals = Counter(
            "radishtally_refusals",
            "Answers of the gateway's own by code",
            ["code", "ran"],
            registry=self._registry,
        )
        self._offers = Counter(
            "radishtally_offers",
            "Offers to hosts by stage",
            ["stage"],
            registry=self._registry,
        )
        self._doubts = Counter(
            "radishtally_doubted_answers",
            "Answers of hosts that may belong to another request",
            ["doubt"],
            registry=self._registry,
        )
        self._first = self._make_histogram("first_part", "first part of the answer")
        self._whole = self._make_histogram("whole", "end of the answer")
        self._open = Gauge(
            "radishtally_open_requests", "Open requests", registry=self._registry
        )
        self._notices = Counter(
            "radishtally_host_notices",
            "Answers whose hosts say that they leave, or ask for a pause",
            ["notice"],
            registry=self._registry,
        )
        self._denied = Gauge(
            "radishtally_denied_requests",
            "Requests, by what they ask, that hosts have ended under in a row",
            registry=self._registry,
        )
        self._missing = Gauge(
            "radishtally_missing_hosts",
            "Hosts that the list lacks and that get work all the same for a while",
            registry=self._registry,
        )
        self._unreadable = Gauge(
            "radishtally_unreadable_entries",
            "Entries of the list that can't be read and name no host",
            registry=self._registry,
        )
        self._configuration = Gauge(
            "radishtally_configuration_version",
            "Version of the configuration in force, 0 before the first one",
            registry=self._registry,
        )
        self._stalls = Counter(
            "radishtally_stalls",
            "Times in which the process was not run, or kept its loop busy",
            registry=self._registry,
        )
        self._stalled = Counter(
            "radishtally_stalled_seconds",
            "Seconds of these times",
            registry=self._registry,
        )
        self._restores = Counter(
            "radishtally_store_restores",
            "Times that the store came back from an older copy",
            registry=self._registry,
        )
        self._settings = Gauge(
            "radishtally_settings",
            "Mark of the settings in force, equal where gateways go by the same ones",
            ["mark"],
            registry=self._registry,
        )
        self._started: dict[str, tuple[float, str]] = {}
        """Time at which an open request came, and its kind."""
        self._outcomes: dict[str, str] = {}

    def _make_histogram(self, name: str, what: str) -> Histogram:
        return Histogram(
            f"radishtally_{name}_seconds",
            f"Time to the {what}",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )

    def noticed(self, notice: Notice) -> None:
        """Count an answer by what it says of its host."""
        if notice.is_leaving:
            self._notices.labels("leaving").inc()
        if notice.pause:
            self._notices.labels("pause").inc()

    def set_denied(self, count: int) -> None:
        """Take how many requests are offered to no host."""
        self._denied.set(count)

    def set_missing(self, count: int) -> None:
        """Take how many hosts are kept that the list lacks."""
        self._missing.set(count)

    def set_unreadable(self, count: int) -> None:
        """Take how many entries of the list can't be read."""
        self._unreadable.set(count)

    def note_stall(self, stall: Stall) -> None:
        """Count a time in which the loop did not run."""
        self._stalls.inc()
        self._stalled.inc(stall.seconds)

    def note_restore(self) -> None:
        """Count that the store came back from an older copy."""
        self._restores.inc()

    def set_configuration(self, version: int) -> None:
        """Take which configuration is in force."""
        self._configuration.set(version)

    def set_settings(self, mark: str) -> None:
        """Take the mark of the settings in force."""
        self._settings.clear()
        self._settings.labels(mark).set(1)

    def opened(self, routed: Routed) -> None:
        """Count a request that came in."""
        self._started[routed.work.request] = time.monotonic(), routed.work.kind
        self._open.inc()

    def offered(self, stage: str) -> None:
        """Count an offer."""
        self._offers.labels(stage).inc()

    def doubted(self, doubt: AnswerMismatch) -> None:
        """Count an answer that may belong to another request."""
        self._doubts.labels(doubt.name.lower()).inc()

    def begun(self, request: str) -> None:
        """Time the first part of an answer."""
        began, kind = self._started.get(request, (None, ""))
        if began is not None:
            self._first.labels(kind).observe(time.monotonic() - began)

    def ended(self, request: str, outcome: str) -> None:
        """Note how a request ended."""
        self._outcomes[request] = outcome

    def refused(self, code: str, ran: str) -> None:
        """Count an answer of the gateway's own."""
        self._refusals.labels(code, ran).inc()

    def closed(self, request: str, ending: Ending) -> tuple[str, float]:
        """Count a request that is over; give its outcome and how long it took."""
        began, kind = self._started.pop(request, (time.monotonic(), ""))
        outcome = self._outcomes.pop(request, LEFT)
        seconds = time.monotonic() - began
        self._open.dec()
        self._ended.labels(kind, outcome).inc()
        self._endings.labels(kind, ending, outcome).inc()
        if outcome == ANSWERED:
            self._whole.labels(kind).observe(seconds)
        return outcome, seconds

    def render(self) -> bytes:
        """Give all figures in the text format."""
        return generate_latest(self._registry)
