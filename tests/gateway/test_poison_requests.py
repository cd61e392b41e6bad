"""Tests that requests which crash one host after another are denied."""

import asyncio

from tests.common import run
from tests.gateway.common import deployment, make_route, wait_until
from tests.gateway.crashing import (
    POISON,
    CrashingDesk,
    Fleet,
    run_fleet,
    wait_for_engines,
)
from tests.gateway.test_calls import ask

REPEATS = 12
ENDS_ALLOWED = 3
BESIDE = 30
RETRIES_ALLOWED = 3
"""Number of times that a request may reach hosts after that many have crashed."""


def expire_denials(fleet: Fleet) -> None:
    """Let all denials expire."""
    for gateway in fleet.gateways:
        for suspect in gateway.core.suspects._suspects.values():
            suspect.until = 0.0


async def repeat_poison(fleet: Fleet, times: int = REPEATS) -> list[int]:
    """Send the poison prompt repeatedly, to the gateways in turn."""
    statuses = []
    for number in range(times):
        status, _ = await fleet.send(number, f"poison-{number}")
        statuses.append(status)
        await fleet.restart_crashed()
        await wait_for_engines(fleet)
    return statuses


# Guards against a caller that repeats a request which crashes each engine that runs it,
# together with all other requests open there.
def test_request_that_crashes_hosts_is_denied() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            assert fleet.arrivals <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(scenario())


# As above with several gateways, none of which has seen three crashes by itself.
def test_request_that_crashes_hosts_is_denied_by_all_gateways() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3, gateways=3) as fleet:
            await repeat_poison(fleet)
            assert fleet.arrivals <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(scenario())


def test_denied_request_is_refused_immediately_as_not_run() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            read = len(fleet.prefill_engine.handles)
            answer = await fleet.ask("last")
            assert answer.status == 503
            assert answer.headers["X-Ran"] == "no"
            assert float(answer.headers["Retry-After"]) > 0
            assert len(fleet.prefill_engine.handles) == read

    run(scenario())


# Guards against denial of other requests that were running on the crashed hosts.
def test_requests_running_beside_the_poison_request_are_served() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            for engine in fleet.decode_engines:
                engine.seconds = 0.02
                engine.events = 20
            beside = [
                asyncio.create_task(
                    fleet.send(0, f"beside-{n}", b"prompt %d" % n, "/draft/a")
                )
                for n in range(BESIDE)
            ]
            await fleet.wait_for_runs(BESIDE)
            await fleet.send(0, "poison-0")
            outcomes = await asyncio.gather(*beside)
            assert fleet.crashes == 1
            assert all(status == 200 for status, _ in outcomes)
            assert all(body.count(b"id: ") == 20 for _, body in outcomes)
            await fleet.restart_crashed()
            await wait_for_engines(fleet)
            # The same requests may be sent again.
            again = [fleet.send(0, f"again-{n}", b"prompt %d" % n) for n in range(5)]
            assert [status for status, _ in await asyncio.gather(*again)] == [200] * 5

    run(scenario())


# Three racks are lost in a row with the same requests open. No request caused that.
def test_requests_open_at_hosts_lost_together_are_served() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=4) as fleet:
            for engine in fleet.decode_engines:
                engine.seconds = 30.0
            for rack in range(ENDS_ALLOWED):
                open_ones = [
                    asyncio.create_task(fleet.send(0, f"r{rack}-{n}", b"prompt %d" % n))
                    for n in range(BESIDE)
                ]
                await fleet.wait_for_runs(BESIDE)
                await asyncio.gather(
                    *(engine.crash() for engine in fleet.decode_engines)
                )
                await asyncio.gather(*open_ones)
                await fleet.restart_crashed()
                await wait_for_engines(fleet)
                for engine in fleet.decode_engines:
                    engine.seconds = 0.0
                    engine.runs.clear()
                served = [
                    fleet.send(0, f"s{rack}-{n}", b"prompt %d" % n)
                    for n in range(BESIDE)
                ]
                outcomes = await asyncio.gather(*served)
                assert [status for status, _ in outcomes] == [200] * BESIDE
                for engine in fleet.decode_engines:
                    engine.seconds = 30.0
                    engine.runs.clear()

    run(scenario())


