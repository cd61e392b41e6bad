"""Tests of the membership core."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.membership.core import (
    GONE,
    LEAVING,
    LINK_SILENCE_TIMEOUT_SECONDS,
    LIVE,
    UNREACHABLE,
    FaultLocation,
    Membership,
    handle,
)
from radishtally.membership.events import (
    AddressChanged,
    ConfigurationApplied,
    ConfiguredHost,
    HostAdded,
    HostListRead,
    LeaveAnnounced,
    LinkDown,
    LinkUp,
    PeerReport,
    StateChanged,
    Tick,
    TrafficReceived,
)
from radishtally.store.core import ListedHost


def make_listed(*hosts, state="live", address="127.0.0.1:9"):
    return HostListRead(
        tuple(ListedHost(host, "howrah", "gown-llm", address, state) for host in hosts)
    )


LIST = make_listed("a")
UP = LinkUp("a", "one")
SILENT = 1 + LINK_SILENCE_TIMEOUT_SECONDS


def play(*events, membership=None):
    """Handle (event, time) pairs and return the state of host a after each."""
    membership = membership or Membership()
    states = []
    for event, now in events:
        handle(event, membership, now)
        member = membership.members.get("a")
        states.append(member.state if member else GONE)
    return states


@pytest.mark.parametrize(
    ("events", "states"),
    [
        pytest.param(
            [(LIST, 0), (UP, 1), (LinkDown("a"), 2), (UP, 3)],
            [UNREACHABLE, LIVE, UNREACHABLE, LIVE],
            id="link down and up",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (Tick(), SILENT), (TrafficReceived("a"), 20)],
            [UNREACHABLE, LIVE, UNREACHABLE, LIVE],
            id="silent link",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (UP, 2), (LinkDown("a"), 3)],
            [UNREACHABLE, LIVE, LIVE, LIVE],
            id="new link before the old one closes",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (LeaveAnnounced("a", "stop"), 2), (LIST, 3), (UP, 4)],
            [UNREACHABLE, LIVE, LEAVING, LEAVING, LEAVING],
            id="announced leaving overrides the stale list",
        ),
        pytest.param(
            [
                (LIST, 0),
                (UP, 1),
                (LeaveAnnounced("a", "stop"), 2),
                (LinkUp("a", "two"), 3),
            ],
            [UNREACHABLE, LIVE, LEAVING, LIVE],
            id="new incarnation revokes leaving",
        ),
        pytest.param(
            [
                (LIST, 0),
                (UP, 1),
                (LinkUp("a", "two"), 2),
                (LeaveAnnounced("a", "stop", "one"), 2.1),
            ],
            [UNREACHABLE, LIVE, LIVE, LIVE],
            id="late announcement of the previous incarnation",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (make_listed("a", state="leaving"), 2)],
            [UNREACHABLE, LIVE, LEAVING],
            id="listed as leaving",
        ),
        pytest.param(
            [
                (LIST, 0),
                (UP, 1),
                (make_listed("a", state="leaving"), 2),
                (LinkUp("a", "two"), 3),
                (TrafficReceived("a"), 17),
                (TrafficReceived("a"), 18.1),
            ],
            [UNREACHABLE, LIVE, LEAVING, LIVE, LIVE, LEAVING],
            id="new incarnation overrides listed leaving while the list may be stale",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (make_listed("b"), 2), (TrafficReceived("a"), 90)],
            [UNREACHABLE, LIVE, LIVE, LIVE],
            id="unlisted with a live link",
        ),
        pytest.param(
            [(LIST, 0), (UP, 1), (make_listed("b"), 2), (LinkDown("a"), 33)],
            [UNREACHABLE, LIVE, LIVE, GONE],
            id="unlisted for the grace time and the link closes",
        ),
        pytest.param(
            [(LIST, 0), (make_listed("b"), 2), (Tick(), 31), (Tick(), 33)],
            [UNREACHABLE, UNREACHABLE, UNREACHABLE, GONE],
            id="unlisted without a link",
        ),
        pytest.param(
            [
                (LIST, 0),
                (UP, 1),
                (LeaveAnnounced("a", "stop"), 2),
                (LinkDown("a"), 3),
                (make_listed("b"), 4),
            ],
            [UNREACHABLE, LIVE, LEAVING, LEAVING, GONE],
            id="left and unlisted",
        ),
        pytest.param(
            [
                (LIST, 0),
                (UP, 1),
                (HostListRead(()), 2),
                (TrafficReceived("a"), 90),
                (LinkDown("a"), 91),
            ],
            [UNREACHABLE, LIVE, LIVE, LIVE, UNREACHABLE],
            id="empty list",
        ),
        pytest.param(
            [(UP, 0), (LIST, 1), (LinkDown("a"), 50)],
            [LIVE, LIVE, UNREACHABLE],
            id="linked before listed",
        ),
        pytest.param(
            [
                (LinkDown("a"), 0),
                (TrafficReceived("a"), 1),
                (LeaveAnnounced("a", "stop"), 2),
            ],
            [GONE, GONE, GONE],
            id="events of an unknown host",
        ),
    ],
)
def test_states(events, states):
    assert play(*events) == states


def test_changes_are_returned_once():
    membership = Membership()
    assert handle(LIST, membership, 0.0) == [HostAdded("a")]
    assert handle(LIST, membership, 1.0) == []
    changed = StateChanged("a", UNREACHABLE, LIVE, "link up")
    assert handle(UP, membership, 1.0) == [changed]
    moved = make_listed("a", address="127.0.0.2:9")
    assert handle(moved, membership, 2.0) == [AddressChanged("a", "127.0.0.2:9")]


def test_a_silent_host_is_not_usable_even_before_a_tick():
    membership = Membership()
    play((LIST, 0), (UP, 1), membership=membership)
    assert membership.find_usable(2.0) == {"a"}
    assert membership.find_usable(2.0, "gown-llm") == {"a"}
    assert membership.find_usable(2.0, "booking-app") == set()
    assert membership.find_usable(SILENT) == set()


def test_a_host_that_is_not_configured_gets_no_work():
    membership = Membership()
    play((LIST, 0), (UP, 1), membership=membership)
    handle(
        ConfigurationApplied((ConfiguredHost("b", "howrah", "gown-llm"),)),
        membership,
        1.0,
    )
    assert membership.find_usable(2.0) == set()
    handle(
        ConfigurationApplied((ConfiguredHost("a", "howrah", "gown-llm"),)),
        membership,
        1.0,
    )
    assert membership.find_usable(2.0) == {"a"}


def test_configuration_describes_a_host_that_is_not_listed_yet():
    membership = Membership()
    play((UP, 0), membership=membership)
    handle(
        ConfigurationApplied((ConfiguredHost("a", "howrah", "gown-llm"),)),
        membership,
        1.0,
    )
    assert membership.find_usable(1.0, "gown-llm") == {"a"}
    assert membership.members["a"].place == "howrah"


@pytest.mark.parametrize(
    ("reports", "location"),
    [
        ([(), (), ("a",)], FaultLocation.LOCAL),
        ([("a",), ("a",), ()], FaultLocation.REMOTE),
        ([("a",), ()], FaultLocation.UNCLEAR),
        ([], FaultLocation.UNCLEAR),
    ],
)
def test_peer_reports_locate_the_fault(reports, location):
    membership = Membership()
    play((LIST, 0), membership=membership)
    for number, report in enumerate(reports):
        handle(PeerReport(f"entry-{number}", report), membership, 0.0)
    assert membership.locate_fault("a", 1.0) == location
    assert membership.locate_fault("a", 100.0) == FaultLocation.UNCLEAR
    assert membership.list_unreachable(1.0) == ("a",)


@given(st.lists(st.sampled_from(["e1", "e2", "e3", "e4"])))
def test_no_peer_takes_a_host_out_of_use(peers):
    """Some entries can't reach a host that this one reaches.

    If their reports counted, one entry's bad cable would take the host out of use for
    all callers.
    """
    membership = Membership()
    play((LIST, 0), (UP, 1), membership=membership)
    for peer in peers:
        handle(PeerReport(peer, ("a",)), membership, 1.0)
    assert membership.find_usable(1.0) == {"a"}


HOSTS = st.sampled_from("abc")
EVENTS = st.one_of(
    st.builds(LinkUp, HOSTS, st.sampled_from(["one", "two"])),
    st.builds(LinkDown, HOSTS),
    st.builds(TrafficReceived, HOSTS),
    st.builds(LeaveAnnounced, HOSTS, st.just("stop"), st.just("")),
    st.builds(PeerReport, st.just("e"), st.tuples(HOSTS)),
    st.builds(
        lambda hosts, state: make_listed(*hosts, state=state),
        st.sets(HOSTS),
        st.sampled_from(["live", "leaving"]),
    ),
    st.just(Tick()),
)


@given(st.lists(st.tuples(EVENTS, st.floats(0, 20)), max_size=40))
def test_a_leaving_host_is_not_used_until_a_new_incarnation_links(steps):
    membership = Membership()
    now, left = 0.0, {}
    for event, passed in steps:
        now += passed
        changes = handle(event, membership, now)
        member = (
            membership.members.get(event.host)
            if isinstance(event, LeaveAnnounced)
            else None
        )
        if member is not None:
            left[event.host] = member.incarnation
        for change in changes:
            if isinstance(change, StateChanged) and change.after == GONE:
                left.pop(change.host, None)
        if isinstance(event, LinkUp) and left.get(event.host) != event.incarnation:
            left.pop(event.host, None)
        usable = membership.find_usable(now)
        assert not usable & set(left)
        assert all(membership.members[host].links for host in usable)
