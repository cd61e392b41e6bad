"""Parse and build the OpenAI bodies of the model engine."""

import hashlib
import time
from typing import Annotated, Any, Final, NamedTuple, NotRequired, TypedDict

import msgspec

DEFAULT_MAX_TOKENS: Final = 64
DONE: Final = b"data: [DONE]\n\n"

Positive = Annotated[int, msgspec.Meta(ge=1)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class Message(TypedDict):
    """Represent one message of a chat."""

    role: str
    content: str


class StreamOptions(TypedDict):
    """Select the contents of a stream."""

    include_usage: NotRequired[bool]


class KvTransfer(TypedDict):
    """Select imported KV to use, and whether to keep the request's own KV."""

    handle: NotRequired[str]
    export: NotRequired[bool]


class Body(TypedDict):
    """Represent the fields common to both kinds of request."""

    model: str
    max_tokens: NotRequired[Positive | None]
    stream: NotRequired[bool | None]
    stream_options: NotRequired[StreamOptions | None]
    priority: NotRequired[int]
    kv_transfer_params: NotRequired[KvTransfer | None]
    stop_after: NotRequired[NotNegative]


class ChatBody(Body):
    """Request a chat completion."""

    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    continue_final_message: NotRequired[bool]


class CompletionBody(Body):
    """Request a text completion."""

    prompt: str
    continue_from: NotRequired[NotNegative]


class Prompt(NamedTuple):
    """Represent a prompt and the number of answer tokens that it already contains."""

    words: list[str]
    seed: str
    start: int


class Usage(NamedTuple):
    """Count the tokens of an answer."""

    prompt: int
    completion: int
    cached: int


def read_chat(body: ChatBody) -> Prompt:
    """Build the prompt from the messages of a chat."""
    messages = body["messages"]
    words = [word for message in messages for word in message["content"].split()]
    users = [message["content"] for message in messages if message["role"] == "user"]
    seed = users[-1] if users else ""
    if not body.get("continue_final_message"):
        return Prompt(words, seed, 0)
    if messages[-1]["role"] != "assistant":
        raise ValueError("continue_final_message needs the assistant's message last")
    return Prompt(words, seed, len(messages[-1]["content"].split()))


def read_completion(body: CompletionBody) -> Prompt:
    """Build the prompt from a text and the part of the answer that follows it."""
    length = body.get("continue_from", 0)
    if length > len(body["prompt"]):
        raise ValueError("continue_from is longer than the prompt")
    end = len(body["prompt"]) - length
    seed, part = body["prompt"][:end], body["prompt"][end:].split()
    return Prompt(seed.split() + part, seed, len(part))


def build_token(seed_digest: str, index: int) -> str:
    """Build the token at this index of the answer."""
    if index == 0:
        return seed_digest
    return f" w{index}-{seed_digest[index % len(seed_digest)]}"


def digest_seed(seed: str) -> str:
    """Hash the text that determines the whole answer."""
    return hashlib.sha256(seed.encode()).hexdigest()


class Writer:
    """Build the bodies and events of an answer."""

    def __init__(self, answer_id: str, model: str, chat: bool) -> None:
        self._chat = chat
        self._base = {"id": answer_id, "created": int(time.time()), "model": model}
        self._first = True

    def build_event(self, text: str, finish_reason: str | None) -> bytes:
        """Build the event of one token."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            role = {"role": "assistant"} if self._first else {}
            choice["delta"] = {**role, "content": text}
        else:
            choice["text"] = text
        self._first = False
        return self._encode_event({"choices": [choice]})

    def build_usage_event(self, usage: Usage) -> bytes:
        """Build the last event of a stream, with its usage."""
        return self._encode_event({"choices": [], "usage": _build_usage(usage)})

    def build_answer(self, text: str, finish_reason: str, usage: Usage) -> bytes:
        """Build the body of a non-streamed answer."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        more = {"object": kind, "choices": [choice], "usage": _build_usage(usage)}
        return msgspec.json.encode({**self._base, **more})

    def _encode_event(self, data: dict[str, Any]) -> bytes:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        body = msgspec.json.encode({**self._base, "object": kind, **data})
        return b"data: " + body + b"\n\n"


def _build_usage(usage: Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": {"cached_tokens": usage.cached},
    }
