"""Client of the host list, which uses Prometheus HTTP service discovery."""

from typing import Final, NamedTuple

import msgspec

from radishtally.decoding import DECODE_ERRORS
from radishtally.outcome import Error, Ok, Result
from radishtally.store.client import HttpClient, Reply
from radishtally.store.core import LEAVING, LIVE, ListedHost, Unavailable

DEFAULT_TIMEOUT_SECONDS: Final = 2.0
HOSTS_PATH: Final = "/hosts"
REQUIRED_LABELS: Final = ("host", "place", "upstream", "state")


class _Group(NamedTuple):
    targets: list[str]
    labels: dict[str, str]


class HttpHostList:
    """Read the platform's host list, which may be stale, over HTTP."""

    def __init__(self, url: str, *, timeout: float = DEFAULT_TIMEOUT_SECONDS) -> None:
        self._url = url.rstrip("/") + HOSTS_PATH
        self._client = HttpClient(timeout)

    async def read(self) -> Result[list[ListedHost], Unavailable]:
        """Read the whole list."""
        result = await self._client.call("GET", self._url)
        if result.is_error():
            return Error(Unavailable(result.error.message))
        return _parse_reply(result.ok)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def _parse_reply(reply: Reply) -> Result[list[ListedHost], Unavailable]:
    if reply.status != 200:
        return Error(Unavailable(f"unexpected status {reply.status}"))
    try:
        data = msgspec.json.decode(reply.body, type=list[dict[str, object]])
        groups = [_parse_group(entry) for entry in data]
    except DECODE_ERRORS as error:
        return Error(Unavailable(f"malformed reply: {error}"))
    return Ok([host for group in groups for host in _list_hosts(group)])


def _parse_group(entry: dict[str, object]) -> _Group:
    targets = msgspec.convert(entry.get("targets"), list[str])
    return _Group(targets, msgspec.convert(entry.get("labels"), dict[str, str]))


def _list_hosts(group: _Group) -> list[ListedHost]:
    # The list may contain hosts of other systems, which lack these labels.
    if not all(name in group.labels for name in REQUIRED_LABELS):
        return []
    host, place, upstream, state = (group.labels[name] for name in REQUIRED_LABELS)
    # A host in an unknown state must get no new work.
    state = LIVE if state == LIVE else LEAVING
    return [
        ListedHost(host, place, upstream, target, state) for target in group.targets
    ]
