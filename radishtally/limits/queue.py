"""Admission queue of one upstream."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from radishtally.limits.fair_order import PriorityLevel, QueueEntry
from radishtally.limits.pace import AdmittedJob, DecodePace, OvertakeEstimator
from radishtally.limits.timeline import Rates, Running, Timeline
from radishtally.limits.work import Job
from radishtally.outcome import Error, Ok, Result

__all__ = ["Job", "Rejection", "Rates", "Running", "WorkQueue"]

NORMAL_PRIORITY: Final = 0
MAX_LENGTH: Final = 256
MAX_TEAM_LENGTH: Final = 128
MIN_CHARGE_SECONDS: Final = 0.001
MIN_SHARE: Final = 0.001
MIN_RETRY_SECONDS: Final = 0.05
MAX_RETRY_SECONDS: Final = 5.0
WAIT_MARGIN: Final = 0.25
"""Share by which the actual wait may exceed the predicted one."""
LATENESS_GRACE: Final = 0.1
"""Predicted lateness, as a share of a job's total time, up to which it stays queued."""


class Reason:
    """Reasons for rejecting a job."""

    DEADLINE: Final = "deadline can't be met"
    FULL: Final = "queue full"
    TEAM_FULL: Final = "queue of the team full"
    NO_SLOTS: Final = "upstream takes no requests"


class Rejection(NamedTuple):
    """Describe why a job was rejected and when to retry."""

    reason: str
    retry_after: float
    """Seconds."""


