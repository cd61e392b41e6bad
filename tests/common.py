"""Helpers that the tests share."""

import asyncio
import itertools
import json
import os
import select
import subprocess
import sys
import urllib.request
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar

import uvloop

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Delete,
    Key,
    Put,
    ReadError,
    Row,
    TableError,
    Unavailable,
    Unclear,
    Write,
)
from radishtally.store.table import compute_revision

ROOT: Final = Path(__file__).resolve().parent.parent
START_SECONDS: Final = 60.0
RUN_SECONDS: Final = 300.0
"""Time after which a coroutine is cancelled, so that one that hangs fails."""
READ_SECONDS: Final = 0.02
"""Time in which written data has certainly been read."""
ADDRESSES: Final = itertools.count()

T = TypeVar("T")


class StandIn(NamedTuple):
    """Control a stand-in that runs as a child process."""

    address: str
    url: str
    process: subprocess.Popen[str]

    def post(self, path: str, data: dict[str, Any]) -> Any:
        """Post a JSON body and return the decoded answer."""
        body = json.dumps(data).encode()
        request = urllib.request.Request(self.url + path, body, method="POST")
        with urllib.request.urlopen(request, timeout=START_SECONDS) as reply:
            return json.load(reply)

    def get(self, path: str) -> Any:
        """Get a path and return the decoded answer."""
        with urllib.request.urlopen(self.url + path, timeout=START_SECONDS) as reply:
            return json.load(reply)

    def set_fault(self, mode: str, **more: Any) -> None:
        """Inject a fault from now on."""
        self.post("/_fault", {"mode": mode, **more})


StartStandIn = Callable[..., StandIn]


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new event loop, with a timeout."""
    return uvloop.run(asyncio.wait_for(coroutine, RUN_SECONDS))


def allocate_address() -> str:
    """Return a loopback address that no other test uses at the same time.

    A free port may be taken at any moment by another test's process. A server could not
    bind to it then, or that process would answer where a test expects no listener. On
    an address of the test's own, neither can happen.
    """
    number = next(ADDRESSES)
    process = os.getpid() % 62_000
    return f"127.{1 + process // 250}.{1 + process % 250}.{1 + number % 250}"


@contextmanager
def run_standin(name: str, *args: str) -> Iterator[StandIn]:
    """Run a stand-in as a child process, and kill it at the exit."""
    command = [sys.executable, "-m", f"standins.{name}", *args]
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    with subprocess.Popen(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            address = _read_address(process, name)
            yield StandIn(address, f"http://{address}", process)
        finally:
            process.kill()


@contextmanager
def make_standin_starter() -> Iterator[StartStandIn]:
    """Yield a function that starts stand-ins, which are all killed at the exit."""
    with ExitStack() as stack:
        yield lambda name, *args: stack.enter_context(run_standin(name, *args))


def _read_address(process: subprocess.Popen[str], name: str) -> str:
    ready, _, _ = select.select([process.stdout], [], [], START_SECONDS)
    line = process.stdout.readline() if ready else ""
    assert line, f"stand-in {name} did not start"
    return json.loads(line)["address"]


class Rows:
    """Store rows as the table service does, without I/O or faults."""

    def __init__(self) -> None:
        self.rows: dict[Key, Row] = {}

    def read(self, key: Key) -> Row | None:
        """Read one row."""
        return self.rows.get(key)

    def query(
        self, pk: str, after: str, prefix: str, limit: int, newest_first: bool
    ) -> list[Row]:
        """Read rows of one partition, ordered by sort key."""
        found = [
            row
            for key, row in sorted(self.rows.items(), reverse=newest_first)
            if key.pk == pk and key.sk.startswith(prefix)
        ]
        if after and newest_first:
            found = [row for row in found if row.key.sk < after]
        elif after:
            found = [row for row in found if row.key.sk > after]
        return found[:limit]

    def apply(self, writes: list[Write], write_id: str) -> Result[None, Conflict]:
        """Apply all writes or none."""
        keys = [write.key for write in writes]
        assert len(set(keys)) == len(keys), "a transaction may have a key only once"
        failed = [i for i, write in enumerate(writes) if not self._meets(write)]
        if failed:
            return Error(Conflict(tuple(failed)))
        for write in writes:
            if isinstance(write, Put):
                value = json.loads(json.dumps(write.value))
                rev = compute_revision(write, write_id)
                self.rows[write.key] = Row(write.key, rev, write_id, value)
            if isinstance(write, Delete):
                del self.rows[write.key]
        return Ok(None)

    def _meets(self, write: Write) -> bool:
        row = self.rows.get(write.key)
        rev = ABSENT if row is None else row.rev
        return write.expect is None or write.expect == rev


class MemoryTable:
    """Implement the table's interface in memory, with injected faults."""

    def __init__(self) -> None:
        self.rows = Rows()
        self.down = False
        self.lose_replies = 0
        """Number of further writes that are applied and answered as unclear."""
        self.drop_writes = 0
        """Number of further writes that are not applied and answered as unclear."""
        self.transactions = 0

    async def get(self, key: Key) -> Result[Row | None, ReadError]:
        """Read one row."""
        return Error(Unavailable("down")) if self.down else Ok(self.rows.read(key))

    async def query(
        self,
        pk: str,
        *,
        after: str = "",
        prefix: str = "",
        limit: int = 100,
        newest_first: bool = False,
    ) -> Result[list[Row], ReadError]:
        """Read rows of one partition, ordered by sort key."""
        if self.down:
            return Error(Unavailable("down"))
        return Ok(self.rows.query(pk, after, prefix, limit, newest_first))

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        """Apply all writes or none."""
        if self.down:
            return Error(Unavailable("down"))
        if self.drop_writes:
            self.drop_writes -= 1
            return Error(Unclear("dropped"))
        self.transactions += 1
        result = self.rows.apply(writes, write_id)
        if self.lose_replies:
            self.lose_replies -= 1
            return Error(Unclear("reply lost"))
        return result


@asynccontextmanager
async def answer_twice(first: bytes, second: bytes) -> AsyncIterator[str]:
    """Serve answers that name no request, the first one twice, on kept connections.

    The duplicate is sent together with the first answer's body, which is read apart
    from its head: the connection is already idle when the duplicate is found.
    """
    answers = iter([first])

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = next(answers, second)
                head = (
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                )
                writer.write(head)
                await asyncio.sleep(READ_SECONDS)
                writer.write(body + (head + body if body is first else b""))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield "{}:{}".format(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()
