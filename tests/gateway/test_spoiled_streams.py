"""Streams whose runs are spoiled one after another, as their callers see them."""

from collections.abc import Sequence
from itertools import chain, repeat
from typing import NamedTuple

import aiohttp
import pytest

from standins.spoiling import CLOSE, SOUND, RunFault
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt

PATH = "/draft/a"
ONCE_PATH = "/sheet/a"
LONG = "of another answer " * 20
"""Body that is longer than all events."""
FAILED = RunFault(status=500, body=LONG)
MISSING = RunFault(status=404, body=LONG)
MOVED = RunFault(status=302, body=LONG)
EMPTY = RunFault(status=204)
RESET = RunFault(cut_after=2)
RESET_HEAD = RunFault(cut_after=0)
UNFRAMED = RunFault(is_unframed=True)
CLOSED = RunFault(cut_after=2, is_unframed=True, end=CLOSE)
"""Neither length nor chunks, and an end within an event that is no reset."""
CLOSED_HEAD = RunFault(cut_after=0, is_unframed=True, end=CLOSE, half=False)


class Received(NamedTuple):
    """Hold what a caller got."""

    status: int
    body: bytes
    is_whole: bool
    signature: str


async def receive(env: Deployment, path: str, **more: str) -> Received:
    """Send a request and take what comes of its answer."""
    body = b""
    headers = make_prompt("r1", **more)
    async with (
        aiohttp.ClientSession() as session,
        session.post(env.url + path, headers=headers) as response,
    ):
        signature = response.headers.get("X-Server-Signature", "")
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            return Received(response.status, body, False, signature)
        return Received(response.status, body, True, signature)


def run_with_faults(
    faults: Sequence[RunFault], path: str = PATH, **more: str
) -> Received:
    """Give what a caller gets whose runs are spoiled in turn; later ones are sound."""
    taken = []

    async def ask() -> None:
        script = chain(faults, repeat(SOUND))
        async with deployment() as env:
            engines = [StagedEngine("p-1", "prefill")]
            engines += [StagedEngine(f"d-{n}", "decode") for n in (1, 2, 3)]
            for engine in engines:
                engine.faults = script
                await env.serve_engine(engine)
            taken.append(await receive(env, path, **more))

    run(ask())
    return taken[0]


def make_events(last: int) -> bytes:
    """Make the answer's events up to one."""
    return b"".join(make_event("r1", number) for number in range(1, last + 1))


# A stream ends as complete after a part: it has broken off, no attempt is left, and the
# failure of an earlier run is taken for its end.
def test_stream_that_breaks_off_after_a_failure_does_not_end_as_complete() -> None:
    taken = run_with_faults([FAILED, RESET])
    assert (taken.status, taken.body) == (200, make_events(2))
    assert not taken.is_whole


# The caller gets an empty stream as complete where engines have only failed: the head
# of one that gave no event was passed on.
@pytest.mark.parametrize(
    "faults", [[FAILED, RESET_HEAD], [RESET_HEAD, FAILED]], ids=["before", "after"]
)
def test_failure_is_given_whole_where_no_event_was(faults: list[RunFault]) -> None:
    taken = run_with_faults(faults)
    assert taken == (500, LONG.encode(), True, taken.signature)
    assert taken.signature


# Bytes of another answer come behind the events of a stream: a second run answers with
# something else than its rest.
@pytest.mark.parametrize(
    "second",
    [FAILED, MISSING, MOVED, EMPTY],
    ids=lambda fault: str(fault.status),
)
def test_another_answer_is_not_added_to_a_stream(second: RunFault) -> None:
    taken = run_with_faults([RESET, second])
    assert (taken.status, taken.body) == (200, make_events(2))
    assert not taken.is_whole


# A part of an event is given, and the stream ends as complete: a close of an answer
# without framing counts as its end wherever it comes.
def test_stream_that_is_closed_within_an_event_goes_on_elsewhere() -> None:
    taken = run_with_faults([CLOSED])
    assert (taken.body, taken.is_whole) == (make_events(EVENTS), True)


def test_once_stream_that_is_closed_within_an_event_is_broken_off() -> None:
    taken = run_with_faults([CLOSED], ONCE_PATH)
    assert (taken.status, taken.body) == (200, make_events(2))
    assert not taken.is_whole


# An empty stream is given as a whole answer: an engine has closed one without framing
# behind its head.
def test_closed_head_is_no_answer() -> None:
    assert run_with_faults([CLOSED_HEAD]).body == make_events(EVENTS)


# Events come twice, or some are missing: a run does not begin where it was asked to.
@pytest.mark.parametrize("first", [1, 2, 4])
def test_run_that_goes_on_elsewhere_than_asked_is_not_joined(first: int) -> None:
    taken = run_with_faults([RESET, RunFault(first_event=first)])
    assert (taken.status, taken.body) == (200, make_events(2))
    assert not taken.is_whole


# Events come twice: a caller goes on behind the events that it has, and the engine
# begins anew.
def test_run_that_ignores_where_its_caller_goes_on_is_not_given() -> None:
    taken = run_with_faults([RunFault(first_event=1)], **{"Last-Event-Id": "2"})
    assert taken.is_whole
    assert make_events(2) + taken.body == make_events(EVENTS)


@pytest.mark.parametrize("path", [PATH, ONCE_PATH])
def test_stream_without_framing_that_is_closed_behind_its_last_event_is_whole(
    path: str,
) -> None:
    taken = run_with_faults([UNFRAMED], path)
    assert (taken.body, taken.is_whole) == (make_events(EVENTS), True)


@pytest.mark.parametrize(
    "fault", [RESET, FAILED, RESET_HEAD], ids=["reset", "failed", "reset_head"]
)
def test_stream_is_whole_where_a_second_run_is(fault: RunFault) -> None:
    taken = run_with_faults([fault])
    assert (taken.status, taken.body, taken.is_whole) == (
        200,
        make_events(EVENTS),
        True,
    )


@pytest.mark.parametrize("fault", [RESET, RESET_HEAD], ids=["reset", "reset_head"])
def test_stream_that_may_not_be_resumed_is_broken_off(fault: RunFault) -> None:
    taken = run_with_faults([fault], ONCE_PATH)
    assert taken.status in (200, 502)
    assert not (taken.status == 200 and taken.is_whole)