# Guards against denial of requests whose answers are aborted by hosts that stay alive.
def test_aborted_answers_of_live_hosts_do_not_deny_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=2) as fleet:
            for engine in fleet.decode_engines:
                engine.cut_after = 1
            for number in range(2 * ENDS_ALLOWED):
                status, _ = await fleet.send(number, f"cut-{number}", b"prompt")
                assert status == 0
            for engine in fleet.decode_engines:
                engine.cut_after = None
            assert (await fleet.send(0, "whole", b"prompt"))[0] == 200

    run(scenario())


# Guards against denial of requests that were repeatedly open at hosts which exit in a
# rolling release.
def test_exits_of_draining_hosts_do_not_deny_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            for step in range(2 * ENDS_ALLOWED):
                for engine in fleet.decode_engines:
                    engine.seconds = 30.0
                task = asyncio.create_task(fleet.send(0, f"r-{step}", b"prompt"))
                await fleet.wait_for_runs(1)
                leaving = next(e for e in fleet.decode_engines if e.runs)
                fleet.env.announce_engine(leaving, state="draining")
                core = fleet.gateways[0].core
                await wait_until(lambda c=core, e=leaving: not c.hosts[e.instance].live)
                await leaving.crash()
                await task
                leaving.runs.clear()
                await fleet.restart_crashed()
                await wait_for_engines(fleet)
            for engine in fleet.decode_engines:
                engine.seconds = 0.0
            assert (await fleet.send(0, "served", b"prompt"))[0] == 200

    run(scenario())


# A resumable stream is retried on one engine after another by its gateway.
def test_retries_within_one_request_are_limited_too() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=6) as fleet:
            route = make_route("draft", "streaming", "llm", resumable=True)
            fleet.env.configure(route | {"maxAttempts": 8})
            router = fleet.gateways[0].router
            await wait_until(lambda: router.configuration.routes[0].max_attempts == 8)
            status, _ = await fleet.send(0, "poison-0", POISON, "/draft/a")
            assert status in (0, 502)
            assert fleet.arrivals <= ENDS_ALLOWED

    run(scenario())


# Guards against a full outage: the last host of a service must not be given a request
# that has crashed the other two.
def test_last_host_is_not_risked() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            for number in range(REPEATS):
                await fleet.send(number, f"poison-{number}")
            assert fleet.crashes == 2
            assert (await fleet.send(0, "served", b"prompt"))[0] == 200

    run(scenario())


def test_new_gateway_receives_denied_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            arrivals = fleet.arrivals
            async with fleet.run_another("gateway-9") as gateway:
                await wait_until(lambda: gateway.core.suspects.list_all(0.0))
                await fleet.send(len(fleet.urls) - 1, "poison-late")
            assert fleet.arrivals == arrivals

    run(scenario())


def test_request_is_denied_while_the_store_is_away() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=9, gateways=2) as fleet:
            fleet.env.rows.fault_gate._fault = {"mode": "down"}
            for number in range(REPEATS):
                await fleet.send(number, f"poison-{number}")
            assert fleet.arrivals <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(scenario())


# Guards against a request that stays denied although a fixed release can serve it.
def test_request_is_tried_again_after_its_denial_has_expired() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            for engine in fleet.decode_engines:
                engine.survives_poison = True
            assert (await fleet.send(0, "denied"))[0] == 503
            expire_denials(fleet)
            assert (await fleet.send(0, "tried"))[0] == 200
            assert (await fleet.send(0, "free"))[0] == 200

    run(scenario())


