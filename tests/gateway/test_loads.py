"""Tests of the load exchange between gateways, without network links."""

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
from radishtally.links.gateway_messages import HashedPart, HostsRead, PartsRead
from radishtally.links.kinds import Message
from radishtally.links.messages import DECODE, PREFILL, STREAM, WHOLE, KvRef, Work
from radishtally.serving.hosts import KnownHost
from radishtally.serving.prompt_suspects import OpenRun, PromptSuspects
from radishtally.serving.requests import OpenRequest
from radishtally.serving.suspects import ENDS_TO_DENY, HostEnd, Suspects
from radishtally.stages.role_controller import RoleController

MANY = MAX_MESH_GATEWAYS + 8
ENGINE = Instance("d-1", "llm", "d-1:1", "howrah", False, 64, DECODE)
OTHER_ENGINE = Instance("d-2", "llm", "d-2:1", "howrah", False, 64, DECODE)


def count_answers(placement: EnginePlacement, host: str) -> int:
    """Return the answers that all gateways have open at an engine."""
    engine = placement._engines.get(host)
    return engine.count_answers() if engine else 0


class Network:
    """Deliver messages between gateways immediately, and count them."""

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
        """Inform all gateways of the current list of gateways."""
        self.linked.clear()
        for gateway in self.gateways.values():
            gateway.loads.set_sites(dict(self.sites))

    def find_linked(self, own: str) -> list[str]:
        """Return the gateways that a gateway has links to."""
        if not self.linked:
            gone = set(self.sites) - set(self.gateways)
            for one in self.gateways:
                for other in choose_dialled(self.sites, one, gone):
                    if other in self.gateways:
                        self.linked[one].append(other)
                        self.linked[other].append(one)
        return self.linked[own]

    def remove(self, name: str) -> None:
        """Remove a gateway and its links; it stays listed."""
        del self.gateways[name]
        self.linked.clear()
        for gateway in self.gateways.values():
            gateway.loads.forget_peer(name)

    def unlist(self, name: str) -> None:
        """Remove a gateway and its listing."""
        self.remove(name)
        del self.sites[name]
        self.publish_sites()

    def run_rounds(self, now: float) -> None:
        """Run three rounds of each gateway, and three with a full refresh."""
        later = now + FULL_REFRESH_SECONDS
        for at in (now, now, now, later, later, later):
            for gateway in self.gateways.values():
                gateway.loads._update_group()
                gateway.loads._send_backlog(at)
                gateway.loads._send_engine_news()
                gateway.loads._send_table_reads()
                gateway.loads._send_changed_suspicions(at)
                gateway.loads._send_demand(at)


class Gateway:
    """Hold the state of one gateway, and act as its link hub."""

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
        self.part_suspects = PromptSuspects()
        self.loads = LoadExchange(
            name,
            self,
            self.placement,
            self.stages,
            self.set_contending,
            self.suspects,
            self.part_suspects,
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
        """Start decoding an answer at the engine."""
        work = Work(f"{self.name}-{number}", "", "llm", STREAM, b"")
        request = OpenRequest(work, 10.0, True, 0.0)
        request.stage, request.kv = WHOLE, KvRef("p", "p:1", "h", 1)
        host = KnownHost(ENGINE.host, "howrah", "llm", live=True)
        self.placement.begin(request, host, 0.0)

    def restart_engine(self, started_ms: int) -> None:
        """Record that the engine has restarted."""
        self.placement.reset_engine(ENGINE.host)
        self.placement.set_instance(ENGINE._replace(started_ms=started_ms))

    def count(self) -> int:
        return count_answers(self.placement, ENGINE.host)


# Guards against overloaded or idle engines, because gateways miss open work of others
# or count it twice: the sums of the collectors must add up at each gateway.
@pytest.mark.parametrize("data_centres", [1, 2, 5])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY, 3 * MANY])
def test_each_gateway_counts_all_work_once(count: int, data_centres: int) -> None:
    net = Network(count, data_centres)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    assert {gateway.count() for gateway in net.gateways.values()} == {count}


@pytest.mark.parametrize("data_centres", [1, 5])
def test_messages_per_round_grow_linearly(data_centres: int) -> None:
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


# Guards against lost work counts, and against work of a dead gateway that is counted
# forever, when the collector is killed and another gateway takes over.
@pytest.mark.parametrize("data_centres", [1, 3])
def test_standby_takes_over_from_a_dead_collector(data_centres: int) -> None:
    net = Network(MANY, data_centres)
    net.run_rounds(0.0)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(2.0)
    net.remove(next(iter(net.gateways.values())).loads._group.collector)
    net.run_rounds(4.0)
    assert {gateway.count() for gateway in net.gateways.values()} == {MANY - 1}


