"""Queue of the work that waits for one upstream."""

from bisect import bisect_left, insort
from collections.abc import Sequence
from operator import attrgetter
from typing import Final, NamedTuple

from radishtally.limits.pace import Admitted, Pace, Passing
from radishtally.limits.timeline import Rates, Running, Timeline
from radishtally.limits.work import Job
from radishtally.outcome import Error, Ok, Result

__all__ = ["Job", "NoRoom", "Rates", "Running", "WorkQueue"]

MIDDLING_PRIORITY: Final = 0
LENGTH: Final = 256
TEAM_LENGTH: Final = 128
IDLE_TEAMS: Final = 1_024
"""Finish tags kept of teams with nothing queued before the passed ones go."""
MIN_CHARGE_SECONDS: Final = 0.001
MIN_SHARE: Final = 0.001
MIN_RETRY_SECONDS: Final = 0.05
MAX_RETRY_SECONDS: Final = 5.0
MARGIN: Final = 0.25
"""Share by which the wait for others may turn out longer than predicted."""
GRACE: Final = 0.1
"""Share of its whole time that queued work may be predicted late and still stay."""


class Reason:
    """Tell why there is no room."""

    DEADLINE: Final = "deadline can't be met"
    FULL: Final = "queue full"
    TEAM_FULL: Final = "queue of the team full"
    NO_SLOTS: Final = "upstream takes no requests"


class NoRoom(NamedTuple):
    """Refuse a job."""

    reason: str
    retry_after: float
    """Seconds."""


class Entry(NamedTuple):
    """Hold a queued job; entries of a team go in the order of these fields."""

    latest_start: float
    number: int
    job: Job
    charge: float
    """Slot seconds over the team's share."""


class Flow:
    """Hold the queued jobs of one team within one priority."""

    __slots__ = ("entries", "tag")

    def __init__(self, tag: float) -> None:
        self.tag = tag
        """Virtual start time of the flow's next job."""
        self.entries: list[Entry] = []

    def list_until(self, tag: float) -> list[Entry]:
        """List the jobs whose start tag is not after the given one."""
        own = self.tag
        for index, entry in enumerate(self.entries):
            if own > tag:
                return self.entries[:index]
            own += entry.charge
        return self.entries


class Level:
    """Share one priority's turns between teams by start-time fair queueing."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow] = {}
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def find_tag(self, team: str) -> float:
        """Find the start tag that the team's next job has or would have."""
        flow = self.flows.get(team)
        if flow is not None:
            return flow.tag
        # A team that empties its queue keeps its finish tag: else it would come back
        # at the present virtual time and gain by sending jobs one by one.
        return max(self._virtual_time, self._finish_tags.get(team, 0.0))

    def list_ahead(self, entry: Entry) -> list[Entry]:
        """List the jobs that go before a new entry."""
        team = entry.job.team
        own = self.flows.get(team)
        mine = own.entries[: bisect_left(own.entries, entry)] if own else []
        tag = self.find_tag(team) + sum(map(attrgetter("charge"), mine))
        ahead = list(mine)
        for name, flow in self.flows.items():
            if name != team:
                ahead.extend(flow.list_until(tag))
        return ahead

    def add(self, entry: Entry) -> None:
        """Queue an entry."""
        team = entry.job.team
        if team not in self.flows:
            self.flows[team] = Flow(self.find_tag(team))
            self._finish_tags.pop(team, None)
        insort(self.flows[team].entries, entry)

    def take(self) -> Entry:
        """Take the next entry; the level must not be empty."""
        team = min(self.flows, key=lambda name: self.flows[name].tag)
        flow = self.flows[team]
        self._virtual_time = flow.tag
        entry = flow.entries.pop(0)
        flow.tag += entry.charge
        self._forget_empty(team)
        return entry

    def remove(self, entry: Entry) -> None:
        """Take out an entry without charging its team."""
        flow = self.flows[entry.job.team]
        del flow.entries[bisect_left(flow.entries, entry)]
        self._forget_empty(entry.job.team)

    def list_in_order(self) -> list[Entry]:
        """List all entries in the order in which they would be taken."""
        tagged = []
        for flow in self.flows.values():
            tag = flow.tag
            for entry in flow.entries:
                tagged.append((tag, entry.number, entry))
                tag += entry.charge
        tagged.sort()
        return [entry for _, _, entry in tagged]

    def _forget_empty(self, team: str) -> None:
        flow = self.flows[team]
        if flow.entries:
            return
        del self.flows[team]
        self._finish_tags[team] = flow.tag
        if len(self._finish_tags) > IDLE_TEAMS:
            self._forget_passed()

    def _forget_passed(self) -> None:
        self._finish_tags = {
            team: tag
            for team, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }


