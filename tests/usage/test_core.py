"""Counts of requests by window, merged from several gateways in any order."""

import random

import pytest

from radishtally.links.gateway_messages import TeamCount, UsageCounts
from radishtally.usage.clock import SteadyClock
from radishtally.usage.const import (
    CLOSE_SECONDS,
    KEPT_WINDOWS,
    MAX_CLOSE_WAIT_SECONDS,
)
from radishtally.usage.core import Source, UsageLedger

WINDOW_SECONDS = 5.0
FIRST = 353_445_120
"""First window in which requests are counted."""
START = FIRST * WINDOW_SECONDS


def make_ledger(gateway: str = "g-1", incarnation: str = "1") -> UsageLedger:
    return UsageLedger(Source(gateway, incarnation), WINDOW_SECONDS)


def test_requests_are_counted_in_the_window_in_which_they_began() -> None:
    ledger = make_ledger()
    for offset, team in ((0.0, "silk"), (4.999, "silk"), (5.0, "silk"), (1.0, "satin")):
        ledger.count(team, START + offset)
    assert ledger.sum_counts(FIRST) == {"satin": 1, "silk": 2}
    assert ledger.sum_counts(FIRST + 1) == {"silk": 1}


# Guards against counts that depend on the way of the messages: they are sent again,
# come late, out of order and over two collectors.
def test_counts_are_the_same_whatever_the_order_of_messages() -> None:
    rng = random.Random(7)
    sources = [make_ledger(f"g-{n}", str(i)) for n in range(4) for i in range(2)]
    messages: list[UsageCounts] = []
    expected = 0
    for step in range(60):
        rng.choice(sources).count(rng.choice(["silk", "satin"]), START)
        expected += 1
        if step % 5 == 0:
            for source in sources:
                messages += source.pop_changes(START)
    for source in sources:
        messages += source.list_all()
    for _ in range(20):
        ledger = make_ledger("holder")
        rng.shuffle(messages)
        for message in messages:
            ledger.merge(message)
        assert sum(ledger.sum_counts(FIRST).values()) == expected


# Guards against requests that are missing for good because one message was lost with
# its link: the message that closes a window repeats all of its counts.
def test_closing_a_window_repeats_its_counts() -> None:
    ledger, holder = make_ledger(), make_ledger("holder")
    ledger.count("silk", START)
    ledger.pop_changes(START)
    end = START + WINDOW_SECONDS
    assert ledger.pop_changes(end) == []
    (closing,) = ledger.pop_changes(end + CLOSE_SECONDS)
    assert closing == UsageCounts("g-1", "1", FIRST, True, (TeamCount("silk", 1),))
    holder.merge(closing)
    assert holder.sum_counts(FIRST) == {"silk": 1}
    assert ledger.pop_changes(end + 2.0) == []


# Guards against a report that lacks the last requests of a gateway, and against one
# that waits forever for a gateway that was killed.
def test_window_is_ready_once_all_gateways_have_closed_it() -> None:
    holder, other = make_ledger("holder"), make_ledger("other")
    for ledger in (holder, other):
        ledger.count("silk", START)
    for message in other.pop_changes(START):
        holder.merge(message)
    closes_at = START + WINDOW_SECONDS + CLOSE_SECONDS
    holder.pop_changes(closes_at)
    assert holder.list_ready(closes_at) == []
    assert holder.list_unclosed(FIRST) == ["other"]
    given_up_at = START + WINDOW_SECONDS + MAX_CLOSE_WAIT_SECONDS
    assert holder.list_ready(given_up_at) == [FIRST]
    for message in other.pop_changes(closes_at):
        holder.merge(message)
    assert holder.list_ready(closes_at) == [FIRST]


# Guards against a report without the requests of a gateway that was cut off just as the
# window began.
def test_window_waits_for_a_gateway_that_counted_in_the_one_before() -> None:
    holder, other = make_ledger("holder"), make_ledger("other")
    other.count("silk", START)
    for message in other.list_all():
        holder.merge(message)
    holder.count("silk", START + WINDOW_SECONDS)
    closes_at = START + 2 * WINDOW_SECONDS + CLOSE_SECONDS
    holder.pop_changes(closes_at)
    assert holder.list_unclosed(FIRST + 1) == ["other"]
    assert FIRST + 1 not in holder.list_ready(closes_at)


def test_old_windows_are_dropped_and_not_counted_again() -> None:
    ledger = make_ledger()
    ledger.count("silk", START)
    message = UsageCounts("g-2", "1", FIRST, False, (TeamCount("silk", 3),))
    ledger.drop_old(START + (KEPT_WINDOWS + 2) * WINDOW_SECONDS)
    ledger.merge(message)
    ledger.count("silk", START)
    assert ledger.list_all() == []


@pytest.mark.parametrize("jump", [-2.0, 2.0, 3600.0])
def test_jump_of_the_time_of_day_does_not_move_the_clock(jump: float) -> None:
    steady, offset = 100.0, 1_700_000_000.0
    clock = SteadyClock(lambda: steady + offset, lambda: steady)
    for _ in range(40):
        steady += 1.0
        assert clock.read() == steady + 1_700_000_000.0
    offset += jump
    for _ in range(6):
        steady += 1.0
        assert clock.read() == steady + 1_700_000_000.0