# Guards against a burst of repeats that are all offered to hosts when a denial expires.
def test_expired_denial_lets_one_request_through() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            expire_denials(fleet)
            repeats = [fleet.send(0, f"repeat-{n}") for n in range(REPEATS)]
            await asyncio.gather(*repeats)
            assert fleet.crashes == ENDS_ALLOWED + 1

    run(scenario())


# Guards against a lifted denial when a crashed host restarts under the same name and
# serves another request.
def test_restart_under_the_same_name_does_not_lift_the_denial() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            for engine in fleet.decode_engines:
                engine.started_ms = 1_000
                fleet.env.announce_engine(engine)
            core = fleet.gateways[0].core
            for number in range(REPEATS):
                await fleet.send(number, f"poison-{number}")
                for engine in fleet.decode_engines:
                    if engine.has_crashed:
                        await engine.relisten()
                        core.hosts[engine.instance].breaker.record_success()
                assert (await fleet.send(0, f"o-{number}", b"other"))[0] == 200
            assert fleet.crashes <= ENDS_ALLOWED + RETRIES_ALLOWED

    run(scenario())


# Calls to a plain service can crash hosts as well, before an answer has started.
def test_call_that_crashes_hosts_of_a_plain_service_is_denied() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            hosts = [CrashingDesk(f"desk-{n}", env) for n in range(8)]
            for host in hosts:
                await host.start()
            for number in range(REPEATS):
                await ask(env, "/read/poison", f"poison-{number}")
                assert (await ask(env, "/read/a", f"other-{number}"))[0] == 200
            assert sum(host.has_crashed for host in hosts) <= ENDS_ALLOWED
            status, headers, _ = await ask(env, "/read/poison", "last")
            assert (status, headers["X-Ran"]) == (503, "no")

    run(scenario())


def test_metrics_count_denied_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=3) as fleet:
            await repeat_poison(fleet)
            rendered = fleet.gateways[0].render_metrics()
            assert b"radishtally_denied_requests 1.0" in rendered

    run(scenario())


# Guards against denial of requests whose prefill engine crashed three times: a separate
# prefill does not run the request.
def test_crashes_of_prefill_engines_do_not_deny_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=2) as fleet:
            for engine in fleet.decode_engines:
                engine.seconds = 30.0
            for number in range(ENDS_ALLOWED + 1):
                fleet.prefill_engine.seconds = 30.0
                task = asyncio.create_task(fleet.send(0, f"r-{number}", b"prompt"))
                core = fleet.gateways[0].core
                reading = fleet.prefill_engine.instance
                await wait_until(lambda c=core, h=reading: c.hosts[h].in_flight)
                await fleet.prefill_engine.crash()
                # A complete answer would clear the suspicion against the request.
                await wait_until(lambda c=core, h=reading: not c.hosts[h].in_flight)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                fleet.prefill_engine.seconds = 0.0
                fleet.env.withdraw(reading)
                await fleet.prefill_engine.start()
                await wait_for_engines(fleet)
            for engine in fleet.decode_engines:
                engine.seconds = 0.0
            assert (await fleet.send(0, "served", b"prompt"))[0] == 200

    run(scenario())


# Guards against denial of requests that were aborted three times by a broken network
# link: refused connections look like a crash of the host.
def test_hosts_behind_broken_links_do_not_deny_requests() -> None:
    async def scenario() -> None:
        async with run_fleet(answering=1) as fleet:
            engine = fleet.decode_engines[0]
            for number in range(ENDS_ALLOWED):
                engine.seconds = 30.0
                engine.runs.clear()
                task = asyncio.create_task(fleet.send(0, f"cut-{number}", b"prompt"))
                await fleet.wait_for_runs(1)
                await engine.crash()
                await task
                await engine.relisten()
                engine.seconds = 0.0
                core = fleet.gateways[0].core
                core.hosts[engine.instance].breaker.record_success()
                assert (await fleet.send(0, f"other-{number}", b"other"))[0] == 200
            assert (await fleet.send(0, "served", b"prompt"))[0] == 200

    run(scenario())