class WorkQueue:
    """Admit jobs that can meet their deadline and choose the one to start next."""

    def __init__(
        self, length: int = MAX_LENGTH, team_length: int = MAX_TEAM_LENGTH
    ) -> None:
        self._length = length
        self._team_length = team_length
        self._levels: dict[int, PriorityLevel] = {}
        self._entries: dict[tuple[str, int], QueueEntry] = {}
        self._team_counts: dict[str, int] = {}
        self._prompt_tokens = 0
        self._arrivals = 0
        self._pace = DecodePace()
        self._overtakes = OvertakeEstimator()

    def __len__(self) -> int:
        """Return the number of queued jobs."""
        return len(self._entries)

    def admit(
        self, job: Job, rates: Rates, running: Sequence[Running], now: float
    ) -> Result[float, Rejection]:
        """Queue the job and predict the seconds to its first token, or reject it."""
        if rates.slots < 1:
            return Error(Rejection(Reason.NO_SLOTS, MAX_RETRY_SECONDS))
        rates = self.adjust(rates, now)
        entry = self._make_entry(job, rates)
        wait = self._predict_entry_wait(entry, rates, running, now)
        first_token = wait + rates.prefill_time(job.prompt_tokens)
        # Under overload the queue fills up to the deadlines. Without a margin every
        # wait that turns out slightly longer makes the answer late and wastes its work.
        lateness = (
            now + (1 + WAIT_MARGIN) * wait + rates.service_time(job) - job.deadline
        )
        # Work that ends late wastes its slot, so that under overload all work becomes
        # late. A job that is rejected at once may still meet its deadline elsewhere.
        if lateness > 0:
            return Error(Rejection(Reason.DEADLINE, clamp_retry_after(lateness)))
        if self._is_queued(job):
            return Ok(first_token)
        if len(self._entries) >= self._length:
            return Error(Rejection(Reason.FULL, clamp_retry_after(first_token)))
        if self._team_counts.get(job.team, 0) >= self._team_length:
            return Error(Rejection(Reason.TEAM_FULL, clamp_retry_after(first_token)))
        self._add(entry)
        slack = entry.latest_start - now
        seconds = rates.service_time(job)
        self._overtakes.record(AdmittedJob(now, job.team, job.priority, slack, seconds))
        return Ok(first_token)

    def adjust(self, rates: Rates, now: float) -> Rates:
        """Return the rates with the observed seconds per token."""
        return self._pace.adjust(rates, now)

    def record_tokens(self, seconds: float, tokens: int, now: float) -> None:
        """Record the time that a running answer's next tokens took."""
        self._pace.record(seconds, tokens, now)

    def pop_next(self, now: float) -> Job | None:
        """Remove and return the next job, by priority, fair share and least slack."""
        if not self._entries:
            return None
        entry = self._levels[min(self._levels)].pop_next()
        self._remove_entry(entry)
        return entry.job

    def remove(self, request: str, attempt: int) -> bool:
        """Remove a cancelled job; return whether it was queued."""
        entry = self._entries.get((request, attempt))
        if entry is None:
            return False
        self._levels[entry.job.priority].remove(entry)
        self._remove_entry(entry)
        return True

    def expire(self, rates: Rates, running: Sequence[Running], now: float) -> list[Job]:
        """Remove and return the jobs that can no longer meet their deadline."""
        if not self._entries:
            return []
        late = []
        rates = self.adjust(rates, now)
        timeline = Timeline(rates, running)
        # Likely overtaking work is not considered here: a burst of high priority may
        # end, and jobs returned at its start could still have met their deadline.
        for entry in self._list_in_order():
            job = entry.job
            first_token = timeline.predict_first_token(job)
            finish = now + first_token + rates.decode_time(job.output_tokens)
            if finish > job.deadline + find_lateness_grace(job) or rates.slots < 1:
                late.append(job)
                continue
            timeline.add(job)
        for job in late:
            self.remove(job.request, job.attempt)
        return late

    def drain(self) -> list[Job]:
        """Remove and return all jobs, in order."""
        jobs = [entry.job for entry in self._list_in_order()]
        for job in jobs:
            self.remove(job.request, job.attempt)
        return jobs

    def prefill_backlog(self, rates: Rates) -> float:
        """Return the total prefill time of the queued jobs, in seconds."""
        return rates.prefill_time(self._prompt_tokens)

    def predict_wait(
        self, rates: Rates, running: Sequence[Running], now: float
    ) -> float:
        """Predict the seconds until a new job of normal priority would start."""
        timeline = Timeline(self.adjust(rates, now), running)
        for priority, level in self._levels.items():
            if priority > NORMAL_PRIORITY:
                continue
            for flow in level.flows.values():
                timeline.add_all([entry.job for entry in flow.entries])
        return timeline.next_start

    def _is_queued(self, job: Job) -> bool:
        return (job.request, job.attempt) in self._entries

    def _make_entry(self, job: Job, rates: Rates) -> QueueEntry:
        self._arrivals += 1
        seconds = rates.service_time(job)
        latest_start = job.deadline - seconds
        # A job with no cost by the rates would never use up its team's turn, so a team
        # that keeps sending such jobs would starve all others.
        charge = max(seconds, MIN_CHARGE_SECONDS) / max(job.share, MIN_SHARE)
        return QueueEntry(latest_start, self._arrivals, job, charge)

    def _predict_entry_wait(
        self, entry: QueueEntry, rates: Rates, running: Sequence[Running], now: float
    ) -> float:
        timeline = Timeline(rates, running)
        priority = entry.job.priority
        for other, level in self._levels.items():
            if other < priority:
                for flow in level.flows.values():
                    timeline.add_all([item.job for item in flow.entries])
        level = self._levels.get(priority)
        if level is not None:
            timeline.add_all([item.job for item in level.list_ahead(entry)])
        slack = entry.latest_start - now
        return self._overtakes.extend_wait(
            timeline.next_start, entry.job, slack, rates.slots, now
        )

    def _list_in_order(self) -> list[QueueEntry]:
        return [
            entry
            for priority in sorted(self._levels)
            for entry in self._levels[priority].list_in_order()
        ]

    def _add(self, entry: QueueEntry) -> None:
        job = entry.job
        if job.priority not in self._levels:
            self._levels[job.priority] = PriorityLevel()
        self._levels[job.priority].add(entry)
        self._entries[job.request, job.attempt] = entry
        self._team_counts[job.team] = self._team_counts.get(job.team, 0) + 1
        self._prompt_tokens += job.prompt_tokens

    def _remove_entry(self, entry: QueueEntry) -> None:
        job = entry.job
        del self._entries[job.request, job.attempt]
        self._prompt_tokens -= job.prompt_tokens
        self._team_counts[job.team] -= 1
        if not self._team_counts[job.team]:
            del self._team_counts[job.team]
        if not self._levels[job.priority].flows:
            del self._levels[job.priority]


def clamp_retry_after(seconds: float) -> float:
    """Clamp a retry delay to its bounds."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def find_lateness_grace(job: Job) -> float:
    """Return the predicted lateness in seconds up to which a job stays queued."""
    # Predictions fluctuate with the rates. Without a grace, a job admitted just in time
    # would be dropped at the next check. Beyond the grace it will be late in any case.
    return LATENESS_GRACE * max(0.0, job.deadline - job.arrived)
