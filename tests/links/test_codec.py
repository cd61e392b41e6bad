"""Tests of encoding and decoding frames, including arbitrary input."""

from collections.abc import Callable
from types import UnionType
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtally.links.codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from radishtally.links.gateway_messages import (
    Backlog,
    BacklogV1,
    BacklogV2,
    DemandReport,
    DemandReportV1,
    EngineShare,
    HostLimited,
    PartsRead,
    StreamsBegun,
    WaitingTokens,
)
from radishtally.links.kinds import KINDS, Message
from radishtally.links.messages import Ack, Attach, Interval
from radishtally.outcome import Fault

PACK = msgspec.msgpack.Encoder().encode
ACK = KINDS.index(Ack)
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
INTEGERS = st.integers(-(2**63), 2**64 - 1)


def build(hint: Any) -> st.SearchStrategy[Any]:
    """Build a strategy for a type, with numbers in the range of their field."""
    if get_origin(hint) is Annotated:
        kind, bounds = get_args(hint)
        numbers = st.integers if kind is int else st.floats
        return numbers(bounds.ge, bounds.le)
    if hint is int:
        return INTEGERS
    if isinstance(hint, UnionType):
        return st.one_of(*map(build, get_args(hint)))
    if get_origin(hint) is tuple and get_args(hint)[-1] is Ellipsis:
        return st.lists(build(get_args(hint)[0]), max_size=3).map(tuple)
    if not hasattr(hint, "_fields"):
        return st.from_type(hint)
    hints = get_type_hints(hint, include_extras=True)
    return st.builds(hint, **{name: build(inner) for name, inner in hints.items()})


MESSAGES = st.sampled_from(KINDS).flatmap(build)


@settings(max_examples=80)
@given(messages=st.lists(MESSAGES, max_size=3))
def test_messages_survive_a_round_trip(messages: list[Message]) -> None:
    frame = encode_frame(messages)
    assert encode_frame(decode_frame(frame).ok) == frame


@settings(max_examples=150)
@given(frame=st.binary() | VALUES.map(PACK))
def test_any_bytes_are_decoded_or_rejected(frame: bytes) -> None:
    outcome = decode_frame(frame)
    assert outcome.is_ok() or isinstance(outcome.error, Fault)


@settings(max_examples=150)
@given(number=st.integers(-1, len(KINDS) + 1), value=VALUES, extra=st.binary())
def test_any_fields_are_decoded_or_rejected(
    number: int, value: object, extra: bytes
) -> None:
    outcome = decode_frame(PACK([(number, value)]) + extra)
    assert outcome.is_ok() or isinstance(outcome.error, Fault)


@settings(max_examples=80)
@given(message=MESSAGES, data=st.data())
def test_damaged_frame_is_decoded_or_rejected(
    message: Message, data: st.DataObject
) -> None:
    frame = bytearray(encode_frame([message]))
    place = data.draw(st.integers(0, len(frame) - 1))
    frame[place] = data.draw(st.integers(0, 255))
    cut = bytes(frame[: data.draw(st.integers(0, len(frame)))])
    outcome = decode_frame(cut)
    assert outcome.is_ok() or isinstance(outcome.error, Fault)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        PACK([]) + b"\x00",
        PACK([(ACK, ["r", 1])]),
        PACK([(ACK, ["r", 1, 2, 3])]),
        PACK([(ACK, ["r", "one", 2])]),
        PACK([(1,)]),
        PACK([(KINDS.index(Attach), [b"\xff", 1, 0])]),
        b"\x91" * 100_000,
        b"\x91\x92\x00" + b"\x91" * 100_000,
        b"\x90" + b"x" * MAX_FRAME_BYTES,
    ],
    ids=[
        "empty",
        "no opcode",
        "rest",
        "field missing",
        "field too many",
        "wrong type",
        "no message",
        "bytes for text",
        "deep",
        "deep message",
        "oversized",
    ],
)
def test_invalid_frame_is_a_fault(frame: bytes) -> None:
    assert isinstance(decode_frame(frame).error, Fault)


