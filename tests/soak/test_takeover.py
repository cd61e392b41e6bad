"""Streams that callers take up again around releases, with real processes."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from typing import NamedTuple

import pytest

from soak import fleet as fleet_module
from soak.checks import Disturbances, Ledger, find_versions
from soak.const import DEPLOYMENT, RECORD_POLL_SECONDS, STABLE_SECONDS
from soak.fleet import Fleet, Gateway, Host
from soak.wire import Answer, Connection

STREAMS = 24
GATEWAYS = 3
DECODE_ENGINES = 3
EVENT_SECONDS = 0.25
EVENTS = 40
TRIES = 3
WAIT_SECONDS = 30.0
SETTLE_SECONDS = 1.0
"""Time within which gateways see new engines and write where streams began."""
NUMBERS = count(1)


class Stream(NamedTuple):
    """Hold a stream that its caller may take up again."""

    name: str
    """Id of the request that brought the first event."""
    answer: Answer
    connection: Connection
    fetching: asyncio.Task[None]

    @property
    def last_event(self) -> int:
        return bytes(self.answer.body).count(b"\n\n")

    @property
    def version(self) -> str:
        (version,) = find_versions(bytes(self.answer.body))
        return version


@pytest.fixture(autouse=True)
def long_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let streams last for ten seconds."""
    monkeypatch.setattr(fleet_module, "EVENT_SECONDS", EVENT_SECONDS)
    monkeypatch.setattr(fleet_module, "EVENTS", EVENTS)


