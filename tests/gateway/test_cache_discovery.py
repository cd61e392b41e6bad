"""What gateways know of engines' caches after all of them have started again."""

import asyncio

from radishtally.direct.core import CachedPart, Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.cache_discovery import CacheDiscovery
from radishtally.gateway.peers import GATEWAYS_PARTITION
from radishtally.links.messages import DECODE, PREFILL
from radishtally.outcome import Error, Ok, Result
from radishtally.serving.terms import PromptPart
from radishtally.store.core import Key
from tests.common import run
from tests.gateway.common import deployment, run_gateway, wait_until
from tests.gateway.test_streams import start_engines

NAMES = [f"g-{number}" for number in range(5)]
KEPT = [CachedPart("m", "a", 500), CachedPart("m", "b", 5_000)]
PROMPT = (PromptPart("aa", 500), PromptPart("bb", 400))
PARTS = (PromptPart("a", 500), PromptPart("b", 5_000), PromptPart("own", 900))


class FakeEngines:
    """Say what engines keep, and count how often each is asked."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.silent: set[str] = set()

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        self.asked.append(instance.host)
        return Error("no answer") if instance.host in self.silent else Ok(KEPT)


def make_instances(count: int) -> list[Instance]:
    roles = PREFILL, DECODE
    return [
        Instance(f"e-{n}", "llm", f"e-{n}:1", "howrah", False, 64, roles[n % 2])
        for n in range(count)
    ]


def make_placement(instances: list[Instance]) -> EnginePlacement:
    placement = EnginePlacement(lambda: 0.0)
    for instance in instances:
        placement.set_instance(instance)
    return placement


# Each shared part is read again at another engine, for seconds: all gateways lose power
# at once, and start again with nothing of what engines keep.
def test_each_engine_is_asked_once_by_all_gateways_together() -> None:
    instances = make_instances(12)
    engines = FakeEngines()
    for name in NAMES:
        placement = make_placement(instances)
        recall = CacheDiscovery(name, engines, placement, lambda: instances)
        run(recall.run(NAMES))
        told = placement.pop_parts_read()
        assert {parts.host for parts in told} <= set(engines.asked)
        # Who is told knows what the engine keeps, as does the one who asked.
        other = make_placement(instances)
        for parts in told:
            other.record_parts(parts)
            for each in (placement, other):
                cache = each._engines[parts.host].cache
                assert cache.count("m", PARTS) == 5_500
    assert sorted(engines.asked) == sorted(item.host for item in instances)


def test_engine_that_does_not_answer_is_taken_for_empty() -> None:
    instances = make_instances(1)
    engines = FakeEngines()
    engines.silent = {"e-0"}
    placement = make_placement(instances)
    run(CacheDiscovery("g-0", engines, placement, lambda: instances).run(["g-0"]))
    assert placement.pop_parts_read() == []


def test_engines_are_asked_only_by_a_gateway_that_was_there_before() -> None:
    async def check() -> None:
        async with deployment() as env:
            engines = await start_engines(env)
            engines[0].kept = [["", "aa", 500, "m"]]
            row = Key(GATEWAYS_PARTITION, "gateway-1")
            while not (await env.gateway.table.get(row)).ok:
                await asyncio.sleep(0.005)
            assert [engine.lists for engine in engines] == [0, 0]
            async with run_gateway(env.store, "gateway-1") as again:
                await wait_until(lambda: all(engine.lists == 1 for engine in engines))
                cache = again.placement._engines["p-1"].cache
                await wait_until(lambda: cache.count("m", PROMPT) == 500)

    run(check())
