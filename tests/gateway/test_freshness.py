"""Keys while the store can't confirm the configuration."""

from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from radishtally.gateway.freshness import (
    ConfigurationState,
    ConfigurationView,
    ViewConfirmer,
    ViewExchange,
)
from tests.common import run
from tests.gateway.common import wait_until
from tests.gateway.network import Hub, Network
from tests.gateway.test_teams import ask, bear, keyed_deployment


# Guards against a revoked key that is accepted by a gateway which no longer hears of
# changes: it was cut off from the store, or was suspended.
def test_keys_are_refused_without_a_recent_confirmation() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, desk):
            view = env.gateway.view
            view.limit_age(5000)
            assert (await ask(env, "before", bear("silk-1")))[0] == 200
            env.rows.fault_gate._fault = {"mode": "down"}
            view.confirmed_at -= 4.8
            status, headers = await ask(env, "stale", bear("silk-1"))
            assert (status, headers["X-Ran"]) == (503, "no")
            assert float(headers["Retry-After"]) > 0
            assert (await ask(env, "unknown", bear("unknown")))[0] == 503
            assert (await ask(env, "open", path="/open/x"))[0] == 200
            assert len(desk.seen) == 2
            env.rows.fault_gate._fault = {"mode": "up"}
            await wait_until(view.is_fresh)
            assert (await ask(env, "after", bear("silk-1")))[0] == 200

    run(scenario())


# Guards against accepting keys that a configuration which can't be decoded may have
# taken away.
def test_unreadable_configuration_confirms_no_keys() -> None:
    async def scenario() -> None:
        async with keyed_deployment() as (env, _):
            confirmed_at = env.gateway.view.confirmed_at
            env.configure(limits="none", tenants=())
            await env.gateway.confirmer.confirm()
            assert env.gateway.view.confirmed_at == confirmed_at

    run(scenario())


def test_confirmation_counts_from_the_time_of_its_request() -> None:
    now = 100.0
    view = ConfigurationView(lambda: now)
    view.limit_age(5000)
    assert not view.is_fresh()
    view.confirm(98.0)
    view.confirm(97.0)
    assert view.age == 2.0
    now = 102.74
    assert view.is_fresh()
    now = 102.76
    assert not view.is_fresh()
    view.limit_age(None)
    assert view.is_fresh()


class Node:
    """Hold the view of one gateway, which calls a store that a test controls."""

    def __init__(self, name: str, hub: Hub, net: "ViewNetwork") -> None:
        self._net = net
        self.state: ConfigurationState | None = net.state
        self.is_rejected = False
        """Whether the store rejects this gateway."""
        self.calls = 0
        self.view = ConfigurationView(lambda: net.now)
        self.view.limit_age(5000)
        self.exchange = ViewExchange(name, self.view, lambda: self.state)
        self.exchange.attach(hub)
        self.confirmer = ViewConfirmer(
            self.view, self.exchange, lambda: True, run_at_once
        )
        self.confirmer.confirm = self._call_store

    async def _call_store(self) -> None:
        self.calls += 1
        if self._net.is_store_up and not self.is_rejected:
            self.state = self._net.state
            self.view.confirm(self._net.now)


class DoneTask:
    """Stand in for the task of a call that is over."""

    def add_done_callback(self, callback: Callable[["DoneTask"], None]) -> None:
        callback(self)


def run_at_once(coroutine: Coroutine[Any, Any, None]) -> DoneTask:
    """Run a call that waits for nothing."""
    with pytest.raises(StopIteration):
        coroutine.send(None)
    return DoneTask()