# Guards against work that is counted twice: as gateways are added one by one, the mesh
# is replaced by a collector, which sends the work that was sent directly before.
def test_work_is_counted_once_when_a_mesh_gets_a_collector() -> None:
    net = Network(MAX_MESH_GATEWAYS)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    net.add("late")
    net.run_rounds(2.0)
    counts = {gateway.count() for gateway in net.gateways.values()}
    assert counts == {MAX_MESH_GATEWAYS}


# Guards against overloaded engines: with fewer gateways, the collector is replaced by a
# mesh. Each gateway drops the collector's sums and ignores gateways that have not
# switched yet, and work that was open before is not sent again.
def test_all_work_is_counted_when_a_collector_is_replaced_by_a_mesh() -> None:
    net = Network(MAX_MESH_GATEWAYS + 1)
    for number, gateway in enumerate(net.gateways.values()):
        gateway.begin(number)
    net.run_rounds(0.0)
    net.unlist(next(reversed(net.gateways)))
    net.run_rounds(4.0)
    assert [gateway.count() for gateway in net.gateways.values()] == (
        [MAX_MESH_GATEWAYS] * MAX_MESH_GATEWAYS
    )


# Guards against an overloaded new engine: one gateway discovers it later than the
# others, and receives their open work there before it knows the engine.
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
def test_demand_of_all_gateways_is_counted_with_collectors(data_centres: int) -> None:
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


# Guards against an idle engine that is taken for busy, or the reverse: it restarts, and
# gateways learn of it one after another. Work at a start that a gateway does not know
# is not counted there, and is counted in full once the start is known.
@pytest.mark.parametrize("count", [3, MANY])
def test_work_is_counted_where_its_start_is_known(count: int) -> None:
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


# Guards against work of a lost gateway that is counted at the engine's next start:
# loads that it sent for a start that the others did not know yet are stored.
def test_work_of_a_lost_gateway_is_not_counted_at_a_later_start() -> None:
    net = Network(2)
    first, second = net.gateways.values()
    first.restart_engine(4_000)
    first.begin(1)
    second.restart_engine(5_000)
    net.run_rounds(0.0)
    net.remove(first.name)
    second.restart_engine(4_000)
    assert second.count() == 0


# Guards against engines without role assignments, because all gateways that contended
# for the lease are gone.
@pytest.mark.parametrize("data_centres", [1, 3])
def test_few_contend_for_the_lease_and_others_replace_them(data_centres: int) -> None:
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


def test_all_gateways_of_a_mesh_contend_for_the_lease() -> None:
    net = Network(3)
    for at in (0.0, MIN_CANDIDATE_SECONDS):
        for gateway in net.gateways.values():
            gateway.loads._update_contention(at)
    assert all(gateway.contends for gateway in net.gateways.values())


# Guards against a new gateway that has all shared parts prefilled again at other
# engines. Cached parts are sent only once, when a link comes up. If either end notices
# the link only in its next round, they are not sent, or are ignored.
@pytest.mark.parametrize("count", [1, MANY])
def test_new_gateway_receives_cached_parts_immediately(count: int) -> None:
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
    """Record as many host failures under a request as make a gateway deny it."""
    for known in range(ENDS_TO_DENY):
        gateway.suspects.record_host_end(content, HostEnd(known, 0.05), now)


# Guards against a request that crashes hosts through one gateway after another.
@pytest.mark.parametrize("data_centres", [1, 2, 5])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY, 3 * MANY])
def test_denied_requests_reach_each_gateway(count: int, data_centres: int) -> None:
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


# Guards against a gateway that crashes hosts with a request that another one denies,
# because the link between the two is down.
def test_denial_is_relayed_around_a_broken_link() -> None:
    net = Network(4)
    net.run_rounds(0.0)
    net.linked["g-0"] = ["g-2", "g-3"]
    net.linked["g-1"] = ["g-2", "g-3"]
    now = time.monotonic()
    deny(net.gateways["g-0"], "a", now)
    net.run_rounds(now)
    assert net.gateways["g-1"].suspects.find_denial_seconds("a", now)


# Guards against a flood of messages when thousands of requests fail at once.
def test_messages_about_failed_hosts_grow_linearly() -> None:
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


def end_host(gateway: "Gateway", number: int, now: float, *parts: int) -> None:
    """Record the end of a host under a run with these prompt parts."""
    run = OpenRun(f"c-{gateway.name}-{number}", frozenset(parts), now - 0.5, 0.0)
    gateway.part_suspects.record_end(f"h-{number}", run, now)


