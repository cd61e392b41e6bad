"""Tests of gateways that hear of each other's work, without links."""

import time
from collections import defaultdict

import pytest

from radishtally.direct.core import Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.loads import (
    FULL_REFRESH_SECONDS,
    MIN_CANDIDATE_SECONDS,
    LoadExchange,
)
from radishtally.gateway.topology import (
    COLLECTOR_CANDIDATES,
    MAX_MESH_GATEWAYS,
    Site,
    choose_dialled,
)
from radishtally.links.messages import (
    DECODE,
    STREAM,
    WHOLE,
    HashedPart,
    KvRef,
    Message,
    PartsRead,
    Work,
)
from radishtally.serving.hosts import KnownHost
from radishtally.serving.requests import OpenRequest
from radishtally.serving.suspects import ENDS_TO_DENY, HostEnd, Suspects
from radishtally.stages.role_controller import RoleController

MANY = MAX_MESH_GATEWAYS + 8
ENGINE = Instance("d-1", "llm", "d-1:1", "howrah", False, 64, DECODE)


def count_answers(placement: EnginePlacement, host: str) -> int:
    """Count what all gateways have at an engine; none if it was never seen."""
    engine = placement._engines.get(host)
    return engine.count_answers() if engine else 0


class Network:
    """Pass messages between gateways at once, and count them."""

    def __init__(self, count: int, data_centres: int = 1) -> None:
        self.sent = 0
        self.data_centres = data_centres
        self.sites: dict[str, Site] = {}
        self.linked: defaultdict[str, list[str]] = defaultdict(list)
        self.gateways: dict[str, Gateway] = {}
        for number in range(count):
            self.add(f"g-{number}")

    def add(self, name: str) -> None:
        data_centre = f"z-{len(self.sites) % self.data_centres}"
        self.sites[name] = Site(data_centre, 1.0)
        self.gateways[name] = Gateway(name, self)
        self.publish_sites()

    def publish_sites(self) -> None:
        """Have all gateways learn which ones there are."""
        self.linked.clear()
        for gateway in self.gateways.values():
            gateway.loads.set_sites(dict(self.sites))

    def find_linked(self, own: str) -> list[str]:
        """Find those that a gateway has links to."""
        if not self.linked:
            gone = set(self.sites) - set(self.gateways)
            for one in self.gateways:
                for other in choose_dialled(self.sites, one, gone):
                    if other in self.gateways:
                        self.linked[one].append(other)
                        self.linked[other].append(one)
        return self.linked[own]

    def remove(self, name: str) -> None:
        """Cut a gateway's links; it stays listed."""
        del self.gateways[name]
        self.linked.clear()
        for gateway in self.gateways.values():
            gateway.loads.forget_peer(name)

    def unlist(self, name: str) -> None:
        """Let a gateway go for good."""
        self.remove(name)
        del self.sites[name]
        self.publish_sites()

    def run_rounds(self, now: float) -> None:
        """Let each gateway have three rounds, and three once all is told again."""
        later = now + FULL_REFRESH_SECONDS
        for at in (now, now, now, later, later, later):
            for gateway in self.gateways.values():
                gateway.loads._update_group()
                gateway.loads._send_backlog(at)
                gateway.loads._send_changed_suspicions(at)
                gateway.loads._send_demand(at)


class Gateway:
    """Hold one gateway's side, and stand for its hub."""

    def __init__(self, name: str, net: Network) -> None:
        self.name = name
        self.net = net
        self.placement = EnginePlacement(lambda: 0.0)
        self.placement.set_instance(ENGINE)
        self.stages = RoleController(
            name, None, lambda: [ENGINE], None, self.placement.measure_rate
        )
        self.contends = False
        self.suspects = Suspects()
        self.loads = LoadExchange(
            name, self, self.placement, self.stages, self.set_contending, self.suspects
        )

    def set_contending(self, contends: bool) -> None:
        self.contends = contends

    @property
    def hosts(self) -> list[str]:
        return self.net.find_linked(self.name)

    def send(self, peer: str, message: Message) -> bool:
        self.net.sent += 1
        assert peer in self.hosts
        self.net.gateways[peer].loads.handle_message(self.name, message)
        return True

    def begin(self, number: int) -> None:
        """Have an answer made."""
        work = Work(f"{self.name}-{number}", "", "llm", STREAM, b"")
        request = OpenRequest(work, 10.0, True, 0.0)
        request.stage, request.kv = WHOLE, KvRef("p", "p:1", "h", 1)
        host = KnownHost(ENGINE.host, "howrah", "llm", live=True)
        self.placement.begin(request, host, 0.0)

    def restart_engine(self, started_ms: int) -> None:
        """Learn that the engine has started again."""
        self.placement.reset_engine(ENGINE.host)
        self.placement.set_instance(ENGINE._replace(started_ms=started_ms))

    def count(self) -> int:
        return count_answers(self.placement, ENGINE.host)


