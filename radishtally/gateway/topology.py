"""Choose which gateways keep links to each other, and which ones act as collectors."""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

from radishtally.routing.core import rank

MAX_MESH_GATEWAYS: Final = 12
"""Maximum number of gateways that form a full mesh, which keeps staleness lowest. Its
cost grows with the square of their number: sending to three others took 0.05 of a core,
and sending to thirty took 0.07 more than receiving from a collector. The limit is an
estimate between these two sizes."""
COLLECTOR_CANDIDATES: Final = 2
"""Number of gateways of a data centre to which all others of it have links, if there
are too many for a mesh: the collector, and one standby that takes over at once."""
COLLECTOR_ORDER_SEED: Final = 0
"""Fixed seed, so that all gateways rank each other in the same order."""


class Site(NamedTuple):
    """Describe a gateway's data centre and processing capacity."""

    data_centre: str = ""
    cores: float = 0.0
    """Processor cores. A collector uses a third of a core, and may serve callers badly
    on a machine that has little more than that."""


Sites = Mapping[str, Site]


def is_mesh(sites: Collection[str]) -> bool:
    """Return whether all gateways send to each other directly."""
    return len(sites) <= MAX_MESH_GATEWAYS


def choose_dialled(
    sites: Sites, own_name: str, unresponsive: Collection[str]
) -> list[str]:
    """Choose the gateways to dial, given those that have not responded so far.

    Of any two gateways, at most one dials the other.
    """
    if is_mesh(sites):
        return sorted(name for name in sites if name > own_name)
    order = list_gateways_in(sites, sites[own_name].data_centre)
    before = order[: order.index(own_name)]
    chosen = _select_reachable(before, unresponsive)
    if (
        len([name for name in chosen if name not in unresponsive])
        == COLLECTOR_CANDIDATES
    ):
        return chosen
    # A collector or its standby needs links to the candidates of other data centres.
    for data_centre in list_data_centres(sites):
        if data_centre > sites[own_name].data_centre:
            others = list_gateways_in(sites, data_centre)
            chosen += _select_reachable(others, unresponsive)
    return chosen


def _select_reachable(order: Iterable[str], unresponsive: Collection[str]) -> list[str]:
    """Select gateways in order until enough of them are responsive."""
    chosen = []
    responsive_count = 0
    for name in order:
        if responsive_count == COLLECTOR_CANDIDATES:
            break
        chosen.append(name)
        responsive_count += name not in unresponsive
    return chosen


def list_data_centres(sites: Sites) -> list[str]:
    """List the data centres of the gateways."""
    return sorted({site.data_centre for site in sites.values()})


def list_gateways_in(sites: Sites, data_centre: str) -> list[str]:
    """List a data centre's gateways, most cores first, in the same order everywhere."""
    names = [name for name, site in sites.items() if site.data_centre == data_centre]
    return sorted(
        rank(names, COLLECTOR_ORDER_SEED), key=lambda name: -sites[name].cores
    )


def list_confirming_order(sites: Sites, own_name: str) -> list[str]:
    """List the gateways of which the first one asks the store for all of them."""
    if is_mesh(sites):
        return sorted(sites, key=lambda name: (-sites[name].cores, name))
    return list_gateways_in(sites, sites[own_name].data_centre)


def find_first_reachable(
    order: Iterable[str], own_name: str, linked: Collection[str]
) -> str | None:
    """Return the first of these gateways that is this one or has a link to it."""
    return next((name for name in order if name == own_name or name in linked), None)


def is_collector_candidate(
    sites: Sites, own_name: str, linked: Collection[str]
) -> bool:
    """Return whether a gateway is a collector or a standby for one."""
    if is_mesh(sites):
        return True
    order = list_gateways_in(sites, sites[own_name].data_centre)
    before = order[: order.index(own_name)]
    return sum(name in linked for name in before) < COLLECTOR_CANDIDATES


def list_expected_links(
    sites: Sites, own_name: str, dialled: Collection[str], linked: Collection[str]
) -> set[str]:
    """List the gateways that should have a link to this one if all can be reached."""
    if not is_collector_candidate(sites, own_name, linked):
        return set(dialled)
    # The others of a collector's data centre dial it.
    near = sites
    if not is_mesh(sites):
        near = list_gateways_in(sites, sites[own_name].data_centre)
    return {*dialled, *near} - {own_name}


def list_collector_candidates(
    sites: Sites, own_name: str, linked: Collection[str]
) -> set[str]:
    """List the collectors and standbys of all data centres that can be reached."""
    reachable = {own_name, *linked}
    candidates = set()
    for data_centre in list_data_centres(sites):
        order = list_gateways_in(sites, data_centre)
        candidates |= set(
            [name for name in order if name in reachable][:COLLECTOR_CANDIDATES]
        )
    return candidates


class ExchangeGroup(NamedTuple):
    """Hold the peers that a gateway exchanges loads with, by what it sends to them."""

    collector: str | None = None
    """Collector of its data centre; None in a mesh."""
    members: tuple[str, ...] = ()
    """Peers that are sent the loads of all other gateways if this one is the collector,
    and otherwise only its own load."""
    collectors: tuple[str, ...] = ()
    """Collectors of the other data centres; they are sent the loads of this one."""

    @property
    def recipients(self) -> tuple[str, ...]:
        """Return all peers that messages are sent to and accepted from."""
        return self.members + self.collectors


def find_exchange_group(
    sites: Sites, own_name: str, linked: Collection[str]
) -> ExchangeGroup:
    """Return the peers that a gateway exchanges loads with, given its open links."""
    if is_mesh(sites):
        return ExchangeGroup(None, tuple(linked))
    names = list_gateways_in(sites, sites[own_name].data_centre)
    collector = find_first_reachable(names, own_name, linked)
    if collector != own_name:
        return ExchangeGroup(collector, (collector,))
    other_collectors = [
        find_first_reachable(list_gateways_in(sites, data_centre), own_name, linked)
        for data_centre in list_data_centres(sites)
        if data_centre != sites[own_name].data_centre
    ]
    members = tuple(name for name in names if name in linked)
    return ExchangeGroup(
        own_name, members, tuple(name for name in other_collectors if name is not None)
    )
