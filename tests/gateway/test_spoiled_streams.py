"""Tests of streams whose runs fail in turn, from the callers' point of view."""

from collections.abc import Sequence
from itertools import chain, repeat
from typing import NamedTuple

import aiohttp
import pytest

from standins.spoiling import CLOSE, FINISH, SOUND, RunFault
from standins.spoiling import RESET as RESET_END
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt

PATH = "/draft/a"
ONCE_PATH = "/sheet/a"
LONG = "of another answer " * 20
"""Body that is longer than all events together."""
FAILED = RunFault(status=500, body=LONG)
MISSING = RunFault(status=404, body=LONG)
MOVED = RunFault(status=302, body=LONG)
EMPTY = RunFault(status=204)
RESET = RunFault(cut_after=2)
RESET_HEAD = RunFault(cut_after=0)
UNFRAMED = RunFault(is_unframed=True)
CLOSED = RunFault(cut_after=2, is_unframed=True, end=CLOSE)
"""Answer without framing whose connection is closed, not reset, within an event."""
CLOSED_HEAD = RunFault(cut_after=0, is_unframed=True, end=CLOSE, half=False)

HUGE_ID = b"id: " + 400 * b"4" + b"\ndata: x\n\n"
"""Event whose id exceeds the range of a float."""

ENDED = RunFault(cut_after=2, end=FINISH)
"""Answer that ends regularly within an event."""
ENDED_UNFRAMED = RunFault(cut_after=2, is_unframed=True, end=FINISH)


class Received(NamedTuple):
    """Hold what a caller received."""

    status: int
    body: bytes
    is_whole: bool
    signature: str


async def receive(
    env: Deployment, path: str, name: str = "r1", **more: str
) -> Received:
    """Send a request and read its answer as far as it comes."""
    body = b""
    headers = make_prompt(name, **more)
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
    faults: Sequence[RunFault], path: str = PATH, begun_as: str = "", **more: str
) -> Received:
    """Return what a caller receives if its runs fail in turn; later ones succeed.

    The first runs are those of a stream that the caller resumes, if it has begun one.
    """
    received = []

    async def ask() -> None:
        script = chain(faults, repeat(SOUND))
        async with deployment() as env:
            engines = [StagedEngine("p-1", "prefill")]
            engines += [StagedEngine(f"d-{n}", "decode") for n in (1, 2, 3)]
            for engine in engines:
                engine.faults = script
                await env.serve_engine(engine)
            if begun_as:
                assert not (await receive(env, path, begun_as)).is_whole
                more["Resumes"] = begun_as
            received.append(await receive(env, path, **more))
            assert not env.gateway.runtime.broken
            assert not env.gateway.runtime.contained_errors

    run(ask())
    return received[0]


def make_events(last: int) -> bytes:
    """Make the events of the answer up to this number."""
    return b"".join(make_event("r1", number) for number in range(1, last + 1))


# Guards against a partial stream that looks complete: it is aborted, no attempt is
# left, and the failure of an earlier run is taken for its end.
def test_stream_aborted_after_a_failure_does_not_look_complete() -> None:
    received = run_with_faults([FAILED, RESET])
    assert (received.status, received.body) == (200, make_events(2))
    assert not received.is_whole


# Guards against an empty stream that looks complete when all engines have failed: the
# head of an answer without events was forwarded.
@pytest.mark.parametrize(
    "faults", [[FAILED, RESET_HEAD], [RESET_HEAD, FAILED]], ids=["before", "after"]
)
def test_failure_is_returned_if_no_event_was_sent(faults: list[RunFault]) -> None:
    received = run_with_faults(faults)
    assert received == (500, LONG.encode(), True, received.signature)
    assert received.signature


# Guards against data of another answer after the events of a stream: a second run
# answers with something other than the remaining events.
@pytest.mark.parametrize(
    "second",
    [FAILED, MISSING, MOVED, EMPTY],
    ids=lambda fault: str(fault.status),
)
def test_other_answer_is_not_appended_to_a_stream(second: RunFault) -> None:
    received = run_with_faults([RESET, second])
    assert (received.status, received.body) == (200, make_events(2))
    assert not received.is_whole


