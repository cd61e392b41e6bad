"""Decide which gateways keep links, and who collects what all have open."""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

from radishtally.routing.core import rank

MAX_MESH_GATEWAYS: Final = 12
"""Gateways up to which each tells each other one: the freshest way. Its cost grows with
their square: measured, telling three others took 0.05 of a core and thirty 0.07 more
than hearing one that collects; where between the two it stops to pay is assumed."""
COLLECTOR_CANDIDATES: Final = 2
"""Gateways of a data centre that its other ones have links to beyond that: one
collects, and one is ready to take over at once."""
COLLECTOR_ORDER_SEED: Final = 0
"""Makes an order of the gateways that all agree on."""


class Site(NamedTuple):
    """Say where a gateway stands, and how much it can do there."""

    data_centre: str = ""
    cores: float = 0.0
    """Processor cores: who collects takes a third of one, and may serve callers badly
    on a machine that has little more."""


Sites = Mapping[str, Site]


def is_mesh(sites: Collection[str]) -> bool:
    """Tell whether each gateway tells each other one."""
    return len(sites) <= MAX_MESH_GATEWAYS


def choose_dialled(sites: Sites, own: str, silent: Collection[str]) -> list[str]:
    """Choose the gateways to dial, given those that did not answer so far.

    Whatever two gateways choose, at most one of them dials the other.
    """
    if is_mesh(sites):
        return sorted(name for name in sites if name > own)
    order = list_gateways_in(sites, sites[own].data_centre)
    before = order[: order.index(own)]
    chosen = _select_reachable(before, silent)
    if len([name for name in chosen if name not in silent]) == COLLECTOR_CANDIDATES:
        return chosen
    # This one collects, or may have to: it reaches those of the other data centres.
    for data_centre in list_data_centres(sites):
        if data_centre > sites[own].data_centre:
            others = list_gateways_in(sites, data_centre)
            chosen += _select_reachable(others, silent)
    return chosen


def _select_reachable(order: Iterable[str], silent: Collection[str]) -> list[str]:
    """Take from the front until enough are among them that answer."""
    chosen = []
    answering = 0
    for name in order:
        if answering == COLLECTOR_CANDIDATES:
            break
        chosen.append(name)
        answering += name not in silent
    return chosen


def list_data_centres(sites: Sites) -> list[str]:
    """List the data centres that gateways stand in."""
    return sorted({site.data_centre for site in sites.values()})


def list_gateways_in(sites: Sites, data_centre: str) -> list[str]:
    """List a data centre's gateways in an order that all agree on, large ones first."""
    names = [name for name, site in sites.items() if site.data_centre == data_centre]
    return sorted(
        rank(names, COLLECTOR_ORDER_SEED), key=lambda name: -sites[name].cores
    )


def find_first_reachable(
    order: Iterable[str], own: str, linked: Collection[str]
) -> str | None:
    """Find the first of some gateways that is this one or in reach."""
    return next((name for name in order if name == own or name in linked), None)


def is_collector_candidate(sites: Sites, own: str, linked: Collection[str]) -> bool:
    """Tell whether a gateway collects, or takes over at once from who does."""
    if is_mesh(sites):
        return True
    order = list_gateways_in(sites, sites[own].data_centre)
    before = order[: order.index(own)]
    return sum(name in linked for name in before) < COLLECTOR_CANDIDATES


class ExchangeGroup(NamedTuple):
    """Hold whom a gateway tells and believes, and what it tells them of others."""

    collector: str | None = None
    """Who collects in its data centre; none in a mesh."""
    members: tuple[str, ...] = ()
    """Told what all others have open; where this one collects nothing, its own alone
    is told."""
    collectors: tuple[str, ...] = ()
    """Those of the other data centres: told what its own data centre has open."""

    @property
    def recipients(self) -> tuple[str, ...]:
        """Give all that are told and believed."""
        return self.members + self.collectors


def find_exchange_group(
    sites: Sites, own: str, linked: Collection[str]
) -> ExchangeGroup:
    """Find whom a gateway tells and believes, given those that it has links to."""
    if is_mesh(sites):
        return ExchangeGroup(None, tuple(linked))
    ours = list_gateways_in(sites, sites[own].data_centre)
    collector = find_first_reachable(ours, own, linked)
    if collector != own:
        return ExchangeGroup(collector, (collector,))
    firsts = [
        find_first_reachable(list_gateways_in(sites, data_centre), own, linked)
        for data_centre in list_data_centres(sites)
        if data_centre != sites[own].data_centre
    ]
    members = tuple(name for name in ours if name in linked)
    return ExchangeGroup(
        own, members, tuple(name for name in firsts if name is not None)
    )
