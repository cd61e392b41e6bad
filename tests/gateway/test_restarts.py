"""Tests of engines and service hosts that restart under the same name."""

import asyncio
import time

import pytest
from aiohttp import web

from radishtally.gateway.daemon import Gateway
from radishtally.serving.const import REFUSALS_TO_TRIP_BREAKER
from radishtally.serving.terms import PromptPart
from radishtally.stages.core import RoleChange
from standins.staged import StagedEngine
from tests.common import run
from tests.gateway.common import Deployment, deployment, wait_until
from tests.gateway.test_calls import Desk, answer_whole, ask
from tests.gateway.test_streams import make_whole, stream

EARLY, LATE = 5_000, 4_000
"""Start times of two successive starts; the clock was set back between them."""


async def start_engine(
    env: Deployment, name: str, phase: str, seconds: float = 0.0
) -> StagedEngine:
    """Start an engine that reports its start time."""
    engine = StagedEngine(name, phase, seconds)
    engine.started_ms = EARLY
    await env.serve_engine(engine)
    return engine


async def restart(env: Deployment, engine: StagedEngine) -> None:
    """Restart an engine and write its entry."""
    engine.restart(LATE)
    env.announce_engine(engine)
    await wait_for_start(env.gateway, engine.instance, LATE)


async def wait_for_start(gateway: Gateway, host: str, started_ms: int) -> None:
    """Wait until a gateway knows this start of a host."""
    await wait_until(
        lambda: any(
            item.host == host and item.started_ms == started_ms
            for item in gateway.members
        )
    )


async def hang(request: web.Request) -> web.Response:
    """Never answer, like a machine that was reset."""
    await asyncio.Event().wait()


# Guards against a caller that waits until its deadline: the machine of its decode
# engine is reset and the connection stays open, but the entry shows the new start.
def test_stream_of_an_earlier_start_is_resumed_immediately() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await start_engine(env, "p-1", "prefill")
            first = await start_engine(env, "d-1", "decode", 0.2)
            task = asyncio.create_task(stream(env, "/draft/a", "r1"))
            await wait_until(lambda: first.runs["r1"] == 1)
            await restart(env, first)
            assert await task == make_whole("r1")
            assert first.runs["r1"] == 2
            await wait_until(lambda: first.disconnected == ["r1"])

    run(scenario())


# Guards against a failed stream of which nothing ran: its prefill engine restarted, and
# that counted as its only attempt.
def test_prompt_at_an_earlier_start_is_prefilled_again() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill = await start_engine(env, "p-1", "prefill", 0.3)
            decode = await start_engine(env, "d-1", "decode")
            task = asyncio.create_task(stream(env, "/sheet/a", "r1"))
            await wait_until(lambda: env.gateway.core.is_busy("p-1"))
            await restart(env, prefill)
            assert await task == make_whole("r1")
            assert decode.runs == {"r1": 1}

    run(scenario())


# As above for a call: it is retried at once at the new start of the only host.
def test_idempotent_call_of_an_earlier_start_is_sent_to_the_new_one() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(hang, answer_whole)
            await env.serve_desk("d-1", desk, born=EARLY)
            task = asyncio.create_task(ask(env, "/read/a", "r1"))
            await wait_until(lambda: len(desk.seen) == 1)
            env.announce("d-1", env.addresses["d-1"], "desk", born=LATE)
            status, _, body = await task
            assert (status, body) == (200, b"whole")

    run(scenario())


# Guards against a call that ends only at its deadline, or runs twice, because its host
# has restarted. Its outcome is unknown, and must be reported immediately.
def test_call_of_an_earlier_start_that_may_have_run_fails_immediately() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(hang, answer_whole)
            await env.serve_desk("d-1", desk, born=EARLY)
            begun = time.monotonic()
            task = asyncio.create_task(ask(env, "/book/a", "r1", "POST", b"x"))
            await wait_until(lambda: len(desk.seen) == 1)
            env.announce("d-1", env.addresses["d-1"], "desk", born=LATE)
            status, _, _ = await task
            assert status == 502
            assert time.monotonic() < begun + 3.5
            assert len(desk.seen) == 1

    run(scenario())


# As above, but the entry was removed meanwhile, and the host is back at a new address.
def test_new_start_at_another_address_after_a_gap_ends_open_requests() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk, other = Desk(hang), Desk(answer_whole)
            await env.serve_desk("d-1", desk, born=EARLY)
            task = asyncio.create_task(ask(env, "/read/a", "r1"))
            await wait_until(lambda: len(desk.seen) == 1)
            env.withdraw("d-1")
            await wait_until(lambda: "d-1" not in env.gateway.core.links)
            await env.serve_desk("d-1", other, born=LATE)
            assert (await task)[0] == 200
            assert len(other.seen) == 1

    run(scenario())


