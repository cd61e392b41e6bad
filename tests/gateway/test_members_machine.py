"""State machine of the hosts behind the upstreams: lists, removals, outages, looks.

The store may be restored from a copy. Hosts that it shows otherwise than they are known
are set apart here until they write again: no work may go to them for the copy's sake.
"""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from radishtally.direct.core import Instance
from radishtally.gateway.members import (
    MISSING_GRACE_SECONDS,
    HostChange,
    HostMissing,
    HostRemoved,
    HostReturned,
    HostUpdated,
    Members,
)

HOSTS = st.sampled_from("abcdefgh")
SETS_OF_HOSTS = st.frozensets(HOSTS)
MAX_COPY_SECONDS = 20.0
"""Greatest age of a copy from which the store is restored."""
DROP_SECONDS = 4.0
"""Time after which the store drops an entry that is not renewed."""


class Entry(NamedTuple):
    """Hold an entry of the list, and how often its host had written by then."""

    instance: Instance
    beats: int


def make_instance(host: str, is_draining: bool) -> Instance:
    """Make an entry; the hosts stand behind two upstreams."""
    upstream = "desk" if host < "c" else "llm"
    return Instance(host, upstream, f"{host}:1", "howrah", is_draining, 6)


class MembersMachine(RuleBasedStateMachine):
    """Play what the store says, and keep what must be known of it."""

    def __init__(self) -> None:
        super().__init__()
        self.members = Members()
        self.now = 0.0
        self.back_at = float("-inf")
        self.listed: dict[str, Entry] = {}
        self.beats: dict[str, int] = {}
        """Counts of the hosts' writes, which a restore does not take back."""
        self.copy: dict[str, Entry] = {}
        self.copied_at = float("-inf")
        self.restored_at = float("-inf")
        self.apart: dict[str, Instance | None] = {}
        """Hosts that have not written since a copy showed them otherwise, as they were
        known before; None for those that had been given up."""
        self.removed_at: dict[str, float] = {}
        """Times at which the store's word was that the host has no entry."""
        self.present: set[str] = set()
        """Hosts by the changes that were told."""
        self.missed: set[str] = set()
        self.given_up: set[str] = set()
        self.set_beats: dict[str, int] = {}
        """Counts in the entries of hosts that were taken last."""
        self.first_beats: dict[str, int] = {}
        """Counts in the first list after a restore."""

    @property
    def after_outage(self) -> bool:
        """Tell whether the store has only just come back."""
        return self.now < self.back_at + MISSING_GRACE_SECONDS

    @initialize(hosts=SETS_OF_HOSTS)
    def start(self, hosts: frozenset[str]) -> None:
        """Take the first list."""
        self.take_list(hosts, False)

    @rule(hosts=SETS_OF_HOSTS, is_draining=st.booleans())
    def take_list(self, hosts: frozenset[str], is_draining: bool) -> None:
        """Take a whole list."""
        self._note_removed(self.listed.keys() - hosts)
        self.listed = {}
        for host in hosts:
            self._write(host, is_draining)
        self.apart.clear()
        self._read_all()

    @rule(hosts=SETS_OF_HOSTS)
    def remove(self, hosts: frozenset[str]) -> None:
        """Take that entries are gone, also such as were gone before."""
        self._note_removed(hosts & self.listed.keys())
        for host in hosts:
            self.listed.pop(host, None)
            self.apart.pop(host, None)
        self._apply(self.members.remove(hosts, self.now, self.after_outage))

    @rule(host=HOSTS, is_draining=st.booleans())
    def write(self, host: str, is_draining: bool) -> None:
        """Take an entry, new or changed, or back after it lapsed."""
        self._write(host, is_draining)
        self.apart.pop(host, None)
        self.set_beats[host] = self.beats[host]
        self._apply(self.members.set(*self.listed[host]))

    @rule(hosts=SETS_OF_HOSTS)
    def beat(self, hosts: frozenset[str]) -> None:
        """Let hosts renew their entries, which tells no change."""
        for host in hosts & self.listed.keys():
            self._write(host, self.listed[host].instance.is_draining)

    @rule()
    def take_copy(self) -> None:
        """Keep the list as it is for a later restore."""
        self.copy, self.copied_at = dict(self.listed), self.now

    @precondition(lambda self: self.now <= self.copied_at + MAX_COPY_SECONDS)
    @rule(
        seconds=st.floats(0.0, MISSING_GRACE_SECONDS),
        written=st.dictionaries(HOSTS, st.booleans()),
    )
    def restore(self, seconds: float, written: dict[str, bool]) -> None:
        """Come back from the copy, and read it all a moment later."""
        known = {instance.host: instance for instance in self.members}
        self.restored_at = self.back_at = self.now
        self.members.enter_era(self.now)
        self.listed = dict(self.copy)
        self.now += seconds
        for host, is_draining in written.items():
            self._write(host, is_draining)
        self.apart = {
            host: known.get(host)
            for host, entry in self.listed.items()
            if self._is_older(host, entry, known.get(host))
        }
        missing = known.keys() - self.listed.keys()
        self.removed_at |= dict.fromkeys(missing, self.restored_at)
        self._read_all()

    def _is_older(self, host: str, entry: Entry, known: Instance | None) -> bool:
        if known is None:
            return host in self.given_up
        if host in self.missed:
            return True
        return entry.instance != known and entry.beats <= self.set_beats[host]

    @precondition(lambda self: self.members.next_review() < float("inf"))
    @rule()
    def review(self) -> None:
        """Read all once more, when the entries of hosts that are silent are gone."""
        self.now = max(self.now, self.members.next_review())
        self._drop_silent()
        grown = [host for host in self.apart if self._has_written(host)]
        for host in grown:
            del self.apart[host]
        self._read_all()

    def _has_written(self, host: str) -> bool:
        return self.listed[host].beats > self.first_beats[host]

    def _drop_silent(self) -> None:
        if self.now < self.restored_at + DROP_SECONDS:
            return
        self.remove(frozenset(h for h in self.apart if not self._has_written(h)))

    @rule(seconds=st.floats(0.0, 2 * MISSING_GRACE_SECONDS))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule()
    def come_back(self) -> None:
        """Hear from the store again after a long outage."""
        self.back_at = self.now

    @rule(early=st.floats(0.0, 0.01))
    def look_early(self, early: float) -> None:
        """Hear from the store a moment before a host's time has come."""
        due = self.members.next_expiry()
        if due == float("inf") or due - early < self.now:
            return
        self.now = due - early
        self.look()

    @rule()
    def look(self) -> None:
        """Hear from the store that nothing has changed."""
        changes = self.members.expire(self.now, self.after_outage)
        self._apply(changes)
        if self.after_outage:
            assert changes == []
            return
        kept = self.present - self.listed.keys()
        assert all(
            self.removed_at[host] + MISSING_GRACE_SECONDS > self.now for host in kept
        )
        assert not self.missed & self.apart.keys() or (
            self.now < self.restored_at + MISSING_GRACE_SECONDS
        )

    @invariant()
    def hold_what_is_listed(self) -> None:
        """Check that no host is dropped whose entry stands."""
        held = {instance.host: instance for instance in self.members}
        assert held.keys() == self.present
        for host in self.listed.keys() - self.apart.keys():
            assert held[host] == self.listed[host].instance
        unlisted = held.keys() - self.listed.keys()
        assert self.missed - self.apart.keys() == unlisted
        assert self.members.count_missing() == len(self.missed)

    @invariant()
    def give_no_work_for_a_copys_sake(self) -> None:
        """Check that hosts are left as they were known until they write again."""
        held = {instance.host: instance for instance in self.members}
        for host, known in self.apart.items():
            if host in held:
                assert held[host] == known
            else:
                assert known is None or host in self.given_up

    def teardown(self) -> None:
        """Check that nothing is kept for good, and nothing left out."""
        self.now += DROP_SECONDS + 2 * MISSING_GRACE_SECONDS
        self.look()
        while self.members.next_review() < float("inf"):
            self.review()
        self.look()
        self.now += 2 * MISSING_GRACE_SECONDS
        self.look()
        assert self.present == self.listed.keys()

    def _write(self, host: str, is_draining: bool) -> None:
        self.beats[host] = self.beats.get(host, 0) + 1
        self.listed[host] = Entry(make_instance(host, is_draining), self.beats[host])

    def _read_all(self) -> None:
        if self.members.next_review() == float("inf"):
            self.first_beats = {h: entry.beats for h, entry in self.listed.items()}
        instances = [entry.instance for entry in self.listed.values()]
        beats = {host: entry.beats for host, entry in self.listed.items()}
        taken = self.listed.keys() - self.apart.keys()
        self.set_beats |= {
            host: max(beats[host], self.set_beats.get(host, 0)) for host in taken
        }
        now, after_outage = self.now, self.after_outage
        self._apply(self.members.replace(instances, now, after_outage, beats))

    def _note_removed(self, hosts: frozenset[str]) -> None:
        for host in hosts:
            self.removed_at[host] = self.now

    def _apply(self, changes: list[HostChange]) -> None:
        for change in changes:
            match change:
                case HostUpdated(instance):
                    self.present.add(instance.host)
                    self.given_up.discard(instance.host)
                case HostMissing(host):
                    assert host in self.present
                    assert host not in self.missed
                    self.missed.add(host)
                case HostReturned(host):
                    self.missed.remove(host)
                case HostRemoved(host):
                    self.present.remove(host)
                    self.missed.discard(host)
                    self.given_up.add(host)


MembersMachine.TestCase.settings = settings(max_examples=200, deadline=None)
TestMembers = MembersMachine.TestCase
