"""Tests of the links between gateways and of the choice of collectors."""

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
    list_expected_links,
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
    """Return the pairs of gateways between which links are up."""
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


# Guards against reads of the shared secret by gateways that miss no peer, and against a
# peer with another secret that none of those with links misses.
@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", COUNTS)
@pytest.mark.parametrize("apart", [set(), {"front-0"}], ids=["none", "one"])
def test_peers_without_their_link_are_missed(
    count: int, data_centres: int, apart: set[str]
) -> None:
    sites = make_sites(count, data_centres)
    links = list_links(sites, apart)
    missed = set()
    for own in sites.keys() - apart:
        linked, dialled = list_linked(links, own), choose_dialled(sites, own, apart)
        missed |= list_expected_links(sites, own, dialled, linked) - {*linked}
    assert missed == (apart if count > 1 else set())


@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", COUNTS)
def test_number_of_links_grows_linearly(count: int, data_centres: int) -> None:
    links = len(list_links(make_sites(count, data_centres)))
    between = (COLLECTOR_CANDIDATES * data_centres) ** 2
    assert links <= max(MAX_MESH_GATEWAYS**2, COLLECTOR_CANDIDATES * count + between)


@given(
    st.sets(st.integers(0, 40), min_size=MAX_MESH_GATEWAYS + 1),
    st.sampled_from(DATA_CENTRES),
    st.integers(0, 3),
)
def test_all_gateways_agree_on_the_collectors(
    numbers: set[int], data_centres: int, gone: int
) -> None:
    sites = make_sites(41, data_centres)
    sites = {name: sites[name] for name in (f"front-{n}" for n in numbers)}
    lost = set(sorted(sites)[:gone])
    links = list_links(sites, lost)
    groups = {
        own: find_exchange_group(sites, own, list_linked(links, own))
        for own in sites.keys() - lost
    }
    collectors = {group.collector for group in groups.values()}
    present = {site.data_centre for name, site in sites.items() if name not in lost}
    assert len(collectors) == len(present)
    # Peers exchange loads in both directions, and each gateway receives the loads of
    # each data centre from only one other gateway.
    for own, group in groups.items():
        assert all(own in groups[peer].recipients for peer in group.recipients)
        if group.collector == own:
            assert set(group.collectors) == collectors - {own}


# Guards against gateways that receive no loads, because the first-ranked candidates are
# gone for good but still listed.
def test_unresponsive_gateways_are_skipped() -> None:
    sites = make_sites(31)
    own = next(own for own in sites if len(choose_dialled(sites, own, ())) > 1)
    first = choose_dialled(sites, own, ())
    later = next(
        o for o in sites if len(choose_dialled(sites, o, first)) > COLLECTOR_CANDIDATES
    )
    more = choose_dialled(sites, later, first)
    assert more[: len(first)] == first
    assert len(more) == 2 * COLLECTOR_CANDIDATES


# Guards against a collector on a small machine, where collecting takes all the capacity
# and delays its callers and its own configuration changes.
def test_large_machine_is_chosen_as_collector() -> None:
    sites = make_sites(31, 3) | {"large": Site("z-1", 2.0)}
    linked = sites.keys() - {"large"}
    assert find_exchange_group(sites, "large", linked).collector == "large"
    for own in linked:
        if sites[own].data_centre == "z-1":
            group = find_exchange_group(sites, own, sites.keys() - {own})
            assert group.collector == "large"


def test_mesh_needs_no_collector() -> None:
    sites = make_sites(MAX_MESH_GATEWAYS, 3)
    group = find_exchange_group(sites, "front-0", sites.keys() - {"front-0"})
    assert group.collector is None
    assert len(group.recipients) == MAX_MESH_GATEWAYS - 1


@pytest.mark.parametrize("data_centres", DATA_CENTRES)
@pytest.mark.parametrize("count", [31, 330])
def test_few_collector_candidates_are_replaced_by_others(
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
