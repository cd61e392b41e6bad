"""Keep links to the other processes: take theirs and dial our own."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from eliot import log_message
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from radishtally.links.auth import is_member, make_metadata
from radishtally.links.codec import FrameCodec
from radishtally.links.const import (
    DIAL_SECONDS,
    MAX_PINGS_PER_SECOND,
    MAX_REDIAL_SECONDS,
    METHOD_EXCHANGE,
    MIN_REDIAL_SECONDS,
)
from radishtally.links.link import Link
from radishtally.links.messages import Hello, Message

DIAL_ERRORS: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class LinkCallbacks(NamedTuple):
    """Say what the process does with its links."""

    up: Callable[[Hello], None]
    down: Callable[[str, str], None]
    """Take the host and the reason."""
    receive: Callable[[str, Message], None]
    """Take the host and the message."""
    is_busy: Callable[[str], bool]
    """Tell whether work is open with the host, which wants faster heartbeats."""


class LinkHub:
    """Keep at most one link to each host."""

    def __init__(self, hello: Hello, peer_key: str, callbacks: LinkCallbacks) -> None:
        self._hello = hello
        self._peer_key = peer_key
        self._callbacks = callbacks
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, tuple[str, asyncio.Task]] = {}
        self._server: Server | None = None

    @property
    def hosts(self) -> list[str]:
        """Give the hosts that a link is up to."""
        return list(self._links)

    async def start(self, address: str) -> None:
        """Listen on the host's fixed address; fail if another process has it."""
        ip, port = address.rsplit(":", 1)
        server = Server([_Exchange(self)], codec=FrameCodec())
        # Without SO_REUSEPORT the kernel lets one process have the port, and gives it
        # back at its death but not at a pause: see DESIGN.md, "One agent per host".
        await server.start(ip, int(port), reuse_port=False)
        # Only now: a server that has not started can't be closed, and a stop that comes
        # meanwhile would end in an error.
        self._server = server

    async def stop(self) -> None:
        """Close all links and stop listening."""
        for _, task in self._dialers.values():
            task.cancel()
        for link in list(self._links.values()):
            link.close("stopped")
        if self._server is not None:
            self._server.close()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._server.wait_closed(), DIAL_SECONDS)

    def dial(self, host: str, address: str) -> None:
        """Keep a link to a host up until it is forgotten."""
        if host in self._dialers:
            if self._dialers[host][0] == address:
                return
            self.forget(host)
        task = asyncio.create_task(self._keep_dialling(host, address))
        task.add_done_callback(_show_end)
        self._dialers[host] = (address, task)

    def forget(self, host: str) -> None:
        """Stop dialling a host; its link ends."""
        _, task = self._dialers.pop(host, ("", None))
        if task is not None:
            task.cancel()

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; tell whether a link is up."""
        link = self._links.get(host)
        if link is None:
            return False
        link.send(message)
        return True

    def change_key(self, peer_key: str) -> None:
        """Make all links anew under another shared key.

        Whoever has only the old one is refused from now on, and dialled until it too
        has the new one.
        """
        self._peer_key = peer_key
        for link in list(self._links.values()):
            link.close("the shared key changed")
        # Anew, since a dialler that was refused for long tries but seldom.
        for host, (address, _) in list(self._dialers.items()):
            self.forget(host)
            self.dial(host, address)

    def announce(self, revision: int) -> None:
        """Tell every peer at once which configuration revision is in force here."""
        self._hello = self._hello._replace(revision=revision)
        for link in self._links.values():
            link.announce(revision)

    def flush(self) -> None:
        """Ask every peer for a sign that it has taken what is queued now."""
        for link in self._links.values():
            link.ping()

    def is_flushed(self) -> bool:
        """Tell whether every peer has taken what was queued at the last flush."""
        return all(link.is_flushed() for link in self._links.values())

    def drop(self, host: str, reason: str) -> None:
        """End the link to a host; a dialled one is set up anew."""
        if host in self._links:
            self._links[host].close(reason)

    async def exchange(self, stream: object, leads: bool) -> Link:
        """Run a link over a stream until it ends; who dialled leads its heartbeat."""
        link = Link(
            stream,
            self._hello,
            self._take,
            self._callbacks.is_busy,
            leads,
            self._find_spacing,
        )
        try:
            await link.run()
        finally:
            self._end(link)
        return link

    def _find_spacing(self) -> float:
        """Give the least seconds between two pings of a link.

        The cost of heartbeats then has a bound that does not grow with the links.
        """
        return max(len(self._links), len(self._dialers)) / MAX_PINGS_PER_SECOND

    def _take(self, link: Link, message: Message) -> None:
        host = link.peer.host
        if isinstance(message, Hello):
            self._begin(link)
            return
        if self._links.get(host) is not link:
            return
        self._callbacks.receive(host, message)

    def _begin(self, link: Link) -> None:
        old = self._links.get(link.peer.host)
        self._links[link.peer.host] = link
        # A revision that came into force after our hello was written was announced to
        # the links of then. Without this word the peer would take us for behind, and
        # not ask us for it, until the next change.
        link.renew(self._hello.revision)
        if old is not None:
            old.close("replaced by a newer link")
            self._callbacks.down(link.peer.host, old.reason)
        log_message("link:up", peer=link.peer.host, incarnation=link.peer.incarnation)
        self._callbacks.up(link.peer)

    def _end(self, link: Link) -> None:
        if link.peer is None or self._links.get(link.peer.host) is not link:
            return
        del self._links[link.peer.host]
        log_message("link:down", peer=link.peer.host, reason=link.reason)
        self._callbacks.down(link.peer.host, link.reason)

    async def _keep_dialling(self, host: str, address: str) -> None:
        wait = MIN_REDIAL_SECONDS
        while True:
            link = await self._dial_once(host, address)
            wait = MIN_REDIAL_SECONDS if link else min(wait * 2, MAX_REDIAL_SECONDS)
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))

    async def _dial_once(self, host: str, address: str) -> Link | None:
        ip, port = address.rsplit(":", 1)
        channel = Channel(ip, int(port), codec=FrameCodec())
        metadata = make_metadata(
            self._peer_key, self._hello.host, self._hello.incarnation
        )
        method = StreamStreamMethod(channel, METHOD_EXCHANGE, bytes, bytes)
        link = None
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                await channel.__connect__()
            async with method.open(metadata=metadata) as stream:
                link = await self.exchange(stream, leads=True)
                # A stream's proper end awaits the peer's word or at least room to
                # send. Over a connection that is dead either may never come, and the
                # host would not be dialled again: the connection is closed first.
                channel.close()
        except DIAL_ERRORS as error:
            if link is None:
                log_message("link:dial_failed", peer=host, reason=repr(error))
        finally:
            channel.close()
        return link if link is not None and link.peer is not None else None


def _show_end(task: asyncio.Task) -> None:
    """Leave an error that ended a dialler to the loop, which ends the process.

    Kept in the task it would be seen by nobody, and the host never dialled again.
    """
    if not task.cancelled():
        task.result()


class _Exchange:
    """Serve the one method that links use."""

    def __init__(self, hub: LinkHub) -> None:
        self._hub = hub

    async def serve(self, stream: object) -> None:
        """Run a link that a peer dialled, if the peer belongs to the system."""
        if not is_member(self._hub._peer_key, stream.metadata):
            raise GRPCError(Status.UNAUTHENTICATED, "the shared key is wrong")
        await self._hub.exchange(stream, leads=False)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            METHOD_EXCHANGE: Handler(
                self.serve, Cardinality.STREAM_STREAM, bytes, bytes
            )
        }