@asynccontextmanager
async def run_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Run gateways in front of engines of version v1."""
    disturbances = Disturbances()
    fleet = Fleet(folder, Ledger(disturbances), disturbances, random.Random(1))
    try:
        await fleet.start(GATEWAYS, 0, 0)
        await add_engines(fleet, "v1")
        following = asyncio.create_task(follow_orders(fleet))
        try:
            yield fleet
        finally:
            following.cancel()
    finally:
        await fleet.stop()


async def follow_orders(fleet: Fleet) -> None:
    """Write the entries of engines that have accepted another role, as they do."""
    while True:
        await asyncio.sleep(RECORD_POLL_SECONDS)
        await fleet.check_records()


async def add_engines(fleet: Fleet, version: str) -> list[Host]:
    """Start engines of a version, which name their start."""
    phases = ["prefill", *["decode"] * DECODE_ENGINES]
    starting = (fleet.add_host(p, software=version, started_ms=1) for p in phases)
    return list(await asyncio.gather(*starting))


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


async def open_stream(
    gateway: Gateway, name: str, timeout_ms: int = 30_000, **more: object
) -> Stream:
    """Send a request for a stream; return it while its answer is read."""
    headers = {
        "Host": DEPLOYMENT["route"]["host"],
        "X-Request-Id": name,
        "X-Deadline-Ms": timeout_ms,
        "X-Model": "m",
        "X-Token-Count": "200,400",
        "X-Prompt-Prefix": f"a1:100,{name}:100",
        "Content-Length": 2,
        **more,
    }
    lines = [f"{field}: {value}" for field, value in headers.items()]
    head = "\r\n".join(["POST /draft/1 HTTP/1.1", *lines, "", ""])
    connection = Connection(gateway.address)
    await connection.open()
    fetching = asyncio.create_task(connection.fetch(head.encode() + b"ok"))
    await asyncio.sleep(0)
    return Stream(name, connection.answer, connection, fetching)


async def begin_stream(gateway: Gateway, events: int) -> Stream:
    """Begin a stream, and wait for its first events; try again if it is refused."""
    while True:
        stream = await open_stream(gateway, f"begun-{next(NUMBERS)}")
        while stream.last_event < events and not stream.fetching.done():
            await asyncio.sleep(0.02)
        if stream.last_event >= events:
            return stream
        await asyncio.sleep(0.1)


async def begin_streams(
    gateways: list[Gateway], events: int = 3, number: int = STREAMS
) -> list[Stream]:
    """Begin streams at these gateways in turn, and wait for their first events."""
    beginning = (
        begin_stream(gateways[n % len(gateways)], events) for n in range(number)
    )
    async with asyncio.timeout(WAIT_SECONDS):
        return list(await asyncio.gather(*beginning))


async def take_up(stream: Stream, gateways: list[Gateway]) -> Answer:
    """Take a broken stream up at gateways in turn, as its caller does."""
    more = {"Resumes": stream.name, "Last-Event-Id": stream.last_event}
    answer = Answer()
    for number in range(TRIES):
        gateway = gateways[number % len(gateways)]
        resumed = await open_stream(gateway, f"again-{next(NUMBERS)}", **more)
        await resumed.fetching
        answer = resumed.answer
        resumed.connection.close()
        if answer.status == 200:
            break
        await asyncio.sleep(float(answer.get_header("retry-after") or 0.2))
    return answer


async def take_up_all(streams: list[Stream], gateways: list[Gateway]) -> Counter[str]:
    """Take up all streams; check that none holds events of two versions."""
    await asyncio.gather(*(s.fetching for s in streams), return_exceptions=True)
    answers = await asyncio.gather(*(take_up(s, gateways) for s in streams))
    outcomes: Counter[str] = Counter()
    for stream, answer in zip(streams, answers, strict=True):
        versions = find_versions(bytes(answer.body))
        assert versions <= {stream.version}, (stream.name, stream.version, versions)
        outcomes[stream.version if answer.status == 200 else "refused"] += 1
    return outcomes


async def kill_all(fleet: Fleet, gateways: list[Gateway]) -> None:
    """Kill gateways at once."""
    for gateway in gateways:
        gateway.is_ending = True
        fleet.signal_gateway(gateway, signal.SIGKILL)
    for gateway in gateways:
        await wait_for(lambda g=gateway: g.process.poll() is not None)


async def start_all(fleet: Fleet) -> None:
    """Start all gateways, and wait until they are ready."""
    for gateway in fleet.gateways:
        fleet.start_gateway(gateway)
    for gateway in fleet.gateways:
        await fleet.wait_ready(gateway)


async def release_beside(fleet: Fleet) -> None:
    """Let engines of a new version serve beside the old ones."""
    await add_engines(fleet, "v2")


async def release_instead(fleet: Fleet) -> None:
    """Replace the engines, which serve on for a while unlisted."""
    old = list(fleet.hosts)
    await add_engines(fleet, "v2")
    for host in old:
        await fleet.withdraw(host)


async def release_nothing(fleet: Fleet) -> None:
    """Leave the engines as they are."""


Release = Callable[[Fleet], Awaitable[None]]
RELEASES = pytest.mark.parametrize(
    "release", [release_beside, release_instead], ids=["beside", "instead"]
)


# Guards against streams joined from two versions: all gateways that know where they
# began are killed at once, just before or after a release.
@RELEASES
@pytest.mark.parametrize("is_released_before", [True, False], ids=["before", "after"])
def test_streams_stay_at_their_version_if_all_gateways_are_killed(
    release: Release, is_released_before: bool, tmp_path: Path
) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            streams = await begin_streams(fleet.gateways)
            if is_released_before:
                await release(fleet)
            await kill_all(fleet, fleet.gateways)
            if not is_released_before:
                await release(fleet)
            await start_all(fleet)
            await take_up_all(streams, fleet.gateways)

    asyncio.run(play())


async def cut_off(fleet: Fleet, gateway: Gateway) -> None:
    """Cut a gateway off from the store."""
    gateway.store_proxy.cut()


async def pause(fleet: Fleet, gateway: Gateway) -> None:
    """Stop a gateway's process."""
    fleet.signal_gateway(gateway, signal.SIGSTOP)


async def take_up_all_at(gateway: Gateway, streams: list[Stream], fleet: Fleet) -> None:
    """Break streams off, and take them up at a gateway that may be stopped."""
    for stream in streams:
        stream.connection.close()
    fleet.signal_gateway(gateway, signal.SIGCONT)
    await take_up_all(streams, [gateway])


async def restart_as(fleet: Fleet, host: Host, version: str, keeps_name: bool) -> Host:
    """Start a host of another version at the address of one that has ended."""
    host.child.process.kill()
    host.child.process.wait()
    fleet.hosts.remove(host)
    if keeps_name:
        fleet._names = iter([int(host.name.split("-")[1])])
    else:
        await fleet.withdraw(host)
    started_ms = host.started_ms + 1
    return await fleet.add_host(host.phase, host.proxy, version, started_ms)


