"""Counts of requests that gateways exchange, and what counts as a request that ran."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from radishtally.gateway.topology import MAX_MESH_GATEWAYS
from radishtally.gateway.usage import UsageExchange, UsageRecorder
from radishtally.links.messages import CALL, STREAM, Work
from radishtally.usage.const import SEND_SECONDS
from radishtally.usage.core import Source, UsageLedger
from radishtally.usage.reporter import ReportOutcome
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, make_headers, make_prompt, wait_until
from tests.gateway.network import Hub, Network
from tests.gateway.test_teams import keyed_deployment

WINDOW_SECONDS = 5.0
START = 1_000 * WINDOW_SECONDS


class UsageNetwork(Network):
    """Connect gateways that count requests."""

    def __init__(self, count: int) -> None:
        self.ledgers: dict[str, UsageLedger] = {}
        super().__init__(count, self._make_exchange)

    def _make_exchange(self, name: str, hub: Hub) -> UsageExchange:
        self.ledgers[name] = UsageLedger(Source(name, "1"), WINDOW_SECONDS)
        exchange = UsageExchange(name, self.ledgers[name])
        exchange.attach(hub)
        return exchange

    def list_candidates(self) -> set[str]:
        """List the gateways that receive all counts."""
        up = self.sites.keys() - self.cut
        return {peer for name in up for peer in self.exchanges[name]._find_recipients()}

    def sum_counts(self) -> list[dict[str, int]]:
        """Return the counts that each candidate for the lease knows."""
        candidates = sorted(self.list_candidates())
        return [self.ledgers[name].sum_counts(1_000) for name in candidates]

    def run_rounds(self, now: float) -> None:
        """Let each gateway that is not cut off send three times."""
        for number in range(3):
            for name in self.sites.keys() - self.cut:
                self.exchanges[name].send(now + number * SEND_SECONDS)


@pytest.mark.parametrize("count", [1, 4, MAX_MESH_GATEWAYS, 28])
def test_every_candidate_for_the_lease_has_all_counts(count: int) -> None:
    net = UsageNetwork(count)
    for ledger in net.ledgers.values():
        ledger.count("silk", START)
    net.run_rounds(START)
    assert all(counts == {"silk": count} for counts in net.sum_counts())


# Guards against counts that are lost with the gateway that had collected them.
def test_counts_survive_the_end_of_a_collector() -> None:
    net = UsageNetwork(28)
    for ledger in net.ledgers.values():
        ledger.count("silk", START)
    net.run_rounds(START)
    collector = min(net.list_candidates())
    net.cut.add(collector)
    net.run_rounds(START + 1.0)
    assert collector not in net.list_candidates()
    assert len(net.sum_counts()) == 6
    assert all(counts == {"silk": 28} for counts in net.sum_counts())


# Guards against counts that are missing in other data centres: a new gateway sent them
# before its peers had read its row.
def test_counts_of_a_gateway_that_is_not_listed_yet_reach_every_candidate() -> None:
    net = UsageNetwork(28)
    new = max(net.sites.keys() - net.list_candidates())
    listed = {name: site for name, site in net.sites.items() if name != new}
    for name in listed:
        net.exchanges[name].set_sites(listed)
    net.run_rounds(START)
    net.ledgers[new].count("silk", START)
    net.run_rounds(START)
    assert all(counts == {"silk": 1} for counts in net.sum_counts())


# Guards against counts that are missing because a gateway was cut off from its peers
# while it went on serving.
def test_counts_arrive_after_a_cut() -> None:
    net = UsageNetwork(28)
    net.run_rounds(START)
    net.cut.add("g-27")
    net.ledgers["g-27"].count("silk", START)
    net.exchanges["g-27"].send(START)
    net.run_rounds(START + 0.5)
    net.cut.clear()
    net.run_rounds(START + 1.0)
    assert all(counts == {"silk": 1} for counts in net.sum_counts())


# Guards against requests that are missing because their gateway was stopped, and
# against reports that wait for a gateway that is gone.
def test_stopping_gateway_sends_and_closes_its_last_counts() -> None:
    net = UsageNetwork(28)
    net.run_rounds(START)
    net.ledgers["g-27"].count("silk", START)
    net.exchanges["g-27"].flush()
    net.cut.add("g-27")
    net.run_rounds(START + 1.0)
    assert all(counts == {"silk": 1} for counts in net.sum_counts())
    for name in net.list_candidates():
        for window in (1_000, 1_001, 1_002):
            assert net.ledgers[name].list_unclosed(window) == []


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
        env.gateway.meter = recorder
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


class RecordingApi:
    """Accept all reports."""

    def __init__(self) -> None:
        self.reports: dict[int, dict[str, int]] = {}

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> ReportOutcome:
        assert (holder, fencing) == ("gateway-1", 1)
        self.reports[window] = counts
        return ReportOutcome.ACCEPTED


def test_gateway_reports_its_requests_once_it_has_the_lease() -> None:
    async def scenario() -> None:
        api = RecordingApi()
        async with keyed_deployment(api) as (env, _):
            await wait_until(lambda: env.gateway.lease.holds())
            for number in range(3):
                assert await send(env, "/book/x", make_headers(f"r{number}")) == 200
            await wait_until(
                lambda: sum(counts["satin"] for counts in api.reports.values()) == 3
            )

    run(scenario())
