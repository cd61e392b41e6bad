"""Parse requests and format answers of the OpenAI API."""

from typing import Any, Final, NamedTuple

import msgspec

from radishtally.decoding import DECODE_ERRORS
from radishtally.links.messages import CHAT, COMPLETION, Finished
from radishtally.numbers import Count
from radishtally.outcome import Error, Ok, Refusal, Result

DEFAULT_MAX_TOKENS: Final = 256
CODE_BAD_REQUEST: Final = "invalid_request"
DONE_EVENT: Final = b"data: [DONE]\n\n"
UNSUPPORTED_PARAMETERS: Final = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "audio",
)
"""Parameters whose answers hold more than text, which the entry can't forward."""

ERROR_TYPES: Final = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


class ChatMessage(msgspec.Struct):
    """Hold one message; content that is not text is left to the engine."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """Hold the options of a streamed answer."""

    include_usage: bool = False


class GenerationBody(msgspec.Struct):
    """Hold the fields of a request that the entry itself reads."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | None = None
    max_tokens: Count | None = None
    max_completion_tokens: Count | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Count | None = None


class Generation(NamedTuple):
    """Describe a validated request for generated text."""

    kind: str
    model: str
    text: str
    """Prompt as plain text; used for the token estimate and the prefix hash."""
    max_tokens: int | None
    streamed: bool
    usage_wanted: bool


class AnswerMetadata(NamedTuple):
    """Hold the fields that all events of one answer share."""

    request: str
    kind: str
    model: str
    created: int


_DECODER: Final = msgspec.json.Decoder(GenerationBody)


def parse_generation(body: bytes, kind: str) -> Result[Generation, Refusal]:
    """Parse and validate the body of a chat or completion request."""
    try:
        read = _DECODER.decode(body)
        raw_fields = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        return Error(Refusal(400, CODE_BAD_REQUEST, f"body: {error}"))
    fault = _find_body_error(read, raw_fields, kind)
    if fault:
        return Error(Refusal(400, CODE_BAD_REQUEST, fault))
    text = _join_messages(read.messages) if kind == CHAT else read.prompt
    token_limit = read.max_completion_tokens or read.max_tokens
    usage = read.stream_options is not None and read.stream_options.include_usage
    return Ok(Generation(kind, read.model, text, token_limit, read.stream, usage))


def _find_body_error(
    read: GenerationBody, raw_fields: dict[str, Any], kind: str
) -> str:
    if kind == CHAT and not read.messages:
        return "messages: expected at least one message"
    if kind == COMPLETION and not read.prompt:
        return "prompt: expected a non-empty string"
    if read.n not in (None, 1):
        return "n: expected 1, several answers per request are not supported"
    token_limit = read.max_completion_tokens or read.max_tokens
    if token_limit is not None and token_limit < 1:
        return "max_tokens: expected at least 1"
    unsupported = [name for name in UNSUPPORTED_PARAMETERS if raw_fields.get(name)]
    return f"{unsupported[0]}: not supported" if unsupported else ""


def _join_messages(messages: list[ChatMessage]) -> str:
    return "\n".join(_read_text(message) for message in messages)


def _read_text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    parts = message.content or []
    return "\n".join(str(part.get("text", "")) for part in parts)


def format_whole(answer: AnswerMetadata, body: bytes, end: Finished) -> bytes:
    """Format a complete answer that is not streamed."""
    text = body.decode()
    choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
    if answer.kind == CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    whole = _format_frame(answer, streamed=False)
    whole["choices"] = [choice]
    whole["usage"] = _format_usage(end)
    return msgspec.json.encode(whole)


def format_part(answer: AnswerMetadata, text: str, first: bool) -> bytes:
    """Format one event of a streamed answer."""
    frame = _format_frame(answer, streamed=True)
    frame["choices"] = [_format_choice(answer, text, None, first)]
    return format_event(frame)


def format_end(answer: AnswerMetadata, end: Finished, usage_wanted: bool) -> bytes:
    """Format the events that end a complete streamed answer."""
    frame = _format_frame(answer, streamed=True)
    frame["choices"] = [_format_choice(answer, "", end.finish_reason, False)]
    events = format_event(frame)
    if usage_wanted:
        counts = _format_frame(answer, streamed=True)
        counts["choices"] = []
        counts["usage"] = _format_usage(end)
        events += format_event(counts)
    return events + DONE_EVENT


def format_refusal(refusal: Refusal) -> dict[str, Any]:
    """Format a refusal as an error object of the OpenAI API."""
    usual = "invalid_request_error" if refusal.status < 500 else "server_error"
    return {
        "error": {
            "message": refusal.message,
            "type": ERROR_TYPES.get(refusal.status, usual),
            "param": None,
            "code": refusal.code,
            "ran": refusal.ran,
            "retry_after": refusal.retry_after,
        }
    }


def format_event(value: dict[str, Any]) -> bytes:
    """Format one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _format_frame(answer: AnswerMetadata, streamed: bool) -> dict[str, Any]:
    name = "text_completion"
    if answer.kind == CHAT:
        name = "chat.completion.chunk" if streamed else "chat.completion"
    return {
        "id": answer.request,
        "object": name,
        "created": answer.created,
        "model": answer.model,
    }


def _format_choice(
    answer: AnswerMetadata, text: str, reason: str | None, first: bool
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if answer.kind != CHAT:
        choice["text"] = text
        return choice
    choice["delta"] = {"content": text} if text else {}
    if first:
        choice["delta"]["role"] = "assistant"
    return choice


def _format_usage(end: Finished) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.output_tokens,
        "total_tokens": end.prompt_tokens + end.output_tokens,
    }
