"""Remember at which software version each stream began.

A caller may resume a stream at any gateway, after the one that began it has ended. What
two versions generate doesn't fit together and hosts don't check it, so the versions of
all streams that may still be resumed are remembered, and exchanged between gateways.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import floor
from typing import Final, NamedTuple

from radishtally.links.gateway_messages import RememberedStream, StreamsBegun

RETURN_SECONDS: Final = 10.0
"""Time after a request's deadline for which its caller may still resume its stream."""
MAX_STREAMS: Final = 200_000
"""Streams that are remembered; beyond it those are forgotten that expire first."""
MAX_STREAMS_PER_MESSAGE: Final = 256
KEY_BYTES: Final = 16
CHANGE_RETENTION_SECONDS: Final = 600.0
"""Time for which a host's change of version is remembered, longer than any stream."""
UNKNOWN_VERSION: Final = ""


class Origin(NamedTuple):
    """Describe where a stream began."""

    upstream: str
    version: str
    """Software version of the host; UNKNOWN_VERSION if it can't be told."""
    host: str


class _VersionChange(NamedTuple):
    """Describe the last change of a host's software version."""

    at: float
    since: float
    """Time from which on streams may have begun at the new version."""
    version: str
    """The new version."""


@dataclass(slots=True)
class _Stream:
    origin: Origin
    until: float
    began: float
    """Time by which it had begun."""
    is_own: bool
    """Whether a request of this gateway began or resumed it."""


def hash_stream(request: str) -> bytes:
    """Return the key of the stream whose first event a request brought."""
    return blake2b(
        request.encode(errors="surrogateescape"), digest_size=KEY_BYTES
    ).digest()


class StreamOrigins:
    """Hold the origins of the streams that callers may still resume."""

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._streams: dict[bytes, _Stream] = {}
        self._expiring: dict[int, list[bytes]] = defaultdict(list)
        """Streams by the second in which they expire, or expired before an extension.
        """
        self._version_changes: dict[str, _VersionChange] = {}
        """Last changes of hosts, by host."""
        self._unsent: dict[bytes, None] = {}
        """Own streams whose origin must be sent to the peers."""

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._streams)

    def find(self, stream: bytes) -> Origin | None:
        """Return the origin of a stream, None if it is not remembered."""
        known = self._streams.get(stream)
        return None if known is None else known.origin

    def record(self, stream: bytes, origin: Origin, until: float, now: float) -> None:
        """Record a stream that a request of this gateway has begun or resumed."""
        self._merge(stream, origin, until, now).is_own = True
        self._unsent[stream] = None

    def merge(self, message: StreamsBegun, now: float) -> None:
        """Merge what a peer knows about streams."""
        origin = Origin(message.upstream, message.version, message.host)
        for stream, left, age in message.streams:
            self._merge(stream, origin, now + left, now - age)

    def _merge(
        self, stream: bytes, origin: Origin, until: float, began: float
    ) -> _Stream:
        known = self._streams.get(stream)
        if known is not None:
            began = min(began, known.began)
        change = self._version_changes.get(origin.host)
        # The peer may not have seen the change.
        if (
            change is not None
            and began >= change.since
            and origin.version != change.version
        ):
            origin = origin._replace(version=UNKNOWN_VERSION)
        if known is None:
            known = _Stream(origin, until, began, False)
            self._streams[stream] = known
            self._expiring[int(until)].append(stream)
            self._evict()
            return known
        if known.origin[:2] != origin[:2]:
            known.origin = known.origin._replace(version=UNKNOWN_VERSION)
        if until > known.until:
            known.until = until
            self._expiring[int(until)].append(stream)
        return known

    def doubt(self, stream: bytes) -> None:
        """Record that the version of a stream can't be told any longer."""
        known = self._streams.get(stream)
        if known is None or not known.origin.version:
            return
        known.origin = known.origin._replace(version=UNKNOWN_VERSION)
        if known.is_own:
            self._unsent[stream] = None

    def change_version(self, host: str, version: str, since: float, at: float) -> None:
        """Doubt the streams that may have begun at a host's new version."""
        self._version_changes[host] = _VersionChange(at, since, version)
        for stream, known in self._streams.items():
            if known.origin.host == host and known.began >= since:
                self.doubt(stream)

    def expire(self, now: float) -> None:
        """Forget the streams that can't be resumed any longer."""
        for second in [second for second in self._expiring if second < int(now)]:
            for stream in self._expiring.pop(second):
                known = self._streams.get(stream)
                if known is not None and known.until <= now:
                    del self._streams[stream]
        oldest = now - CHANGE_RETENTION_SECONDS
        self._version_changes = {
            host: change
            for host, change in self._version_changes.items()
            if change.at > oldest
        }

    def _evict(self) -> None:
        while len(self._streams) > self._max_streams:
            first = min(self._expiring)
            for stream in self._expiring.pop(first):
                known = self._streams.get(stream)
                if known is not None and int(known.until) == first:
                    del self._streams[stream]

    def pop_changed(self, now: float) -> list[StreamsBegun]:
        """Return the own streams that changed since the last call, for the peers."""
        changed, self._unsent = self._unsent, {}
        return self._make_messages(changed, now)

    def list_own(self, now: float) -> list[StreamsBegun]:
        """List the streams of this gateway, for a peer that may not know them."""
        own = (stream for stream, known in self._streams.items() if known.is_own)
        return self._make_messages(own, now)

    def _make_messages(
        self, streams: Iterable[bytes], now: float
    ) -> list[StreamsBegun]:
        groups: dict[Origin, list[RememberedStream]] = defaultdict(list)
        for stream in streams:
            known = self._streams.get(stream)
            if known is not None and known.until > now:
                left = round(known.until - now, 1)
                age = floor((now - known.began) * 10) / 10
                groups[known.origin].append(RememberedStream(stream, left, age))
        return [
            StreamsBegun(*origin, tuple(group[first : first + MAX_STREAMS_PER_MESSAGE]))
            for origin, group in groups.items()
            for first in range(0, len(group), MAX_STREAMS_PER_MESSAGE)
        ]

    def describe(self, stream: bytes, now: float) -> StreamsBegun | None:
        """Return the message that describes one stream, None if it isn't remembered."""
        return next(iter(self._make_messages([stream], now)), None)
