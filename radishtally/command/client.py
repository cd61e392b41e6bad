"""HTTP client for the operators' API of the entries."""

import json
import re
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException, HTTPResponse, HTTPSConnection
from typing import Any, Final, NamedTuple, TypeVar
from urllib.parse import quote, urlencode, urlsplit

import msgspec

from radishtally.answer_syntax import SyntaxFault, find_fault
from radishtally.command import const
from radishtally.command.answer import Failure
from radishtally.outcome import Error, Ok, Result

T = TypeVar("T")

EXIT_CODE_BY_STATUS: Final = {
    400: const.EXIT_USAGE,
    401: const.EXIT_KEY_REFUSED,
    404: const.EXIT_NOT_FOUND,
    409: const.EXIT_CONFLICT,
    413: const.EXIT_REFUSED,
    422: const.EXIT_REFUSED,
    503: const.EXIT_UNAVAILABLE,
    504: const.EXIT_UNAVAILABLE,
}
"""Exit code by the HTTP status of an entry's error response."""
OK: Final = 200
VERSIONS: Final = {10: (1, 0), 11: (1, 1)}
"""Versions of HTTP by the library's numbers for them."""
FOLD: Final = re.compile(rb"\r?\n[ \t]+")
"""End of a line whose field goes on in the next one."""
CONNECTION_TYPES: Final = {"http": HTTPConnection, "https": HTTPSConnection}


class Target(NamedTuple):
    """Hold the entries' addresses and the operator's key."""

    urls: tuple[str, ...]
    key: str


class Unreached(NamedTuple):
    """Error: the request was certainly not sent, as no connection was made."""

    failure: Failure


class Unanswered(NamedTuple):
    """Error: the request may have arrived, but there was no answer to be read."""

    failure: Failure


class Refused(NamedTuple):
    """Error: the entry responded with an error."""

    failure: Failure


RequestError = Unreached | Unanswered | Refused


def read_target(urls: str, key: str) -> Result[Target, Failure]:
    """Parse the entries' addresses and check them and the key."""
    parts = tuple(part.strip().rstrip("/") for part in urls.split(",") if part.strip())
    if not parts:
        text = f"expected an entry's address in --url or {const.URL_VARIABLE}"
        return Error(Failure(const.EXIT_USAGE, text))
    wrong = next((part for part in parts if not _is_url(part)), None)
    if wrong is not None:
        text = f"expected an address like http://IP:PORT, got {wrong}"
        return Error(Failure(const.EXIT_USAGE, text))
    if not key:
        text = f"expected an operator's key in --key or {const.KEY_VARIABLE}"
        return Error(Failure(const.EXIT_USAGE, text))
    if not (key.isascii() and key.isprintable()):
        text = "expected a key of printable ASCII characters"
        return Error(Failure(const.EXIT_USAGE, text))
    return Ok(Target(parts, key))


def join_path(*parts: str) -> str:
    """Join path segments, percent-encoding each."""
    return "/" + "/".join(quote(part, safe="") for part in parts)