Disturb = Callable[[Fleet, Gateway], Awaitable[None]]
OUT_OF_STEP = pytest.mark.parametrize(
    "disturb", [cut_off, pause], ids=["cut off", "stopped"]
)


# Guards against streams joined from two versions: they began at a version that the
# gateway at which they are taken up does not know, as it was cut off or stopped.
@OUT_OF_STEP
@RELEASES
def test_streams_of_a_version_unknown_to_a_gateway_do_not_go_on_at_another(
    disturb: Disturb, release: Release, tmp_path: Path
) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            behind, dying, other = fleet.gateways
            await begin_streams(fleet.gateways, 1, GATEWAYS)
            await disturb(fleet, behind)
            await release(fleet)
            await asyncio.sleep(1.0)
            streams = await begin_streams([dying, other])
            await kill_all(fleet, [dying])
            await take_up_all_at(behind, streams, fleet)

    asyncio.run(play())


# As above, but engines of the new version return under the names or at the addresses of
# old ones, which the gateway still believes to run.
@OUT_OF_STEP
@pytest.mark.parametrize("keeps_name", [True, False], ids=["name", "address"])
@pytest.mark.parametrize("begins_before", [True, False], ids=["old", "new"])
def test_streams_do_not_go_on_at_a_host_that_returns_at_another_version(
    disturb: Disturb, keeps_name: bool, begins_before: bool, tmp_path: Path
) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            behind, dying, other = fleet.gateways
            streams = await begin_streams([dying, other]) if begins_before else []
            await begin_streams([behind], 1, 1)
            await disturb(fleet, behind)
            for host in list(fleet.hosts):
                await restart_as(fleet, host, "v2", keeps_name)
            if not begins_before:
                await asyncio.sleep(1.0)
                streams = await begin_streams([dying, other])
                await kill_all(fleet, [dying])
            await take_up_all_at(behind, streams, fleet)

    asyncio.run(play())


# Guards against callers whose streams are all refused although one version serves as
# before: no gateway is left that knows where they began.
def test_streams_go_on_at_their_version_after_all_gateways_were_killed(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            streams = await begin_streams(fleet.gateways)
            await kill_all(fleet, fleet.gateways)
            await start_all(fleet)
            await asyncio.sleep(STABLE_SECONDS)
            outcomes = await take_up_all(streams, fleet.gateways)
            assert outcomes["v1"] >= STREAMS / 2, outcomes

    asyncio.run(play())


async def begin_at_both(fleet: Fleet) -> list[Stream]:
    """Begin streams while engines of two versions serve."""
    await release_beside(fleet)
    await asyncio.sleep(SETTLE_SECONDS)
    return await begin_streams(fleet.gateways)


async def begin_before(fleet: Fleet) -> list[Stream]:
    """Begin streams just before engines of another version join."""
    streams = await begin_streams(fleet.gateways)
    await release_beside(fleet)
    return streams


async def begin_after(fleet: Fleet) -> list[Stream]:
    """Begin streams at a version that has just replaced another one."""
    await release_instead(fleet)
    # No stream begins at a host of the former version any longer.
    await asyncio.sleep(STABLE_SECONDS)
    return await begin_streams(fleet.gateways)


# Guards against callers whose streams are all refused around a release, although the
# versions at which they began still serve: no gateway is left that remembers them.
@pytest.mark.parametrize("begin", [begin_at_both, begin_before, begin_after])
def test_streams_go_on_after_all_gateways_were_killed_around_a_release(
    begin: Callable[[Fleet], Awaitable[list[Stream]]], tmp_path: Path
) -> None:
    async def play() -> None:
        async with run_fleet(tmp_path) as fleet:
            streams = await begin(fleet)
            await asyncio.sleep(SETTLE_SECONDS)
            await kill_all(fleet, fleet.gateways)
            await start_all(fleet)
            await asyncio.sleep(STABLE_SECONDS)
            outcomes = await take_up_all(streams, fleet.gateways)
            print(outcomes)
            assert outcomes["refused"] <= STREAMS / 2, outcomes

    asyncio.run(play())