# An engine is given more than it can do in time, or less, as gateways miss what others
# have open, or count it twice: what one collects for all must add up for each.
@pytest.mark.parametrize("data_centres", [1, 2, 5])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY, 3 * MANY])
def test_each_gateway_counts_all_work_once(count: int, data_centres: int) -> None:
    net = Network(count, data_centres)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    assert {gateway.count() for gateway in net.gateways.values()} == {count}


@pytest.mark.parametrize("data_centres", [1, 5])
def test_messages_of_a_round_grow_with_the_gateways(data_centres: int) -> None:
    sent = {}
    for count in (MANY, 10 * MANY):
        net = Network(count, data_centres)
        net.run_rounds(0.0)
        net.sent = 0
        for gateway in net.gateways.values():
            gateway.begin(1)
        net.run_rounds(0.1)
        sent[count] = net.sent / count
    assert sent[10 * MANY] <= 1.1 * sent[MANY]


# The work of all is forgotten, or that of the dead one counts for ever: the gateway
# that collected is killed, and another one takes over.
@pytest.mark.parametrize("data_centres", [1, 3])
def test_another_gateway_collects_when_the_first_is_gone(data_centres: int) -> None:
    net = Network(MANY, data_centres)
    net.run_rounds(0.0)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(2.0)
    net.remove(next(iter(net.gateways.values())).loads._group.collector)
    net.run_rounds(4.0)
    assert {gateway.count() for gateway in net.gateways.values()} == {MANY - 1}


# All work counts twice: gateways come one by one until they are too many to tell each
# other directly, and what they have told is told by the one that collects as well.
def test_work_counts_once_when_one_begins_to_collect() -> None:
    net = Network(MAX_MESH_GATEWAYS)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    net.add("late")
    net.run_rounds(2.0)
    counts = {gateway.count() for gateway in net.gateways.values()}
    assert counts == {MAX_MESH_GATEWAYS}


# Engines get too much work: the gateways become few enough to tell each other directly.
# Each forgets what the collecting one told, and takes no word of those that have not
# changed over yet; of what had been open before, nothing is told again.
def test_all_work_counts_when_none_collects_any_more() -> None:
    net = Network(MAX_MESH_GATEWAYS + 1)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    net.unlist(next(reversed(net.gateways)))
    net.run_rounds(4.0)
    assert [gateway.count() for gateway in net.gateways.values()] == (
        [MAX_MESH_GATEWAYS] * MAX_MESH_GATEWAYS
    )


# An engine that has just come gets too much work: one gateway hears of it later than
# the others, and what they have open there is told to it before it knows the engine.
@pytest.mark.parametrize("count", [2, MANY])
def test_work_at_an_engine_that_is_not_listed_yet_is_counted_later(count: int) -> None:
    net = Network(count)
    last = net.gateways[f"g-{count - 1}"]
    last.placement.forget(ENGINE.host)
    net.gateways["g-0"].begin(0)
    net.run_rounds(0.0)
    assert last.count() == 0
    last.placement.set_instance(ENGINE)
    net.run_rounds(4.0)
    assert last.count() == 1


@pytest.mark.parametrize("data_centres", [1, 5])
def test_demand_of_all_counts_where_one_collects(data_centres: int) -> None:
    net = Network(MANY, data_centres)
    net.run_rounds(0.0)
    for gateway in net.gateways.values():
        gateway.stages.record_request("llm", 750_000, 0, 0.0)
    net.run_rounds(2.0)
    totals = [
        gateway.stages._demands["llm"].collect(4.0, ("nobody",))
        for gateway in net.gateways.values()
    ]
    assert {round(total.requests / totals[0].requests, 6) for total in totals} == {1.0}
    alone = gateway.stages._demands["llm"].collect(4.0)
    assert totals[0].prompt_tokens > (MANY - 1) * alone.prompt_tokens


# An engine that is idle is taken for busy, or a busy one for idle: it started again,
# and gateways learn so one after another. What one has open at another start than one
# knows of counts for nothing, and counts in full once the start is known.
@pytest.mark.parametrize("count", [3, MANY])
def test_work_counts_where_its_start_is_known(count: int) -> None:
    net = Network(count)
    gateways = list(net.gateways.values())
    for gateway in gateways:
        gateway.restart_engine(5_000)
        gateway.begin(1)
    net.run_rounds(0.0)
    assert {gateway.count() for gateway in gateways} == {count}
    first, *others = gateways
    first.restart_engine(4_000)
    first.begin(2)
    net.run_rounds(2.0)
    assert first.count() == 1
    for gateway in others:
        assert gateway.count() < count
        gateway.restart_engine(4_000)
        net.run_rounds(4.0)
    net.run_rounds(6.0)
    assert {gateway.count() for gateway in gateways} == {1}


