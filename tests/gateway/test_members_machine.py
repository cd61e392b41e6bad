"""State machine test of host tracking: lists, removals, outages and restores.

The store may be restored from a backup. Hosts that the backup shows in a different
state than known are unconfirmed until they write again, and their restored entries must
not cause any change.
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
    LATE_WRITE_SECONDS,
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
MAX_BACKUP_AGE_SECONDS = 20.0
"""Maximum age of a backup from which the store is restored."""
HEARTBEAT_SECONDS = 1.2
ENTRY_EXPIRY_SECONDS = 4.0
"""Time after which the store deletes an entry that is not renewed."""


class Entry(NamedTuple):
    """Hold an entry of the list with its heartbeat count."""

    instance: Instance
    beats: int


def make_instance(host: str, is_draining: bool) -> Instance:
    """Make an entry; the hosts belong to two upstreams."""
    upstream = "desk" if host < "c" else "llm"
    return Instance(host, upstream, f"{host}:1", "howrah", is_draining, 6)


class MembersMachine(RuleBasedStateMachine):
    """Simulate the store and its hosts, and model the expected state of the members."""

    def __init__(self) -> None:
        super().__init__()
        self.members = Members()
        self.now = 0.0
        self.back_at = float("-inf")
        self.listed: dict[str, Entry] = {}
        self.beats: dict[str, int] = {}
        """Heartbeat counts of the hosts, which a restore does not reset."""
        self.backup: dict[str, Entry] = {}
        self.backed_up_at = float("-inf")
        self.restored_at = float("-inf")
        self.unconfirmed: dict[str, Instance | None] = {}
        """Unconfirmed hosts, with their state known before the restore; None for those
        that had been removed."""
        self.removed_at: dict[str, float] = {}
        """Times from which the store had no entry of the host."""
        self.present: set[str] = set()
        """Hosts that are present according to the reported changes."""
        self.missing: set[str] = set()
        self.removed: set[str] = set()
        self.set_beats: dict[str, int] = {}
        """Heartbeat counts of the entries that were last applied."""
        self.first_beats: dict[str, int] = {}
        """Heartbeat counts in the first list after a restore."""
        self.deleted_at: dict[str, float] = {}
        """Times at which hosts were removed whose entries had not lapsed."""
        self.held_removed: set[str] = set()
        """Removed hosts whose new entries are unconfirmed."""

    @property
    def after_outage(self) -> bool:
        """Return whether an outage of the store has only just ended."""
        return self.now < self.back_at + MISSING_GRACE_SECONDS

    @initialize(hosts=SETS_OF_HOSTS)
    def start(self, hosts: frozenset[str]) -> None:
        """Read the first list."""
        self.take_list(hosts, False)

    @rule(hosts=SETS_OF_HOSTS, is_draining=st.booleans())
    def take_list(self, hosts: frozenset[str], is_draining: bool) -> None:
        """Read a new list."""
        if hosts & self.unconfirmed.keys():
            self.now += HEARTBEAT_SECONDS
        self._note_removed(self.listed.keys() - hosts)
        self.listed = {}
        for host in hosts:
            self._write(host, is_draining)
        back = {host for host in hosts if self._may_be_late(host)}
        self.unconfirmed.clear()
        self._hold(back)
        self._read_all()

    @rule(hosts=SETS_OF_HOSTS)
    def remove(self, hosts: frozenset[str]) -> None:
        """Remove entries, including ones that were removed before."""
        self._note_removed(hosts & self.listed.keys())
        for host in hosts:
            self.listed.pop(host, None)
            self.unconfirmed.pop(host, None)
        self._apply(self.members.remove(hosts, self.now, self.after_outage))

    @rule(host=HOSTS, is_draining=st.booleans())
    def write(self, host: str, is_draining: bool) -> None:
        """Apply an entry that is new, changed, or back after it expired."""
        if host in self.unconfirmed:
            self.now += HEARTBEAT_SECONDS
        self._write(host, is_draining)
        is_too_soon = self._is_back_too_soon(host)
        entry = self.listed[host]
        changes = self.members.update(*entry, self.after_outage, self.now)
        if is_too_soon and not changes:
            self._hold({host})
        elif changes or not self._may_be_late(host):
            self.unconfirmed.pop(host, None)
            self.set_beats[host] = self.beats[host]
        else:
            self._renew_hold(host)
        self._apply(changes)

    @rule(hosts=SETS_OF_HOSTS)
    def beat(self, hosts: frozenset[str]) -> None:
        """Let hosts renew their entries, which is not reported as a change."""
        for host in hosts & self.listed.keys():
            self._write(host, self.listed[host].instance.is_draining)

    @rule()
    def take_backup(self) -> None:
        """Back up the list for a later restore."""
        self.backup, self.backed_up_at = dict(self.listed), self.now

    @precondition(lambda self: self.now <= self.backed_up_at + MAX_BACKUP_AGE_SECONDS)
    @rule(
        seconds=st.floats(0.0, MISSING_GRACE_SECONDS),
        written=st.dictionaries(HOSTS, st.booleans()),
    )
    def restore(self, seconds: float, written: dict[str, bool]) -> None:
        """Restore the store from the backup, and read the list a moment later."""
        known = {instance.host: instance for instance in self.members}
        self.restored_at = self.back_at = self.now
        self.members.enter_era(self.now)
        self.listed = dict(self.backup)
        self.now += seconds
        for host, is_draining in written.items():
            self._write(host, is_draining)
        self.unconfirmed = {
            host: known.get(host)
            for host, entry in self.listed.items()
            if self._is_older(host, entry, known.get(host))
        }
        missing = known.keys() - self.listed.keys()
        self.removed_at |= dict.fromkeys(missing, self.restored_at)
        self._read_all()

    def _is_older(self, host: str, entry: Entry, known: Instance | None) -> bool:
        if known is None:
            return host in self.removed
        if host in self.missing:
            return True
        return entry.instance != known and entry.beats <= self.set_beats[host]

    @precondition(lambda self: self.members.next_review() < float("inf"))
    @rule()
    def review(self) -> None:
        """Read the list again, after entries without heartbeats have been deleted."""
        self.now = max(self.now, self.members.next_review())
        self._delete_unrenewed()
        for host in [host for host in self.unconfirmed if self._has_written(host)]:
            if self._may_be_late(host):
                self._renew_hold(host)
            else:
                del self.unconfirmed[host]
        self._read_all()

    def _renew_hold(self, host: str) -> None:
        """Expect that an entry is held that has been written, as it may be late."""
        self.first_beats[host] = self.beats[host]
        self.restored_at = self.now

    def _has_written(self, host: str) -> bool:
        return self.listed[host].beats > self.first_beats[host]

    def _delete_unrenewed(self) -> None:
        if self.now < self.restored_at + ENTRY_EXPIRY_SECONDS:
            return
        self.remove(frozenset(h for h in self.unconfirmed if not self._has_written(h)))

    @rule(seconds=st.floats(0.0, 2 * MISSING_GRACE_SECONDS))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule()
    def end_outage(self) -> None:
        """Reach the store again after a long outage."""
        self.back_at = self.now

    @rule(early=st.floats(0.0, 0.01))
    def expire_early(self, early: float) -> None:
        """Get an answer from the store just before a host's grace period ends."""
        due = self.members.next_expiry()
        if due == float("inf") or due - early < self.now:
            return
        self.now = due - early
        self.expire()

    @rule()
    def expire(self) -> None:
        """Get an answer from the store that nothing has changed."""
        changes = self.members.expire(self.now, self.after_outage)
        self._apply(changes)
        if self.after_outage:
            assert changes == []
            return
        kept = self.present - self.listed.keys()
        assert all(
            self.removed_at[host] + MISSING_GRACE_SECONDS > self.now for host in kept
        )
        assert not self.missing & self.unconfirmed.keys() or (
            self.now < self.restored_at + MISSING_GRACE_SECONDS
        )

    @invariant()
    def listed_hosts_are_kept(self) -> None:
        """Check that no host is dropped whose entry exists."""
        held = {instance.host: instance for instance in self.members}
        assert held.keys() == self.present
        for host in self.listed.keys() - self.unconfirmed.keys():
            assert held[host] == self.listed[host].instance
        unlisted = held.keys() - self.listed.keys()
        assert self.missing - self.unconfirmed.keys() == unlisted
        assert self.members.count_missing() == len(self.missing)

    @invariant()
    def unconfirmed_entries_change_nothing(self) -> None:
        """Check that hosts keep their known state until they write again."""
        held = {instance.host: instance for instance in self.members}
        for host, known in self.unconfirmed.items():
            if host in held:
                assert held[host] == known
            else:
                assert known is None or host in self.removed

    def teardown(self) -> None:
        """Check that in the end exactly the listed hosts are present."""
        self.now += ENTRY_EXPIRY_SECONDS + 2 * MISSING_GRACE_SECONDS
        self.expire()
        while self.members.next_review() < float("inf"):
            self.review()
        self.expire()
        self.now += 2 * MISSING_GRACE_SECONDS
        self.expire()
        assert self.present == self.listed.keys()

    def _write(self, host: str, is_draining: bool) -> None:
        self.beats[host] = self.beats.get(host, 0) + 1
        self.listed[host] = Entry(make_instance(host, is_draining), self.beats[host])

    def _read_all(self) -> None:
        if self.members.next_review() == float("inf"):
            self.first_beats = {h: entry.beats for h, entry in self.listed.items()}
        instances = [entry.instance for entry in self.listed.values()]
        beats = {host: entry.beats for host, entry in self.listed.items()}
        taken = self.listed.keys() - self.unconfirmed.keys()
        self.set_beats |= {
            host: max(beats[host], self.set_beats.get(host, 0)) for host in taken
        }
        now, after_outage = self.now, self.after_outage
        self._apply(self.members.replace(instances, now, after_outage, beats))

    def _is_back_too_soon(self, host: str) -> bool:
        """Return whether a removed host's first entry may have been written late."""
        return host not in self.unconfirmed and self._may_be_late(host)

    def _may_be_late(self, host: str) -> bool:
        """Return whether what is written of a removed host may be from before."""
        deleted_at = self.deleted_at.get(host, float("-inf"))
        is_recent = self.now < deleted_at + LATE_WRITE_SECONDS
        return is_recent and not self.after_outage

    def _hold(self, hosts: set[str]) -> None:
        """Expect that entries are held, of removed hosts that others can replace."""
        self.unconfirmed |= dict.fromkeys(hosts)
        self.held_removed = self.held_removed & self.unconfirmed.keys() | hosts
        self.first_beats |= {host: self.beats[host] for host in hosts}
        if hosts:
            self.restored_at = max(self.restored_at, self.now)

    def _note_removed(self, hosts: frozenset[str]) -> None:
        for host in hosts:
            self.removed_at[host] = self.now

    def _apply(self, changes: list[HostChange]) -> None:
        for change in changes:
            match change:
                case HostUpdated(instance):
                    self.present.add(instance.host)
                    self.deleted_at.pop(instance.host, None)
                    if instance.host in self.held_removed:
                        self.held_removed.discard(instance.host)
                        self.unconfirmed.pop(instance.host, None)
                        self.set_beats[instance.host] = self.beats[instance.host]
                    self.removed.discard(instance.host)
                case HostMissing(host):
                    assert host in self.present
                    assert host not in self.missing
                    self.missing.add(host)
                case HostReturned(host):
                    self.missing.remove(host)
                case HostRemoved(host):
                    if host not in self.missing:
                        self.deleted_at[host] = self.now
                    self.present.remove(host)
                    self.missing.discard(host)
                    self.removed.add(host)


MembersMachine.TestCase.settings = settings(max_examples=200, deadline=None)
TestMembers = MembersMachine.TestCase


# Guards against requests to a host that has left: a second restore of the store lists
# it again, and no other host of its upstream is known.
def test_restored_entry_is_not_used_for_want_of_others() -> None:
    machine = MembersMachine()
    machine.start(hosts=frozenset("bcfgh"))
    machine.take_backup()
    machine.remove(hosts=frozenset("abcdefgh"))
    written = {host: host in "be" for host in "abcdefgh"}
    machine.restore(seconds=0.8, written=written)
    machine.review()
    machine.take_backup()
    machine.remove(hosts=frozenset("acdefgh"))
    machine.restore(seconds=0.0, written={})
    machine.expire_early(early=0.0)
    machine.unconfirmed_entries_change_nothing()
