"""State machine of the hosts behind the upstreams: lists, removals, outages, looks."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from radishtally.direct.core import Instance
from radishtally.gateway.members import (
    LAPSE_SECONDS,
    Change,
    Forget,
    Members,
    Miss,
    Return,
    Set,
)

HOSTS = st.sampled_from("abcdefgh")
SETS_OF_HOSTS = st.frozensets(HOSTS)


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
        self.listed: dict[str, Instance] = {}
        self.removed_at: dict[str, float] = {}
        """Times at which the store's word was that the host has no entry."""
        self.present: set[str] = set()
        """Hosts by the changes that were told."""
        self.missed: set[str] = set()

    @property
    def after_outage(self) -> bool:
        """Tell whether the store has only just come back."""
        return self.now < self.back_at + LAPSE_SECONDS

    @initialize(hosts=SETS_OF_HOSTS)
    def start(self, hosts: frozenset[str]) -> None:
        """Take the first list."""
        self.take_list(hosts, False)

    @rule(hosts=SETS_OF_HOSTS, is_draining=st.booleans())
    def take_list(self, hosts: frozenset[str], is_draining: bool) -> None:
        """Take a whole list."""
        listed = {host: make_instance(host, is_draining) for host in hosts}
        self._note_removed(self.listed.keys() - listed.keys())
        self.listed = listed
        self._apply(self.members.replace(listed.values(), self.now, self.after_outage))

    @rule(hosts=SETS_OF_HOSTS)
    def remove(self, hosts: frozenset[str]) -> None:
        """Take that entries are gone, also such as were gone before."""
        self._note_removed(hosts & self.listed.keys())
        for host in hosts:
            self.listed.pop(host, None)
        self._apply(self.members.remove(hosts, self.now, self.after_outage))

    @rule(host=HOSTS, is_draining=st.booleans())
    def write(self, host: str, is_draining: bool) -> None:
        """Take an entry, new or changed, or back after it lapsed."""
        self.listed[host] = make_instance(host, is_draining)
        self._apply(self.members.set(self.listed[host]))

    @rule(seconds=st.floats(0.0, 2 * LAPSE_SECONDS))
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
        assert all(self.removed_at[host] + LAPSE_SECONDS > self.now for host in kept)

    @invariant()
    def hold_what_is_listed(self) -> None:
        """Check that no host is dropped whose entry stands."""
        held = {instance.host: instance for instance in self.members}
        assert held.keys() == self.present
        assert self.listed.items() <= held.items()
        assert self.missed == held.keys() - self.listed.keys()
        assert self.members.count_missing() == len(self.missed)

    def teardown(self) -> None:
        """Check that nothing is kept for good."""
        self.now += 2 * LAPSE_SECONDS
        self.look()
        assert self.present == self.listed.keys()

    def _note_removed(self, hosts: frozenset[str]) -> None:
        for host in hosts:
            self.removed_at[host] = self.now

    def _apply(self, changes: list[Change]) -> None:
        for change in changes:
            match change:
                case Set(instance):
                    self.present.add(instance.host)
                case Miss(host):
                    assert host in self.present
                    assert host not in self.missed
                    self.missed.add(host)
                case Return(host):
                    self.missed.remove(host)
                case Forget(host):
                    self.present.remove(host)
                    self.missed.discard(host)


MembersMachine.TestCase.settings = settings(max_examples=200, deadline=None)
TestMembers = MembersMachine.TestCase
