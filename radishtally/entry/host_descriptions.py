"""Describe hosts for operators, in this entry's view."""

import time
from typing import Any

from radishtally.entry.core import Entry
from radishtally.membership.core import LEAVING, LIVE
from radishtally.serving.hosts import KnownHost


def describe_host(entry: Entry, host: str, now: float) -> dict[str, Any]:
    """Return the place, upstream, state, revision and load of a host."""
    member = entry.members.membership.members[host]
    replica = entry.process.replica
    own = host == entry.settings.host
    return {
        "place": member.place,
        "upstream": member.upstream,
        "state": find_state(entry, host, now),
        "revision": replica.revision if own else replica.peer_revisions.get(host),
        **describe_load(entry, host),
    }


def find_state(entry: Entry, host: str, now: float) -> str:
    """Return the membership state of a host."""
    # An entry has no link to itself, so the membership doesn't track its own state.
    if host == entry.settings.host:
        return LEAVING if entry.process.stopping.is_set() else LIVE
    return entry.members.membership.members[host].find_state(now)


def describe_load(entry: Entry, host: str) -> dict[str, Any]:
    """Return the last load report of a host; empty if there is none."""
    known = entry.core.hosts.get(host)
    if known is None or known.load is None:
        return {}
    load = known.load
    return {
        "role": load.role,
        "model": load.model,
        "version": load.version,
        "adapters": load.adapters,
        "queued": load.queued,
        "running": load.running,
        "slots": load.slots,
        "wait": round(load.wait, 3),
        "draining": load.draining,
        "in_flight_from_here": known.in_flight,
        "load_age": round(time.monotonic() - known.load_at, 2),
    }


def gets_new_work(known: KnownHost | None, now: float) -> bool:
    """Return whether new work is offered to a host now."""
    if known is None or not known.is_usable(now):
        return False
    return known.load is not None and not known.load.draining
