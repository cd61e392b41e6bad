"""Test which entry plans for a place where entries stall, leave and come back."""

from typing import Any, Final

from bench.fleet import Fleet
from radishtally.entry.places import find_contenders
from tests.integration.common import (
    PLACE,
    find_planner,
    make_fleet,
    read_log,
    set_fault,
)

ENTRIES: Final = 4


def find_lines(fleet: Fleet, entry: str, kind: str) -> list[dict[str, Any]]:
    """Find an entry's log lines of one kind about the place."""
    return [
        line
        for line in read_log(fleet, entry)
        if line.get("message_type") == kind and line["place"] == PLACE
    ]


def list_gained(fleet: Fleet) -> list[int]:
    """List the fencing numbers under which the place's lease was gained."""
    return [
        line["fencing"]
        for entry in fleet.entries
        for line in find_lines(fleet, entry, "lease:gained")
    ]


def is_planning(fleet: Fleet, entry: str) -> bool:
    """Tell whether an entry contends for the place's lease."""
    return PLACE in fleet.status(entry)["planner"]


def list_entry(fleet: Fleet, entry: str, state: str) -> None:
    """Change an entry's state on the platform's list."""
    settings = fleet.settings[entry]
    fleet.list_host(entry, settings["place"], "entry", settings["address"], state)


def wait_for_lost_write(fleet: Fleet, entry: str) -> None:
    """Wait until a write of the lease that is yet to be begun has been lost."""
    known = len(find_lines(fleet, entry, "lease:write_failed"))

    def has_lost() -> bool:
        # One may have been under way before.
        return len(find_lines(fleet, entry, "lease:write_failed")) > known + 1

    fleet.wait_until(has_lost, "a write to be lost")


# Two planners order roles in turn under one fencing number: an entry that leaves the
# contenders and comes back takes its own old row for a write that was lost.
def test_no_entry_gains_a_lease_while_the_table_loses_all_writes() -> None:
    with make_fleet(entries_wanted=ENTRIES) as fleet:
        places = dict.fromkeys(fleet.entries, PLACE)
        others = find_contenders(PLACE, places)
        [last] = places.keys() - set(others)
        for entry in others:
            fleet.network.cut(entry, "table")
        list_entry(fleet, others[0], "leaving")
        fleet.wait_until(lambda: find_planner(fleet) == last, "the last one to plan")
        gained = list_gained(fleet)
        set_fault(fleet.standins["table"].url, mode="lose_write")
        fleet.network.heal()
        fleet.wait_until(lambda: find_planner(fleet) is None, "the lease to lapse")
        list_entry(fleet, others[0], "live")
        fleet.wait_until(lambda: not is_planning(fleet, last), "it to leave")
        list_entry(fleet, others[0], "leaving")
        fleet.wait_until(lambda: is_planning(fleet, last), "it to come back")
        wait_for_lost_write(fleet, last)
        assert list_gained(fleet) == gained
        set_fault(fleet.standins["table"].url, mode="up")
        fleet.wait_until(lambda: find_planner(fleet) is not None, "a planner")
        numbers = list_gained(fleet)
        assert len(numbers) == len(set(numbers)) == len(gained) + 1
