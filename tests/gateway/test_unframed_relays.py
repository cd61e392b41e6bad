"""Tests of answers without framing whose hosts end, or stay sound, behind relays."""

import asyncio
import base64

import aiohttp
import pytest

from radishtally.liveness import Patience
from standins.rows import RowId
from standins.staged import EVENTS, StagedEngine, make_event
from tests.common import run
from tests.gateway.common import Deployment, deployment, make_prompt, wait_until
from tests.gateway.raw_hosts import (
    FaultyRelay,
    RawHost,
    answer_bad_gateway,
    close_at_once,
    reset_at_once,
    reset_late,
    stay_silent,
)
from tests.gateway.test_calls import ask
from tests.gateway.test_streams import make_whole, stream
from tests.gateway.test_unframed_ends import (
    DELIVERY_SECONDS,
    PART,
    LeavingDesk,
    Relay,
    ask_leaving,
)

WHOLE = b"all of it"
UNREADABLE = base64.b64encode(b"[]").decode()
HELD_HEAD = b"HTTP/1.1 102 Processing\r\n\r\n"
REPEATS = 12
BORN = 10_000
SENT_EVENTS = 2
SOME_EVENTS = b"".join(make_event("r1", number) for number in range(1, 1 + SENT_EVENTS))
LEADS_ELSEWHERE = "leads elsewhere"
TREATMENTS = [
    close_at_once,
    reset_at_once,
    reset_late,
    answer_bad_gateway,
    stay_silent,
    LEADS_ELSEWHERE,
]


