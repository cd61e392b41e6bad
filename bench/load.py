"""Send a trace's calls at their times, whatever becomes of earlier ones."""

import asyncio
import itertools
import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec
import uvloop

from bench.checks import hash_question
from bench.traces import Call, make_prompt

EXTRA_SECONDS: Final = 5.0
"""Time after its deadline that a call is still listened to."""
AWAY_SECONDS: Final = 1.0
"""Time that an entry that can't be connected to is left out, as a balancer does."""
DATA: Final = b"data: "


class Plan(msgspec.Struct):
    """Tell a load process what to do."""

    entries: list[str]
    calls: list[Call]
    retries: bool
    """Whether a refused call is sent once more after Retry-After."""
    output: str
    """File for the records."""


class Record(msgspec.Struct):
    """Hold what became of one call."""

    name: str
    at: float
    """Seconds from the start of the trace."""
    sent: float
    """Seconds from the start of the trace; late if the load process is busy."""
    deadline: float
    first: float | None = None
    """Seconds from sending to the first token."""
    took: float = 0.0
    """Seconds from sending to the end."""
    gaps: list[float] = msgspec.field(default_factory=list)
    """Seconds between the parts of the answer."""
    status: int = 0
    """0: no answer."""
    code: str = ""
    ran: str = ""
    retry_after: float | None = None
    whole: bool = False
    own: bool = False
    tries: int = 1
    error: str = ""

    @property
    def good(self) -> bool:
        """Tell whether the answer was whole, its caller's own and in time."""
        return self.whole and self.own and self.took <= self.deadline


class AnswerText(NamedTuple):
    """Hold the text of an answer and whether its end was seen."""

    text: str
    ended: bool


class Balancer:
    """Spread calls over the entries that can be connected to."""

    def __init__(self, entries: list[str]) -> None:
        self._entries = itertools.cycle(entries)
        self._number = len(entries)
        self._away: dict[str, float] = {}

    def choose(self, now: float) -> str:
        """Choose the next entry."""
        for _ in range(self._number):
            entry = next(self._entries)
            if self._away.get(entry, 0.0) <= now:
                return entry
        return next(self._entries)

    def leave_out(self, entry: str, now: float) -> None:
        """Leave out an entry for a while."""
        self._away[entry] = now + AWAY_SECONDS


class Load:
    """Send calls and record what becomes of them."""

    def __init__(self, plan: Plan, session: aiohttp.ClientSession) -> None:
        self._plan = plan
        self._session = session
        self._balancer = Balancer(plan.entries)
        self._prompts = [make_prompt(call) for call in plan.calls]
        self._starts_at = 0.0

    async def run(self, starts_at: float) -> list[Record]:
        """Send all calls, from a time of the monotonic clock on, and wait."""
        self._starts_at = starts_at
        tasks = []
        for call, prompt in zip(self._plan.calls, self._prompts, strict=True):
            delay = self._starts_at + call.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.create_task(self._follow(call, prompt)))
        return list(await asyncio.gather(*tasks))

    async def _follow(self, call: Call, prompt: str) -> Record:
        begin = time.monotonic()
        sent = begin - self._starts_at
        record = Record(call.name, call.at, sent, call.deadline)
        await self._try(call, prompt, record, begin)
        left = call.deadline - record.took
        if self._plan.retries and may_retry(record, left):
            await asyncio.sleep(record.retry_after or 0.0)
            record.tries = 2
            await self._try(call, prompt, record, begin)
        return record

    async def _try(self, call: Call, prompt: str, record: Record, begin: float) -> None:
        left = call.deadline - (time.monotonic() - begin)
        try:
            async with asyncio.timeout(left + EXTRA_SECONDS):
                await self._send(call, prompt, record, begin, left)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            record.error = repr(error)[:200]
        record.took = time.monotonic() - begin

    async def _send(
        self, call: Call, prompt: str, record: Record, begin: float, left: float
    ) -> None:
        headers = {
            "Authorization": f"Bearer {call.team}",
            "X-Request-Timeout": f"{left:.3f}",
        }
        if call.key:
            headers["Idempotency-Key"] = call.key
        body = make_body(call, prompt)
        async with await self._connect(call, headers, body) as response:
            record.status = response.status
            if response.status != 200:
                record_refusal(record, response, await response.read())
            elif call.streamed:
                answered = await read_stream(response, record, begin)
                check_answer(call, prompt, answered, record)
            else:
                text = await response.read()
                record.first = time.monotonic() - begin
                check_answer(call, prompt, read_unstreamed(call, text), record)

    async def _connect(
        self, call: Call, headers: dict[str, str], body: bytes
    ) -> aiohttp.ClientResponse:
        """Send to an entry; one that can't be connected to was not sent anything."""
        for _ in self._plan.entries:
            entry = self._balancer.choose(time.monotonic())
            try:
                return await self._session.post(
                    entry + call.path, data=body, headers=headers
                )
            except aiohttp.ClientConnectorError:
                self._balancer.leave_out(entry, time.monotonic())
        raise OSError("no entry can be connected to")


