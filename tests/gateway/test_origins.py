"""Tests of the exchange of streams' origins between gateways, without a network."""

import asyncio
from collections import Counter

import pytest

from radishtally.gateway.origins import OriginExchange
from radishtally.gateway.topology import (
    COLLECTOR_CANDIDATES,
    Site,
    choose_dialled,
    list_data_centres,
)
from radishtally.links.codec import decode_frame, encode_frame
from radishtally.links.gateway_messages import OriginQuery, OriginReply
from radishtally.links.kinds import Message
from radishtally.serving.const import ORIGIN_TIMEOUT_SECONDS
from radishtally.serving.origins import Origin, StreamOrigins, hash_stream
from tests.common import run

V1 = Origin("pool", "v1", "a")
NOW = 100.0
STREAM = hash_stream("r1")


class Node:
    """A gateway as far as it exchanges origins."""

    def __init__(self, name: str, network: "Network") -> None:
        self.name = name
        self.network = network
        self.hosts: list[str] = []
        self.origins = StreamOrigins()
        self.settled: list[bytes] = []
        data_centre = network.sites[name].data_centre
        self.exchange = OriginExchange(
            name, data_centre, self.origins, self.settled.append
        )
        self.exchange.attach(self)

    def send(self, peer: str, message: Message) -> bool:
        """Send a message as the hub of its links does."""
        return self.network.send(self.name, peer, message)


class Network:
    """Links between gateways, over which messages pass at once or not at all."""

    def __init__(self, sites: dict[str, Site]) -> None:
        self.sites = sites
        self.nodes = {name: Node(name, self) for name in sites}
        self.sent: Counter[str] = Counter()
        self.frozen: set[str] = set()
        for name in sites:
            for peer in choose_dialled(sites, name, ()):
                self.link(name, peer)
        for node in self.nodes.values():
            node.exchange.set_sites(sites)

    def link(self, one: str, other: str) -> None:
        self.nodes[one].hosts = [*self.nodes[one].hosts, other]
        self.nodes[other].hosts = [*self.nodes[other].hosts, one]
        for name, peer in [(other, one), (one, other)]:
            data_centre = self.sites[peer].data_centre
            self.nodes[name].exchange.handle_link_up(peer, data_centre)

    def send(self, sender: str, peer: str, message: Message) -> bool:
        if peer not in self.nodes[sender].hosts:
            return False
        self.sent[sender] += 1
        if peer not in self.frozen and peer in self.nodes:
            (received,) = decode_frame(encode_frame([message])).ok
            self.nodes[peer].exchange.handle_message(sender, received)
        return True

    def kill(self, name: str) -> None:
        """End a gateway and its links."""
        del self.nodes[name]
        for node in self.nodes.values():
            if name in node.hosts:
                node.hosts = [host for host in node.hosts if host != name]
                node.exchange.handle_link_down(name)

    def restart(self, name: str) -> None:
        """Let a gateway begin without memory."""
        linked = self.nodes[name].hosts
        self.kill(name)
        self.nodes[name] = Node(name, self)
        self.nodes[name].exchange.set_sites(self.sites)
        for peer in linked:
            self.link(name, peer)

    def begin(self, name: str, stream: bytes = STREAM) -> None:
        """Let a stream begin at a gateway, and all gateways send their news."""
        self.nodes[name].origins.record(stream, V1, NOW + 1e9, NOW)
        for _ in range(2):
            for node in self.nodes.values():
                node.exchange.send_changes(NOW)


def make_sites(per_data_centre: int, data_centres: int) -> dict[str, Site]:
    return {
        f"g-{place}-{number}": Site(f"place-{place}", 1.0)
        for place in range(data_centres)
        for number in range(per_data_centre)
    }


def make_network(per_data_centre: int = 2, data_centres: int = 2) -> Network:
    return Network(make_sites(per_data_centre, data_centres))


def ask(node: Node, stream: bytes = STREAM, seconds: float = 0.0) -> bool:
    """Ask for a stream's origin as a resumed request does; return if it is known."""

    async def wait() -> None:
        node.exchange.ask(stream)
        await asyncio.sleep(seconds)

    if node.origins.find(stream) is None:
        run(wait())
    return node.origins.find(stream) == V1


# Large enough that only collectors have links to other data centres.
SIZES = pytest.mark.parametrize("size", [(2, 2), (3, 3), (10, 3)], ids=str)


@SIZES
def test_stream_is_known_at_any_gateway_after_the_first_one_is_killed(
    size: tuple[int, int],
) -> None:
    for first in make_sites(*size):
        network = make_network(*size)
        network.begin(first)
        network.kill(first)
        for node in network.nodes.values():
            assert ask(node), (first, node.name)


@SIZES
def test_stream_is_known_where_the_first_gateway_is_frozen(
    size: tuple[int, int],
) -> None:
    first = "g-0-0"
    network = make_network(*size)
    network.begin(first)
    network.frozen.add(first)
    others = [node for name, node in network.nodes.items() if name != first]
    assert all(ask(node) for node in others)


