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
    "teams": "bench.capacity.teams:measure_teams",
    "origins": "bench.capacity.origins:measure_origins",
    "parts": "bench.capacity.parts:measure_parts",
    "spread": "bench.capacity.spread:measure_spread",
}
"""Functions by name. Modules are imported when run, as their imports use memory."""


def find_measure(name: str) -> Measure:
    """Import the function of a measurement by its name."""
    module, _, function = MEASURES[name].partition(":")
    return getattr(importlib.import_module(module), function)


def main() -> None:
    """Run the measurements named on the command line, or all of them."""
    names = sys.argv[1:] or list(MEASURES)
    unknown = [name for name in names if name not in MEASURES]
    if unknown:
        sys.exit(f"unknown measurement {unknown[0]}; known are: {', '.join(MEASURES)}")
    for name in names:
        for figure in find_measure(name)():
            print_figure(name, figure)


if __name__ == "__main__":
    main()