class ViewNetwork(Network):
    """Connect gateways that confirm the configuration for each other."""

    def __init__(self, count: int) -> None:
        self.now = 1_000.0
        self.is_store_up = True
        self.state = ConfigurationState(1, 7)
        self.nodes: dict[str, Node] = {}
        super().__init__(count, self._make_exchange)

    def _make_exchange(self, name: str, hub: Hub) -> ViewExchange:
        self.nodes[name] = Node(name, hub, self)
        return self.nodes[name].exchange

    def pass_time(self, seconds: float, *frozen: str) -> None:
        """Let all gateways run for a time, except those that are frozen."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for name, node in self.nodes.items():
                if name not in frozen:
                    node.confirmer.step()

    @property
    def calls(self) -> int:
        return sum(node.calls for node in self.nodes.values())

    def list_fresh(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.view.is_fresh()]


# Guards against calls to the store that grow with the number of gateways.
def test_few_gateways_ask_the_store_for_all_of_them() -> None:
    net = ViewNetwork(28)
    net.pass_time(5.0)
    before = net.calls
    for _ in range(30):
        net.pass_time(1.0)
        assert len(net.list_fresh()) == 28
    readers = [name for name, node in net.nodes.items() if node.calls > 5]
    assert len(readers) == 3
    assert net.calls - before <= 30 * 3


# Guards against callers that are refused for long after an outage, and against gateways
# that all call the store while it is away.
def test_all_views_are_fresh_soon_after_an_outage() -> None:
    net = ViewNetwork(28)
    net.pass_time(5.0)
    net.is_store_up = False
    net.pass_time(5.0)
    assert net.list_fresh() == []
    before = net.calls
    net.pass_time(5.0)
    assert net.calls - before <= 5 * 3 * 4 + 2 * 25 + 3
    net.is_store_up = True
    net.pass_time(0.3)
    assert len(net.list_fresh()) == 28


# Guards against a revoked key at a gateway whose configuration is outdated: a peer's
# confirmation of a newer one says nothing about it.
@pytest.mark.parametrize("state", [ConfigurationState(1, 8), ConfigurationState(2, 7)])
def test_confirmation_of_another_configuration_is_not_used(
    state: ConfigurationState,
) -> None:
    net = ViewNetwork(28)
    net.pass_time(5.0)
    outdated = next(name for name, node in net.nodes.items() if node.calls <= 5)
    net.nodes[outdated].is_rejected = True
    net.state = state
    net.pass_time(5.0)
    assert len(net.list_fresh()) == 27
    assert not net.nodes[outdated].view.is_fresh()


# Guards against a confirmation that seems newer than it is: its sender or its receiver
# was suspended, or the link was slow.
def test_confirmation_counts_from_its_request_on_both_sides() -> None:
    net = ViewNetwork(2)
    asking, answering = (net.nodes[name] for name in ("g-01", "g-00"))
    answering.view.confirm(net.now - 1.0)
    asking.exchange.ask("g-00")
    assert asking.view.confirmed_at == net.now - 1.0
    answering.view.confirmed_at = net.now - 4.0
    asking.exchange.ask("g-00")
    asked_at = net.now
    net.now += 3.0
    answering.view.confirm(net.now)
    assert asking.view.confirmed_at == asked_at


# Guards against keys that a gateway accepts after a suspend, during which one was taken
# away, and against one that refuses them for long although the store is there.
def test_view_is_outdated_after_a_suspend_until_it_is_confirmed() -> None:
    net = ViewNetwork(28)
    net.pass_time(5.0)
    frozen = "g-20"
    net.pass_time(5.0, frozen)
    assert frozen not in net.list_fresh()
    net.nodes[frozen].confirmer.step()
    assert frozen in net.list_fresh()


# Guards against gateways that wait for a peer which the store rejects.
def test_gateway_asks_the_store_itself_if_its_peer_can_not() -> None:
    net = ViewNetwork(28)
    net.pass_time(5.0)
    for node in net.nodes.values():
        node.is_rejected = node.exchange.find_source() is None
    for _ in range(100):
        net.pass_time(0.2)
        assert len(net.list_fresh()) >= 25
    assert len(net.list_fresh()) == 25
