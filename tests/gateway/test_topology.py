"""Tests of who tells whom among the gateways."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.gateway.topology import (
    COLLECTORS,
    MESH_GATEWAYS,
    choose_collector,
    choose_dialled,
)

COUNTS = [1, 2, MESH_GATEWAYS, MESH_GATEWAYS + 1, 31, 330]


def make_names(count: int) -> list[str]:
    return [f"front-{number}" for number in range(count)]


@pytest.mark.parametrize("count", COUNTS)
def test_no_two_gateways_dial_each_other(count: int) -> None:
    names = make_names(count)
    pairs = [(own, peer) for own in names for peer in choose_dialled(names, own, ())]
    assert len({frozenset(pair) for pair in pairs}) == len(pairs)


@pytest.mark.parametrize("count", COUNTS)
def test_links_grow_with_the_gateways(count: int) -> None:
    names = make_names(count)
    links = sum(len(choose_dialled(names, own, ())) for own in names)
    assert links <= max(MESH_GATEWAYS**2, COLLECTORS * count)


@given(st.sets(st.sampled_from(make_names(40)), min_size=MESH_GATEWAYS + 1))
def test_all_agree_on_who_collects(names: set[str]) -> None:
    chosen = set()
    for own in names:
        linked = {peer for peer in names if peer in choose_dialled(names, own, ())}
        linked |= {peer for peer in names if own in choose_dialled(names, peer, ())}
        chosen.add(choose_collector(names, own, linked))
    assert len(chosen) == 1


# Gateways that were removed for good are still listed: whoever ranks first among them
# would be waited for, and nobody would hear of the others' work.
def test_gateways_that_do_not_answer_are_passed_over() -> None:
    names = make_names(31)
    own = "front-7"
    first = choose_dialled(names, own, ())
    more = choose_dialled(names, own, first)
    assert more[: len(first)] == first
    assert len(more) == 2 * COLLECTORS


def test_few_gateways_need_nobody_to_collect() -> None:
    names = make_names(MESH_GATEWAYS)
    assert choose_collector(names, names[0], names[1:]) is None
