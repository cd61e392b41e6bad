"""Call gateways over persistent connections, as the platform's callers do."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from soak.checks import Disturbances, Ledger, SentRequest, find_versions
from soak.const import (
    CALLER_TIMEOUT_SECONDS,
    DEADLINE_MS,
    DEPLOYMENT,
    DISCONNECT_CHANCE,
    FLOOD_CONNECTIONS,
    HANG_SECONDS,
    MAX_ATTEMPTS,
    MAX_PAUSE_SECONDS,
    NOT_EXECUTED_STATUSES,
    REQUEST_KINDS,
    STREAMING_KINDS,
    SWITCH_CHANCE,
)
from soak.fleet import Gateway
from soak.wire import Answer, Connection
from standins.runs import digest, read_clock

CHECK_SECONDS: Final = 0.5
"""Interval of the checks on a request that has passed its caller's timeout."""
EVENT_END: Final = b"\n\n"


class Progress(NamedTuple):
    """What a caller has of a stream after some tries."""

    last_event: int = 0
    first: str = ""
    """Request that brought the first event."""
    software: str = ""
    """Software version of the events."""

    def add(self, request: str, answer: Answer) -> "Progress":
        """Add the events that a request has brought."""
        body = bytes(answer.body)
        count = body.count(EVENT_END)
        if not count:
            return self
        software = self.software or min(find_versions(body), default="")
        return Progress(self.last_event + count, self.first or request, software)


class Caller:
    """Send requests to the gateways, one at a time."""

    def __init__(
        self,
        name: str,
        gateways: Sequence[Gateway],
        ledger: Ledger,
        disturbances: Disturbances,
    ) -> None:
        self._name = name
        self._gateways = gateways
        self._ledger = ledger
        self._disturbances = disturbances
        self._random = random.Random(name)
        self._number = 0
        self._kinds: Sequence[str] = REQUEST_KINDS
        self._bad_part = ""
        """Prompt part that crashes engines, in all prompts of this caller."""
        self._gateway = self._random.choice(gateways)
        self._connection = Connection(self._gateway.address)
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            await self._call_with_retries(self._random.choice(self._kinds))
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_SECONDS))
        self._connection.close()

    async def _call_with_retries(self, kind: str) -> None:
        """Send a request and retry it where that is safe, each time under a new id."""
        progress = Progress()
        for _ in range(MAX_ATTEMPTS):
            answer = await self._attempt(kind, progress)
            if kind in STREAMING_KINDS and answer.status == 200:
                progress = progress.add(f"{self._name}-{self._number}", answer)
            if not _may_retry(kind, answer):
                return
            self._switch()
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _attempt(self, kind: str, progress: Progress) -> Answer:
        if self._random.random() < SWITCH_CHANCE:
            self._switch()
        if not await self._connect():
            return Answer()
        sent, request = self._make_request(kind, progress)
        self._ledger.record_request(sent)
        task = asyncio.create_task(self._connection.fetch(request))
        if self._random.random() < DISCONNECT_CHANCE:
            await asyncio.wait({task}, timeout=self._random.uniform(0.0, 0.2))
        else:
            await self._wait_for_end(sent, task)
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
            self._connection.close()
        elif task.exception() is not None:
            raise task.exception()
        answer = self._connection.answer
        self._ledger.record_answer(sent, answer)
        return answer

    async def _wait_for_end(self, sent: SentRequest, task: asyncio.Task[None]) -> None:
        """Wait for the answer; give up after the timeout if the gateway was disturbed.

        It is a finding if an undisturbed gateway never answers.
        """
        await asyncio.wait({task}, timeout=CALLER_TIMEOUT_SECONDS)
        while not task.done():
            now, name = read_clock(), sent.gateway
            if self._disturbances.overlaps(sent.at, now, name, f"front:{name}"):
                return
            if now > sent.at + HANG_SECONDS:
                self._ledger.report_finding(
                    f"{sent}: no end after {now - sent.at:.0f} s"
                )
                return
            await asyncio.wait({task}, timeout=CHECK_SECONDS)

    async def _connect(self) -> bool:
        if self._connection.is_open:
            unsolicited = await self._connection.read_unsolicited()
            if unsolicited:
                self._ledger.report_finding(
                    f"{self._gateway.name}: unsolicited bytes: {unsolicited!r}"
                )
        if self._connection.is_open:
            return True
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                await self._connection.open()
        except OSError:
            await asyncio.sleep(MAX_PAUSE_SECONDS)
            return False
        return True

    def _switch(self) -> None:
        self._connection.close()
        self._gateway = self._random.choice(self._gateways)
        self._connection = Connection(self._gateway.address)

    def _make_request(self, kind: str, progress: Progress) -> tuple[SentRequest, bytes]:
        self._number += 1
        name = f"{self._name}-{self._number}"
        method = "GET" if kind == "read" else "POST"
        body = b"" if kind == "read" else f"{name} ".encode() * 8
        path = f"/{kind}/{self._number}?by={self._name}"
        headers = [
            f"Host: {DEPLOYMENT['route']['host']}",
            f"X-Request-Id: {name}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
            f"Content-Length: {len(body)}",
        ]
        if kind in STREAMING_KINDS:
            headers += self._make_prompt_headers()
        if progress.first:
            headers.append(f"Last-Event-Id: {progress.last_event}")
            headers.append(f"Resumes: {progress.first}")
        head = "\r\n".join([f"{method} {path} HTTP/1.1", *headers, "", ""])
        at, gateway = read_clock(), self._gateway.name
        asked = name, kind, method, path, digest(body), gateway, at
        sent = SentRequest(*asked, *progress, self._bad_part)
        return sent, head.encode() + body

    def _make_prompt_headers(self) -> list[str]:
        """Make the headers of a prompt; alternate long prompts with long answers."""
        is_long = self._number // 100 % 2 == 0
        prompt_tokens, max_tokens = (8000, 20) if is_long else (200, 400)
        prefix = self._random.randrange(8)
        bad = f"{self._bad_part}:50," if self._bad_part else ""
        return [
            "X-Model: m",
            f"X-Token-Count: {prompt_tokens},{max_tokens}",
            f"X-Prompt-Prefix: a{prefix}:{prompt_tokens - 100},{bad}"
            f"{self._name}-{self._number:x}:100",
        ]


