"""Represent the requests of a stand-in engine and their KV."""

import asyncio
from collections import OrderedDict
from typing import Final, NamedTuple

from standins.batch import Sequence, hash_blocks, hash_prefix
from standins.completions import (
    DEFAULT_MAX_TOKENS,
    Body,
    Prompt,
    Usage,
    build_token,
    digest_seed,
)

MAX_KEPT_KV: Final = 256


class Kv(NamedTuple):
    """Represent the KV of a prefix by a digest and a length."""

    digest: str
    tokens: int


class Update(NamedTuple):
    """Represent a new token, or the end of a request, for its handler."""

    text: str = ""
    finish_reason: str | None = None
    lost: bool = False


class Job:
    """Represent a request and its sequence in the batch."""

    def __init__(self, request_id: str, body: Body, prompt: Prompt) -> None:
        self.request_id = request_id
        self.model = body["model"]
        self.prompt = prompt
        self.digest = digest_seed(prompt.seed)
        self.keeps_kv = (body.get("kv_transfer_params") or {}).get("export", False)
        self.updates: asyncio.Queue[Update] = asyncio.Queue()
        self.ended = False
        self.started = False
        max_tokens = body.get("max_tokens") or DEFAULT_MAX_TOKENS
        left = max(0, body.get("stop_after", max_tokens + prompt.start) - prompt.start)
        self.natural_end = "stop_after" in body and left <= max_tokens
        prefixes = hash_blocks(self.model, prompt.words)
        self.sequence = Sequence(
            prefixes, len(prompt.words), min(max_tokens, left), body.get("priority", 0)
        )

    @property
    def usage(self) -> Usage:
        """Count the tokens so far."""
        sequence = self.sequence
        return Usage(sequence.prompt_tokens, sequence.generated, sequence.cached_tokens)

    @property
    def done(self) -> bool:
        """Tell whether the last token was generated."""
        return self.sequence.generated == self.sequence.max_tokens

    def push_token(self) -> None:
        """Send the newest token to the handler."""
        index = self.prompt.start + self.sequence.generated - 1
        reason = ("stop" if self.natural_end else "length") if self.done else None
        self.updates.put_nowait(Update(build_token(self.digest, index), reason))

    def snapshot_kv(self) -> Kv:
        """Describe the KV that the engine has computed for this request."""
        start, generated = self.prompt.start, self.sequence.generated
        made = [build_token(self.digest, start + i).strip() for i in range(generated)]
        prompt_end = self.sequence.kv_tokens - generated
        words = self.prompt.words[:prompt_end] + made
        return Kv(hash_prefix(self.model, words), len(words))


def keep_kv(store: OrderedDict[str, Kv], name: str, kv: Kv) -> None:
    """Store a KV and evict the oldest one beyond the limit."""
    store[name] = kv
    if len(store) > MAX_KEPT_KV:
        store.popitem(last=False)
