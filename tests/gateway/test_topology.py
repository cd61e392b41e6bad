"""Tests of who tells whom among the gateways."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.gateway.topology import (
    COLLECTOR_CANDIDATES,
    MAX_MESH_GATEWAYS,
    Site,
    choose_dialled,
    find_exchange_group,
    is_collector_candidate,
)

COUNTS = [1, 2, MAX_MESH_GATEWAYS, MAX_MESH_GATEWAYS + 1, 31, 330]
DATA_CENTRES = [1, 3, 8]


def make_sites(
    count: int, data_centres: int = 1, cores: float = 1.0
) -> dict[str, Site]:
    return {
        f"front-{number}": Site(f"z-{number % data_centres}", 1.0)
        for number in range(count)
    }


def list_links(sites: dict[str, Site], gone: set[str] = frozenset()) -> set[frozenset]:
    """List the pairs of gateways between which links are up."""
    present = sites.keys() - gone
    return {
        frozenset((own, peer))
        for own in present
        for peer in choose_dialled(sites, own, gone)
        if peer in present
    }


def list_linked(links: set[frozenset], own: str) -> list[str]:
    return [peer for link in links if own in link for peer in link - {own}]


@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", COUNTS)
def test_no_two_gateways_dial_each_other(count: int, data_centres: int) -> None:
    sites = make_sites(count, data_centres)
    pairs = [(own, peer) for own in sites for peer in choose_dialled(sites, own, ())]
    assert len({frozenset(pair) for pair in pairs}) == len(pairs)


@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", COUNTS)
def test_links_grow_with_the_gateways(count: int, data_centres: int) -> None:
    links = len(list_links(make_sites(count, data_centres)))
    between = (COLLECTOR_CANDIDATES * data_centres) ** 2
    assert links <= max(MAX_MESH_GATEWAYS**2, COLLECTOR_CANDIDATES * count + between)


@given(
    st.sets(st.integers(0, 40), min_size=MAX_MESH_GATEWAYS + 1),
    st.sampled_from(DATA_CENTRES),
    st.integers(0, 3),
)
def test_all_agree_on_who_collects(
    numbers: set[int], data_centres: int, gone: int
) -> None:
    sites = make_sites(41, data_centres)
    sites = {name: sites[name] for name in (f"front-{n}" for n in numbers)}
    lost = set(sorted(sites)[:gone])
    links = list_links(sites, lost)
    circles = {
        own: find_exchange_group(sites, own, list_linked(links, own))
        for own in sites.keys() - lost
    }
    collectors = {circle.collector for circle in circles.values()}
    present = {site.data_centre for name, site in sites.items() if name not in lost}
    assert len(collectors) == len(present)
    # Who is told tells back, and each hears of each data centre from one other alone.
    for own, circle in circles.items():
        assert all(own in circles[peer].recipients for peer in circle.recipients)
        if circle.collector == own:
            assert set(circle.collectors) == collectors - {own}


# Gateways that were removed for good are still listed: whoever ranks first among them
# would be waited for, and nobody would hear of the others' work.
def test_gateways_that_do_not_answer_are_passed_over() -> None:
    sites = make_sites(31)
    own = next(own for own in sites if len(choose_dialled(sites, own, ())) > 1)
    first = choose_dialled(sites, own, ())
    later = next(
        o for o in sites if len(choose_dialled(sites, o, first)) > COLLECTOR_CANDIDATES
    )
    more = choose_dialled(sites, later, first)
    assert more[: len(first)] == first
    assert len(more) == 2 * COLLECTOR_CANDIDATES


# Callers at the gateway that collects waited, and its own changes of configuration too:
# it was one of the small machines, and collecting took all that it had.
def test_large_machines_collect_for_small_ones() -> None:
    sites = make_sites(31, 3) | {"large": Site("z-1", 2.0)}
    linked = sites.keys() - {"large"}
    assert find_exchange_group(sites, "large", linked).collector == "large"
    for own in linked:
        if sites[own].data_centre == "z-1":
            circle = find_exchange_group(sites, own, sites.keys() - {own})
            assert circle.collector == "large"


def test_few_gateways_need_nobody_to_collect() -> None:
    sites = make_sites(MAX_MESH_GATEWAYS, 3)
    circle = find_exchange_group(sites, "front-0", sites.keys() - {"front-0"})
    assert circle.collector is None
    assert len(circle.recipients) == MAX_MESH_GATEWAYS - 1


@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", [31, 330])
def test_few_may_collect_and_they_are_followed_by_others(
    count: int, data_centres: int
) -> None:
    sites = make_sites(count, data_centres)
    gone: set[str] = set()
    for _ in range(2):
        links = list_links(sites, gone)
        few = {
            own
            for own in sites.keys() - gone
            if is_collector_candidate(sites, own, list_linked(links, own))
        }
        assert 0 < len(few) <= COLLECTOR_CANDIDATES * data_centres
        gone |= few
