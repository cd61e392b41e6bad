"""Decide for which places this entry contends for the planner lease."""

from collections.abc import Mapping
from typing import Any, Final

import xxhash

from radishtally.configuration.config import Configuration
from radishtally.entry.planning import PlacePlanner, PlannerDependencies
from radishtally.links.messages import Load
from radishtally.routing.core import rank

CONTENDERS_PER_PLACE: Final = 3
"""Number of entries that contend for the lease of one place. One is left after two of
them die, and the other entries don't read the lease from the table each second."""


class PlacePlanners:
    """Run a planner for each place whose lease this entry contends for."""

    def __init__(self, dependencies: PlannerDependencies) -> None:
        self._dependencies = dependencies
        self._configuration: Configuration | None = None
        self._planners: dict[str, PlacePlanner] = {}

    async def stop(self) -> None:
        """Stop all planners and give up their leases."""
        for planner in self._planners.values():
            await planner.stop()
        self._planners.clear()

    def configure(self, configuration: Configuration) -> None:
        """Apply the policy and the configured roles to all planners."""
        self._configuration = configuration
        for planner in self._planners.values():
            planner.configure(configuration)

    async def contend(self, entries: Mapping[str, str]) -> None:
        """Start or stop the planner of each place, given the live entries' places."""
        if self._configuration is None:
            return
        for place in self._configuration.places:
            should_contend = self._dependencies.host in find_contenders(place, entries)
            planner = self._planners.get(place)
            if should_contend and planner is None:
                self._start_planner(place)
            # A held lease is kept: giving it up because another entry joined would
            # change the planner without need.
            elif not should_contend and planner is not None and not planner.holds_lease:
                del self._planners[place]
                await planner.stop()

    def record_load(self, upstream: str, place: str, load: Load) -> None:
        """Record a load report with the planner of its place."""
        planner = self._planners.get(place)
        if planner is not None:
            planner.record_load(upstream, place, load)

    def remove_host(self, host: str) -> None:
        """Remove a host from all planners."""
        for planner in self._planners.values():
            planner.remove_host(host)

    def describe(self) -> dict[str, Any]:
        """Return the lease state of each place that this entry contends for."""
        return {place: planner.describe() for place, planner in self._planners.items()}

    def describe_host(self, host: str) -> dict[str, Any] | None:
        """Return the host's part of the last plan known here; None if it has none."""
        for planner in self._planners.values():
            wanted = planner.describe_host(host)
            if wanted is not None:
                return wanted
        return None

    async def describe_place(self, place: str) -> dict[str, Any]:
        """Return the plan in force for a place and the demand on its pools."""
        read = await self._dependencies.plans.read_plan(place)
        plan = read.ok if read.is_ok() else None
        planner = self._planners.get(place)
        return {
            "place": place,
            "store_away": read.is_error(),
            "plan": None if plan is None else plan._asdict(),
            "planned_here": planner is not None and planner.holds_lease,
            "pools": {} if planner is None else planner.describe_pools(),
        }

    def _start_planner(self, place: str) -> None:
        planner = PlacePlanner(place, self._dependencies)
        planner.configure(self._configuration)
        self._planners[place] = planner
        planner.start()


def find_contenders(place: str, entries: Mapping[str, str]) -> list[str]:
    """Return the entries that contend for a place's lease.

    They are chosen among the entries in that place, or among all if it has none.
    """
    own = [host for host, where in entries.items() if where == place]
    key = xxhash.xxh64_intdigest(place.encode())
    return rank(own or entries, key)[:CONTENDERS_PER_PLACE]
