"""Tests that prompts with a part that crashes hosts are denied, and no others."""

import asyncio
from collections.abc import Sequence

import aiohttp
import pytest

from tests.common import run
from tests.gateway.common import make_prompt, make_route, wait_until
from tests.gateway.crashing import (
    CrashingEngine,
    Fleet,
    run_fleet,
    wait_for_engines,
)
from tests.gateway.test_poison_relays import RelayedEngine

REPEATS = 14
CRASHES_ALLOWED = 5
ENGINES = 6
BAD = "bad"
POSITIONS = {
    "first": (BAD, "team", "subject"),
    "middle": ("team", BAD, "subject"),
    "before_last": ("team", "subject", BAD),
}


async def send_sound(fleet: Fleet, name: str, parts: Sequence[str]) -> list[int]:
    """Send one sound prompt for each part, each with the team's part as its first."""
    sent = [
        await fleet.send_prompt(number, f"{name}-{part}", ("team", part))
        for number, part in enumerate(parts)
        if part not in (BAD, "team")
    ]
    return [status for status, _ in sent]


async def repeat_bad(
    fleet: Fleet, parts: Sequence[str], times: int = REPEATS, path: str = "/sheet/a"
) -> tuple[list[int], list[int]]:
    """Send prompts with these parts, no two alike, and sound ones in between.

    Return the statuses of both.
    """
    bad, sound = [], []
    for number in range(times):
        status, _ = await fleet.send_prompt(number, f"b-{number}", parts, path)
        bad.append(status)
        await fleet.restart_crashed()
        await wait_for_engines(fleet)
        sound += await send_sound(fleet, f"s-{number}", parts)
    return bad, sound


# Guards against a fault that goes from host to host with a part of prompts: no two of
# the requests that carry it are alike, so none of them is known from another.
@pytest.mark.parametrize("gateways", [1, 3])
@pytest.mark.parametrize("events", [0, 1], ids=["before_event", "after_event"])
@pytest.mark.parametrize("position", POSITIONS)
def test_part_that_crashes_hosts_is_denied(
    position: str, events: int, gateways: int
) -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, gateways) as fleet:
            fleet.poison(BAD, events_before_crash=events)
            bad, sound = await repeat_bad(fleet, POSITIONS[position])
            assert fleet.crashes <= CRASHES_ALLOWED
            assert bad[-1] == 503
            assert set(sound) == {200}

    run(scenario())


# As above with two such parts, whose requests have the other parts in common.
def test_two_parts_that_crash_hosts_are_denied() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, 3) as fleet:
            fleet.poison(BAD, "worse")
            statuses = []
            for number in range(REPEATS):
                for part in (BAD, "worse"):
                    name = f"{part}-{number}"
                    prompt = ("team", part, "subject")
                    statuses.append(await fleet.send_prompt(number, name, prompt))
                    await fleet.restart_crashed()
                    await wait_for_engines(fleet)
                assert await send_sound(fleet, f"s-{number}", ["subject"]) == [200]
            assert fleet.crashes <= 2 * CRASHES_ALLOWED
            assert [status for status, _ in statuses[-2:]] == [503, 503]

    run(scenario())


# A stream with a bad part must not be continued on one engine after another, neither by
# its gateway nor by its caller.
def test_resumed_streams_with_a_bad_part_are_denied() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, 2) as fleet:
            route = make_route("draft", "streaming", "llm", resumable=True)
            fleet.env.configure(route | {"maxAttempts": 8})
            for gateway in fleet.gateways:
                router = gateway.router
                await wait_until(
                    lambda r=router: r.configuration.version == fleet.env.version
                )
            fleet.poison(BAD, events_before_crash=1)
            parts = ("team", BAD)
            for number in range(REPEATS):
                first = f"r-{number}"
                await fleet.send_prompt(number, first, parts, "/draft/a")
                more = {"Last-Event-Id": "1", "Resumes": first}
                again = f"again-{number}"
                await fleet.send_prompt(number + 1, again, parts, "/draft/a", **more)
                await fleet.restart_crashed()
                await wait_for_engines(fleet)
            assert fleet.crashes <= CRASHES_ALLOWED

    run(scenario())


# Guards against a part that was sound for long and crashes hosts since a release.
def test_part_that_turns_bad_is_denied() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, 2) as fleet:
            for number in range(4):
                status, _ = await fleet.send_prompt(number, f"o-{number}", ("t", BAD))
                assert status == 200
            fleet.poison(BAD)
            bad, sound = await repeat_bad(fleet, ("team", BAD, "subject"))
            assert fleet.crashes <= CRASHES_ALLOWED
            assert bad[-1] == 503
            assert set(sound) == {200}

    run(scenario())


# Guards against hosts that are given many requests with the bad part at the same time,
# before the first of them has shown that it crashes its host.
def test_many_requests_with_a_bad_part_at_once_end_few_hosts() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES) as fleet:
            fleet.poison(BAD, events_before_crash=1)
            for number in range(2):
                await fleet.send_prompt(0, f"b-{number}", ("team", BAD))
                await fleet.restart_crashed()
                await wait_for_engines(fleet)
            burst = [
                fleet.send_prompt(0, f"burst-{n}", ("team", BAD)) for n in range(20)
            ]
            await asyncio.gather(*burst)
            assert fleet.crashes <= CRASHES_ALLOWED

    run(scenario())


