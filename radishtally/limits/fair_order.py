"""Order of waiting jobs of one priority: fair between teams, then by least slack."""

from bisect import bisect_left, insort
from operator import attrgetter
from typing import Final, NamedTuple

from radishtally.limits.work import Job

MAX_IDLE_TEAM_TAGS: Final = 1_024
"""Finish tags of idle teams that are kept before outdated ones are pruned."""


class QueueEntry(NamedTuple):
    """Represent a queued job; a team's entries sort by these fields in order."""

    latest_start: float
    number: int
    """Arrival number, which breaks ties."""
    job: Job
    charge: float
    """Slot seconds divided by the team's share."""


class TeamFlow:
    """Order the queued jobs of one team within one priority."""

    __slots__ = ("entries", "tag")

    def __init__(self, tag: float) -> None:
        self.tag = tag
        """Start tag (virtual time) of the flow's next job."""
        self.entries: list[QueueEntry] = []

    def list_until(self, tag: float) -> list[QueueEntry]:
        """List the jobs whose start tag does not exceed the given one."""
        start_tag = self.tag
        for index, entry in enumerate(self.entries):
            if start_tag > tag:
                return self.entries[:index]
            start_tag += entry.charge
        return self.entries


class PriorityLevel:
    """Queue one priority, shared between teams by start-time fair queueing."""

    def __init__(self) -> None:
        self.flows: dict[str, TeamFlow] = {}
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    def find_start_tag(self, team: str) -> float:
        """Return the start tag that the team's next job has or would get."""
        flow = self.flows.get(team)
        if flow is not None:
            return flow.tag
        # A team that empties its queue keeps its finish tag. Otherwise it would return
        # at the current virtual time and gain by sending jobs one at a time.
        return max(self._virtual_time, self._finish_tags.get(team, 0.0))

    def list_ahead(self, entry: QueueEntry) -> list[QueueEntry]:
        """List the jobs that would be served before a new entry."""
        team = entry.job.team
        own_flow = self.flows.get(team)
        own_ahead = (
            own_flow.entries[: bisect_left(own_flow.entries, entry)] if own_flow else []
        )
        tag = self.find_start_tag(team) + sum(map(attrgetter("charge"), own_ahead))
        ahead = list(own_ahead)
        for name, flow in self.flows.items():
            if name != team:
                ahead.extend(flow.list_until(tag))
        return ahead

    def add(self, entry: QueueEntry) -> None:
        """Add an entry."""
        team = entry.job.team
        if team not in self.flows:
            self.flows[team] = TeamFlow(self.find_start_tag(team))
            self._finish_tags.pop(team, None)
        insort(self.flows[team].entries, entry)

    def pop_next(self) -> QueueEntry:
        """Remove and return the next entry; the level must not be empty."""
        team = min(self.flows, key=lambda name: self.flows[name].tag)
        flow = self.flows[team]
        self._virtual_time = flow.tag
        entry = flow.entries.pop(0)
        flow.tag += entry.charge
        self._remove_if_empty(team)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry without charging its team."""
        flow = self.flows[entry.job.team]
        del flow.entries[bisect_left(flow.entries, entry)]
        self._remove_if_empty(entry.job.team)

    def list_in_order(self) -> list[QueueEntry]:
        """List all entries in the order in which they would be served."""
        tagged = []
        for flow in self.flows.values():
            tag = flow.tag
            for entry in flow.entries:
                tagged.append((tag, entry.number, entry))
                tag += entry.charge
        tagged.sort()
        return [entry for _, _, entry in tagged]

    def _remove_if_empty(self, team: str) -> None:
        flow = self.flows[team]
        if flow.entries:
            return
        del self.flows[team]
        self._finish_tags[team] = flow.tag
        if len(self._finish_tags) > MAX_IDLE_TEAM_TAGS:
            self._prune_finish_tags()

    def _prune_finish_tags(self) -> None:
        self._finish_tags = {
            team: tag
            for team, tag in self._finish_tags.items()
            if tag > self._virtual_time
        }
