"""Tests of the known gateways while a restored store lacks some of them."""

from radishtally.gateway import roster
from radishtally.gateway.const import ERA_READ_SPREAD_SECONDS, PEER_READ_SECONDS
from radishtally.gateway.registry import GATEWAYS_PARTITION, WRITE_TIMEOUT_SECONDS
from radishtally.gateway.roster import ERA_SETTLE_SECONDS, Roster
from radishtally.store.core import Key, Row

THREE = ("gateway-1", "gateway-2", "gateway-3")


def make_rows(*names: str) -> dict[str, Row]:
    return {name: Row(Key(GATEWAYS_PARTITION, name), 1, "w", {}) for name in names}


def make_roster() -> Roster:
    """Make a roster that contains three gateways."""
    known = Roster()
    known.update(make_rows(*THREE), 0.0)
    return known


def test_without_a_new_era_the_roster_equals_the_stored_rows() -> None:
    known = make_roster()
    assert set(known.update(make_rows("gateway-1"), 0.0)) == {"gateway-1"}
    assert set(known.update(make_rows(*THREE), 1.0)) == set(THREE)
    known.record_read_failure()
    assert not known.is_read_pending
    assert set(known.update(make_rows("gateway-1"), 2.0)) == {"gateway-1"}


# Guards against too many retries: while gateways write their rows again one by one,
# each finds few others and would use a large share of the retry budget.
def test_gateways_that_may_write_again_are_kept() -> None:
    known = make_roster()
    known.enter_era()
    assert set(known.update(make_rows("gateway-1"), 100.0)) == set(THREE)
    added = known.update(make_rows("gateway-1", "gateway-4"), 101.0)
    assert set(added) == {*THREE, "gateway-4"}
    late = 99.9 + ERA_SETTLE_SECONDS
    assert set(known.update(make_rows("gateway-1"), late)) == {*THREE, "gateway-4"}
    others = PEER_READ_SECONDS + ERA_READ_SPREAD_SECONDS + WRITE_TIMEOUT_SECONDS
    assert 2 * others <= ERA_SETTLE_SECONDS


# Guards against a gateway that left while the store was away, and that is dialled and
# shares the retry budget forever, as its row does not come back.
def test_gateways_that_did_not_write_again_are_dropped() -> None:
    known = make_roster()
    known.enter_era()
    known.update(make_rows("gateway-1"), 100.0)
    rows = make_rows("gateway-1", "gateway-2")
    assert known.update(rows, 100.0 + ERA_SETTLE_SECONDS) == rows
    assert known.update(make_rows("gateway-1"), 200.0) == make_rows("gateway-1")


# Guards against dropped links to live gateways: the store goes away again soon after
# the change of era, for half a minute. No gateway can write meanwhile, so the settle
# time must start again once the store answers.
def test_settle_time_starts_again_after_an_outage() -> None:
    known = make_roster()
    known.enter_era()
    assert known.is_read_pending
    known.update(make_rows("gateway-1"), 100.0)
    assert not known.is_read_pending
    known.record_read_failure()
    assert known.is_read_pending
    assert set(known.update(make_rows("gateway-1"), 200.0)) == set(THREE)
    late = 199.9 + ERA_SETTLE_SECONDS
    assert set(known.update(make_rows("gateway-1"), late)) == set(THREE)


# As above, but the store is restored a second time before the settle time has passed.
def test_second_restore_starts_the_settle_time_again() -> None:
    known = make_roster()
    known.enter_era()
    known.update(make_rows("gateway-1"), 100.0)
    known.enter_era()
    assert known.is_read_pending
    late = 100.0 + roster.ERA_SETTLE_SECONDS
    assert set(known.update(make_rows("gateway-1"), late)) == set(THREE)


# A row that was written again replaces the kept one: its gateway may have restarted at
# another address.
def test_stored_rows_replace_kept_ones() -> None:
    known = make_roster()
    known.enter_era()
    moved = Row(
        Key(GATEWAYS_PARTITION, "gateway-2"), 1, "w", {"address": "127.0.0.1:9"}
    )
    rows = known.update({"gateway-2": moved}, 100.0)
    assert rows["gateway-2"] == moved
    assert set(rows) == set(THREE)
