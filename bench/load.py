"""Send a trace's calls at their scheduled times (open loop) and record the answers."""

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

GRACE_SECONDS: Final = 5.0
"""Time after its deadline at which a call without an answer is abandoned."""
EXCLUSION_SECONDS: Final = 1.0
"""Time for which an entry is excluded after a failed connect, as a balancer does."""
DATA_PREFIX: Final = b"data: "


class Plan(msgspec.Struct):
    """Describe the calls that a load process sends, and where it sends them."""

    entries: list[str]
    calls: list[Call]
    retries: bool
    """Whether a refused call is retried once after its Retry-After."""
    output: str
    """Path of the file that the records are written to."""


class Record(msgspec.Struct):
    """Record the outcome of one call."""

    name: str
    at: float
    """Seconds from the start of the trace."""
    sent: float
    """Seconds from the start of the trace; later than `at` on a busy load process."""
    deadline: float
    first: float | None = None
    """Seconds from sending to the first token."""
    took: float = 0.0
    """Seconds from sending to the end."""
    gaps: list[float] = msgspec.field(default_factory=list)
    """Seconds between consecutive parts of a streamed answer."""
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
        """Return whether the answer was complete, for this prompt and in time."""
        return self.whole and self.own and self.took <= self.deadline


class AnswerText(NamedTuple):
    """Hold the text of an answer and whether the answer ended properly."""

    text: str
    ended: bool


class Balancer:
    """Distribute calls round robin over the entries that accept connections."""

    def __init__(self, entries: list[str]) -> None:
        self._entries = itertools.cycle(entries)
        self._entry_count = len(entries)
        self._excluded_until: dict[str, float] = {}

    def choose(self, now: float) -> str:
        """Return the next entry that is not excluded, or any if all are."""
        for _ in range(self._entry_count):
            entry = next(self._entries)
            if self._excluded_until.get(entry, 0.0) <= now:
                return entry
        return next(self._entries)

    def exclude(self, entry: str, now: float) -> None:
        """Exclude an entry for `EXCLUSION_SECONDS`."""
        self._excluded_until[entry] = now + EXCLUSION_SECONDS


class Load:
    """Send the calls of a plan and record their outcomes."""

    def __init__(self, plan: Plan, session: aiohttp.ClientSession) -> None:
        self._plan = plan
        self._session = session
        self._balancer = Balancer(plan.entries)
        self._prompts = [make_prompt(call) for call in plan.calls]
        self._starts_at = 0.0

    async def run(self, starts_at: float) -> list[Record]:
        """Send all calls and wait for them.

        `starts_at` is the monotonic time of the start of the trace.
        """
        self._starts_at = starts_at
        tasks = []
        for call, prompt in zip(self._plan.calls, self._prompts, strict=True):
            delay = self._starts_at + call.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.create_task(self._run_call(call, prompt)))
        return list(await asyncio.gather(*tasks))

    async def _run_call(self, call: Call, prompt: str) -> Record:
        begin = time.monotonic()
        sent = begin - self._starts_at
        record = Record(call.name, call.at, sent, call.deadline)
        await self._attempt(call, prompt, record, begin)
        remaining = call.deadline - record.took
        if self._plan.retries and may_retry(record, remaining):
            await asyncio.sleep(record.retry_after or 0.0)
            record.tries = 2
            await self._attempt(call, prompt, record, begin)
        return record

    async def _attempt(
        self, call: Call, prompt: str, record: Record, begin: float
    ) -> None:
        remaining = call.deadline - (time.monotonic() - begin)
        try:
            async with asyncio.timeout(remaining + GRACE_SECONDS):
                await self._send(call, prompt, record, begin, remaining)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            record.error = repr(error)[:200]
        record.took = time.monotonic() - begin

    async def _send(
        self, call: Call, prompt: str, record: Record, begin: float, remaining: float
    ) -> None:
        headers = {
            "Authorization": f"Bearer {call.team}",
            "X-Request-Timeout": f"{remaining:.3f}",
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
        """Post to an entry; try another if the connect fails, as nothing was sent."""
        for _ in self._plan.entries:
            entry = self._balancer.choose(time.monotonic())
            try:
                return await self._session.post(
                    entry + call.path, data=body, headers=headers
                )
            except aiohttp.ClientConnectorError:
                self._balancer.exclude(entry, time.monotonic())
        raise OSError("no entry can be connected to")


def may_retry(record: Record, remaining: float) -> bool:
    """Return whether a refused call did not run and can be retried in its deadline."""
    if record.ran != "no" or record.retry_after is None:
        return False
    return record.retry_after < remaining


def make_body(call: Call, prompt: str) -> bytes:
    """Build the JSON body of a call."""
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
    """Record the Retry-After, the X-Ran header and the error code of a refusal."""
    retry_after = response.headers.get("Retry-After")
    record.retry_after = float(retry_after) if retry_after else None
    record.ran = response.headers.get("X-Ran", "")
    record_error_code(record, json.loads(body))


def record_error_code(record: Record, body: Any) -> None:
    """Record the code of an error body and, if not known yet, whether the call ran."""
    error = body.get("error")
    record.code = str(error.get("code", "")) if isinstance(error, dict) else "unknown"
    if not record.ran and isinstance(error, dict):
        record.ran = str(error.get("ran", ""))


async def read_stream(
    response: aiohttp.ClientResponse, record: Record, begin: float
) -> AnswerText:
    """Read server-sent events until `[DONE]`, an error event or the end of the body."""
    texts: list[str] = []
    last = begin
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
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
    """Decode an answer that is not streamed."""
    if not call.model:
        return AnswerText("", True)
    return AnswerText(
        msgspec.json.decode(body)["choices"][0]["message"]["content"], True
    )


def check_answer(call: Call, prompt: str, answered: AnswerText, record: Record) -> None:
    """Check that an answer is complete, for its prompt and has each token once."""
    if not call.model:
        record.whole = record.own = True
        return
    words = answered.text.split()
    record.own = words[:1] == [hash_question(prompt)]
    numbers = [word.partition("-")[0] for word in words[1:]]
    expected = [f"w{index}" for index in range(1, call.output)]
    record.whole = answered.ended and numbers == expected


def read_records(path: Path) -> Iterator[Record]:
    """Yield the records that a load process has written."""
    decoder = msgspec.json.Decoder(Record)
    for line in path.read_bytes().splitlines():
        yield decoder.decode(line)


async def run(plan: Plan) -> None:
    """Report readiness, read the start time, send the calls and write the records."""
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
    """Run the plan whose path is the first command-line argument."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)
    uvloop.run(run(plan))


if __name__ == "__main__":
    main()