class WorkQueue:
    """Admit work by its deadline and choose what starts next."""

    def __init__(self, length: int = LENGTH, team_length: int = TEAM_LENGTH) -> None:
        self._length = length
        self._team_length = team_length
        self._levels: dict[int, Level] = {}
        self._entries: dict[tuple[str, int], Entry] = {}
        self._team_counts: dict[str, int] = {}
        self._prompt_tokens = 0
        self._arrivals = 0
        self._pace = Pace()
        self._passing = Passing()

    def __len__(self) -> int:
        """Count the queued jobs."""
        return len(self._entries)

    def admit(
        self, job: Job, rates: Rates, running: Sequence[Running], now: float
    ) -> Result[float, NoRoom]:
        """Queue the job and predict the seconds to its first token, or refuse it."""
        if rates.slots < 1:
            return Error(NoRoom(Reason.NO_SLOTS, MAX_RETRY_SECONDS))
        rates = self.adjust(rates, now)
        entry = self._make_entry(job, rates)
        wait = self._predict_entry_wait(entry, rates, running, now)
        first_token = wait + rates.prefill(job.prompt_tokens)
        # Under overload the queue fills up to the deadlines: without a margin each wait
        # that turned out a little longer made the answer late, and its work was lost.
        late = now + (1 + MARGIN) * wait + rates.take(job) - job.deadline
        # Work that would be late costs slots and gives nothing, so that an overload
        # makes everybody late. Refused at once, it may still be met elsewhere.
        if late > 0:
            return Error(NoRoom(Reason.DEADLINE, clamp_retry(late)))
        if self._is_queued(job):
            return Ok(first_token)
        if len(self._entries) >= self._length:
            return Error(NoRoom(Reason.FULL, clamp_retry(first_token)))
        if self._team_counts.get(job.team, 0) >= self._team_length:
            return Error(NoRoom(Reason.TEAM_FULL, clamp_retry(first_token)))
        self._add(entry)
        slack = entry.latest_start - now
        seconds = rates.take(job)
        self._passing.note(Admitted(now, job.team, job.priority, slack, seconds))
        return Ok(first_token)

    def adjust(self, rates: Rates, now: float) -> Rates:
        """Give the rates with the present pace."""
        return self._pace.adjust(rates, now)

    def record_tokens(self, seconds: float, tokens: int, now: float) -> None:
        """Take in the time that a running answer's next tokens took."""
        self._pace.note(seconds, tokens, now)

    def pop_next(self, now: float) -> Job | None:
        """Take the job to start next, if any; priority, fair share, least slack."""
        if not self._entries:
            return None
        entry = self._levels[min(self._levels)].take()
        self._forget(entry)
        return entry.job

    def remove(self, request: str, attempt: int) -> bool:
        """Take out a job that is withdrawn; tell whether it was queued."""
        entry = self._entries.get((request, attempt))
        if entry is None:
            return False
        self._levels[entry.job.priority].remove(entry)
        self._forget(entry)
        return True

    def expire(self, rates: Rates, running: Sequence[Running], now: float) -> list[Job]:
        """Take out the jobs that can't be met any more, to be refused as not run."""
        if not self._entries:
            return []
        late = []
        rates = self.adjust(rates, now)
        timeline = Timeline(rates, running)
        # What is likely to come and pass is left out here: a burst of high priority
        # may end, and work given back at its beginning could still have been met.
        for entry in self._list_in_order():
            job = entry.job
            first_token = timeline.peek(job)
            finish = now + first_token + rates.decode(job.output_tokens)
            if finish > job.deadline + find_grace(job) or rates.slots < 1:
                late.append(job)
                continue
            timeline.add(job)
        for job in late:
            self.remove(job.request, job.attempt)
        return late

    def drain(self) -> list[Job]:
        """Take out all jobs, in order."""
        jobs = [entry.job for entry in self._list_in_order()]
        for job in jobs:
            self.remove(job.request, job.attempt)
        return jobs

    def prefill_backlog(self, rates: Rates) -> float:
        """Sum the seconds of prefill of the queued jobs."""
        return rates.prefill(self._prompt_tokens)

    def predict_wait(
        self, rates: Rates, running: Sequence[Running], now: float
    ) -> float:
        """Predict the seconds until new work of middling priority would start."""
        timeline = Timeline(self.adjust(rates, now), running)
        for priority, level in self._levels.items():
            if priority > MIDDLING_PRIORITY:
                continue
            for flow in level.flows.values():
                timeline.add_all([entry.job for entry in flow.entries])
        return timeline.next_start

    def _is_queued(self, job: Job) -> bool:
        return (job.request, job.attempt) in self._entries

    def _make_entry(self, job: Job, rates: Rates) -> Entry:
        self._arrivals += 1
        seconds = rates.take(job)
        latest_start = job.deadline - seconds
        # Work that costs nothing by the rates would never use up its team's turn, and a
        # team that keeps sending it would starve all others.
        charge = max(seconds, MIN_CHARGE_SECONDS) / max(job.share, MIN_SHARE)
        return Entry(latest_start, self._arrivals, job, charge)

    def _predict_entry_wait(
        self, entry: Entry, rates: Rates, running: Sequence[Running], now: float
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
        return self._passing.stretch(
            timeline.next_start, entry.job, slack, rates.slots, now
        )

    def _list_in_order(self) -> list[Entry]:
        return [
            entry
            for priority in sorted(self._levels)
            for entry in self._levels[priority].list_in_order()
        ]

    def _add(self, entry: Entry) -> None:
        job = entry.job
        if job.priority not in self._levels:
            self._levels[job.priority] = Level()
        self._levels[job.priority].add(entry)
        self._entries[job.request, job.attempt] = entry
        self._team_counts[job.team] = self._team_counts.get(job.team, 0) + 1
        self._prompt_tokens += job.prompt_tokens

    def _forget(self, entry: Entry) -> None:
        job = entry.job
        del self._entries[job.request, job.attempt]
        self._prompt_tokens -= job.prompt_tokens
        self._team_counts[job.team] -= 1
        if not self._team_counts[job.team]:
            del self._team_counts[job.team]
        if not self._levels[job.priority].flows:
            del self._levels[job.priority]


def clamp_retry(seconds: float) -> float:
    """Keep a retry hint small and positive."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)


def find_grace(job: Job) -> float:
    """Find how late a queued job may be predicted before it is given up."""
    # Predictions waver with the rates; without grace, work admitted just in time
    # would be refused at the next look. Past the grace it is late in any case.
    return GRACE * max(0.0, job.deadline - job.arrived)