@SIZES
def test_restarted_gateway_learns_the_streams_of_its_peers_and_its_own(
    size: tuple[int, int],
) -> None:
    for name in make_sites(*size):
        network = make_network(*size)
        network.begin(name)
        network.begin("g-1-1", hash_stream("r2"))
        network.restart(name)
        if name in network.nodes["g-1-1"].exchange._group.informed:
            # Without a query, which a peer that freezes now would not answer.
            known = network.nodes[name].origins.find(hash_stream("r2"))
            assert known == V1 or name == "g-1-1"
        assert ask(network.nodes[name])
        assert ask(network.nodes[name], hash_stream("r2"))


# Guards against streams that are refused after a kill of all gateways, or in another
# data centre: a new gateway sent their origins before its peers had read its row.
@SIZES
def test_streams_of_a_peer_that_is_not_listed_yet_are_stored_and_relayed(
    size: tuple[int, int],
) -> None:
    first = "g-0-1"
    network = make_network(*size)
    stored: dict[str, list[bytes]] = {}
    for name, node in network.nodes.items():
        streams = stored[name] = []
        node.exchange.on_begun = lambda message, streams=streams: streams.extend(
            begun.stream for begun in message.streams
        )
    unaware = {name: site for name, site in network.sites.items() if name != first}
    informed = network.nodes[first].hosts
    for name in informed:
        network.nodes[name].exchange.set_sites(unaware)
    network.begin(first)
    for name in informed:
        is_local = network.sites[name] == network.sites[first]
        is_informed = name in network.nodes[first].exchange._group.informed
        assert stored[name] == [STREAM] * (is_local and is_informed), name
    network.kill(first)
    assert all(ask(node) for node in network.nodes.values())


def test_gateway_that_is_cut_off_settles_without_an_origin() -> None:
    network = make_network()
    network.begin("g-0-0")
    alone = network.nodes["g-1-0"]
    alone.hosts, alone.origins._streams = [], {}
    assert not ask(alone, seconds=ORIGIN_TIMEOUT_SECONDS + 0.05)
    assert alone.settled == [STREAM]


def test_only_gateway_settles_immediately() -> None:
    node = Network({"g": Site("place", 1.0)}).nodes["g"]
    assert not ask(node)
    assert node.settled == [STREAM]


# Guards against refusals by a gateway that has just begun again: its callers come back
# before its links are up.
def test_peer_whose_link_comes_up_is_asked_as_well() -> None:
    network = make_network()
    network.begin("g-0-0")
    network.kill("g-0-0")
    node = Node("g-0-0", network)

    async def scenario() -> None:
        node.exchange.ask(STREAM)
        assert not node.settled
        network.nodes["g-0-0"] = node
        network.link("g-0-0", "g-0-1")

    run(scenario())
    assert node.settled == [STREAM]
    assert node.origins.find(STREAM) == V1


def test_stream_that_nobody_knows_is_settled_by_the_last_reply() -> None:
    network = make_network()
    assert not ask(network.nodes["g-0-0"])
    assert network.nodes["g-0-0"].settled == [STREAM]


# Guards against a list of open queries that grows with each silent peer.
def test_silent_peer_leaves_no_open_query() -> None:
    network = make_network()
    network.frozen.add("g-1-1")
    node = network.nodes["g-0-0"]
    assert not ask(node, seconds=ORIGIN_TIMEOUT_SECONDS + 0.05)
    assert node.settled == [STREAM]
    assert not node.exchange._queries


def test_peer_that_goes_away_counts_as_a_reply() -> None:
    network = make_network()
    network.frozen.add("g-1-1")
    node = network.nodes["g-0-0"]

    async def scenario() -> None:
        node.exchange.ask(STREAM)
        assert not node.settled
        network.kill("g-1-1")

    run(scenario())
    assert node.settled == [STREAM]


# Guards against messages that grow with the square of the gateways.
@pytest.mark.parametrize("per_data_centre", [10, 20, 66])
def test_messages_about_a_stream_do_not_grow_with_the_gateways(
    per_data_centre: int,
) -> None:
    network = make_network(per_data_centre, 5)
    for name in network.nodes:
        network.sent.clear()
        network.begin(name, hash_stream(name))
        others = len(list_data_centres(network.sites)) - 1
        assert network.sent.total() <= COLLECTOR_CANDIDATES * (2 + others)
    network.sent.clear()
    assert not ask(network.nodes[f"g-4-{per_data_centre - 1}"])
    assert network.sent.total() <= 2 * COLLECTOR_CANDIDATES * (1 + others)


def test_reply_about_an_unknown_stream_names_none() -> None:
    network = make_network()
    node = network.nodes["g-0-0"]
    received = []
    node.send = lambda peer, message: received.append((peer, message))
    node.exchange.handle_message("g-0-1", OriginQuery(STREAM))
    assert received == [("g-0-1", OriginReply(STREAM, None))]
