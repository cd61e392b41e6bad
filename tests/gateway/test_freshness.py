"""Keys while the store can't confirm the configuration."""

from radishtally.gateway.freshness import ConfigurationView
from tests.common import run
from tests.gateway.common import wait_until
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