# Guards against a part of prompts that crashes hosts through one gateway after another.
@pytest.mark.parametrize("data_centres", [1, 2, 5])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY, 3 * MANY])
def test_denied_parts_reach_each_gateway(count: int, data_centres: int) -> None:
    net = Network(count, data_centres)
    net.run_rounds(0.0)
    begun_at = time.monotonic() - ENDS_TO_DENY
    gateways = list(net.gateways.values())
    for number in range(ENDS_TO_DENY):
        end_host(gateways[-1 - number % 2], number, begun_at + number, 7)
        net.run_rounds(time.monotonic())
    parts, now = frozenset((7,)), time.monotonic()
    assert all(each.part_suspects.find_denial_seconds(parts, now) for each in gateways)
    gateways[0].part_suspects.record_served(parts, now)
    net.run_rounds(now)
    assert not any(each.part_suspects.is_active for each in gateways)


# Guards against messages that grow with the square of the gateways: all have served the
# parts of one request that a host ended under, and serve them again.
def test_messages_about_parts_grow_linearly() -> None:
    sent = {}
    for count in (MANY, 10 * MANY):
        net = Network(count, 5)
        net.run_rounds(0.0)
        now = time.monotonic()
        for gateway in net.gateways.values():
            gateway.part_suspects.record_served(frozenset((1, 2)), now - 10.0)
        net.sent = 0
        first = net.gateways["g-0"]
        first.part_suspects._served.clear()
        end_host(first, 1, now, 1, 2)
        net.run_rounds(now)
        for gateway in net.gateways.values():
            gateway.part_suspects.record_served(frozenset((1, 2)), now + 1.0)
        net.run_rounds(now + 1.0)
        sent[count] = net.sent / count
    assert sent[10 * MANY] <= 1.1 * sent[MANY]


# Guards against the load of an engine that changes its role: it refuses all work, and
# with few open requests it was chosen again and again by all gateways that had not
# ordered the change. Their refused offers used up the retry budget.
@pytest.mark.parametrize("data_centres", [1, 3])
@pytest.mark.parametrize("count", [2, MAX_MESH_GATEWAYS, MANY])
def test_all_gateways_avoid_an_engine_that_changes_its_role(
    count: int, data_centres: int
) -> None:
    net = Network(count, data_centres)
    net.run_rounds(0.0)
    for gateway in net.gateways.values():
        gateway.placement.set_instance(OTHER_ENGINE)
    ordering = net.gateways[f"g-{count - 1}"]
    ordering.loads.record_role_order(ENGINE.host, PREFILL)
    net.run_rounds(4.0)
    hosts = [
        KnownHost(engine.host, "howrah", "llm", live=True)
        for engine in (ENGINE, OTHER_ENGINE)
    ]
    now = time.monotonic()
    for gateway in net.gateways.values():
        for _ in range(10):
            request = OpenRequest(
                Work("r", "", "llm", STREAM, b""), now + 10.0, True, now
            )
            request.next_stage = DECODE
            placed = gateway.placement.place(request, hosts, "howrah", now)
            assert placed.host == OTHER_ENGINE.host


# Guards against requests to a leaving host through a gateway whose feed is silent: all
# gateways learn of the change that one has read, with a few messages for each of them.
@pytest.mark.parametrize(("count", "data_centres"), [(3, 1), (MANY, 1), (MANY, 3)])
def test_change_of_the_host_list_reaches_all_gateways(
    count: int, data_centres: int
) -> None:
    net = Network(count, data_centres)
    net.run_rounds(0.0)
    reads: dict[str, list[HostsRead]] = {name: [] for name in net.gateways}
    for name, gateway in net.gateways.items():
        gateway.loads.on_table_read = reads[name].append
    net.gateways["g-1"].loads.record_table_read(HostsRead(1, 7))
    net.sent = 0
    for _ in range(4):
        for gateway in net.gateways.values():
            gateway.loads._update_group()
            gateway.loads._send_table_reads()
    assert reads.pop("g-1") == []
    assert all(read == [HostsRead(1, 7)] for read in reads.values())
    assert net.sent <= 3 * count
    net.gateways["g-2"].loads.record_table_read(HostsRead(1, 5))
    assert not net.gateways["g-2"].loads._unsent_reads


def test_gateway_whose_link_is_new_learns_of_the_last_change() -> None:
    net = Network(2)
    net.gateways["g-0"].loads.record_table_read(HostsRead(1, 7))
    reads: list[HostsRead] = []
    net.gateways["g-1"].loads.on_table_read = reads.append
    net.gateways["g-0"].loads.handle_link_up("g-1")
    assert reads == [HostsRead(1, 7)]
