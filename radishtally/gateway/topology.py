"""Decide which gateways keep links, and who collects what all have open."""

from collections.abc import Collection, Iterable
from typing import Final

from radishtally.routing.core import rank

MESH_GATEWAYS: Final = 12
"""Gateways up to which each tells each other one: the freshest way. Its cost grows with
their square: measured, telling three others took 0.05 of a core and thirty 0.07 more
than hearing one that collects; where between the two it stops to pay is assumed."""
COLLECTORS: Final = 2
"""Gateways that each other one has links to beyond that: one collects, and one is ready
to take over at once."""
COLLECTOR_SEED: Final = 0
"""Makes an order of the gateways that all agree on."""


def is_mesh(names: Collection[str]) -> bool:
    """Tell whether each gateway tells each other one."""
    return len(names) <= MESH_GATEWAYS


def choose_dialled(
    names: Collection[str], own: str, silent: Collection[str]
) -> list[str]:
    """Choose the gateways to dial, given those that did not answer so far.

    Whatever two gateways choose, at most one of them dials the other.
    """
    if is_mesh(names):
        return sorted(name for name in names if name > own)
    chosen = []
    answering = 0
    for name in rank(names, COLLECTOR_SEED):
        if name == own or answering == COLLECTORS:
            break
        chosen.append(name)
        answering += name not in silent
    return chosen


def choose_collector(
    names: Collection[str], own: str, linked: Collection[str]
) -> str | None:
    """Choose who collects, among this gateway and those that it has links to."""
    return None if is_mesh(names) else find_first(names, own, linked)


def find_first(names: Iterable[str], own: str, linked: Collection[str]) -> str:
    """Find the first in an order that all agree on, of those in reach."""
    order = rank(names, COLLECTOR_SEED)
    return next((name for name in order if name == own or name in linked), own)