# The work of a gateway that is gone counts at the engine's next start: what it told of
# that before the others knew the start is kept for them.
def test_work_of_a_lost_gateway_does_not_count_at_a_later_start() -> None:
    net = Network(2)
    first, second = net.gateways.values()
    first.restart_engine(4_000)
    first.begin(1)
    second.restart_engine(5_000)
    net.run_rounds(0.0)
    net.remove(first.name)
    second.restart_engine(4_000)
    assert second.count() == 0


# Nobody gives engines their roles any more: all that contended for the lease are gone.
@pytest.mark.parametrize("data_centres", [1, 3])
def test_few_contend_for_the_lease_and_others_follow(data_centres: int) -> None:
    net = Network(2 * MANY, data_centres)

    def follow(now: float) -> set[str]:
        for at in (now, now + MIN_CANDIDATE_SECONDS):
            for gateway in net.gateways.values():
                gateway.loads._update_group()
                gateway.loads._update_contention(at)
        return {name for name, gateway in net.gateways.items() if gateway.contends}

    first = follow(0.0)
    assert 0 < len(first) <= COLLECTOR_CANDIDATES * data_centres
    for name in first:
        net.remove(name)
    second = follow(10.0)
    assert 0 < len(second) <= COLLECTOR_CANDIDATES * data_centres
    assert not first & second


def test_all_of_few_gateways_contend_for_the_lease() -> None:
    net = Network(3)
    for at in (0.0, MIN_CANDIDATE_SECONDS):
        for gateway in net.gateways.values():
            gateway.loads._update_contention(at)
    assert all(gateway.contends for gateway in net.gateways.values())


# A gateway that starts has all shared parts read again, and elsewhere: what engines
# keep is told once, as a link comes up. Either end took note of the link only at its
# next round, and told nothing, or passed over what it was told.
@pytest.mark.parametrize("count", [1, MANY])
def test_gateway_that_starts_is_told_at_once_what_engines_keep(count: int) -> None:
    net = Network(count)
    net.run_rounds(0.0)
    part = HashedPart(7, 5_000)
    for gateway in net.gateways.values():
        gateway.placement.record_parts(PartsRead(ENGINE.host, 0, (part,)))
    net.add("late")
    for name in net.find_linked("late"):
        net.gateways[name].loads.handle_link_up("late")
    cache = net.gateways["late"].placement._engines[ENGINE.host].cache
    assert cache.list_shared() == [part]


def deny(gateway: Gateway, content: str, now: float) -> None:
    """End hosts under a request of one gateway."""
    for known in range(ENDS_TO_DENY):
        gateway.suspects.record_host_end(content, HostEnd(known, 0.05), now)


# A request that has ended hosts at one gateway would end as many at each other one.
@pytest.mark.parametrize("data_centres", [1, 2, 5])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY, 3 * MANY])
def test_each_gateway_hears_of_denied_requests(count: int, data_centres: int) -> None:
    net = Network(count, data_centres)
    net.run_rounds(0.0)
    now = time.monotonic()
    deny(net.gateways[f"g-{count - 1}"], "a", now)
    net.run_rounds(now)
    assert all(
        each.suspects.find_denial_seconds("a", now) for each in net.gateways.values()
    )
    net.gateways["g-0"].suspects.clear("a")
    net.run_rounds(now)
    assert not any(
        each.suspects.find_denial_seconds("a", now) for each in net.gateways.values()
    )


# The link between two gateways is cut, and the one goes on ending hosts with a request
# that the other has long denied.
def test_denial_goes_round_a_cut_link() -> None:
    net = Network(4)
    net.run_rounds(0.0)
    net.linked["g-0"] = ["g-2", "g-3"]
    net.linked["g-1"] = ["g-2", "g-3"]
    now = time.monotonic()
    deny(net.gateways["g-0"], "a", now)
    net.run_rounds(now)
    assert net.gateways["g-1"].suspects.find_denial_seconds("a", now)


# Thousands of requests fail at once, and gateways tell each other of nothing else.
def test_messages_about_ended_hosts_grow_with_the_gateways() -> None:
    sent = {}
    for count in (MANY, 10 * MANY):
        net = Network(count, 5)
        net.run_rounds(0.0)
        net.sent = 0
        for gateway in net.gateways.values():
            gateway.suspects.record_host_end(
                f"of-{gateway.name}", HostEnd(0, 0.05), 0.0
            )
        net.run_rounds(0.0)
        sent[count] = net.sent / count
    assert sent[10 * MANY] <= 1.1 * sent[MANY]
