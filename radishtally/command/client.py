"""Ask the entries over HTTP."""

import json
from collections.abc import Mapping
from http.client import HTTPConnection, HTTPException, HTTPSConnection
from typing import Any, Final, NamedTuple, TypeVar
from urllib.parse import quote, urlencode, urlsplit

import msgspec

from radishtally.command import const
from radishtally.command.answer import Failure
from radishtally.outcome import Error, Ok, Result

T = TypeVar("T")

CODES: Final = {
    400: const.EXIT_USAGE,
    401: const.EXIT_KEY_REFUSED,
    404: const.EXIT_NOT_FOUND,
    409: const.EXIT_RACED,
    413: const.EXIT_REFUSED,
    422: const.EXIT_REFUSED,
    503: const.EXIT_AWAY,
    504: const.EXIT_AWAY,
}
"""Exit code by the status of an entry's refusal."""
CONNECTIONS: Final = {"http": HTTPConnection, "https": HTTPSConnection}


class Target(NamedTuple):
    """Say which entries to ask, and by which key."""

    urls: tuple[str, ...]
    key: str


class Unreached(NamedTuple):
    """Say that an entry surely did not get the request."""

    failure: Failure


class Unanswered(NamedTuple):
    """Say that an entry may have got the request but gave no answer."""

    failure: Failure


class Refused(NamedTuple):
    """Say that an entry refused the request."""

    failure: Failure


AskError = Unreached | Unanswered | Refused


def read_target(urls: str, key: str) -> Result[Target, Failure]:
    """Check what the operator gave as addresses and key."""
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
    """Join parts of a path that may hold any characters."""
    return "/" + "/".join(quote(part, safe="") for part in parts)


class Client:
    """Ask the entries in turn until one answers."""

    def __init__(self, target: Target) -> None:
        self._target = target

    @property
    def key(self) -> str:
        """Give the operator's key."""
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
        """Read something, `everywhere` also where another entry did not find it."""
        full = f"{path}?{urlencode(query)}" if query else path
        passing = (const.EXIT_AWAY, *((const.EXIT_NOT_FOUND,) if everywhere else ()))
        result: Result[Any, AskError] = self._ask(0, "GET", full, None, seconds)
        for number in range(1, len(self._target.urls)):
            if result.is_ok() or result.error.failure.code not in passing:
                break
            result = self._ask(number, "GET", full, None, seconds)
        return result.map_error(lambda error: error.failure).bind(
            lambda value: check_shape(value, kind)
        )

    def post(self, kind: type[T], path: str, body: Any) -> Result[T, Failure]:
        """Change something; sent again only if it surely did not arrive."""
        # Failure: the reply to a change is lost. Symptom: sent again, it could undo
        # what another operator did in between. So only a connection that was never
        # made lets the next entry be asked.
        result: Result[Any, AskError] = self._ask(0, "POST", path, body)
        for number in range(1, len(self._target.urls)):
            if result.is_ok() or not isinstance(result.error, Unreached):
                break
            result = self._ask(number, "POST", path, body)
        if result.is_error() and isinstance(result.error, Unanswered):
            failure = result.error.failure
            text = f"{failure.message}; the change may have been made, look before you"
            return Error(failure._replace(message=f"{text} repeat it"))
        return result.map_error(lambda error: error.failure).bind(
            lambda value: check_shape(value, kind)
        )

    def _ask(
        self, number: int, method: str, path: str, body: Any, seconds: float = 0.0
    ) -> Result[Any, AskError]:
        url = self._target.urls[number]
        parts = urlsplit(url)
        connection = CONNECTIONS[parts.scheme](
            parts.hostname, parts.port, timeout=const.CONNECT_SECONDS
        )
        try:
            connection.connect()
        except OSError as error:
            text = f"{url}: can't be reached: {error.strerror or error}"
            return Error(Unreached(Failure(const.EXIT_AWAY, text)))
        connection.sock.settimeout(const.REPLY_SECONDS + seconds)
        try:
            full = f"{parts.path}{const.BASE_PATH}{path}"
            connection.request(method, full, _encode(body), self._make_headers())
            reply = connection.getresponse()
            text = reply.read()
        except (OSError, HTTPException) as error:
            message = f"{url}: no answer: {error or type(error).__name__}"
            return Error(Unanswered(Failure(const.EXIT_AWAY, message)))
        finally:
            connection.close()
        return _read_reply(url, reply.status, text)

    def _make_headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._target.key}",
            "Content-Type": "application/json",
        }


def check_shape(value: Any, kind: type[T]) -> Result[T, Failure]:
    """Give an answer as it came if it has the parts that the tool reads."""
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = f"the entry's answer is not as expected, another version? ({error})"
        return Error(Failure(const.EXIT_FAILED, text))
    return Ok(value)


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in CONNECTIONS and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _encode(body: Any) -> bytes | None:
    return None if body is None else json.dumps(body).encode()


def _read_reply(url: str, status: int, text: bytes) -> Result[Any, AskError]:
    try:
        value = json.loads(text)
    except ValueError:
        message = f"{url}: answered {status} without JSON, is it an entry's address?"
        return Error(Refused(Failure(const.EXIT_FAILED, message)))
    if status == 200:
        return Ok(value)
    error = value.get("error") if isinstance(value, dict) else None
    told = error.get("message") if isinstance(error, dict) else None
    code = CODES.get(status, const.EXIT_FAILED)
    return Error(Refused(Failure(code, told or f"{url}: answered {status}")))
