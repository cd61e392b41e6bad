"""Read what an engine streams."""

from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

import msgspec

DATA: Final = b"data:"
DONE: Final = b"[DONE]"


class Delta(msgspec.Struct):
    """Hold the part of an engine's event that a chat answer grows by."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Hold the one choice that is asked for."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Hold the engine's count of tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class EngineEvent(msgspec.Struct):
    """Hold what an engine's event says."""

    choices: list[Choice] = []
    usage: Usage | None = None
    error: Any = None


class Part(NamedTuple):
    """Give one step of an answer."""

    text: str
    finish_reason: str | None
    usage: Usage | None


class Done(NamedTuple):
    """Say that the engine has closed the answer in good order."""


_DECODER: Final = msgspec.json.Decoder(EngineEvent)


async def read_parts(lines: AsyncIterator[bytes]) -> AsyncIterator[Part | Done]:
    """Read the events of a stream; one that is no event raises MsgspecError."""
    async for line in lines:
        if not line.startswith(DATA):
            continue
        data = line[len(DATA) :].strip()
        if data == DONE:
            yield Done()
            return
        event = _DECODER.decode(data)
        if event.error is not None:
            raise msgspec.ValidationError(f"engine error: {event.error}")
        yield _read_part(event)


def _read_part(event: EngineEvent) -> Part:
    if not event.choices:
        return Part("", None, event.usage)
    choice = event.choices[0]
    text = choice.text or (choice.delta.content if choice.delta else None) or ""
    return Part(text, choice.finish_reason, event.usage)