# Guards against a restarted host without work for half a minute, because failures and
# refusals of its earlier start are counted against it.
def test_new_start_is_not_skipped_for_failures_of_the_earlier_one() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await env.serve_desk("d-1", Desk(answer_whole), born=EARLY)
            known = env.gateway.core.hosts["d-1"]
            known.refusals = REFUSALS_TO_TRIP_BREAKER
            known.live = False
            for _ in range(4):
                known.breaker.record_failure(time.monotonic())
            env.announce("d-1", env.addresses["d-1"], "desk", born=LATE)
            await wait_for_start(env.gateway, "d-1", LATE)
            known = env.gateway.core.hosts["d-1"]
            assert known.is_usable(time.monotonic())
            assert known.refusals == 0

    run(scenario())


# Guards against wrong placement: cache contents, rate and open work of the earlier
# start are assumed for the new one.
def test_placement_state_is_reset_by_a_new_start() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = await start_engine(env, "p-1", "prefill")
            state = env.gateway.placement._engines["p-1"]
            parts = (PromptPart("aa", 500),)
            state.cache.record_prompt("m", parts)
            state.timed_tokens, state.timed_seconds = 200_000.0, 2.0
            state.begin_prefill("r0", 5_000, 1, time.monotonic())
            await restart(env, engine)
            new = env.gateway.placement._engines["p-1"]
            assert new.cache.count_cached_tokens("m", parts) == 0
            assert new.rate != state.rate
            assert new.count_pending_tokens() == 0

    run(scenario())


# Guards against an answer to another caller's prompt: a request holds a KV cache
# handle, the engine that holds the cache restarts, and issues the same handle for
# another prompt. The new start must not be asked to free the old handle either.
def test_handle_of_an_earlier_start_is_never_used() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            prefill = await start_engine(env, "p-1", "prefill")
            decode = await start_engine(env, "d-1", "decode")
            decode.is_full = True
            task = asyncio.create_task(stream(env, "/draft/a", "r1"))
            requests = env.gateway.core.requests
            await wait_until(lambda: any(r.kv is not None for r in requests.values()))
            (request,) = requests.values()
            await restart(env, prefill)
            assert request.kv is None
            # An offer in flight at that time carried the handle, and is refused.
            await wait_until(lambda: request.host is None)
            decode.is_full = False
            assert await task == make_whole("r1")
            assert decode.fetched_handles == []
            assert prefill.freed_handles == []

    run(scenario())


# Guards against an order with the fencing state of an earlier start: an engine reports
# a new start while the list still shows the earlier one, which is draining.
def test_report_shows_a_restart_before_the_list_and_no_order_is_given() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            engine = await start_engine(env, "d-1", "decode")
            other = await start_engine(env, "d-2", "decode")
            env.announce_engine(engine, state="draining")
            core, stages = env.gateway.core, env.gateway.stages
            await wait_until(lambda: not core.hosts["d-1"].live)
            (queried,) = [i for i in env.gateway.members if i.host == "d-1"]
            engine.restart(LATE)
            await stages._carry_out(queried, RoleChange("d-1", "prefill"))
            assert engine.orders == []
            # A report may be late, so a draining host is ready again by its entry only.
            assert not core.hosts["d-1"].live
            env.announce_engine(engine)
            await wait_until(lambda: core.hosts["d-1"].live)
            # Changes are read in order: once the removal has been read, so has the
            # entry of the earlier start.
            env.announce_engine(engine, born=EARLY, state="draining")
            env.withdraw(other.instance)
            await wait_until(lambda: "d-2" not in core.links)
            assert core.hosts["d-1"].live
            env.announce_engine(engine, state="draining")
            await wait_until(lambda: not core.hosts["d-1"].live)

    run(scenario())


# Guards against a host that gets no requests, or gets them while it drains: a drain
# applies only to the start that announced it, and the list may still show the other.
@pytest.mark.parametrize("drained", [EARLY, LATE])
def test_drain_applies_only_to_the_start_that_announced_it(drained: int) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = Desk(answer_whole)
            await env.serve_desk("d-1", desk, born=EARLY)
            address = env.addresses["d-1"]
            for born, present in ((EARLY, EARLY), (LATE, LATE), (EARLY, LATE)):
                state = "draining" if born == drained else "ready"
                env.announce("d-1", address, "desk", born=born, state=state)
                await wait_for_start(env.gateway, "d-1", present)
            env.announce("d-2", address, "desk", born=1)
            await env.wait_for("d-2")
            assert env.gateway.core.hosts["d-1"].live == (drained == EARLY)

    run(scenario())