def test_part_is_denied_behind_relays() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, make_engine=RelayedEngine) as fleet:
            fleet.poison(BAD, events_before_crash=1)
            bad, _ = await repeat_bad(fleet, ("team", BAD, "subject"))
            assert fleet.crashes <= CRASHES_ALLOWED
            assert bad[-1] == 503

    run(scenario())


def test_part_is_denied_while_the_store_is_away() -> None:
    async def scenario() -> None:
        async with run_fleet(9, 2) as fleet:
            fleet.poison(BAD)
            fleet.env.rows.fault_gate._fault = {"mode": "down"}
            for number in range(REPEATS):
                await fleet.send_prompt(number, f"b-{number}", ("team", BAD))
            assert fleet.crashes <= CRASHES_ALLOWED

    run(scenario())


# Guards against a gateway that is new, as after a kill, and has seen no host end.
def test_new_gateway_receives_denied_parts() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES) as fleet:
            fleet.poison(BAD)
            await repeat_bad(fleet, ("team", BAD, "subject"))
            crashes = fleet.crashes
            async with fleet.run_another("gateway-9"):
                last = len(fleet.urls) - 1
                status, _ = await fleet.send_prompt(last, "late", ("other", BAD))
                assert status == 503
                sound, _ = await fleet.send_prompt(last, "sound", ("team", "subject"))
                assert sound == 200
            assert fleet.crashes == crashes <= CRASHES_ALLOWED

    run(scenario())


# Guards against a part that stays denied although a fixed release can serve it.
def test_part_is_let_in_again_once_it_is_sound() -> None:
    async def scenario() -> None:
        async with run_fleet(ENGINES, 2) as fleet:
            fleet.poison(BAD)
            await repeat_bad(fleet, ("team", BAD, "subject"))
            crashes = fleet.crashes
            fleet.poison()
            status, headers = await ask_denied(fleet)
            assert (status, headers["X-Ran"]) == (503, "no")
            for gateway in fleet.gateways:
                for denial in gateway.core.part_suspects._denials:
                    denial.until = 0.0
            for number in range(4):
                # A trial run at another gateway holds back the other requests.
                status, _ = await fleet.send_prompt(0, f"free-{number}", ("team", BAD))
                assert status == 200
            assert fleet.crashes == crashes

    run(scenario())


async def ask_denied(fleet: Fleet) -> tuple[int, dict[str, str]]:
    """Send a prompt with the bad part; return the status and headers of the answer."""
    headers = make_prompt("denied") | {"X-Prompt-Prefix": f"team:1,{BAD}:1,own:1"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"{fleet.urls[0]}/sheet/a", headers=headers, data=b"denied"
        ) as answer,
    ):
        return answer.status, dict(answer.headers)


# Guards against denial of parts that requests had which were open at hosts lost
# together, as in an outage of racks: no request caused that.
def test_parts_open_at_hosts_lost_together_are_served() -> None:
    async def scenario() -> None:
        async with run_fleet(4) as fleet:
            for rack in range(CRASHES_ALLOWED):
                for engine in fleet.decode_engines:
                    engine.seconds = 30.0
                open_ones = [
                    asyncio.create_task(
                        fleet.send_prompt(0, f"r{rack}-{n}", ("team", f"part-{n % 3}"))
                    )
                    for n in range(12)
                ]
                await fleet.wait_for_runs(12)
                await asyncio.gather(*(e.crash() for e in fleet.decode_engines))
                await asyncio.gather(*open_ones)
                await fleet.restart_crashed()
                await wait_for_engines(fleet)
                for engine in fleet.decode_engines:
                    engine.seconds = 0.0
                    engine.runs.clear()
                served = [
                    fleet.send_prompt(0, f"s{rack}-{n}", ("team", f"part-{n % 3}"))
                    for n in range(12)
                ]
                outcomes = await asyncio.gather(*served)
                assert [status for status, _ in outcomes] == [200] * 12
                for engine in fleet.decode_engines:
                    engine.runs.clear()

    run(scenario())


# Guards against denial of parts whose requests were open at hosts that exit in a
# rolling release.
def test_exits_of_draining_hosts_do_not_deny_parts() -> None:
    async def scenario() -> None:
        async with run_fleet(3) as fleet:
            for step in range(CRASHES_ALLOWED):
                for engine in fleet.decode_engines:
                    engine.seconds = 30.0
                task = asyncio.create_task(
                    fleet.send_prompt(0, f"r-{step}", ("team", "part"))
                )
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
            status, _ = await fleet.send_prompt(0, "served", ("team", "part"))
            assert status == 200

    run(scenario())


# Guards against denial of parts because of a broken network link, which refuses
# connections as a terminated host does.
def test_hosts_behind_broken_links_do_not_deny_parts() -> None:
    async def scenario() -> None:
        async with run_fleet(1) as fleet:
            engine: CrashingEngine = fleet.decode_engines[0]
            for number in range(CRASHES_ALLOWED):
                engine.seconds = 30.0
                engine.runs.clear()
                parts = ("team", "part")
                task = asyncio.create_task(fleet.send_prompt(0, f"cut-{number}", parts))
                await fleet.wait_for_runs(1)
                await engine.crash()
                await task
                await engine.relisten()
                engine.seconds = 0.0
                core = fleet.gateways[0].core
                core.hosts[engine.instance].breaker.record_success()
                assert (await fleet.send(0, f"other-{number}", b"other"))[0] == 200
            status, _ = await fleet.send_prompt(0, "served", ("team", "part"))
            assert status == 200

    run(scenario())
