"""Tests of the discovery of engines' caches when gateways start."""

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
    """Return the same cached parts for each engine, and record the queries."""

    def __init__(self) -> None:
        self.queried: list[str] = []
        self.silent: set[str] = set()

    async def read_cached_parts(
        self, instance: Instance
    ) -> Result[list[CachedPart], str]:
        self.queried.append(instance.host)
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


# Guards against shared parts that are prefilled again at other engines, after all
# gateways lost power at once and with it the state of the engines' caches.
def test_each_engine_is_queried_once_by_all_gateways_together() -> None:
    instances = make_instances(12)
    engines = FakeEngines()
    for name in NAMES:
        placement = make_placement(instances)
        discovery = CacheDiscovery(name, engines, placement, lambda: instances)
        run(discovery.run(NAMES))
        parts_read = placement.pop_sent_parts()
        assert {parts.host for parts in parts_read} <= set(engines.queried)
        # Both the querying gateway and its peers know the parts then.
        other = make_placement(instances)
        for parts in parts_read:
            other.record_parts(parts)
            for each in (placement, other):
                cache = each._engines[parts.host].cache
                assert cache.count_cached_tokens("m", PARTS) == 5_500
    assert sorted(engines.queried) == sorted(item.host for item in instances)


def test_engine_that_does_not_answer_counts_as_empty() -> None:
    instances = make_instances(1)
    engines = FakeEngines()
    engines.silent = {"e-0"}
    placement = make_placement(instances)
    run(CacheDiscovery("g-0", engines, placement, lambda: instances).run(["g-0"]))
    assert placement.pop_sent_parts() == []


def test_engines_are_queried_only_by_a_gateway_whose_row_existed() -> None:
    async def check() -> None:
        async with deployment() as env:
            engines = await start_engines(env)
            engines[0].cached_prefixes = [["", "aa", 500, "m"]]
            row = Key(GATEWAYS_PARTITION, "gateway-1")
            while not (await env.gateway.table.get(row)).ok:
                await asyncio.sleep(0.005)
            assert [engine.cache_list_calls for engine in engines] == [0, 0]
            async with run_gateway(env.store, "gateway-1") as again:
                await wait_until(
                    lambda: all(engine.cache_list_calls == 1 for engine in engines)
                )
                cache = again.placement._engines["p-1"].cache
                await wait_until(lambda: cache.count_cached_tokens("m", PROMPT) == 500)

    run(check())
