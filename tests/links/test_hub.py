"""Tests of links over loopback, through a proxy that shows faults."""

import asyncio

from radishtally.links.auth import is_member, make_metadata
from radishtally.links.codec import decode_frame, encode_frame
from radishtally.links.const import MAX_OUTBOX_BYTES
from radishtally.links.link import Link
from radishtally.links.messages import (
    CHAT,
    Ack,
    Chunk,
    Hello,
    Message,
    Offer,
    Pong,
    Work,
)
from tests.common import run
from tests.links.common import KEY, Peer, pair, wait_for


def test_peers_meet_and_keep_the_order() -> None:
    async def check() -> None:
        async with pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            assert agent.ups[0].host == "entry-0"
            assert entry.ups[0].host == "agent-0"
            for number in range(100):
                assert entry.hub.send("agent-0", Ack("r", 1, number))
            await wait_for(lambda: len(agent.list_received(Ack)) == 100)
            offsets = [message.offset for message in agent.list_received(Ack)]
            assert offsets == list(range(100))

    run(check())


def test_stranger_is_refused() -> None:
    # Nothing reaches the agent: who does not know the shared key gets no link, and
    # none of its messages is looked at.
    async def check() -> None:
        async with pair(key="other") as (agent, entry, _):
            dials = count_dials(entry)
            await wait_for(lambda: len(dials) >= 2)
            assert not agent.ups and not agent.received
            assert not entry.ups

    run(check())


def count_dials(peer: Peer) -> list[str]:
    """Give a list that grows with each dial that has ended."""
    ended = []
    dial_once = peer.hub._dial_once

    async def dial(host: str, address: str) -> Link | None:
        link = await dial_once(host, address)
        ended.append(host)
        return link

    peer.hub._dial_once = dial
    return ended


def test_links_are_made_anew_under_a_changed_key() -> None:
    # Two processes never link again, each with a key that the other refuses. They take
    # another key while they run, one after the other: links made under the old key
    # end, what dials with it is refused, and once both have the new one a link is up.
    async def check() -> None:
        async with pair() as (agent, entry, _):
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


def test_dialler_whose_key_changed_dials_under_the_new_one() -> None:
    # A link stays up under a key that nobody else has. It is the dialler that takes
    # another key first: it ends its link, and is refused until the other has it too.
    async def check() -> None:
        async with pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            dials = count_dials(entry)
            entry.hub.change_key("other")
            await wait_for(lambda: len(dials) >= 2)
            assert entry.downs == [("agent-0", "the shared key changed")]
            assert len(agent.ups) == len(entry.ups) == 1
            agent.hub.change_key("other")
            await wait_for(lambda: len(agent.ups) == len(entry.ups) == 2)

    run(check())


def test_silent_link_is_noticed_and_dialled_anew() -> None:
    # Messages flow again after a while. Something between the ends loses track of the
    # connection: no error comes, only silence. The heartbeat ends the link at either
    # side, and a new connection works.
    async def check() -> None:
        async with pair() as (agent, entry, proxy):
            await wait_for(lambda: agent.ups and entry.ups)
            proxy.go_silent()
            await wait_for(lambda: len(entry.ups) == 2 and len(agent.ups) == 2)
            assert entry.downs == [("agent-0", "silent")]
            assert len(agent.downs) == 1
            entry.hub.send("agent-0", Ack("r", 1, 7))
            await wait_for(lambda: agent.list_received(Ack))

    run(check())


def test_newer_link_replaces_an_older_one() -> None:
    # The agent has one link to each entry. A new one of the same entry ends the old,
    # with "down" before "up", and what still comes over the old is not listened to.
    async def check() -> None:
        async with pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            old = agent.hub._links["entry-0"]
            twin = Peer("entry-0", incarnation="2")
            twin.hub.dial("agent-0", agent.address)
            await wait_for(lambda: len(agent.ups) >= 2)
            assert agent.downs[0] == ("entry-0", "replaced by a newer link")
            assert agent.hub.hosts == ["entry-0"]
            agent.hub._take(old, Ack("late", 1, 0))
            assert not agent.list_received(Ack)
            await twin.hub.stop()

    run(check())


def test_bad_frame_ends_its_link_only() -> None:
    # Others see nothing: a peer that sends rubbish loses its link, and the process
    # goes on to serve.
    async def check() -> None:
        async with pair() as (agent, entry, _):
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


def test_much_waiting_work_goes_in_frames_that_a_peer_takes() -> None:
    # Callers with large bodies are served. Put together in one frame, what comes at
    # the same moment would be over a peer's limit and end the link each time.
    async def check() -> None:
        async with pair() as (agent, entry, _):
            await wait_for(lambda: agent.ups and entry.ups)
            body = b"x" * 1_000_000
            for number in range(30):
                work = Work(f"r{number}", "team", "pool", CHAT, body)
                entry.hub.send("agent-0", Offer(work, 1, 1.0))
            await wait_for(lambda: len(agent.list_received(Offer)) == 30)
            assert not agent.downs and not entry.downs

    run(check())


class StuckStream:
    """Take the first frame for ever and give nothing."""

    async def send_message(self, message: object) -> None:
        await asyncio.Event().wait()

    async def recv_message(self) -> None:
        await asyncio.Event().wait()


def test_peer_that_reads_nothing_does_not_take_the_memory() -> None:
    # The process keeps its size, and callers go on over a new link: a peer takes
    # nothing, so that the first frame's sending never ends and the rest piles up.
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
    assert is_member(KEY, metadata)
    assert not is_member("other", metadata)
    assert not is_member(KEY, metadata | {"radishtally-host": "entry-1"})
    assert not is_member(KEY, {})


class ScriptedStream:
    """Give the peer's frames when the test says so, and keep what is sent."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.frames: asyncio.Queue[bytes] = asyncio.Queue()

    async def send_message(self, frame: bytes) -> None:
        self.sent += decode_frame(frame).ok

    async def recv_message(self) -> bytes:
        return await self.frames.get()


def test_revision_that_comes_into_force_within_the_hellos_is_told() -> None:
    # Operators see the host confirmed, not behind until the next change. Our hello
    # goes out with the old revision; the new one comes into force before the peer's
    # hello is there, so that the link is not among those that are told of it.
    async def check() -> None:
        peer = Peer("agent-0", KEY)
        stream = ScriptedStream()
        link = asyncio.create_task(peer.hub.exchange(stream, leads=False))
        await wait_for(lambda: any(isinstance(m, Hello) for m in stream.sent))
        peer.hub.announce(4)
        hello = Hello("entry-0", "place", "entry", "new", 4)
        stream.frames.put_nowait(encode_frame([hello]))
        await wait_for(lambda: any(isinstance(m, Pong) for m in stream.sent))
        assert stream.sent[-1].revision == 4
        link.cancel()
        await asyncio.gather(link, return_exceptions=True)

    run(check())


# A process that is told to stop while it starts ends with an error, and whoever watches
# it takes a planned stop for a crash: its parts are stopped before they have started.
def test_hub_can_be_stopped_while_it_starts() -> None:
    async def check() -> None:
        peer = Peer("agent-0")
        starting = asyncio.create_task(peer.start())
        await asyncio.sleep(0)
        await peer.hub.stop()
        starting.cancel()

    run(check())