# Guards against broken links between gateways during a rollout. Messages of earlier
# releases have other fields, so each release would reject the other's as damaged.
@pytest.mark.parametrize(
    ("kind", "fields"),
    [
        (BacklogV1, [[["engine", 5, 1]]]),
        (BacklogV2, [[["engine", 5, 1, 9]]]),
        (DemandReportV1, ["llm", 2.5, 1.0]),
    ],
)
def test_messages_of_earlier_releases_are_decoded_and_have_other_kinds(
    kind: type, fields: list
) -> None:
    before = KINDS.index(kind)
    assert isinstance(decode_frame(PACK([(before, fields)])).ok[0], kind)
    assert KINDS.index(Backlog) > before
    assert KINDS.index(DemandReport) > before


def list_unbounded(hint: Any, name: str = "") -> set[str]:
    """List the numeric fields of a type without a range."""
    if get_origin(hint) is Annotated:
        return set()
    if hint in (int, float):
        return {name}
    if hasattr(hint, "_fields"):
        hints = get_type_hints(hint, include_extras=True)
        found = [list_unbounded(inner, field) for field, inner in hints.items()]
    else:
        found = [list_unbounded(inner, name) for inner in get_args(hint)]
    return set().union(*found)


# Guards against a new field that takes any number of a peer.
def test_all_numbers_but_hashes_have_a_range() -> None:
    unbounded = set().union(*map(list_unbounded, KINDS))
    assert unbounded == {
        "checksum",
        "key",
        "parts",
        "prefix",
        "served",
        "start",
        "team",
    }


# Guards against a peer's number that ends the process far from where it was read: an
# infinite or undefined time can't be rounded, and a sum of counts can't be sent on.
@pytest.mark.parametrize(
    ("kind", "make_fields"),
    [
        (Interval, lambda number: [number]),
        (StreamsBegun, lambda left: ["llm", "v1", "d-1", [[b"x", left, 0.0]]]),
        (StreamsBegun, lambda age: ["llm", "v1", "d-1", [[b"x", 1.0, age]]]),
        (HostLimited, lambda limit: ["h-1", 0, limit]),
        (DemandReport, lambda rate: ["llm", rate, 0.0, 0.0, 0.0, 0.0, 0.0]),
        (PartsRead, lambda tokens: ["d-1", 0, [[1, tokens]]]),
    ],
)
@pytest.mark.parametrize(
    "number", [float("inf"), float("-inf"), float("nan"), 2**64 - 1]
)
def test_number_out_of_range_is_a_fault(
    kind: type, make_fields: Callable[[float], list[Any]], number: float
) -> None:
    place = KINDS.index(kind)
    assert decode_frame(PACK([(place, make_fields(1))])).is_ok()
    invalid = decode_frame(PACK([(place, make_fields(number))]))
    assert isinstance(invalid.error, Fault)


# A token count takes three bytes, and each additional priority takes as many again.
@pytest.mark.parametrize("priorities", [1, 2, 3])
def test_share_of_an_engine_stays_small(priorities: int) -> None:
    waiting = tuple(WaitingTokens(each, 100_000) for each in range(priorities))
    share = EngineShare("engine", waiting, 20, 0xFFFF)
    one, two = (len(encode_frame([Backlog((share,) * n)])) for n in (1, 2))
    assert two - one <= len(share.host) + 8 + 7 * priorities


@pytest.mark.parametrize("number", [len(KINDS), 255, -1, 2**63])
def test_unknown_kind_of_a_newer_release_is_skipped(number: int) -> None:
    frame = PACK([(ACK, ["r", 1, 2]), (number, {"new": 1}), (ACK, ["s", 3, 4])])
    assert decode_frame(frame).ok == [Ack("r", 1, 2), Ack("s", 3, 4)]
