"""Tests of links over loopback, through a fault proxy."""

import asyncio

from radishtally.links.auth import has_valid_token, make_metadata
from radishtally.links.codec import decode_frame, encode_frame
from radishtally.links.const import MAX_OUTBOX_BYTES
from radishtally.links.kinds import Message
from radishtally.links.link import Link
from radishtally.links.messages import CHAT, Ack, Chunk, Hello, Offer, Pong, Work
from tests.common import run
from tests.links.common import KEY, Peer, connect_pair, wait_for


def test_peers_exchange_messages_in_order() -> None:
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            assert agent.ups[0].host == "entry-0"
            assert entry.ups[0].host == "agent-0"
            for number in range(100):
                assert entry.hub.send("agent-0", Ack("r", 1, number))
            await wait_for(lambda: len(agent.list_received(Ack)) == 100)
            offsets = [message.offset for message in agent.list_received(Ack)]
            assert offsets == list(range(100))

    run(check())


def test_peer_without_the_shared_key_is_refused() -> None:
    # A process with another key gets no link, and none of its messages is processed.
    async def check() -> None:
        async with connect_pair(key="other") as (agent, entry, _):
            dials = count_dials(entry)
            await wait_for(lambda: len(dials) >= 2)
            assert not agent.ups and not agent.received
            assert not entry.ups

    run(check())


def count_dials(peer: Peer) -> list[str]:
    """Return a list that grows with each completed dial."""
    ended = []
    dial_once = peer.hub._dial_once

    async def dial(host: str, address: str) -> Link | None:
        link = await dial_once(host, address)
        ended.append(host)
        return link

    peer.hub._dial_once = dial
    return ended


def test_links_are_set_up_again_under_a_changed_key() -> None:
    # Guards against two running processes that never link again after a key change. The
    # key is changed in one after the other: links under the old key end, dials with it
    # are refused, and a link is up once both processes have the new key.
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            dials = count_dials(entry)
            agent.hub.change_key("other")
            await wait_for(lambda: len(dials) >= 3)
            assert agent.downs == [("entry-0", "the shared key changed")]
            assert len(agent.ups) == len(entry.ups) == 1
            assert not agent.hub.hosts and not entry.hub.hosts
            entry.hub.change_key("other")
            await wait_for(lambda: len(agent.ups) == len(entry.ups) == 2)
            assert agent.hub.hosts == ["entry-0"]
            assert entry.hub.hosts == ["agent-0"]

    run(check())


def test_dialling_process_uses_its_changed_key() -> None:
    # Guards against a link that stays up under an outdated key. The dialling process
    # changes its key first: it ends its link, and is refused until its peer has the new
    # key too.
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            dials = count_dials(entry)
            entry.hub.change_key("other")
            await wait_for(lambda: len(dials) >= 2)
            assert entry.downs == [("agent-0", "the shared key changed")]
            assert len(agent.ups) == len(entry.ups) == 1
            agent.hub.change_key("other")
            await wait_for(lambda: len(agent.ups) == len(entry.ups) == 2)

    run(check())


def test_silent_link_is_detected_and_redialled() -> None:
    # A middlebox loses track of the connection, which raises no error. The heartbeat
    # ends the link at both sides, and messages get through on a new connection.
    async def check() -> None:
        async with connect_pair() as (agent, entry, proxy):
            await wait_for(lambda: agent.ups and entry.ups)
            proxy.go_silent()
            await wait_for(lambda: len(entry.ups) == 2 and len(agent.ups) == 2)
            assert entry.downs == [("agent-0", "silent")]
            assert len(agent.downs) == 1
            entry.hub.send("agent-0", Ack("r", 1, 7))
            await wait_for(lambda: agent.list_received(Ack))

    run(check())


def test_newer_link_replaces_an_older_one() -> None:
    # The agent has one link to each entry. A new link of the same entry ends the old
    # one, with "down" before "up", and later messages on the old link are ignored.
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            old = agent.hub._links["entry-0"]
            twin = Peer("entry-0", incarnation="2")
            twin.hub.dial("agent-0", agent.address)
            await wait_for(lambda: len(agent.ups) >= 2)
            assert agent.downs[0] == ("entry-0", "replaced by a newer link")
            assert agent.hub.hosts == ["entry-0"]
            agent.hub._handle(old, Ack("late", 1, 0))
            assert not agent.list_received(Ack)
            await twin.hub.stop()

    run(check())


