"""Measure the cost of membership tracking."""

import itertools
import json
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from radishtally.membership.core import Membership, handle
from radishtally.membership.events import (
    ConfigurationApplied,
    ConfiguredHost,
    HostListRead,
    LinkUp,
    Tick,
    TrafficReceived,
)
from radishtally.store.client import Reply
from radishtally.store.core import LIVE, ListedHost
from radishtally.store.hostlist import _parse_reply

HOSTS: Final = (100, 350, 1_400)
POOLS: Final = 34
ADDRESS: Final = "10.20.30.40:7000"


def make_listed(count: int) -> tuple[ListedHost, ...]:
    """Make the rows of a host list."""
    return tuple(
        ListedHost(f"host-{n}", f"place-{n % 8}", f"pool-{n % POOLS}", ADDRESS, LIVE)
        for n in range(count)
    )


def make_membership(count: int) -> Membership:
    """Make a membership in which every host is linked and live."""
    membership = Membership()
    listed = make_listed(count)
    handle(HostListRead(listed), membership, 0.0)
    servers = tuple(
        ConfiguredHost(item.host, item.place, item.upstream) for item in listed
    )
    handle(ConfigurationApplied(servers), membership, 0.0)
    for item in listed:
        handle(LinkUp(item.host, "one"), membership, 0.0)
    return membership


def make_list_body(count: int) -> bytes:
    """Make the body of a host list reply."""
    groups = [
        {
            "targets": [item.address],
            "labels": {
                "host": item.host,
                "place": item.place,
                "upstream": item.upstream,
                "state": item.state,
            },
        }
        for item in make_listed(count)
    ]
    return json.dumps(groups).encode()


def measure_members() -> Iterator[Figure]:
    """Measure membership events and the parsing of the host list."""
    for count in HOSTS:
        at = {"hosts": count}
        membership = make_membership(count)
        listed = HostListRead(make_listed(count))
        hosts = itertools.cycle(list(membership.members))

        def tick(membership: Membership = membership) -> None:
            handle(Tick(), membership, 1.0)

        def apply_list(
            membership: Membership = membership, listed: HostListRead = listed
        ) -> None:
            handle(listed, membership, 1.0)

        def receive_traffic(
            membership: Membership = membership, hosts: Iterator[str] = hosts
        ) -> None:
            handle(TrafficReceived(next(hosts)), membership, 1.0)

        def find_usable(membership: Membership = membership) -> None:
            membership.find_usable(1.0, "pool-0")

        yield Figure("membership, tick", time_calls(tick), "us", at)
        yield Figure("membership, list taken", time_calls(apply_list), "us", at)
        yield Figure("membership, sign of life", time_calls(receive_traffic), "us", at)
        yield Figure(
            "membership, usable hosts of a pool", time_calls(find_usable), "us", at
        )
        body = make_list_body(count)
        reply = Reply(200, body)
        cost = time_calls(lambda reply=reply: _parse_reply(reply))
        yield Figure("host list, parsed", cost, "us", at)
        yield Figure("host list, read", len(body), "bytes", at)