def may_retry(record: Record, left: float) -> bool:
    """Tell whether a call was refused, did not run and may still be met."""
    if record.ran != "no" or record.retry_after is None:
        return False
    return record.retry_after < left


def make_body(call: Call, prompt: str) -> bytes:
    """Make the body of a call."""
    if not call.model:
        return msgspec.json.encode({"seed": call.seed})
    return msgspec.json.encode(
        {
            "model": call.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": call.output,
            "stream": call.streamed,
        }
    )


def record_refusal(
    record: Record, response: aiohttp.ClientResponse, body: bytes
) -> None:
    """Note what a refusal says."""
    retry_after = response.headers.get("Retry-After")
    record.retry_after = float(retry_after) if retry_after else None
    record.ran = response.headers.get("X-Ran", "")
    record_error_code(record, json.loads(body))


def record_error_code(record: Record, body: Any) -> None:
    """Note the code of a refusal."""
    error = body.get("error")
    record.code = str(error.get("code", "")) if isinstance(error, dict) else "unknown"
    if not record.ran and isinstance(error, dict):
        record.ran = str(error.get("ran", ""))


async def read_stream(
    response: aiohttp.ClientResponse, record: Record, begin: float
) -> AnswerText:
    """Read server-sent events until the end, however it comes."""
    texts: list[str] = []
    last = begin
    async for line in response.content:
        if not line.startswith(DATA):
            continue
        data = line[len(DATA) :].strip()
        if data == b"[DONE]":
            return AnswerText("".join(texts), True)
        event = msgspec.json.decode(data)
        if "error" in event:
            record_error_code(record, event)
            break
        parts = [item["delta"].get("content") for item in event["choices"]]
        if not any(parts):
            continue
        now = time.monotonic()
        if record.first is None:
            record.first = now - begin
        else:
            record.gaps.append(now - last)
        last = now
        texts += [part for part in parts if part]
    return AnswerText("".join(texts), False)


def read_unstreamed(call: Call, body: bytes) -> AnswerText:
    """Read an answer that is not streamed."""
    if not call.model:
        return AnswerText("", True)
    return AnswerText(
        msgspec.json.decode(body)["choices"][0]["message"]["content"], True
    )


def check_answer(call: Call, prompt: str, answered: AnswerText, record: Record) -> None:
    """Check an answer: ended in good order, own, and nothing missing or doubled."""
    if not call.model:
        record.whole = record.own = True
        return
    words = answered.text.split()
    record.own = words[:1] == [hash_question(prompt)]
    numbers = [word.partition("-")[0] for word in words[1:]]
    wanted = [f"w{index}" for index in range(1, call.output)]
    record.whole = answered.ended and numbers == wanted


def read_records(path: Path) -> Iterator[Record]:
    """Read the records of a load process."""
    decoder = msgspec.json.Decoder(Record)
    for line in path.read_bytes().splitlines():
        yield decoder.decode(line)


async def run(plan: Plan) -> None:
    """Send a plan's calls and write the records."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout, read_bufsize=2**20
    ) as session:
        load = Load(plan, session)
        print(json.dumps({"ready": True}), flush=True)
        records = await load.run(float(sys.stdin.readline()))
    lines = b"\n".join(map(msgspec.json.encode, records))
    Path(plan.output).write_bytes(lines)


def main() -> None:
    """Read the plan, say when it is prepared, and wait for the time to begin."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    uvloop.run(run(plan))


if __name__ == "__main__":
    main()