def test_invalid_frame_ends_only_its_own_link() -> None:
    # A peer that sends invalid data loses its link, without an effect on other links.
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            stray = Peer("stray")
            stray.hub.dial("agent-0", agent.address)
            await wait_for(lambda: stray.ups)
            link = stray.hub._links["agent-0"]
            await link._stream.send_message(b"\xc1 rubbish")
            await wait_for(lambda: [h for h, _ in agent.downs if h == "stray"])
            entry.hub.send("agent-0", Ack("r", 1, 1))
            await wait_for(lambda: agent.list_received(Ack))
            assert [h for h, _ in agent.downs if h == "entry-0"] == []
            await stray.hub.stop()

    run(check())


def test_many_large_messages_are_split_into_frames_within_the_limit() -> None:
    # Guards against failing requests with large bodies. In a single frame, those that
    # arrive at once would exceed the peer's limit and end the link each time.
    async def check() -> None:
        async with connect_pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            body = b"x" * 1_000_000
            for number in range(30):
                work = Work(f"r{number}", "team", "pool", CHAT, body)
                entry.hub.send("agent-0", Offer(work, 1, 1.0))
            await wait_for(lambda: len(agent.list_received(Offer)) == 30)
            assert not agent.downs and not entry.downs

    run(check())


class StuckStream:
    """Block forever on the first frame, and never receive any."""

    async def send_message(self, message: object) -> None:
        await asyncio.Event().wait()

    async def recv_message(self) -> None:
        await asyncio.Event().wait()


def test_peer_that_reads_nothing_does_not_exhaust_the_memory() -> None:
    # Sending the first frame to a peer that reads nothing never ends, and further
    # messages pile up. The link is closed, and callers are served over a new one.
    async def check() -> None:
        hello = Hello("entry-0", "howrah", "entry", "1", 0)
        link = Link(StuckStream(), hello, lambda *_: None, lambda _: True)
        task = asyncio.create_task(link.run())
        await asyncio.sleep(0)
        part = Chunk("r", 1, 0, b"x" * 1_000_000, 0)
        for _ in range(MAX_OUTBOX_BYTES // 1_000_000 + 2):
            link.send(part)
            await asyncio.sleep(0)
        await asyncio.wait_for(task, 1.0)
        assert link.reason == "the peer reads too slowly"

    run(check())


def test_token_is_bound_to_host_and_incarnation() -> None:
    metadata = make_metadata(KEY, "entry-0", "1")
    assert has_valid_token(KEY, metadata)
    assert not has_valid_token("other", metadata)
    assert not has_valid_token(KEY, metadata | {"radishtally-host": "entry-1"})
    assert not has_valid_token(KEY, {})


class ScriptedStream:
    """Deliver the peer's frames when the test says so, and record what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.frames: asyncio.Queue[bytes] = asyncio.Queue()

    async def send_message(self, frame: bytes) -> None:
        self.sent += decode_frame(frame).ok

    async def recv_message(self) -> bytes:
        return await self.frames.get()


def test_revision_that_changes_between_the_hellos_is_announced() -> None:
    # Guards against a host that operators see as outdated until the next change. Its
    # hello is sent with the old revision, and the new one comes into force before the
    # peer's hello arrives, so the link is not yet among those it is announced to.
    async def check() -> None:
        peer = Peer("agent-0", KEY)
        stream = ScriptedStream()
        link = asyncio.create_task(peer.hub.run_link(stream, leads=False))
        await wait_for(lambda: any(isinstance(m, Hello) for m in stream.sent))
        peer.hub.announce(4)
        hello = Hello("entry-0", "place", "entry", "new", 4)
        stream.frames.put_nowait(encode_frame([hello]))
        await wait_for(lambda: any(isinstance(m, Pong) for m in stream.sent))
        assert stream.sent[-1].revision == 4
        link.cancel()
        await asyncio.gather(link, return_exceptions=True)

    run(check())


# Guards against a stop during the start that looks like a crash: the process exited
# with an error, since its components were stopped before they had started.
def test_hub_can_be_stopped_while_it_starts() -> None:
    async def check() -> None:
        peer = Peer("agent-0")
        starting = asyncio.create_task(peer.start())
        await asyncio.sleep(0)
        await peer.hub.stop()
        starting.cancel()

    run(check())
