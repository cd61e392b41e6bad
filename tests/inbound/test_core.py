"""Tests of the sum of the bytes that belong to no request yet."""

from radishtally.inbound.const import MIN_UNPARSED_BYTES
from radishtally.inbound.core import UnparsedBytes

THIRD = MIN_UNPARSED_BYTES // 3


def make_closed() -> tuple[UnparsedBytes, list[str]]:
    """Make the sum of a small process, and the list of the connections it closes."""
    return UnparsedBytes(memory_mb=1), []


# Guards against a bound on each connection only: many of them together took the memory.
def test_longest_waiting_connection_is_closed_at_the_limit() -> None:
    unparsed, closed = make_closed()
    for name in "abcd":
        unparsed.record(name, THIRD, lambda name=name: closed.append(name))
    assert closed == ["a"]
    assert unparsed.sum == 3 * THIRD


# Guards against new bytes that let a connection wait as if it had come last.
def test_connection_that_sends_on_keeps_its_place() -> None:
    unparsed, closed = make_closed()
    for name, size in (("a", 1), ("b", THIRD), ("a", THIRD), ("c", 2 * THIRD)):
        unparsed.record(name, size, lambda name=name: closed.append(name))
    assert closed == ["a"]


# Guards against bytes that are counted after their request has begun, or their
# connection has ended.
def test_connection_without_unparsed_bytes_is_not_closed() -> None:
    unparsed, closed = make_closed()
    unparsed.record("a", THIRD, lambda: closed.append("a"))
    unparsed.record("a", 0, lambda: closed.append("a"))
    unparsed.record("b", 2 * MIN_UNPARSED_BYTES, lambda: closed.append("b"))
    assert closed == ["b"]
    assert unparsed.sum == 0