@pytest.fixture
def patience(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let sound hosts answer slowly, as they may do on a busy machine."""
    patient = Patience(answer_seconds=30.0, retry_seconds=0.5)
    monkeypatch.setattr("radishtally.direct.answers.UNFRAMED_END", patient)
    monkeypatch.setattr("radishtally.direct.pool.IDLE_CONNECTION_SECONDS", 30.0)


class RelayedHost(RawHost):
    """A host behind a relay that outlives it."""

    async def announce(self, env: Deployment, service: str = "desk") -> None:
        """Listen, and wait until the gateway has discovered the relay's address."""
        self.relay = FaultyRelay(self.listen())
        more = {"phase": "decode", "slots": 64} if service == "llm" else {}
        env.announce(self.name, await self.relay.listen(), service, **more)
        await env.wait_for(self.name)

    async def kill_behind_relay(self, treatment: object) -> None:
        """End within the answer as a killed process does; the relay stays."""
        await asyncio.sleep(DELIVERY_SECONDS)
        if treatment == LEADS_ELSEWHERE:
            successor = RawHost("d-9", WHOLE)
            successor.closes_by_itself = True
            self.relay.lead_to(successor.listen())
        else:
            self.relay.treat = treatment
        await self.kill()


async def start_engines(env: Deployment, *names: str) -> None:
    """Start engines that answer completely."""
    for name in names:
        phase = "prefill" if name.startswith("p") else "decode"
        await env.serve_engine(StagedEngine(name, phase))


# Guards against a partial answer that looks complete: the relay in front of a killed
# host goes on accepting connections, so the host seems to be alive.
@pytest.mark.parametrize("treatment", TREATMENTS)
def test_part_from_a_host_killed_behind_a_relay_is_not_returned(
    treatment: object,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", PART)
            await host.announce(env)
            asking = asyncio.create_task(ask(env, "/book/a", "r1", "POST"))
            await wait_until(host.has_sent.is_set)
            await host.kill_behind_relay(treatment)
            status, _, body = await asking
            assert (status, host.calls) == (502, 1)
            assert PART not in body

    run(scenario())


# Guards against a partial answer that looks complete: the entry of the killed host is
# removed while it is probed, as if it had been leaving.
def test_removal_after_the_end_does_not_confirm_a_killed_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    patient = Patience(answer_seconds=1.0, retry_seconds=3.0)
    monkeypatch.setattr("radishtally.direct.answers.UNFRAMED_END", patient)

    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", PART)
            await host.announce(env)
            asking = asyncio.create_task(ask(env, "/book/a", "r1", "POST"))
            await wait_until(host.has_sent.is_set)
            await host.kill_behind_relay(close_at_once)
            await wait_until(lambda: host.relay.treated > 0)
            env.withdraw("d-1")
            await wait_until(lambda: "d-1" not in env.gateway.core.links)
            status, _, body = await asking
            assert status == 502
            assert PART not in body

    run(scenario())


# Guards against a partial answer that looks complete: another connection has lost its
# peer, as behind a middlebox that has dropped it, and stays open without the host.
def test_open_connection_that_is_silent_does_not_confirm_a_killed_host() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", PART)
            await host.announce(env)
            host.relay.drops_ends = True
            beside = asyncio.create_task(ask(env, "/read/held", "r1"))
            await wait_until(lambda: host.held)
            host.relay.drops_ends = False
            asking = asyncio.create_task(ask(env, "/book/a", "r2", "POST"))
            await wait_until(host.has_sent.is_set)
            await host.kill_behind_relay(close_at_once)
            status, _, body = await asking
            beside.cancel()
            assert status == 502
            assert PART not in body

    run(scenario())


# Guards against a partial answer that looks complete: another writer has overwritten
# the entry of the killed host, which then counted as one that had left.
def test_unreadable_entry_does_not_confirm_a_killed_host() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", PART)
            await host.announce(env)
            asking = asyncio.create_task(ask(env, "/book/a", "r1", "POST"))
            await wait_until(host.has_sent.is_set)
            env.rows.write(RowId("servers", "", "d-1"), UNREADABLE)
            await wait_until(lambda: "d-1" not in env.gateway.core.links)
            await host.kill_behind_relay(close_at_once)
            status, _, body = await asking
            assert status == 502
            assert PART not in body

    run(scenario())


# As above with a relay that keeps the gateway's other connections open, as one that
# relays requests rather than connections does.
@pytest.mark.parametrize("treatment", [answer_bad_gateway, stay_silent])
def test_connections_kept_by_a_relay_do_not_confirm_a_killed_host(
    treatment: object,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", PART)
            await host.announce(env)
            asking = asyncio.create_task(ask(env, "/book/a", "r1", "POST"))
            await wait_until(host.has_sent.is_set)
            host.relay.treat = treatment
            other = asyncio.create_task(ask(env, "/read/a", "r2"))
            hosts = env.gateway.hosts
            await wait_until(
                lambda: other.done() or len(hosts._pooled.connector._open_handlers)
            )
            await host.kill_behind_relay(treatment)
            status, _, body = await asking
            other.cancel()
            assert status == 502
            assert PART not in body

    run(scenario())


# Guards against a failed call that another host could have answered.
@pytest.mark.parametrize("treatment", TREATMENTS)
def test_safe_call_is_repeated_if_its_host_was_killed_behind_a_relay(
    treatment: object,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host, sound = RelayedHost("d-1", PART), RawHost("d-2", WHOLE)
            await host.announce(env)
            asking = asyncio.create_task(ask(env, "/read/a", "r1"))
            await wait_until(host.has_sent.is_set)
            sound.closes_by_itself = True
            env.announce("d-2", sound.listen(), "desk")
            await env.wait_for("d-2")
            await host.kill_behind_relay(treatment)
            status, _, body = await asking
            assert (status, body) == (200, WHOLE)
            assert (host.calls, sound.calls) == (1, 1)

    run(scenario())


# Guards against missing or duplicate events: the end between two events looks like that
# of a complete stream.
@pytest.mark.parametrize("treatment", TREATMENTS)
def test_stream_from_a_host_killed_behind_a_relay_is_resumed(treatment: object) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", SOME_EVENTS)
            await start_engines(env, "p-1")
            await host.announce(env, "llm")
            streaming = asyncio.create_task(stream(env, "/draft/a", "r1"))
            await wait_until(host.has_sent.is_set)
            await start_engines(env, "d-2", "d-3")
            await host.kill_behind_relay(treatment)
            assert await streaming == make_whole("r1")
            assert (host.calls, SENT_EVENTS < EVENTS) == (1, True)

    run(scenario())


async def read_events(env: Deployment, path: str, name: str) -> tuple[bytes, bool]:
    """Return what arrives of a stream, and whether it ends regularly."""
    got = b""
    async with (
        aiohttp.ClientSession() as session,
        session.post(env.url + path, headers=make_prompt(name)) as response,
    ):
        try:
            async for data in response.content.iter_any():
                got += data
        except aiohttp.ClientPayloadError:
            return got, False
    return got, True


# Guards against a partial stream that looks complete and can't be resumed.
@pytest.mark.parametrize("treatment", TREATMENTS)
def test_stream_from_a_host_killed_behind_a_relay_does_not_look_complete(
    treatment: object,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RelayedHost("d-1", SOME_EVENTS)
            await start_engines(env, "p-1")
            await host.announce(env, "llm")
            reading = asyncio.create_task(read_events(env, "/sheet/a", "r1"))
            await wait_until(host.has_sent.is_set)
            await start_engines(env, "d-2")
            await host.kill_behind_relay(treatment)
            assert await reading == (SOME_EVENTS, False)

    run(scenario())


# Guards against a partial stream that looks complete: the host was restarted under the
# same name before it is probed, and answers as the one that sent the part.
@pytest.mark.parametrize("seconds", [-1, 1], ids=["older", "newer"])
def test_restarted_host_does_not_confirm_the_end_of_its_predecessor(
    seconds: int,
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host, successor = (RawHost("d-1", SOME_EVENTS) for _ in range(2))
            successor.started_ms = BORN + seconds * 1000
            await start_engines(env, "p-1")
            relay = FaultyRelay(host.listen())
            more = {"phase": "decode", "slots": 64, "born": BORN}
            env.announce("d-1", await relay.listen(), "llm", **more)
            await env.wait_for("d-1")
            reading = asyncio.create_task(read_events(env, "/sheet/a", "r1"))
            await wait_until(host.has_sent.is_set)
            await asyncio.sleep(DELIVERY_SECONDS)
            relay.lead_to(successor.listen())
            await host.kill()
            assert await reading == (SOME_EVENTS, False)

    run(scenario())


# Guards against a partial answer that looks complete: the kernel closes a killed host's
# connections before its listener, which still completes the handshake of the probe.
def test_part_is_not_returned_if_the_listener_is_closed_after_the_connections() -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RawHost("d-1", PART)
            env.announce("d-1", host.listen(), "desk")
            await env.wait_for("d-1")
            asking = asyncio.create_task(ask(env, "/book/a", "r1", "POST"))
            await wait_until(host.has_sent.is_set)
            await asyncio.sleep(DELIVERY_SECONDS)
            await host.freeze()
            host.close_connections()
            await wait_until(host.has_waiting_connection)
            await asyncio.sleep(DELIVERY_SECONDS)
            host.close_listener()
            status, _, body = await asking
            assert (status, host.calls) == (502, 1)
            assert PART not in body

    run(scenario())


# Guards against complete answers that count as partial: the host ends each of them with
# its connection.
@pytest.mark.parametrize("is_relayed", [False, True], ids=["direct", "relayed"])
@pytest.mark.parametrize(("path", "method"), [("/read/a", "GET"), ("/book/a", "POST")])
def test_unframed_answers_of_a_sound_host_are_returned(
    patience: None, path: str, method: str, is_relayed: bool
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RawHost("d-1", WHOLE)
            host.closes_by_itself = True
            address = host.listen()
            if is_relayed:
                address = await Relay(address).listen()
            env.announce("d-1", address, "desk")
            await env.wait_for("d-1")
            answers = [await ask(env, path, f"r{n}", method) for n in range(REPEATS)]
            expected = [(200, WHOLE)] * REPEATS
            assert [(status, body) for status, _, body in answers] == expected

    run(scenario())


# As above with a host that resets all connections beside the one that it serves.
@pytest.mark.parametrize(("path", "method"), [("/read/a", "GET"), ("/book/a", "POST")])
def test_unframed_answers_of_a_host_with_one_connection_are_returned(
    patience: None, path: str, method: str
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RawHost("d-1", WHOLE)
            host.closes_by_itself = True
            host.limit = 1
            env.announce("d-1", host.listen(), "desk")
            await env.wait_for("d-1")
            answers = [await ask(env, path, f"r{n}", method) for n in range(REPEATS)]
            expected = [(200, WHOLE)] * REPEATS
            assert [(status, body) for status, _, body in answers] == expected

    run(scenario())


# As above with a host at its limit of connections, which others take up at once.
@pytest.mark.parametrize("older", ["/read/kept", "/read/held"], ids=["idle", "busy"])
def test_unframed_answer_of_a_host_at_its_limit_of_connections_is_returned(
    patience: None, older: str
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            host = RawHost("d-1", WHOLE)
            env.announce("d-1", host.listen(), "desk")
            await env.wait_for("d-1")
            beside = asyncio.create_task(ask(env, older, "r1"))
            await wait_until(lambda: beside.done() or host.held)
            asking = asyncio.create_task(ask(env, "/book/a", "r2", "POST"))
            await wait_until(host.has_sent.is_set)
            host.limit = 0
            host.end_answer()
            while not asking.done():
                for connection in host.held:
                    await asyncio.get_running_loop().sock_sendall(connection, HELD_HEAD)
                await asyncio.sleep(0.05)
            status, _, body = await asking
            beside.cancel()
            assert (status, body) == (200, WHOLE)
            assert bool(host.refused) == (older == "/read/held")

    run(scenario())


# As for a leaving host without a relay: only one that still lives is believed.
@pytest.mark.parametrize("is_killed", [False, True], ids=["lives", "killed"])
@pytest.mark.parametrize("is_gone", [False, True], ids=["draining", "gone"])
def test_last_answer_of_a_leaving_host_behind_a_relay(
    is_gone: bool, is_killed: bool
) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            desk = LeavingDesk(env, is_killed, is_gone)
            relay = Relay(await desk.listen(desk.build_app()))
            desk.address = await relay.listen()
            status, body = await ask_leaving(desk, env)
            assert status == (502 if is_killed else 200)
            assert (PART in body) == (not is_killed)

    run(scenario())