# Guards against a partial event in a stream that looks complete: the close of an answer
# without framing is taken for its end at any position.
def test_stream_that_is_closed_within_an_event_is_resumed() -> None:
    received = run_with_faults([CLOSED])
    assert (received.body, received.is_whole) == (make_events(EVENTS), True)


def test_non_resumable_stream_that_is_closed_within_an_event_is_aborted() -> None:
    received = run_with_faults([CLOSED], ONCE_PATH)
    assert (received.status, received.body) == (200, make_events(2))
    assert not received.is_whole


# Guards against an empty stream that looks complete: an engine closes an answer without
# framing directly after its head.
def test_answer_closed_after_its_head_is_retried() -> None:
    assert run_with_faults([CLOSED_HEAD]).body == make_events(EVENTS)


# Guards against duplicate or missing events: a run does not start at the requested one.
@pytest.mark.parametrize("first", [1, 2, 4])
def test_run_that_resumes_at_another_event_is_not_appended(first: int) -> None:
    received = run_with_faults([RESET, RunFault(first_event=first)])
    assert (received.status, received.body) == (200, make_events(2))
    assert not received.is_whole


# Guards against duplicate events: a caller resumes after the events that it has, and
# the engine starts from the beginning.
def test_run_that_ignores_where_its_caller_resumes_is_not_returned() -> None:
    faults = [RESET, RESET_HEAD, RunFault(first_event=1)]
    received = run_with_faults(faults, begun_as="r0", **{"Last-Event-Id": "2"})
    assert received.is_whole
    assert make_events(2) + received.body == make_events(EVENTS)


@pytest.mark.parametrize("path", [PATH, ONCE_PATH])
def test_stream_without_framing_that_is_closed_after_its_last_event_is_complete(
    path: str,
) -> None:
    received = run_with_faults([UNFRAMED], path)
    assert (received.body, received.is_whole) == (make_events(EVENTS), True)


@pytest.mark.parametrize(
    "fault", [RESET, FAILED, RESET_HEAD], ids=["reset", "failed", "reset_head"]
)
def test_stream_is_complete_if_the_second_run_is(fault: RunFault) -> None:
    received = run_with_faults([fault])
    assert (received.status, received.body, received.is_whole) == (
        200,
        make_events(EVENTS),
        True,
    )


@pytest.mark.parametrize("fault", [RESET, RESET_HEAD], ids=["reset", "reset_head"])
def test_non_resumable_stream_is_aborted(fault: RunFault) -> None:
    received = run_with_faults([fault], ONCE_PATH)
    assert received.status in (200, 502)
    assert not (received.status == 200 and received.is_whole)


# Guards against a stream that looks complete although its host stopped within an event
# and then ended the answer as a complete one, with the last chunk or by closing it.
@pytest.mark.parametrize("fault", [ENDED, ENDED_UNFRAMED], ids=["framed", "unframed"])
def test_stream_that_ends_within_an_event_is_broken_off(fault: RunFault) -> None:
    once = run_with_faults([fault], ONCE_PATH)
    assert (once.status, once.body, once.is_whole) == (200, make_events(2), False)
    resumed = run_with_faults([fault])
    assert (resumed.body, resumed.is_whole) == (make_events(EVENTS), True)


@pytest.mark.parametrize("fault", [ENDED, ENDED_UNFRAMED], ids=["framed", "unframed"])
def test_first_event_that_is_cut_off_is_not_sent(fault: RunFault) -> None:
    received = run_with_faults([fault._replace(cut_after=0)], ONCE_PATH)
    assert received.status == 502


# Guards against an event id that ends the gateway: as a float it overflows.
@pytest.mark.parametrize("cut_after", [0, 2], ids=["first", "later"])
@pytest.mark.parametrize("end", [FINISH, RESET_END], ids=["ended", "reset"])
def test_stream_with_an_id_out_of_range_is_resumed(cut_after: int, end: str) -> None:
    fault = RunFault(cut_after=cut_after, rest=HUGE_ID, end=end)
    received = run_with_faults([fault])
    assert (received.body, received.is_whole) == (make_events(EVENTS), True)


def test_non_resumable_stream_with_an_id_out_of_range_is_aborted() -> None:
    fault = RunFault(cut_after=2, rest=HUGE_ID, end=FINISH)
    received = run_with_faults([fault], ONCE_PATH)
    assert (received.status, received.body) == (200, make_events(2))
    assert not received.is_whole
