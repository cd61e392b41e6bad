"""Tests that entries for unknown services in the host list are ignored."""

from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import deployment, serve


# Guards against orders to arbitrary addresses: an entry for a service that is not in
# the configuration is taken for an engine of an upstream.
def test_engine_of_an_unknown_upstream_gets_no_order() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engines = [StagedEngine(f"e-{number}", "decode") for number in range(3)]
            for engine in engines:
                address = await serve(engine.build_app())
                env.announce(engine.instance, address, "ghost", phase="decode")
                await env.wait_for(engine.instance)
            list_engines = env.gateway.stages._list_instances
            assert list_engines() == []
            known = StagedEngine("e-9", "decode")
            await env.serve_engine(known)
            assert [engine.host for engine in list_engines()] == ["e-9"]

    run(scenario())
