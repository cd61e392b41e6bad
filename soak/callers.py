"""Call gateways over connections that stay open, as the platform's callers do."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from soak.checks import Ledger, Sent, Trouble
from soak.const import (
    ATTEMPTS,
    DEADLINE_MS,
    DEPLOYMENT,
    HANG_SECONDS,
    KINDS,
    LEAVE_CHANCE,
    NOT_RUN,
    PATIENCE_SECONDS,
    PAUSE_SECONDS,
    STREAMS,
    SWITCH_CHANCE,
)
from soak.fleet import Gateway
from soak.wire import Answer, Connection
from standins.runs import digest, read_clock

LOOK_SECONDS: Final = 0.5
"""Time between two looks of a caller whose patience is over."""
EVENT_MARK: Final = b"\n\n"


class Caller:
    """Send requests one by one."""

    def __init__(
        self, name: str, doors: Sequence[Gateway], ledger: Ledger, trouble: Trouble
    ) -> None:
        self._name = name
        self._doors = doors
        self._ledger = ledger
        self._trouble = trouble
        self._random = random.Random(name)
        self._number = 0
        self._door = self._random.choice(doors)
        self._connection = Connection(self._door.address)
        self.is_stopping = False

    async def run(self) -> None:
        """Call until told to stop."""
        while not self.is_stopping:
            await self._fulfil(self._random.choice(KINDS))
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_SECONDS))
        self._connection.close()

    async def _fulfil(self, kind: str) -> None:
        """Send a request, and again as the pages allow, each time under a new name."""
        done = 0
        for _ in range(ATTEMPTS):
            answer = await self._attempt(kind, done)
            if kind in STREAMS and answer.status == 200:
                done += bytes(answer.body).count(EVENT_MARK)
            if not _may_repeat(kind, answer):
                return
            self._switch()
            await asyncio.sleep(self._random.uniform(0.0, PAUSE_SECONDS))

    async def _attempt(self, kind: str, done: int) -> Answer:
        if self._random.random() < SWITCH_CHANCE:
            self._switch()
        if not await self._connect():
            return Answer()
        sent, request = self._make_request(kind, done)
        self._ledger.send(sent)
        task = asyncio.create_task(self._connection.ask(request))
        if self._random.random() < LEAVE_CHANCE:
            await asyncio.wait({task}, timeout=self._random.uniform(0.0, 0.2))
        else:
            await self._wait(sent, task)
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
            self._connection.close()
        elif task.exception() is not None:
            raise task.exception()
        answer = self._connection.answer
        self._ledger.end(sent, answer)
        return answer

    async def _wait(self, sent: Sent, task: asyncio.Task[None]) -> None:
        """Wait for the end, at a gateway that was disturbed no longer than callers do.

        An answer that never comes from an undisturbed gateway is a finding.
        """
        await asyncio.wait({task}, timeout=PATIENCE_SECONDS)
        while not task.done():
            now, name = read_clock(), sent.gateway
            if self._trouble.touches(sent.at, now, name, f"front:{name}"):
                return
            if now > sent.at + HANG_SECONDS:
                self._ledger.find(f"{sent}: no end after {now - sent.at:.0f} s")
                return
            await asyncio.wait({task}, timeout=LOOK_SECONDS)

    async def _connect(self) -> bool:
        if self._connection.is_open:
            unasked = await self._connection.read_unasked()
            if unasked:
                self._ledger.find(f"{self._door.name}: unasked bytes: {unasked!r}")
        if self._connection.is_open:
            return True
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await self._connection.open()
        except OSError:
            await asyncio.sleep(PAUSE_SECONDS)
            return False
        return True

    def _switch(self) -> None:
        self._connection.close()
        self._door = self._random.choice(self._doors)
        self._connection = Connection(self._door.address)

    def _make_request(self, kind: str, done: int) -> tuple[Sent, bytes]:
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
        if kind in STREAMS:
            headers += self._make_prompt()
        if done:
            headers.append(f"Last-Event-Id: {done}")
        head = "\r\n".join([f"{method} {path} HTTP/1.1", *headers, "", ""])
        at, gateway = read_clock(), self._door.name
        sent = Sent(name, kind, method, path, digest(body), gateway, at, done)
        return sent, head.encode() + body

    def _make_prompt(self) -> list[str]:
        """Make the head of a prompt; long prompts and long answers come in turns."""
        is_long = self._number // 100 % 2 == 0
        prompt, most = (8000, 20) if is_long else (200, 400)
        part = self._random.randrange(8)
        return [
            "X-Model: m",
            f"X-Token-Count: {prompt},{most}",
            f"X-Prompt-Prefix: a{part}:{prompt - 100},{self._number:x}:100",
        ]


def _may_repeat(kind: str, answer: Answer) -> bool:
    if answer.status in NOT_RUN:
        return True
    if kind == "read":
        return answer.status != 200
    is_broken = answer.status == 200 and not answer.is_whole
    return kind == "draft" and (is_broken or not answer.status)
