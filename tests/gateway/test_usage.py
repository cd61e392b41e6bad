"""Counts of requests that gateways exchange, and what counts as a request that ran."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from radishtally.gateway.topology import MAX_MESH_GATEWAYS, Site, choose_dialled
from radishtally.gateway.usage import UsageExchange, UsageRecorder
from radishtally.links.messages import CALL, STREAM, UsageCounts, Work
from radishtally.usage.const import SEND_SECONDS
from radishtally.usage.core import Source, UsageLedger
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, make_headers, make_prompt, wait_until
from tests.gateway.test_teams import keyed_deployment

WINDOW_SECONDS = 5.0
START = 1_000 * WINDOW_SECONDS


class Node:
    """Hold the exchange of one gateway, and act as its link hub."""

    def __init__(self, name: str, net: "Network") -> None:
        self.net = net
        self.name = name
        self.ledger = UsageLedger(Source(name, "1"), WINDOW_SECONDS)
        self.exchange = UsageExchange(name, self.ledger)
        self.exchange.attach(self)

    @property
    def hosts(self) -> list[str]:
        return self.net.find_linked(self.name)

    def send(self, peer: str, message: UsageCounts) -> bool:
        if peer not in self.hosts:
            return False
        self.net.nodes[peer].exchange.handle_message(self.name, message)
        return True


class Network:
    """Connect gateways as they dial each other."""

    def __init__(self, count: int, data_centres: int = 3) -> None:
        self.sites = {
            f"g-{number:02d}": Site(f"z-{number % data_centres}", 1.0)
            for number in range(count)
        }
        self.nodes = {name: Node(name, self) for name in self.sites}
        self.cut: set[str] = set()
        for node in self.nodes.values():
            node.exchange.set_sites(self.sites)

    def find_linked(self, name: str) -> list[str]:
        if name in self.cut:
            return []
        up = [other for other in self.nodes if other not in self.cut]
        gone = set(self.sites) - set(up)
        dials = {one: choose_dialled(self.sites, one, gone) for one in up}
        return [other for other in up if other in dials[name] or name in dials[other]]

    def list_candidates(self) -> list[Node]:
        """List the gateways that receive all counts."""
        alive = {name for name in self.nodes if name not in self.cut}
        found = set()
        for name in alive:
            found |= set(self.nodes[name].exchange._find_recipients())
        return [self.nodes[name] for name in sorted(found)]

    def run_rounds(self, now: float) -> None:
        for number in range(3):
            for name, node in self.nodes.items():
                if name not in self.cut:
                    node.exchange.send(now + number * SEND_SECONDS)


@pytest.mark.parametrize("count", [1, 4, MAX_MESH_GATEWAYS, 28])
def test_every_candidate_for_the_lease_has_all_counts(count: int) -> None:
    net = Network(count)
    for node in net.nodes.values():
        node.ledger.count("silk", START)
    net.run_rounds(START)
    for node in net.list_candidates():
        assert node.ledger.sum_counts(1_000) == {"silk": count}


# Guards against counts that are lost with the gateway that had collected them.
def test_counts_survive_the_end_of_a_collector() -> None:
    net = Network(28)
    for node in net.nodes.values():
        node.ledger.count("silk", START)
    net.run_rounds(START)
    collector = net.list_candidates()[0]
    net.cut.add(collector.name)
    net.run_rounds(START + 1.0)
    candidates = net.list_candidates()
    assert collector not in candidates
    for node in candidates:
        assert node.ledger.sum_counts(1_000) == {"silk": 28}


# Guards against counts that are missing because a gateway was cut off from its peers
# while it went on serving.
def test_counts_arrive_after_a_cut() -> None:
    net = Network(28)
    net.run_rounds(START)
    cut_off = net.nodes["g-27"]
    net.cut.add(cut_off.name)
    cut_off.ledger.count("silk", START)
    cut_off.exchange.send(START)
    net.run_rounds(START + 0.5)
    net.cut.clear()
    net.run_rounds(START + 1.0)
    for node in net.list_candidates():
        assert node.ledger.sum_counts(1_000) == {"silk": 1}


def make_work(name: str, kind: str, team: str = "silk") -> Work:
    return Work(name, team, "llm", kind, b"")


class Clock:
    """Return a time that tests set."""

    now = START

    def read(self) -> float:
        return self.now


def make_recorder() -> tuple[UsageRecorder, UsageLedger, Clock]:
    ledger, clock = UsageLedger(Source("g", "1"), WINDOW_SECONDS), Clock()
    return UsageRecorder(ledger, clock.read), ledger, clock


def test_stream_is_counted_when_its_first_event_arrives() -> None:
    recorder, ledger, clock = make_recorder()
    recorder.open(make_work("r", STREAM))
    recorder.record_offer("r")
    clock.now += WINDOW_SECONDS
    recorder.record_begin("r")
    recorder.record_begin("r")
    recorder.close("r")
    assert ledger.sum_counts(1_000) == {}
    assert ledger.sum_counts(1_001) == {"silk": 1}


# Guards against calls that are counted in the window of their end.
def test_call_is_counted_when_it_was_offered() -> None:
    recorder, ledger, clock = make_recorder()
    recorder.open(make_work("r", CALL))
    recorder.record_offer("r")
    clock.now += WINDOW_SECONDS
    recorder.record_offer("r")
    recorder.record_begin("r")
    assert ledger.sum_counts(1_000) == {"silk": 1}


def test_only_calls_are_counted_if_their_answer_is_lost() -> None:
    recorder, ledger, _ = make_recorder()
    for name, kind in (("call", CALL), ("stream", STREAM)):
        recorder.open(make_work(name, kind))
        recorder.record_offer(name)
        recorder.record_unclear_end(name)
        recorder.close(name)
    assert ledger.sum_counts(1_000) == {"silk": 1}


def test_requests_that_did_not_run_or_have_no_team_are_not_counted() -> None:
    recorder, ledger, _ = make_recorder()
    recorder.open(make_work("refused", CALL))
    recorder.record_offer("refused")
    recorder.close("refused")
    recorder.open(make_work("anonymous", CALL, team=""))
    recorder.record_begin("anonymous")
    recorder.record_begin("refused")
    assert ledger.list_all() == []


@asynccontextmanager
async def counting_deployment() -> AsyncIterator[tuple[Deployment, UsageLedger]]:
    """Run a deployment with keys whose gateway counts requests."""
    recorder, ledger, _ = make_recorder()
    async with keyed_deployment() as (env, _):
        env.gateway.usage = recorder
        yield env, ledger


async def send(env: Deployment, path: str, headers: dict[str, str]) -> int:
    headers = {**headers, "Authorization": "Bearer satin-1"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(env.url + path, headers=headers, data=b"p") as response,
    ):
        await response.read()
        return response.status


def test_gateway_counts_each_request_once() -> None:
    async def scenario() -> None:
        async with counting_deployment() as (env, ledger):
            for name, role in (("i-p", "prefill"), ("i-d", "decode")):
                await env.serve_engine(StagedEngine(name, role))
            assert await send(env, "/draft/x", make_prompt("stream")) == 200
            assert await send(env, "/book/x", make_headers("call")) == 200
            assert ledger.sum_counts(1_000) == {"satin": 2}

    run(scenario())


# Guards against usage of requests that no host has run.
def test_gateway_does_not_count_refused_requests() -> None:
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={"X-Not-Executed": "1"})

    async def scenario() -> None:
        async with counting_deployment() as (env, ledger):
            await env.serve_desk("i-full", refuse)
            env.withdraw("i-desk")
            await wait_until(lambda: "i-desk" not in env.gateway.core.links)
            assert await send(env, "/book/x", make_headers("call")) in (429, 503)
            assert ledger.list_all() == []

    run(scenario())
