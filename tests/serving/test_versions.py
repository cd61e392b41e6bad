"""Tests of streams at hosts of different software versions, on the core alone."""

import pytest

from radishtally.links.gateway_messages import RememberedStream, StreamsBegun
from radishtally.links.messages import (
    ENDED,
    PREFILL,
    STREAM,
    UNREACHED,
    Accepted,
    Begun,
    Cancel,
    Chunk,
    Handover,
    KvRef,
    Lost,
    Refused,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving import const, events
from radishtally.serving.origins import Origin, hash_stream
from radishtally.serving.requests import OpenRequest
from radishtally.serving.terms import Terms
from tests.entry.common import POOL, Driver

HEADERS = (("X-Signed", "by-host"),)
OTHER_POOL = "other"


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def make_driver(**versions: str) -> Driver:
    """Make a core with hosts of these software versions."""
    driver = Driver(hosts=0)
    driver.core.tracks_versions = True
    for host, version in versions.items():
        add_host(driver, host, version)
    return driver


def add_host(driver: Driver, host: str, version: str, pool: str = POOL) -> None:
    driver.core.set_host(host, "howrah", pool, True, version)
    driver.link_up(host)


def change_version(
    driver: Driver, host: str, version: str, is_recent: bool = True
) -> None:
    """Let a host begin again under its name at another version."""
    driver.handle(events.VersionChanged(host, version, is_recent))
    driver.core.set_host(host, "howrah", POOL, True, version)


def open_stream(driver: Driver, name: str, seconds: float = 30.0, **terms: object):
    """Open a request for a stream that may be resumed."""
    work = Work(name, "team", POOL, STREAM, b"")
    until = driver.now + seconds
    return driver.handle(events.Arrived(work, until, True, Terms(**terms)))


def resume(driver: Driver, name: str, stream: str, after: int, **terms: object):
    """Take a stream up behind an event."""
    return open_stream(
        driver, name, resumed_stream=stream, resumed_after=after, **terms
    )


def get_open(driver: Driver, name: str) -> OpenRequest:
    return driver.core.requests[name]


def send_events(driver: Driver, name: str, count: int = 1) -> str:
    """Send the next events of a request's current attempt; return its host."""
    request = get_open(driver, name)
    host, attempt = request.host, request.attempt
    if request.head is None:
        driver.receive(host, Accepted(name, attempt, 0.0))
        driver.receive(host, Begun(name, attempt, 200, HEADERS))
    for _ in range(count):
        number = max(request.tokens, request.terms.resumed_after) + 1
        offset = len(request.received)
        driver.receive(host, Chunk(name, attempt, offset, make_event(number), number))
    return host


def lose(driver: Driver, name: str, reason: str = "reset") -> None:
    """Lose a request's current attempt."""
    request = get_open(driver, name)
    driver.receive(request.host, Lost(name, request.attempt, Ran.UNKNOWN, reason, 0))


def find_version(driver: Driver, name: str) -> str | None:
    """Find the version at which a stream is known to have begun."""
    origin = driver.core.origins.find(hash_stream(name))
    return None if origin is None else origin.version


def test_rest_of_a_stream_goes_to_a_host_of_its_version() -> None:
    driver = make_driver(a="v1", b="v2", c="v1", d="v2", e="v3", f="v3")
    open_stream(driver, "r")
    first = send_events(driver, "r")
    lose(driver, "r")
    second = get_open(driver, "r").host
    assert second != first
    assert driver.core.hosts[second].version == driver.core.hosts[first].version


# Guards against callers that wait until their deadline for the rest of a stream whose
# version has left.
def test_stream_ends_immediately_when_no_host_of_its_version_is_left() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v2")
    driver.core.set_host("a", "howrah", POOL, False, "v1")
    lose(driver, "r")
    assert driver.refusal.code == const.CODE_VERSION_GONE
    assert driver.list_commands(events.AbortAnswer)


# Guards against running streams that are cut: the last host of their version leaves.
def test_running_stream_goes_on_at_the_last_host_of_its_version() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v2")
    driver.core.set_host("a", "howrah", POOL, False, "v1")
    driver.core.forget_host("a")
    driver.core.links.pop("a")
    driver.pass_time(5.0)
    assert send_events(driver, "r") == "a"
    assert len(driver.list_commands(events.Deliver)) == 2
    assert not driver.list_refusals()


# Guards against refused requests: only streams that have begun are bound to a version.
def test_request_without_an_event_goes_to_any_version() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    add_host(driver, "b", "v2")
    lose(driver, "r")
    assert get_open(driver, "r").host == "b"
    assert find_version(driver, "r") is None
    send_events(driver, "r")
    assert find_version(driver, "r") == "v2"


# Guards against callers that wait in vain: of their version only a host is left that
# prefills prompts, and the roles are not chosen for one version.
def test_stream_ends_immediately_where_only_prefill_hosts_of_its_version_are_left() -> (
    None
):
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v1")
    add_host(driver, "c", "v2")
    driver.core.placement.find_role = lambda host: PREFILL if host == "b" else ""
    driver.core.set_host("a", "howrah", POOL, False, "v1")
    lose(driver, "r")
    assert driver.refusal.code == const.CODE_VERSION_GONE
    resume(driver, "r2", "r", 1)
    refusal = driver.list_commands(events.Refuse)[-1].refusal
    assert (refusal.code, refusal.ran) == (const.CODE_VERSION_GONE, Ran.NO)


# A release may replace all hosts between two tries of a caller.
@pytest.mark.parametrize("is_left", [True, False], ids=["some_left", "all_replaced"])
def test_caller_resumes_only_at_the_version_that_began(is_left: bool) -> None:
    driver = make_driver(a="v1", b="v1", c="v1")
    open_stream(driver, "r1")
    first = send_events(driver, "r1", 2)
    driver.handle(events.CallerGone("r1"))
    for host in {"a", "b", "c"} - {first if is_left else ""}:
        driver.core.forget_host(host)
        driver.core.links.pop(host)
    for host in ("d", "e", "f"):
        add_host(driver, host, "v2")
    resume(driver, "r2", "r1", 2)
    if is_left:
        assert get_open(driver, "r2").host == first
        return
    assert driver.list_commands(events.Refuse)[-1].refusal == (
        503,
        const.CODE_VERSION_GONE,
        "no host of software version v1, which began the stream, can run it",
        Ran.NO,
        const.DEFAULT_RETRY_AFTER,
    )


# Guards against a caller's later tries at another version: they name the first one.
def test_stream_keeps_its_version_over_several_tries() -> None:
    driver = make_driver(a="v1", b="v2", c="v1", d="v2")
    open_stream(driver, "r0")
    version = driver.core.hosts[send_events(driver, "r0")].version
    driver.handle(events.CallerGone("r0"))
    for number in range(1, 6):
        resume(driver, f"r{number}", "r0", number)
        host = send_events(driver, f"r{number}")
        assert driver.core.hosts[host].version == version
        driver.handle(events.CallerGone(f"r{number}"))


# Guards against refused later tries: the gateway that began the stream is gone by then.
def test_resumed_stream_is_sent_to_the_peers_again() -> None:
    driver = make_driver(a="v1")
    left = RememberedStream(hash_stream("r1"), 2.0, 0.0)
    driver.core.origins.merge(StreamsBegun(POOL, "v1", "gone", (left,)), driver.now)
    assert driver.core.origins.pop_changed(driver.now) == []
    resume(driver, "r2", "r1", 1)
    (sent,) = driver.core.origins.pop_changed(driver.now)
    assert sent.streams[0].stream == left.stream
    assert sent.streams[0].left > left.left


def test_unknown_stream_is_asked_for_and_resumed() -> None:
    driver = make_driver(a="v1", b="v2")
    (asked,) = resume(driver, "r2", "r1", 2)
    assert asked == events.FindOrigin(hash_stream("r1"))
    driver.core.origins.record(
        hash_stream("r1"), Origin(POOL, "v2", "gone"), driver.now + 9.0, driver.now
    )
    driver.handle(events.OriginSettled(hash_stream("r1")))
    assert get_open(driver, "r2").host == "b"


@pytest.mark.parametrize("is_settled", [True, False], ids=["no_peer_knows", "silence"])
def test_stream_that_nobody_knows_is_refused_as_not_run(is_settled: bool) -> None:
    driver = make_driver(a="v1", b="v1")
    resume(driver, "r2", "r1", 2)
    if is_settled:
        driver.handle(events.OriginSettled(hash_stream("r1")))
    else:
        driver.pass_time(const.ORIGIN_TIMEOUT_SECONDS + const.SOURCE_TIMEOUT_SECONDS)
    assert driver.refusal[:2] == (503, const.CODE_VERSION_UNKNOWN)
    assert driver.refusal.ran == Ran.NO
    assert not driver.list_offers()


# Guards against a guess: only one version serves, but another one may have served when
# the stream began, whose name the caller does not give.
def test_resumed_stream_without_a_name_is_refused() -> None:
    driver = make_driver(a="v1", b="v1")
    open_stream(driver, "r2", resumed_after=2)
    assert driver.refusal[:2] == (503, const.CODE_VERSION_UNKNOWN)
    assert not driver.list_offers()


def test_caller_that_leaves_while_its_stream_is_looked_up_gets_no_run() -> None:
    driver = make_driver(a="v1")
    resume(driver, "r2", "r1", 2)
    driver.handle(events.CallerGone("r2"))
    driver.handle(events.OriginSettled(hash_stream("r1")))
    assert not driver.list_offers()
    assert not driver.core.requests


# Guards against a stream that goes on at another upstream: a split leads the new id of
# the caller's attempt elsewhere, or the route was moved between its tries.
@pytest.mark.parametrize("upstreams", [(POOL, OTHER_POOL), (POOL,)])
def test_resumed_stream_stays_at_its_upstream(upstreams: tuple[str, ...]) -> None:
    driver = make_driver(a="v1")
    add_host(driver, "b", "v1", OTHER_POOL)
    origin = Origin(OTHER_POOL, "v1", "b")
    driver.core.origins.record(hash_stream("r1"), origin, driver.now + 9.0, driver.now)
    resume(driver, "r2", "r1", 2, upstreams=upstreams)
    if OTHER_POOL in upstreams:
        assert get_open(driver, "r2").host == "b"
        return
    assert driver.refusal[:2] == (503, const.CODE_ROUTE_MOVED)
    assert driver.refusal.ran == Ran.NO


# A prompt that was prefilled apart, and the KV cache that has lapsed since: the decode
# host of another version may begin the stream, but none may go on with it.
def test_lapsed_kv_cache_does_not_lead_to_another_version() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    request = get_open(driver, "r")
    request.stage, request.kv = PREFILL, None
    add_host(driver, "b", "v2")
    kv = KvRef("a", "", "handle", 9)
    length, checksum = len(request.received), request.checksum()
    driver.receive("a", Handover("r", 1, length, checksum, kv))
    request = get_open(driver, "r")
    assert request.host == "a"
    driver.receive("a", Refused("r", request.attempt, "status 503", 0.1))
    driver.pass_time(5.0)
    assert "b" not in driver.list_offers()


# Guards against mixing where a host keeps its name: it begins again at another version,
# and the stream may have begun at either.
@pytest.mark.parametrize(
    ("seconds", "is_recent", "version"),
    [
        (const.VERSION_LAG_SECONDS - 0.1, True, ""),
        (const.VERSION_LAG_SECONDS + 0.1, True, "v1"),
        (const.VERSION_LAG_SECONDS + 0.1, False, ""),
    ],
    ids=["young", "old", "after_outage"],
)
def test_stream_of_a_host_that_changes_its_version(
    seconds: float, is_recent: bool, version: str
) -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v1")
    driver.pass_time(seconds)
    change_version(driver, "a", "v2", is_recent)
    assert find_version(driver, "r") == version
    lose(driver, "r")
    assert driver.list_offers()[1:] == (["b"] if version else [])


# Guards against lost streams: the end of the former start was seen, and streams that
# began before it began at the former version.
def test_stream_from_before_the_end_of_its_host_keeps_its_version() -> None:
    driver = make_driver(a="v1", b="v1")
    driver.core.hosts["a"].reports_start = driver.core.hosts["b"].reports_start = True
    open_stream(driver, "r1")
    first = send_events(driver, "r1")
    driver.pass_time(const.DOUBT_MARGIN_SECONDS + 0.1)
    lose(driver, "r1", ENDED)
    assert get_open(driver, "r1").host not in (None, first)
    change_version(driver, first, "v2")
    assert find_version(driver, "r1") == "v1"


# Guards against mixing behind an unseen restart: the host refused connections, serves
# again, and its entry is still that of the former start.
@pytest.mark.parametrize("reason", [ENDED, UNREACHED])
def test_host_that_ended_is_doubted_until_the_list_is_current(reason: str) -> None:
    driver = make_driver(a="v1")
    driver.core.hosts["a"].reports_start = True
    open_stream(driver, "r1")
    lose(driver, "r1", reason)
    driver.pass_time(1.0)
    driver.handle(events.CallerGone("r1"))
    open_stream(driver, "r2")
    send_events(driver, "r2")
    assert find_version(driver, "r2") == ""
    driver.handle(events.CallerGone("r2"))
    driver.pass_time(const.VERSION_LAG_SECONDS + 1.0)
    driver.core.confirm_hosts(driver.now)
    open_stream(driver, "r3")
    send_events(driver, "r3")
    assert find_version(driver, "r3") == "v1"


def test_hosts_that_get_a_new_name_with_each_start_are_not_doubted() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r1")
    lose(driver, "r1", ENDED)
    assert not driver.core.doubted_since


# Guards against events of the new version behind those of the former one: the rest was
# offered to a host just before its change of version became known.
def test_rest_from_a_host_that_changed_its_version_is_not_delivered() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v1")
    lose(driver, "r")
    assert get_open(driver, "r").host == "b"
    attempt = get_open(driver, "r").attempt
    change_version(driver, "b", "v2")
    assert driver.list_sent(Cancel)[-1] == ("b", Cancel("r", attempt))
    driver.receive("b", Begun("r", attempt, 200, HEADERS))
    driver.receive("b", Chunk("r", attempt, 15, make_event(2), 2))
    delivered = driver.list_commands(events.Deliver)
    assert [part.data for part in delivered] == [make_event(1)]


# The event is behind the doubt, though the change itself is not known yet.
def test_rest_from_a_host_in_doubt_is_not_delivered() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v1")
    driver.core.hosts["b"].reports_start = True
    lose(driver, "r")
    driver.core.doubt_version("b", driver.now)
    request = get_open(driver, "r")
    driver.receive("b", Begun("r", request.attempt, 200, HEADERS))
    offset = len(request.received)
    driver.receive("b", Chunk("r", request.attempt, offset, make_event(2), 2))
    assert len(driver.list_commands(events.Deliver)) == 1


# Guards against a stream that is taken for one of the known version: its host changed
# its version between the offer and the first event.
def test_stream_that_begins_after_a_change_of_version_is_doubted() -> None:
    driver = make_driver(a="v1")
    open_stream(driver, "r")
    change_version(driver, "a", "v2")
    send_events(driver, "r")
    assert find_version(driver, "r") == ""


def test_edge_with_agents_is_not_bound_to_versions() -> None:
    driver = make_driver(a="v1")
    driver.core.tracks_versions = False
    open_stream(driver, "r")
    send_events(driver, "r")
    add_host(driver, "b", "v2")
    lose(driver, "r")
    assert get_open(driver, "r").host == "b"
    assert not driver.core.origins
