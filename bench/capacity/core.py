"""Run the measurements by name and print their figures as JSON lines."""

import importlib
import sys
from typing import Final

from bench.capacity.figures import Measure, print_figure

MEASURES: Final = {
    "links": "bench.capacity.links:measure_links",
    "routing": "bench.capacity.routing:measure_routing",
    "admission": "bench.capacity.admission:measure_admission",
    "members": "bench.capacity.members:measure_members",
    "configuration": "bench.capacity.configurations:measure_configuration",
    "memory": "bench.capacity.memory:measure_memory",
    "startup": "bench.capacity.startup:measure_startup",
    "idle": "bench.capacity.idle:measure_idle_fleets",
    "claims": "bench.capacity.claims:measure_claims",
    "requests": "bench.capacity.requests:measure_requests",
    "spread": "bench.capacity.spread:measure_spread",
}
"""Modules are imported only when run: what they import would count as memory."""


def find_measure(name: str) -> Measure:
    """Find a measurement by its name."""
    module, _, function = MEASURES[name].partition(":")
    return getattr(importlib.import_module(module), function)


def main() -> None:
    """Run the measurements that are named, or all."""
    names = sys.argv[1:] or list(MEASURES)
    unknown = [name for name in names if name not in MEASURES]
    if unknown:
        sys.exit(f"no measure {unknown[0]}; there are: {', '.join(MEASURES)}")
    for name in names:
        for figure in find_measure(name)():
            print_figure(name, figure)


if __name__ == "__main__":
    main()