class Client:
    """Send requests to the entries in turn until one answers."""

    def __init__(self, target: Target) -> None:
        self._target = target

    @property
    def key(self) -> str:
        """Return the operator's key."""
        return self._target.key

    def get(
        self,
        kind: type[T],
        path: str,
        query: Mapping[str, Any] | None = None,
        *,
        seconds: float = 0.0,
        everywhere: bool = False,
    ) -> Result[T, Failure]:
        """Read a resource; with `everywhere`, also try the next entry on not found."""
        full_path = f"{path}?{urlencode(query)}" if query else path
        retryable = (
            const.EXIT_UNAVAILABLE,
            *((const.EXIT_NOT_FOUND,) if everywhere else ()),
        )
        result: Result[Any, RequestError] = self._send_request(
            0, "GET", full_path, None, seconds
        )
        for index in range(1, len(self._target.urls)):
            if result.is_ok() or result.error.failure.code not in retryable:
                break
            result = self._send_request(index, "GET", full_path, None, seconds)
        return result.map_error(lambda error: error.failure).bind(
            lambda value: check_shape(value, kind)
        )

    def post(self, kind: type[T], path: str, body: Any) -> Result[T, Failure]:
        """Send a change; try the next entry only if no connection was made."""
        # If the reply to a change is lost and the change is sent again, it may revert
        # what another operator did in between. So a change is retried only if the
        # connection failed, which means that the request was not sent.
        result: Result[Any, RequestError] = self._send_request(0, "POST", path, body)
        for index in range(1, len(self._target.urls)):
            if result.is_ok() or not isinstance(result.error, Unreached):
                break
            result = self._send_request(index, "POST", path, body)
        if result.is_error() and isinstance(result.error, Unanswered):
            failure = result.error.failure
            text = f"{failure.message}; the change may have been made, look before you"
            return Error(failure._replace(message=f"{text} repeat it"))
        return result.map_error(lambda error: error.failure).bind(
            lambda value: check_shape(value, kind)
        )

    def _send_request(
        self, index: int, method: str, path: str, body: Any, seconds: float = 0.0
    ) -> Result[Any, RequestError]:
        url = self._target.urls[index]
        parts = urlsplit(url)
        connection = CONNECTION_TYPES[parts.scheme](
            parts.hostname, parts.port, timeout=const.CONNECT_TIMEOUT_SECONDS
        )
        try:
            connection.connect()
        except OSError as error:
            text = f"{url}: can't be reached: {error.strerror or error}"
            return Error(Unreached(Failure(const.EXIT_UNAVAILABLE, text)))
        connection.sock.settimeout(const.REPLY_TIMEOUT_SECONDS + seconds)
        try:
            full_path = f"{parts.path}{const.BASE_PATH}{path}"
            connection.request(method, full_path, _encode(body), self._make_headers())
            reply = connection.getresponse()
            _check_reply(reply)
            text = _read_body(reply)
        # The library raises a ValueError for the size of a chunk below 0.
        except (OSError, HTTPException, ValueError) as error:
            message = f"{url}: no answer: {error or type(error).__name__}"
            return Error(Unanswered(Failure(const.EXIT_UNAVAILABLE, message)))
        finally:
            connection.close()
        return _read_reply(url, reply.status, text)

    def _make_headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._target.key}",
            "Content-Type": "application/json",
        }


def check_shape(value: Any, kind: type[T]) -> Result[T, Failure]:
    """Return the answer unchanged if it has the fields that the tool reads."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = f"unexpected answer, does the entry run another version? ({error})"
        return Error(Failure(const.EXIT_FAILED, text))
    return Ok(value)


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return (
            parts.scheme in CONNECTION_TYPES
            and bool(parts.hostname)
            and parts.port != 0
        )
    except ValueError:
        return False


def _encode(body: Any) -> bytes | None:
    return None if body is None else json.dumps(body).encode()


def _check_reply(reply: HTTPResponse) -> None:
    """Raise if a reply's head is none in the protocol."""
    # The library ends the fields at a line that it can't parse.
    fault = SyntaxFault.UNPARSED if reply.msg.defects else _find_fault(reply)
    if reply.status < OK:
        fault = SyntaxFault.STATUS
    if fault is not None:
        raise HTTPException(f"invalid answer: {fault}")


def _find_fault(reply: HTTPResponse) -> SyntaxFault | None:
    fields = [
        (name.encode("latin-1"), FOLD.sub(b" ", value.encode("latin-1")).strip(b" \t"))
        for name, value in reply.msg.items()
    ]
    reason = reply.reason.encode("latin-1")
    return find_fault(VERSIONS[reply.version], reply.status, reason, fields)


def _read_body(reply: HTTPResponse) -> bytes:
    """Read a whole body; raise if it is over the limit."""
    length = reply.length
    body = reply.read(const.MAX_REPLY_BYTES + 1) if length is None else b""
    if max(len(body), length or 0) > const.MAX_REPLY_BYTES:
        raise HTTPException(f"more than {const.MAX_REPLY_BYTES} bytes")
    # The library finds a body cut short only if it is asked for all of it.
    return body if length is None else reply.read()


def _read_reply(url: str, status: int, text: bytes) -> Result[Any, RequestError]:
    try:
        value = json.loads(text)
    except ValueError:
        message = (
            f"{url}: answered {status} without JSON; is this the address of an entry?"
        )
        failure = Failure(const.EXIT_FAILED, message)
        return Error(Unanswered(failure) if status == OK else Refused(failure))
    if status == OK:
        return Ok(value)
    error = value.get("error") if isinstance(value, dict) else None
    reason = error.get("message") if isinstance(error, dict) else None
    code = EXIT_CODE_BY_STATUS.get(status, const.EXIT_FAILED)
    return Error(Refused(Failure(code, reason or f"{url}: answered {status}")))
