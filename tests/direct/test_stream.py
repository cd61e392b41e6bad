"""Tests of splitting a stream into complete events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.direct.answer_checks import AnswerFault
from radishtally.direct.stream import (
    MAX_EVENT_BYTES,
    MAX_ID_DIGITS,
    EventSplitter,
    continues_stream,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_complete_wherever_the_data_is_split(splits: list[int]) -> None:
    splitter = EventSplitter()
    offsets = [0, *sorted(splits), len(STREAM)]
    batches = []
    for begin, end in zip(offsets, offsets[1:], strict=False):
        batch = splitter.feed(STREAM[begin:end])
        if batch is not None:
            batches.append(batch)
            assert batch.data.endswith((b"\n\n", b"\r\n\r\n"))
    assert b"".join(each.data for each in batches) == STREAM
    assert batches[-1].last == 3
    assert not splitter.rest


def test_partial_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda").data == b"id: 1\ndata: a\n\n"
    assert splitter.rest == b"id: 2\nda"


def make_events(*ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)


# An attempt that does not start right after the last event would make the caller
# receive events twice or miss some.
@pytest.mark.parametrize(
    ("first", "done", "is_continuation"),
    [
        (3, make_events(1, 2), True),
        (2, make_events(1, 2), False),
        (1, make_events(1, 2), False),
        (4, make_events(1, 2), False),
        (0, make_events(1, 2), False),
        (8, make_events(6, 7), True),
        (9, make_events(2, 4, 7), True),
        (7, make_events(2, 4, 7), False),
        (1, b"data: x\n\n", False),
    ],
)
def test_resumed_stream_starts_after_the_last_event(
    first: int, done: bytes, is_continuation: bool
) -> None:
    assert continues_stream(first, done) == is_continuation


# Guards against ids that exceed the range of a float, or the digits that `int` parses.
@pytest.mark.parametrize("digits", [MAX_ID_DIGITS + 1, 400, 5_000])
def test_event_id_out_of_range_is_refused(digits: int) -> None:
    splitter = EventSplitter()
    invalid = b"data: y\nid: %s\n\n" % (b"4" * digits)
    batch = splitter.feed(make_events(1, 2) + invalid + make_events(3))
    assert (batch.data, batch.last) == (make_events(1, 2), 2)
    assert splitter.fault == AnswerFault.EVENT_ID


def test_largest_event_id_is_accepted() -> None:
    number = 10**MAX_ID_DIGITS - 1
    assert EventSplitter().feed(make_events(1, number)).last == number


# Guards against an event without end that fills the memory, and is searched again with
# each piece until its gateway does nothing else.
def test_event_without_end_is_refused_after_a_bounded_number_of_bytes() -> None:
    splitter = EventSplitter()
    batch = splitter.feed(make_events(1) + b"id: 2\ndata: ")
    assert batch.last == 1
    piece = b"x" * 1_000
    for _ in range(MAX_EVENT_BYTES // len(piece) - 1):
        assert splitter.feed(piece) is None
        assert splitter.fault is None
    assert splitter.feed(piece * 2) is None
    assert splitter.fault == AnswerFault.EVENT_BYTES
