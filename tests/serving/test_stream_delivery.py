"""Tests of what a caller receives of an event stream when its attempts fail."""

import xxhash
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from radishtally.links.messages import (
    STREAM,
    Accepted,
    Begun,
    Chunk,
    Finished,
    Lost,
    Refused,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving import events
from radishtally.serving.requests import OpenRequest
from tests.entry.common import POOL, Driver

EVENTS = 5
HEADERS = (("X-Signed", "by-host"),)
FAILURES = st.sampled_from([302, 404, 500, 503])
REPLIES = (
    events.Begin,
    events.Deliver,
    events.End,
    events.AbortAnswer,
    events.Finish,
    events.Refuse,
)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


WHOLE = b"".join(make_event(number + 1) for number in range(EVENTS))


def make_work(is_idempotent: bool = True) -> Work:
    """Build the work of a stream request."""
    return Work("r", "team", POOL, STREAM, b"", idempotent=is_idempotent)


def make_end(attempt: int, status: int, body: bytes) -> Finished:
    """Build the final message of an attempt's answer."""
    checksum = xxhash.xxh64_intdigest(body)
    return Finished("r", attempt, len(body), checksum, status, "", 0, 0, HEADERS)


# A stream whose events have no ids can't be resumed: a second attempt would send the
# caller the same events again.
def test_stream_without_ids_is_not_restarted() -> None:
    driver = Driver()
    driver.open(make_work())
    host, _ = driver.find_offer()
    driver.receive(host, Begun("r", 1, 200, HEADERS))
    driver.receive(host, Chunk("r", 1, 0, b"data: x\n\n", 0))
    driver.receive(host, Lost("r", 1, Ran.UNKNOWN, "reset", 0))
    assert len(driver.list_offers()) == 1
    assert driver.list_commands(events.AbortAnswer)


class StreamDelivery(RuleBasedStateMachine):
    """Fail the attempts of one stream in any way and order."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(hosts=3)
        self.driver.open(make_work())
        self.failures: set[tuple[int, bytes]] = set()
        self.bodies = 0

    @property
    def request(self) -> OpenRequest | None:
        """The request, or None once it has its final reply."""
        return self.driver.core.requests.get("r")

    def is_running(self) -> bool:
        """Return whether the request is at a host."""
        return self.request is not None and self.request.host is not None

    def is_streaming(self) -> bool:
        """Return whether the current attempt has begun to stream."""
        return self.is_running() and self.request.head is not None

    def _receive(self, kind: type, *rest: object) -> None:
        request = self.request
        self.driver.receive(request.host, kind("r", request.attempt, *rest))

    @precondition(lambda self: self.is_running() and not self.is_streaming())
    @rule()
    def begin(self) -> None:
        self._receive(Accepted, 0.0)
        self._receive(Begun, 200, HEADERS)

    @precondition(is_streaming)
    @rule()
    def send_event(self) -> None:
        number = self.request.tokens + 1
        if number <= EVENTS:
            offset = len(self.request.received)
            self._receive(Chunk, offset, make_event(number), number)

    @precondition(is_streaming)
    @rule()
    def end(self) -> None:
        if self.request.tokens == EVENTS:
            end = make_end(self.request.attempt, 200, WHOLE)
            self.driver.receive(self.request.host, end)

    @precondition(lambda self: self.is_running() and not self.is_streaming())
    @rule(status=FAILURES, length=st.integers(0, 200))
    def answer_with_other_status(self, status: int, length: int) -> None:
        self.bodies += 1
        body = (b"<%d>" % self.bodies * 100)[:length]
        self.failures.add((status, body))
        request = self.request
        host, attempt = request.host, request.attempt
        if body:
            self.driver.receive(host, Chunk("r", attempt, 0, body, 0))
        self.driver.receive(host, make_end(attempt, status, body))

    @precondition(is_running)
    @rule()
    def lose(self) -> None:
        self._receive(Lost, Ran.UNKNOWN, "reset", 0)

    @precondition(lambda self: self.is_running() and not self.is_streaming())
    @rule()
    def refuse(self) -> None:
        self._receive(Refused, "full", 0.1)

    @rule(seconds=st.sampled_from([0.1, 1.0, 40.0]))
    def pass_time(self, seconds: float) -> None:
        self.driver.pass_time(seconds)

    @rule()
    def leave(self) -> None:
        self.driver.handle(events.Shutdown())

    @invariant()
    def caller_gets_one_consistent_answer(self) -> None:
        """Check the order and the content of the replies to the caller."""
        replies = self.driver.list_commands(REPLIES)
        if not replies:
            return
        first, *rest = replies
        if isinstance(first, events.Refuse | events.Finish):
            assert not rest
            is_refused = isinstance(first, events.Refuse)
            assert is_refused or (first.end.status, first.body) in self.failures
            return
        assert isinstance(first, events.Begin) and first.status == 200
        ends = [part for part in rest if not isinstance(part, events.Deliver)]
        assert not ends or ends == rest[-1:]
        received = b"".join(part.data for part in rest if part not in ends)
        assert received and WHOLE.startswith(received)
        if ends:
            is_whole = isinstance(ends[0], events.End)
            assert is_whole or isinstance(ends[0], events.AbortAnswer)
            assert not is_whole or received == WHOLE

    @invariant()
    def request_is_closed_by_its_final_reply(self) -> None:
        ends = (events.Refuse, events.Finish, events.AbortAnswer, events.End)
        assert (self.request is None) == bool(self.driver.list_commands(ends))


TestStreamDelivery = StreamDelivery.TestCase
TestStreamDelivery.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
