"""Queue of a gateway's calls to the plain hosts of one upstream."""

from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import Final, NamedTuple

from radishtally.admission.demand import UpstreamDemand, hash_team
from radishtally.admission.durations import CallDurations
from radishtally.admission.returns import ReturnPlan
from radishtally.admission.split import Split, WorkClass, split_places
from radishtally.limits.fair_order import PriorityLevel, QueueEntry
from radishtally.limits.work import Job

IDLE_SHARE: Final = 0.5
"""Share of the places up to which calls begin whatever the peers want."""
RETURN_SHARE: Final = 1 / 3
"""Share of its time for which a refused caller waits at most before it returns."""
FRESH_SHARE: Final = 0.5
"""Share of a call's time that a report may be old if the calls in it are still open."""
WAIT_MARGIN: Final = 0.25
"""Share by which the actual wait may exceed the predicted one."""
SPLIT_SECONDS: Final = 0.01
"""Time for which a computed split is used."""
MIN_DRAW_SECONDS: Final = 0.02
MIN_PART: Final = 0.01
"""Places, as the smallest part from which a wait is predicted."""
MAX_WAIT_SECONDS: Final = 60.0
MIN_CHARGE_SECONDS: Final = 0.001
CROWDED_SECONDS: Final = 0.5
"""Time for which new calls must be late until a long queue counts as lasting."""


class TimeLimits(NamedTuple):
    """Hold until when a call must be answered."""

    deadline: float
    """Time at which the gateway gives up."""
    caller_deadline: float
    """Time at which the caller gives up, the same in all of its attempts."""
    objective: float = float("inf")
    """Time until which an answer is on time."""
    has_returned: bool = False
    """Whether the caller was refused before and has come back when it was due."""


class Forecast(NamedTuple):
    """Describe the wait that a call would have."""

    ahead: int
    """Calls of its rank that would go first."""
    wait: float
    """Seconds until it would begin."""
    is_in_time: bool


