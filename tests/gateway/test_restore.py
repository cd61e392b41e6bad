"""Tests of a whole gateway whose store is restored from an older backup."""

from radishtally.authority.lease_events import (
    LEASE,
    LeaseTerms,
)
from radishtally.gateway.const import STAGES_LEASE
from radishtally.gateway.registry import GATEWAYS_PARTITION
from radishtally.store.core import Key
from standins.rows import RowId, Rows
from tests.common import run
from tests.gateway.common import deployment, run_gateway, wait_until
from tests.gateway.test_calls import Desk, answer_whole, ask
from tests.gateway.test_streams import make_whole, start_engines, stream

SHORT_TERMS = LeaseTerms(granted=0.6, margin=0.1, renew_every=0.2, read_every=0.05)


# Guards against an outdated configuration and work for a draining host: everything
# written since the backup is lost, and a gateway takes the restored state for the
# latest one.
def test_restore_does_not_undo_the_known_state() -> None:
    async def scenario() -> None:
        rows = Rows(era=1)
        async with deployment(rows) as env:
            gateway = env.gateway
            staying, leaving = Desk(answer_whole), Desk(answer_whole)
            await env.serve_desk("desk-1", staying)
            await env.serve_desk("desk-2", leaving)
            await start_engines(env)
            copy = rows.take_snapshot()
            env.announce("desk-2", env.addresses["desk-2"], "desk", state="draining")
            env.configure()
            version = env.version
            await wait_until(lambda: gateway.router.configuration.version == version)
            await wait_until(lambda: not gateway.core.hosts["desk-2"].live)

            rows.restore(copy)
            restores = "radishtally_store_restores_total 1.0"
            await wait_until(lambda: restores in gateway.render_metrics().decode())
            for number in range(6):
                status, _, body = await ask(env, "/read/a", f"r{number}")
                assert status == 200, body
            assert await stream(env, "/sheet/a", "s1") == make_whole("s1")
            assert gateway.router.configuration.version == version
            assert leaving.seen == []
            rows.rewrite([RowId("op", "", "config"), RowId("servers", "", "desk-2")])
            assert not gateway.core.hosts["desk-2"].live

    run(scenario())


# Guards against engines without orders, or with orders from two gateways under one
# fencing token: the row of the lease is lost, and tokens are issued again.
def test_lease_is_regained_with_a_higher_fencing_token() -> None:
    async def scenario() -> None:
        rows = Rows(era=1)
        async with deployment(rows) as env:
            lease = env.gateway.lease
            lease.set_terms(SHORT_TERMS)
            copy = rows.take_snapshot()
            await wait_until(lambda: lease.fencing is not None)
            before = lease.fencing
            rows.restore(copy)
            await wait_until(lambda: (lease.fencing or 0) > before)
            row = (await env.gateway.table.get(Key(LEASE, STAGES_LEASE))).ok
            assert row.value["fencing"] == lease.fencing
            assert row.era == 2

    run(scenario())


# Guards against gateways that count only their own work and share the retry budget
# among too few: their rows and the secret of their links are lost.
def test_gateways_find_each_other_again_after_a_restore() -> None:
    async def scenario() -> None:
        rows = Rows(era=1)
        copy = rows.take_snapshot()
        async with (
            deployment(rows) as env,
            run_gateway(env.store, "gateway-2") as two,
        ):
            both = env.gateway, two
            await wait_until(lambda: all(one.peers._hub for one in both))
            await wait_until(lambda: all(one.peers._hub.hosts for one in both))
            rows.restore(copy)
            env.configure()
            while len(
                (await two.table.query(GATEWAYS_PARTITION)).default_value([])
            ) < len(both):
                assert all(one.peers._hub.hosts for one in both)
            assert all(one.peers._hub.hosts for one in both)

    run(scenario())
