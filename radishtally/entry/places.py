"""Decide which places this entry plans for."""

from collections.abc import Mapping
from typing import Any, Final

import xxhash

from radishtally.configuration.config import Configuration
from radishtally.entry.planning import Parts, PlacePlanning
from radishtally.links.messages import Load
from radishtally.routing.core import rank

CONTENDERS: Final = 3
"""Entries that contend for one place's lease: enough that some are left after two
deaths, few enough that the table is not read by every entry each second."""


class PlanningBoard:
    """Hold the planning of each place that this entry contends for."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._configuration: Configuration | None = None
        self._places: dict[str, PlacePlanning] = {}

    async def stop(self) -> None:
        """Give all leases up."""
        for planning in self._places.values():
            await planning.stop()
        self._places.clear()

    def configure(self, configuration: Configuration) -> None:
        """Take the policy and the roles that operators gave."""
        self._configuration = configuration
        for planning in self._places.values():
            planning.configure(configuration)

    async def contend(self, entries: Mapping[str, str]) -> None:
        """Contend where this entry's turn is, given the live entries' places."""
        if self._configuration is None:
            return
        for place in self._configuration.places:
            wanted = self._parts.host in find_contenders(place, entries)
            planning = self._places.get(place)
            if wanted and planning is None:
                self._begin(place)
            # A lease that is held is kept: giving it up only because another entry
            # came would change planners for nothing.
            elif not wanted and planning is not None and not planning.holds_lease:
                del self._places[place]
                await planning.stop()

    def report(self, upstream: str, place: str, load: Load) -> None:
        """Take a load report."""
        planning = self._places.get(place)
        if planning is not None:
            planning.report(upstream, place, load)

    def host_gone(self, host: str) -> None:
        """Take the loss of a host."""
        for planning in self._places.values():
            planning.host_gone(host)

    def describe(self) -> dict[str, Any]:
        """Tell which places this entry plans for or contends for."""
        return {place: one.describe() for place, one in self._places.items()}

    def describe_host(self, host: str) -> dict[str, Any] | None:
        """Tell what the last plan known here wants of a host."""
        for planning in self._places.values():
            wanted = planning.describe_host(host)
            if wanted is not None:
                return wanted
        return None

    async def describe_place(self, place: str) -> dict[str, Any]:
        """Tell what the plan in force wants of a place, and what is asked of it."""
        read = await self._parts.plans.read_plan(place)
        plan = read.ok if read.is_ok() else None
        planning = self._places.get(place)
        return {
            "place": place,
            "store_away": read.is_error(),
            "plan": None if plan is None else plan._asdict(),
            "planned_here": planning is not None and planning.holds_lease,
            "pools": {} if planning is None else planning.describe_pools(),
        }

    def _begin(self, place: str) -> None:
        planning = PlacePlanning(place, self._parts)
        planning.configure(self._configuration)
        self._places[place] = planning
        planning.start()


def find_contenders(place: str, entries: Mapping[str, str]) -> list[str]:
    """Find the entries that may plan for a place: its own, or any if it has none."""
    own = [host for host, where in entries.items() if where == place]
    key = xxhash.xxh64_intdigest(place.encode())
    return rank(own or entries, key)[:CONTENDERS]
