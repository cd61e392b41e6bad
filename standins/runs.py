"""Record the runs of a stand-in, to check the callers' answers against them."""

import hashlib
import os
import time
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

RUN: Final = "run"
UNFRAMED: Final = "unframed"
"""Kind of a run whose answer without framing was sent to its end."""
PROMPT: Final = "prompt"
ORDER: Final = "order"


class Run(NamedTuple):
    """Represent the run of a request, or the reading of a prompt, at a host."""

    kind: str
    at: float
    """Time on the monotonic clock, which all processes of the machine share."""
    host: str
    id: str
    method: str
    path: str
    body: str
    """Digest of the request's body."""
    signature: str
    status: int
    answer: str
    """Digest of the answer's body; empty for a stream."""


class Order(NamedTuple):
    """Represent an order that an engine received, accepted or not."""

    kind: str
    at: float
    host: str
    owner: str
    fence: int
    role: str
    status: int


class RunLog:
    """Write records to a file; each is written before its answer is sent."""

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def write(self, record: Run | Order) -> None:
        """Write one record, which survives any end of the process."""
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(record) + b"\n")


class RunReader:
    """Read new records of a log."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._offset = 0

    def read(self) -> list[Run | Order]:
        """Return the complete records that were not read before."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(self._offset)
            data = file.read()
        whole = data[: data.rfind(b"\n") + 1]
        self._offset += len(whole)
        return [_decode(line) for line in whole.splitlines()]


def _decode(line: bytes) -> Run | Order:
    fields: list[Any] = msgspec.json.decode(line)
    return Order(*fields) if fields[0] == ORDER else Run(*fields)


def digest(data: bytes) -> str:
    """Return a short digest of a body."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


def read_clock() -> float:
    """Read the monotonic clock, which all processes of the machine share."""
    return time.monotonic()
