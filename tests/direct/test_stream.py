"""Tests of cutting a stream into whole events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.direct.stream import EventSplitter, continues_stream

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_come_whole_however_they_are_cut(cuts: list[int]) -> None:
    splitter = EventSplitter()
    places = [0, *sorted(cuts), len(STREAM)]
    parts = []
    for begin, end in zip(places, places[1:], strict=False):
        found = splitter.feed(STREAM[begin:end])
        if found is not None:
            parts.append(found)
            assert found.data.endswith((b"\n\n", b"\r\n\r\n"))
    assert b"".join(part.data for part in parts) == STREAM
    assert parts[-1].last == 3
    assert not splitter.rest


def test_half_event_is_held_back() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda").data == b"id: 1\ndata: a\n\n"
    assert splitter.rest == b"id: 2\nda"


def make(*ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)


# Events come twice, or some are missing, where two runs of a stream meet.
@pytest.mark.parametrize(
    ("first", "done", "is_rest"),
    [
        (3, make(1, 2), True),
        (2, make(1, 2), False),
        (1, make(1, 2), False),
        (4, make(1, 2), False),
        (0, make(1, 2), False),
        (8, make(6, 7), True),
        (9, make(2, 4, 7), True),
        (7, make(2, 4, 7), False),
        (1, b"data: x\n\n", False),
    ],
)
def test_rest_begins_behind_the_last_event(
    first: int, done: bytes, is_rest: bool
) -> None:
    assert continues_stream(first, done) == is_rest
