"""Hub of a process's links, both accepted and dialled."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from eliot import log_message
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from radishtally.containment import contain, report_error
from radishtally.links.auth import has_valid_token, make_metadata
from radishtally.links.codec import FrameCodec
from radishtally.links.const import (
    DIAL_TIMEOUT_SECONDS,
    MAX_PINGS_PER_SECOND,
    MAX_REDIAL_SECONDS,
    METHOD_EXCHANGE,
    MIN_REDIAL_SECONDS,
)
from radishtally.links.frames import (
    accept_peer,
    close_connection,
    limit_frames,
    send_request,
)
from radishtally.links.kinds import Message
from radishtally.links.link import Link
from radishtally.links.listener import LinkServer
from radishtally.links.messages import Hello
from radishtally.startup import START_SECONDS, open_listener

DIAL_ERRORS: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)


class LinkCallbacks(NamedTuple):
    """Hold the callbacks by which a process handles its links."""

    up: Callable[[Hello], None]
    down: Callable[[str, str], None]
    """Called with the host and the reason."""
    receive: Callable[[str, Message], None]
    """Called with the host and the message."""
    is_busy: Callable[[str], bool]
    """Returns whether requests are in flight with the host, which needs more frequent
    heartbeats."""


class LinkHub:
    """Maintain at most one link to each host."""

    def __init__(self, hello: Hello, peer_key: str, callbacks: LinkCallbacks) -> None:
        self._hello = hello
        self._peer_key = peer_key
        self._callbacks = callbacks
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, tuple[str, asyncio.Task]] = {}
        self._server: LinkServer | None = None

    @property
    def hosts(self) -> list[str]:
        """Return the hosts to which a link is up."""
        return list(self._links)

    async def start(self, address: str, wait_seconds: float = START_SECONDS) -> None:
        """Listen on the host's fixed address, once no other process uses it."""
        server = LinkServer([_LinkService(self)], codec=FrameCodec())
        # Without SO_REUSEPORT only one process can bind the port, and the kernel
        # releases it when the process dies but not when it is paused: see DESIGN.md,
        # "One agent per host".
        await server.start(sock=await open_listener(address, wait_seconds))
        # Set only now: a server that has not started can't be closed, and a stop during
        # the start would raise an error.
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
                await asyncio.wait_for(self._server.wait_closed(), DIAL_TIMEOUT_SECONDS)

    def dial(self, host: str, address: str) -> None:
        """Dial a host, and redial it whenever the link ends, until told to stop."""
        if host in self._dialers:
            if self._dialers[host][0] == address:
                return
            self.stop_dialling(host)
        task = asyncio.create_task(self._dial_forever(host, address))
        self._dialers[host] = (address, task)

    def stop_dialling(self, host: str) -> None:
        """Stop dialling a host; its link ends."""
        _, task = self._dialers.pop(host, ("", None))
        if task is not None:
            task.cancel()

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host, and return whether a link is up."""
        link = self._links.get(host)
        if link is None:
            return False
        link.send(message)
        return True

    def change_key(self, peer_key: str) -> None:
        """Replace the shared key, and set up all links again.

        Peers that have only the old key are refused from now on, and are redialled
        until they have the new one.
        """
        self._peer_key = peer_key
        for link in list(self._links.values()):
            link.close("the shared key changed")
        # Dialling is restarted, since a dialler that was refused for long has backed
        # off.
        for host, (address, _) in list(self._dialers.items()):
            self.stop_dialling(host)
            self.dial(host, address)

    def announce(self, revision: int) -> None:
        """Announce to all peers the configuration revision that is in force here."""
        self._hello = self._hello._replace(revision=revision)
        for link in self._links.values():
            link.announce(revision)

    def flush(self) -> None:
        """Ping every peer, so that it acknowledges what is queued now."""
        for link in self._links.values():
            link.ping()

    def is_flushed(self) -> bool:
        """Return whether every peer has received what was queued at the last flush."""
        return all(link.is_flushed() for link in self._links.values())

    def drop(self, host: str, reason: str) -> None:
        """Close the link to a host; a dialled link is set up again."""
        if host in self._links:
            self._links[host].close(reason)

    async def run_link(self, stream: object, leads: bool) -> Link:
        """Run a link over a stream until it ends; the dialling end sends the pings."""
        link = Link(
            stream,
            self._hello,
            self._handle,
            self._callbacks.is_busy,
            leads,
            self._compute_spacing,
        )
        try:
            await link.run()
        finally:
            self._unregister(link)
        return link

    def _compute_spacing(self) -> float:
        """Return the minimum seconds between two pings of a link.

        It grows with the number of links, which bounds the total cost of heartbeats.
        """
        return max(len(self._links), len(self._dialers)) / MAX_PINGS_PER_SECOND

    def _handle(self, link: Link, message: Message) -> None:
        host = link.peer.host
        if isinstance(message, Hello):
            self._register(link)
            return
        if self._links.get(host) is not link:
            return
        try:
            self._callbacks.receive(host, message)
        except Exception as error:
            report_error(error, "link", peer=host, message=type(message).__name__)
            # Messages may build on each other; a new link begins with the whole state.
            link.close("a message could not be handled")

    def _register(self, link: Link) -> None:
        old = self._links.get(link.peer.host)
        self._links[link.peer.host] = link
        # A revision that came into force after our hello was queued was announced only
        # to the links that were up then. Until the next change, the peer would take
        # this process for outdated, and would not request the configuration from it.
        link.announce_if_changed(self._hello.revision)
        if old is not None:
            old.close("replaced by a newer link")
            self._report_down(link.peer.host, old.reason)
        log_message("link:up", peer=link.peer.host, incarnation=link.peer.incarnation)
        try:
            self._callbacks.up(link.peer)
        except Exception as error:
            report_error(error, "link", peer=link.peer.host)
            link.close("the link could not be set up")

    def _unregister(self, link: Link) -> None:
        if link.peer is None or self._links.get(link.peer.host) is not link:
            return
        del self._links[link.peer.host]
        log_message("link:down", peer=link.peer.host, reason=link.reason)
        self._report_down(link.peer.host, link.reason)

    def _report_down(self, host: str, reason: str) -> None:
        with contain("link", peer=host):
            self._callbacks.down(host, reason)

    async def _dial_forever(self, host: str, address: str) -> None:
        wait = MIN_REDIAL_SECONDS
        while True:
            link = None
            with contain("link", peer=host):
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
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                await channel.__connect__()
            async with method.open(metadata=metadata) as stream:
                async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                    await send_request(stream)
                limit_frames(stream)
                link = await self.run_link(stream, leads=True)
                # Ending a stream properly waits for the peer, or at least for room to
                # send. On a dead connection this may block forever, and the host would
                # not be redialled, so the connection is closed first.
                channel.close()
        except DIAL_ERRORS as error:
            if link is None:
                log_message("link:dial_failed", peer=host, reason=repr(error))
        finally:
            channel.close()
        return link if link is not None and link.peer is not None else None


class _LinkService:
    """Implement the gRPC service, whose only method runs a link."""

    def __init__(self, hub: LinkHub) -> None:
        self._hub = hub

    async def serve(self, stream: object) -> None:
        """Run a link that a peer has dialled, if it has the shared key."""
        # A connection carries one link. Left open, it would take data for ever.
        if not has_valid_token(self._hub._peer_key, stream.metadata):
            loop = asyncio.get_running_loop()
            loop.call_later(DIAL_TIMEOUT_SECONDS, close_connection, stream)
            raise GRPCError(Status.UNAUTHENTICATED, "the shared key is wrong")
        accept_peer(stream)
        limit_frames(stream)
        try:
            await self._hub.run_link(stream, leads=False)
        finally:
            close_connection(stream)

    def __mapping__(self) -> dict[str, Handler]:
        return {
            METHOD_EXCHANGE: Handler(
                self.serve, Cardinality.STREAM_STREAM, bytes, bytes
            )
        }
