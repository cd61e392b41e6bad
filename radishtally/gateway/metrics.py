"""Metrics of a gateway."""

import time
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from radishtally.admission.queue import CallQueue
from radishtally.direct.answer_checks import AnswerMismatch, UnframedEnd
from radishtally.direct.core import Notice
from radishtally.gateway.endings import Ending
from radishtally.gateway.requests import RoutedRequest
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
"""Upper bounds in seconds; they cover the deployments' objectives of 0.15 to 0.85 s."""
ANSWERED: Final = "answered"
FAILED: Final = "failed"
REFUSED: Final = "refused"
BROKEN_OFF: Final = "broken_off"
"""Aborted after the caller had received part of the answer."""
CALLER_LEFT: Final = "caller_left"


class GatewayMetrics:
    """Hold the counters and histograms of one gateway."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
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
        self._refused_connections = Counter(
            "radishtally_refused_connections",
            "New connections closed unread because the gateway was overloaded",
            registry=self._registry,
        )
        self._offers = Counter(
            "radishtally_offers",
            "Offers to hosts by stage",
            ["stage"],
            registry=self._registry,
        )
        self._mismatches = Counter(
            "radishtally_doubted_answers",
            "Answers of hosts that may belong to another request",
            ["doubt"],
            registry=self._registry,
        )
        self._unframed = Counter(
            "radishtally_unframed_answers",
            "Answers that ended with their connection, by what that end was taken for",
            ["verdict"],
            registry=self._registry,
        )
        self._first_part_seconds = self._make_histogram(
            "first_part", "first part of the answer"
        )
        self._whole_seconds = self._make_histogram("whole", "end of the answer")
        self._open_requests = Gauge(
            "radishtally_open_requests", "Open requests", registry=self._registry
        )
        self._notices = Counter(
            "radishtally_host_notices",
            "Answers whose hosts say that they leave, ask for a pause or name a limit",
            ["notice"],
            registry=self._registry,
        )
        self._denied = Gauge(
            "radishtally_denied_requests",
            "Requests, by what they ask, that hosts have ended under in a row",
            registry=self._registry,
        )
        self._denied_parts = Gauge(
            "radishtally_denied_prompt_parts",
            "Prompt parts, or sets of them, that hosts have ended under in a row",
            registry=self._registry,
        )
        self._places = Gauge(
            "radishtally_places",
            "Calls that the plain hosts of an upstream take at a time",
            ["upstream"],
            registry=self._registry,
        )
        self._wanted_places = Gauge(
            "radishtally_wanted_places",
            "Open and waiting calls of an upstream at all gateways",
            ["upstream"],
            registry=self._registry,
        )
        self._waiting_calls = Gauge(
            "radishtally_waiting_calls",
            "Calls that wait for a place at this gateway, by rank and team",
            ["upstream", "rank", "team"],
            registry=self._registry,
        )
        self._report_age = Gauge(
            "radishtally_call_report_age_seconds",
            "Age of the oldest report of another gateway's calls that is in use",
            ["upstream"],
            registry=self._registry,
        )
        self._held_bytes = Gauge(
            "radishtally_held_bytes",
            "Bytes of bodies held for callers and hosts",
            registry=self._registry,
        )
        self._remembered_streams = Gauge(
            "radishtally_remembered_streams",
            "Streams that callers may still resume, with the version that began each",
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
        self._contained_errors = Counter(
            "radishtally_contained_errors",
            "Unexpected errors by what they were contained to",
            ["scope"],
            registry=self._registry,
        )
        self._restores = Counter(
            "radishtally_store_restores",
            "Times that the store came back from an older copy",
            registry=self._registry,
        )
        self._usage_reports = Counter(
            "radishtally_usage_reports",
            "Windows of usage by what became of their report",
            ["outcome"],
            registry=self._registry,
        )
        self._settings = Gauge(
            "radishtally_settings",
            "Mark of the settings in force, equal where gateways go by the same ones",
            ["mark"],
            registry=self._registry,
        )
        self._started: dict[str, tuple[float, str]] = {}
        """Start time and kind of each open request."""
        self._outcomes: dict[str, str] = {}

    def _make_histogram(self, name: str, what: str) -> Histogram:
        return Histogram(
            f"radishtally_{name}_seconds",
            f"Time to the {what}",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )

    def count_notice(self, notice: Notice) -> None:
        """Count an answer by the notices that it carries about its host."""
        if notice.is_leaving:
            self._notices.labels("leaving").inc()
        if notice.pause:
            self._notices.labels("pause").inc()
        if notice.limit:
            self._notices.labels("limit").inc()

    def count_refused_connection(self) -> None:
        """Count a new connection that was closed unread."""
        self._refused_connections.inc()

    def set_denied(self, count: int) -> None:
        """Set the number of denied requests, which are offered to no host."""
        self._denied.set(count)

    def set_denied_parts(self, count: int) -> None:
        """Set the number of denials of prompt parts."""
        self._denied_parts.set(count)

    def set_remembered_streams(self, count: int) -> None:
        """Set the number of streams whose origins are remembered."""
        self._remembered_streams.set(count)

    def set_queue(self, upstream: str, queue: CallQueue, now: float) -> None:
        """Set the state of an upstream's queue for places."""
        self._places.labels(upstream).set(queue.places)
        self._wanted_places.labels(upstream).set(queue.demand.total)
        self._report_age.labels(upstream).set(queue.demand.find_age(now))
        for (rank, team), count in queue.count_waiting().items():
            self._waiting_calls.labels(upstream, rank, team).set(count)

    def clear_queues(self) -> None:
        """Drop the ranks and teams that were waiting."""
        self._waiting_calls.clear()

    def set_held_bytes(self, count: int) -> None:
        """Set the bytes of bodies that are held."""
        self._held_bytes.set(count)

    def set_missing(self, count: int) -> None:
        """Set the number of hosts that are kept although their entry is missing."""
        self._missing.set(count)

    def set_unreadable(self, count: int) -> None:
        """Set the number of host entries that can't be decoded."""
        self._unreadable.set(count)

    def count_stall(self, stall: Stall) -> None:
        """Count a stall of the event loop."""
        self._stalls.inc()
        self._stalled.inc(stall.seconds)

    def count_contained_error(self, scope: str) -> None:
        """Count an unexpected error that was contained."""
        self._contained_errors.labels(scope).inc()

    def count_restore(self) -> None:
        """Count a restore of the store from an older backup."""
        self._restores.inc()

    def count_usage_report(self, outcome: str) -> None:
        """Count a window of usage by what became of its report."""
        self._usage_reports.labels(outcome).inc()

    def set_configuration(self, version: int) -> None:
        """Set the version of the current configuration."""
        self._configuration.set(version)

    def set_settings(self, mark: str) -> None:
        """Set the hash of the current settings."""
        self._settings.clear()
        self._settings.labels(mark).set(1)

    def record_opened(self, routed: RoutedRequest) -> None:
        """Record that a request was opened."""
        self._started[routed.work.request] = time.monotonic(), routed.work.kind
        self._open_requests.inc()

    def count_offer(self, stage: str) -> None:
        """Count an offer of a request to a host."""
        self._offers.labels(stage).inc()

    def count_mismatch(self, mismatch: AnswerMismatch) -> None:
        """Count an answer that may belong to a different request."""
        self._mismatches.labels(mismatch.name.lower()).inc()

    def count_unframed(self, verdict: UnframedEnd) -> None:
        """Count an answer that ended with its connection."""
        self._unframed.labels(verdict).inc()

    def observe_first_part(self, request: str) -> None:
        """Observe the time to the first part of an answer."""
        started_at, kind = self._started.get(request, (None, ""))
        if started_at is not None:
            self._first_part_seconds.labels(kind).observe(time.monotonic() - started_at)

    def record_outcome(self, request: str, outcome: str) -> None:
        """Record the outcome of a request."""
        self._outcomes[request] = outcome

    def count_refusal(self, code: str, ran: str) -> None:
        """Count a refusal by the gateway itself."""
        self._refusals.labels(code, ran).inc()

    def record_closed(self, request: str, ending: Ending) -> tuple[str, float]:
        """Record that a request was closed; return its outcome and duration."""
        started_at, kind = self._started.pop(request, (time.monotonic(), ""))
        outcome = self._outcomes.pop(request, CALLER_LEFT)
        seconds = time.monotonic() - started_at
        self._open_requests.dec()
        self._requests.labels(kind, outcome).inc()
        self._endings.labels(kind, ending, outcome).inc()
        if outcome == ANSWERED:
            self._whole_seconds.labels(kind).observe(seconds)
        return outcome, seconds

    def render(self) -> bytes:
        """Render all metrics in the text format."""
        return generate_latest(self._registry)