class CallQueue:
    """Hold calls until this gateway may use a place for them.

    While all gateways together want no more places than there are, each call begins at
    once. Beyond that, each gateway uses its own part of the places.
    """

    def __init__(self, random: Random) -> None:
        self.places = 0.0
        """Calls that the upstream's hosts take at a time."""
        self.report_seconds = 0.0
        """Longest time until peers learn of a call."""
        self.demand = UpstreamDemand()
        self.durations = CallDurations()
        self._random = random
        self._levels: dict[int, PriorityLevel] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._arrivals = 0
        self._begun: Counter[int] = Counter()
        """Open calls by rank."""
        self._returns = ReturnPlan()
        self._crowded_since: float | None = None
        """Time since which no new call would have been answered on time."""
        self._split = Split({}, {}, frozenset())
        self._split_at = float("-inf")
        self._draw = 0.0
        """Added to this gateway's part, so that fractions of a place count at times."""
        self._drawn_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    def __contains__(self, request: str) -> bool:
        """Return whether a request is waiting."""
        return request in self._entries

    def count_waiting(self) -> Counter[tuple[int, str]]:
        """Return the number of waiting calls by rank and team."""
        jobs = (entry.job for entry in self._entries.values())
        return Counter((job.priority, job.team) for job in jobs)

    @property
    def is_contended(self) -> bool:
        """Return whether the gateways want more places than there are."""
        return self.demand.total > self.places

    def count_unseen(self) -> float:
        """Estimate how many calls the peers begin before their next reports."""
        ended_per_second = self.demand.count_open_at_peers() / self.durations.mean
        return ended_per_second * self.report_seconds

    @property
    def next_check(self) -> float:
        """Return when waiting calls may begin without any other event."""
        return self._drawn_at + self._draw_seconds if self._entries else float("inf")

    def forecast(self, job: Job, limits: TimeLimits, now: float) -> Forecast:
        """Predict the wait of a new call, which counts in the demand already."""
        self.demand.expire(now)
        if not self._entries and self._has_place(now):
            return Forecast(0, 0.0, True)
        interval = self._find_interval(job.priority, now)
        ahead, wait = self._predict_wait(job, limits, now)
        seconds = self.durations.mean
        longest = (limits.deadline - now - seconds) / (1.0 + WAIT_MARGIN)
        # A caller that has returned may not do so again.
        if limits.has_returned:
            self._returns.record_return()
            return Forecast(ahead, wait, wait <= longest)
        # Callers that are expected back go first.
        work = classify(job)
        expected = self._returns.count_expected(work, now + wait, now)
        wait = min(MAX_WAIT_SECONDS, wait + expected * interval)
        # A caller that is refused returns within that time, and then goes first.
        longest = min(longest, find_latest_return(limits, now) - now)
        on_time = limits.objective - now - seconds
        if self._is_crowded(wait > on_time, now):
            longest = min(longest, max(on_time, interval))
        return Forecast(ahead, wait, wait <= longest)

    def _predict_wait(
        self, job: Job, limits: TimeLimits, now: float
    ) -> tuple[int, float]:
        """Return how many calls go before a new one, and its wait in seconds."""
        entry = self._make_entry(job, limits, now)
        level = self._levels.get(job.priority)
        ahead = [] if level is None else level.list_ahead(entry)
        wait = (len(ahead) + 1) * self._find_interval(job.priority, now)
        work = classify(job)
        part = self._find_split(now).by_class.get(work, 0.0)
        if self.demand.count_own(work) > part:
            # While a team waits for its own calls, those of other teams arrive.
            own_ahead = sum(item.job.team == job.team for item in ahead)
            seconds = self.durations.mean / max(MIN_PART, part)
            wait = max(wait, (own_ahead + 1) * seconds)
        return len(ahead), min(MAX_WAIT_SECONDS, wait)

    def plan_return(self, job: Job, limits: TimeLimits, now: float) -> float:
        """Return the time at which a refused caller may return."""
        work = classify(job)
        part = max(MIN_PART, self._find_split(now).by_class.get(work, 0.0))
        interval = self.durations.mean / part
        latest = find_latest_return(limits, now)
        return self._returns.plan(work, interval, latest, now)

    def add(self, job: Job, limits: TimeLimits, now: float) -> None:
        """Queue a call."""
        self._arrivals += 1
        entry = self._make_entry(job, limits, now)
        self._levels.setdefault(job.priority, PriorityLevel()).add(entry)
        self._entries[job.request] = entry

    def remove(self, request: str) -> bool:
        """Remove a call that is given up; return whether it was waiting."""
        entry = self._entries.pop(request, None)
        if entry is None:
            return False
        self._levels[entry.job.priority].remove(entry)
        return True

    def pop_next(self, now: float) -> Job | None:
        """Remove and return the call to begin now, if there is one."""
        if not self._entries:
            return None
        self.demand.expire(now)
        self._redraw(now)
        return self.pop_any(now) if self._has_place(now) else None

    def pop_any(self, now: float) -> Job | None:
        """Remove and return the next call, whether or not there is a place for it."""
        if not self._entries:
            return None
        job = self._levels[self._choose_rank(now)].pop_next().job
        del self._entries[job.request]
        if not self._entries and not self.is_contended:
            # What teams have used up counts only while others wait.
            self._levels.clear()
        return job

    def list_late(self, now: float) -> Iterator[Job]:
        """Yield the waiting calls that can't be answered in time any more."""
        seconds = self.durations.mean
        for rank, level in self._levels.items():
            interval = self._find_interval(rank, now)
            wait = interval
            for entry in level.list_in_order():
                if now + wait + seconds > entry.job.deadline:
                    yield entry.job
                else:
                    wait += interval

    def begin(self, rank: int) -> None:
        """Record that a call of this gateway has begun."""
        self._begun[rank] += 1

    def end(self, rank: int) -> None:
        """Record that a call of this gateway has ended."""
        self._begun[rank] -= 1

    def _has_place(self, now: float) -> bool:
        """Return whether this gateway may begin a call."""
        if not self.is_contended:
            return True
        begun = self._begun.total()
        open_calls = begun + self.demand.count_open_at_peers()
        if open_calls < IDLE_SHARE * self.places:
            return True
        is_fresh = self.report_seconds <= FRESH_SHARE * self.durations.mean
        if is_fresh and open_calls >= self.places:
            return False
        return begun < int(self._find_split(now).total + self._draw)

    def _is_crowded(self, is_late: bool, now: float) -> bool:
        """Return whether new calls have been late for long.

        A short burst is served late rather than refused. Under lasting overload a long
        queue would make all answers late, and serve no more of them.
        """
        if is_late and self._crowded_since is None:
            self._crowded_since = now
        if not is_late and not self._entries:
            self._crowded_since = None
        since = self._crowded_since
        return since is not None and now >= since + CROWDED_SECONDS

    def _choose_rank(self, now: float) -> int:
        """Return the most urgent waiting rank that has not used up its part."""
        ranks = sorted(rank for rank, level in self._levels.items() if level.flows)
        parts = self._find_split(now).by_rank
        below = (
            rank
            for rank in ranks
            if self._begun[rank] < int(parts.get(rank, 0.0) + self._draw)
        )
        return next(below, ranks[0])

    def _find_interval(self, rank: int, now: float) -> float:
        """Return the seconds between two calls of a rank that begin here."""
        split = self._find_split(now)
        # A rank whose wants are met takes any place of this gateway that frees.
        part = split.total if rank in split.met else split.by_rank.get(rank, 0.0)
        return self.durations.mean / max(MIN_PART, part)

    @property
    def _draw_seconds(self) -> float:
        return max(MIN_DRAW_SECONDS, self.durations.mean)

    def _redraw(self, now: float) -> None:
        if now >= self._drawn_at + self._draw_seconds:
            self._draw, self._drawn_at = self._random.random(), now

    def _find_split(self, now: float) -> Split:
        if now >= self._split_at + SPLIT_SECONDS:
            self._split = split_places(self.places, self.demand.list_wanted())
            self._split_at = now
        return self._split

    def _make_entry(self, job: Job, limits: TimeLimits, now: float) -> QueueEntry:
        work = classify(job)
        seconds = max(MIN_CHARGE_SECONDS, self.durations.find(work))
        if not self._find_split(now).by_class.get(work):
            # The split was computed before this call arrived.
            self._split_at = float("-inf")
        weight = max(MIN_PART, self._find_split(now).by_class.get(work, 0.0))
        latest_start = limits.caller_deadline - seconds
        return QueueEntry(latest_start, self._arrivals, job, seconds / weight)


def find_latest_return(limits: TimeLimits, now: float) -> float:
    """Return the time until which a refused caller waits, whatever it is told."""
    return now + RETURN_SHARE * (limits.caller_deadline - now)


def classify(job: Job) -> WorkClass:
    """Return the class of a job."""
    return WorkClass(job.priority, hash_team(job.team))
