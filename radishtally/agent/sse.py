"""Parse the server-sent events that an engine streams."""

from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

import msgspec

from radishtally.decoding import decode
from radishtally.numbers import Count

DATA_PREFIX: Final = b"data:"
DONE_DATA: Final = b"[DONE]"


class Delta(msgspec.Struct):
    """Hold the text that an event adds to a chat answer."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Hold the one choice that is requested from the engine."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Hold the token counts that the engine reports."""

    prompt_tokens: Count = 0
    completion_tokens: Count = 0


class EngineEvent(msgspec.Struct):
    """Hold the decoded data of one event."""

    choices: list[Choice] = []
    usage: Usage | None = None
    error: Any = None


class Part(NamedTuple):
    """Describe what one event adds to the answer."""

    text: str
    finish_reason: str | None
    usage: Usage | None


class Done(NamedTuple):
    """Mark the regular end of the stream."""


_DECODER: Final = msgspec.json.Decoder(EngineEvent)


async def read_parts(lines: AsyncIterator[bytes]) -> AsyncIterator[Part | Done]:
    """Parse the events of a stream; raise MsgspecError on a malformed event."""
    async for line in lines:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == DONE_DATA:
            yield Done()
            return
        read = decode(_DECODER, data)
        if read.is_error():
            raise msgspec.ValidationError(read.error)
        event = read.ok
        if event.error is not None:
            raise msgspec.ValidationError(f"engine error: {event.error}")
        yield _read_part(event)


def _read_part(event: EngineEvent) -> Part:
    if not event.choices:
        return Part("", None, event.usage)
    choice = event.choices[0]
    text = choice.text or (choice.delta.content if choice.delta else None) or ""
    return Part(text, choice.finish_reason, event.usage)
