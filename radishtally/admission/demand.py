"""Demand for an upstream's places, by this gateway and by its peers."""

from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final, NamedTuple

import xxhash

from radishtally.admission.split import Wanted, WorkClass
from radishtally.links.gateway_messages import CallLoad, ClassDemand, HostCalls

REPORT_EXPIRY_SECONDS: Final = 1.0
"""Age at which a peer's report no longer counts. A peer that is cut off or frozen holds
places back for as long."""
MAX_CLASSES: Final = 64
"""Classes in a report; the others are added up by rank."""
OTHER_TEAMS: Final = 1
"""Stands for the teams that a report doesn't name."""


class _Report(NamedTuple):
    """Hold a peer's newest report."""

    load: CallLoad
    at: float


def hash_team(team: str) -> int:
    """Return the hash by which gateways name a team to each other."""
    return xxhash.xxh32_intdigest(team.encode())


class UpstreamDemand:
    """Count the requests that want a place of one upstream."""

    def __init__(self) -> None:
        self.own_count = 0
        """Open and waiting requests of this gateway."""
        self.peer_count = 0
        """Open and waiting requests of all peers."""
        self._own: Counter[WorkClass] = Counter()
        self._reports: dict[str, _Report] = {}
        self._peers_by_class: Counter[WorkClass] = Counter()
        self._peers_by_host: Counter[str] = Counter()
        self._expires_at = float("inf")

    @property
    def total(self) -> int:
        """Return the open and waiting requests of all gateways."""
        return self.own_count + self.peer_count

    def count_own(self, work: WorkClass) -> int:
        """Return the open and waiting requests of a class of this gateway."""
        return self._own[work]

    def join(self, work: WorkClass) -> None:
        """Count a request of this gateway until it leaves."""
        self._own[work] += 1
        self.own_count += 1

    def leave(self, work: WorkClass) -> None:
        """Count a request of this gateway no more."""
        self._own[work] -= 1
        self.own_count -= 1
        if not self._own[work]:
            del self._own[work]

    def record_report(self, peer: str, load: CallLoad, now: float) -> None:
        """Record a peer's report in place of its last one."""
        self._reports[peer] = _Report(load, now)
        self._add_up(now)

    def forget_peer(self, peer: str, now: float) -> None:
        """Drop the report of a peer that is out of reach."""
        if self._reports.pop(peer, None) is not None:
            self._add_up(now)

    def expire(self, now: float) -> bool:
        """Drop reports that are too old; return whether there were any."""
        if now < self._expires_at:
            return False
        self._add_up(now)
        return True

    def find_age(self, now: float) -> float:
        """Return the age in seconds of the oldest report that counts."""
        return max((now - report.at for report in self._reports.values()), default=0.0)

    def count_peer_calls(self, host: str) -> int:
        """Count the calls that peers have open at a host."""
        return self._peers_by_host[host]

    def count_open_at_peers(self) -> int:
        """Count the calls that peers have open at all hosts."""
        return self._peers_by_host.total()

    def list_wanted(self) -> dict[WorkClass, Wanted]:
        """Return the demand of all classes."""
        own, peers = self._own, self._peers_by_class
        return {
            work: Wanted(own[work], peers[work]) for work in own.keys() | peers.keys()
        }

    def build_report(
        self,
        upstream: str,
        own_calls: Counter[str],
        excluded: Collection[str] | None,
    ) -> CallLoad:
        """Return this gateway's demand and open calls.

        A collector passes the peers to exclude, and gets the sum of all others.
        """
        by_host, by_class = Counter(own_calls), Counter(self._own)
        if excluded is not None:
            by_host.update(self._peers_by_host)
            by_class.update(self._peers_by_class)
            for peer in excluded & self._reports.keys():
                load = self._reports[peer].load
                by_host.subtract(_count_calls(load))
                by_class.subtract(_count_classes(load))
        hosts = (HostCalls(host, count) for host, count in by_host.items() if count > 0)
        return CallLoad(upstream, tuple(hosts), tuple(_list_demand(by_class)))

    def _add_up(self, now: float) -> None:
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if now < report.at + REPORT_EXPIRY_SECONDS
        }
        self._peers_by_class = Counter()
        self._peers_by_host = Counter()
        for report in self._reports.values():
            self._peers_by_class.update(_count_classes(report.load))
            self._peers_by_host.update(_count_calls(report.load))
        self.peer_count = self._peers_by_class.total()
        oldest = min((one.at for one in self._reports.values()), default=float("inf"))
        self._expires_at = oldest + REPORT_EXPIRY_SECONDS


def _count_classes(load: CallLoad) -> Counter[WorkClass]:
    counts: Counter[WorkClass] = Counter()
    for item in load.demand:
        counts[WorkClass(item.rank, item.team)] += item.count
    return counts


def _count_calls(load: CallLoad) -> Counter[str]:
    return Counter({item.host: item.count for item in load.hosts})


def _list_demand(by_class: Counter[WorkClass]) -> Iterator[ClassDemand]:
    """Yield the largest classes, and the sum of the others by rank."""
    wanted = [item for item in by_class.most_common() if item[1] > 0]
    for (rank, team), count in wanted[:MAX_CLASSES]:
        yield ClassDemand(rank, team, count)
    rest: Counter[int] = Counter()
    for (rank, _), count in wanted[MAX_CLASSES:]:
        rest[rank] += count
    for rank, count in rest.items():
        yield ClassDemand(rank, OTHER_TEAMS, count)
