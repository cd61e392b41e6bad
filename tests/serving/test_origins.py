"""Tests of what is remembered of the streams that callers may resume."""

from radishtally.links.gateway_messages import RememberedStream, StreamsBegun
from radishtally.serving.origins import (
    MAX_STREAMS_PER_MESSAGE,
    Origin,
    StreamOrigins,
    hash_stream,
)

V1 = Origin("pool", "v1", "a")
NOW = 100.0


def make_stream(number: int = 0) -> bytes:
    return hash_stream(f"r{number}")


def make_news(origin: Origin = V1, number: int = 0, age: float = 0.0) -> StreamsBegun:
    """Make a peer's message about one stream."""
    stream = RememberedStream(make_stream(number), 9.0, age)
    return StreamsBegun(*origin, (stream,))


def find_version(origins: StreamOrigins, number: int = 0) -> str | None:
    origin = origins.find(make_stream(number))
    return None if origin is None else origin.version


def test_stream_is_remembered_until_its_caller_can_no_longer_return() -> None:
    origins = StreamOrigins()
    origins.record(make_stream(), V1, NOW + 5.0, NOW)
    origins.record(make_stream(), V1, NOW + 9.0, NOW + 1.0)
    origins.expire(NOW + 8.0)
    assert find_version(origins) == "v1"
    origins.expire(NOW + 10.1)
    assert len(origins) == 0


# Guards against memory that grows with the traffic.
def test_streams_that_expire_first_are_forgotten_beyond_the_limit() -> None:
    origins = StreamOrigins(max_streams=10)
    for number in range(30):
        origins.record(make_stream(number), V1, NOW + number, NOW)
    assert len(origins) == 10
    assert find_version(origins, 0) is None
    assert find_version(origins, 29) == "v1"


# Guards against a guess between two peers that contradict each other.
def test_stream_of_two_versions_is_of_none() -> None:
    for other in (V1._replace(version="v2"), V1._replace(upstream="other")):
        origins = StreamOrigins()
        origins.record(make_stream(), V1, NOW + 9.0, NOW)
        origins.merge(make_news(other), NOW)
        assert find_version(origins) == ""
        origins.merge(make_news(V1), NOW)
        assert find_version(origins) == ""


# Guards against mixing where a peer is cut off from the store: it reports a stream at
# the version that its host had before it began again.
def test_peer_that_missed_a_change_of_version_is_not_believed() -> None:
    origins = StreamOrigins()
    origins.change_version("a", "v2", NOW - 3.0, NOW)
    origins.merge(make_news(age=1.0), NOW + 1.0)
    assert find_version(origins) == ""
    origins.merge(make_news(number=1, age=5.0), NOW + 1.0)
    assert find_version(origins, 1) == "v1"
    origins.merge(make_news(V1._replace(version="v2"), 2, age=1.0), NOW + 1.0)
    assert find_version(origins, 2) == "v2"


# Guards against refused streams: one that began long before a change of version is
# recorded again behind it, for a later try.
def test_stream_that_is_recorded_again_is_as_old_as_before() -> None:
    origins = StreamOrigins()
    origins.record(make_stream(), V1, NOW + 9.0, NOW)
    origins.change_version("a", "v2", NOW + 4.0, NOW + 5.0)
    origins.record(make_stream(), V1, NOW + 20.0, NOW + 6.0)
    assert find_version(origins) == "v1"


def test_only_own_streams_are_sent_and_each_change_once() -> None:
    origins = StreamOrigins()
    origins.record(make_stream(0), V1, NOW + 9.0, NOW)
    origins.merge(make_news(number=1), NOW)
    (sent,) = origins.pop_changed(NOW + 0.5)
    assert sent == StreamsBegun(*V1, (RememberedStream(make_stream(0), 8.5, 0.5),))
    assert origins.pop_changed(NOW) == []
    assert origins.list_own(NOW + 0.5) == [sent]
    origins.change_version("a", "v2", NOW - 1.0, NOW)
    (sent,) = origins.pop_changed(NOW)
    assert (sent.version, len(sent.streams)) == ("", 1)


# Guards against a peer that takes a stream for younger than it is, and so for one that
# began behind a change of version, or for older.
def test_age_of_a_stream_is_never_overstated() -> None:
    origins = StreamOrigins()
    origins.record(make_stream(), V1, NOW + 90.0, NOW)
    for step in range(40):
        now = NOW + step * 0.037
        message = origins.describe(make_stream(), now)
        assert now - 0.1 - 1e-9 <= NOW + message.streams[0].age <= now + 1e-9


def test_messages_about_many_streams_are_of_limited_size() -> None:
    origins = StreamOrigins()
    count = 2 * MAX_STREAMS_PER_MESSAGE + 1
    for number in range(count):
        origins.record(make_stream(number), V1, NOW + 9.0, NOW)
    sizes = [len(message.streams) for message in origins.pop_changed(NOW)]
    assert sizes == [MAX_STREAMS_PER_MESSAGE, MAX_STREAMS_PER_MESSAGE, 1]