class BadCaller(Caller):
    """Send prompts with a part that crashes engines, no two of them alike."""

    def __init__(
        self,
        part: str,
        number: int,
        gateways: Sequence[Gateway],
        ledger: Ledger,
        disturbances: Disturbances,
    ) -> None:
        super().__init__(f"{part}-{number}", gateways, ledger, disturbances)
        self._kinds = tuple(STREAMING_KINDS)
        self._bad_part = part


class CrowdCaller(Caller):
    """Call the plain hosts only, all the time."""

    def __init__(
        self,
        number: int,
        gateways: Sequence[Gateway],
        ledger: Ledger,
        disturbances: Disturbances,
    ) -> None:
        super().__init__(f"crowd-{number}", gateways, ledger, disturbances)
        self._kinds = ("read",)


class Flood:
    """Hold many new connections to one gateway, each with one request."""

    def __init__(self, gateway: Gateway, name: str, ledger: Ledger) -> None:
        self._gateway = gateway
        self._name = name
        self._ledger = ledger
        address = gateway.settings["address"]
        self._connections = [Connection(address) for _ in range(FLOOD_CONNECTIONS)]

    async def open(self) -> None:
        """Open the connections; their gateway need not have accepted them."""
        opening = (connection.open() for connection in self._connections)
        await asyncio.gather(*opening, return_exceptions=True)

    async def ask(self) -> int:
        """Send the requests; return the number of connections closed unread."""
        asking = (self._ask(*pair) for pair in enumerate(self._connections))
        return sum(await asyncio.gather(*asking))

    async def _ask(self, number: int, connection: Connection) -> bool:
        if not connection.is_open:
            return False
        path, method = f"/read/{number}?by={self._name}", "GET"
        asked = f"{self._name}-{number}", "read", method, path, digest(b"")
        sent = SentRequest(*asked, self._gateway.name, read_clock())
        head = f"{method} {path} HTTP/1.1\r\nHost: {DEPLOYMENT['route']['host']}\r\n"
        head += f"X-Request-Id: {sent.id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
        self._ledger.record_request(sent)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                await connection.fetch(head.encode())
        except TimeoutError:
            return False
        finally:
            connection.close()
        self._ledger.record_answer(sent, connection.answer)
        return not connection.answer.status


def _may_retry(kind: str, answer: Answer) -> bool:
    if answer.status in NOT_EXECUTED_STATUSES:
        return True
    if kind == "read":
        return answer.status != 200
    is_cut = answer.status == 200 and not answer.is_complete
    return kind == "draft" and (is_cut or not answer.status)
