"""Requests of a stand-in engine, and the KV that they make."""

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

KEPT_KV: Final = 256


class Kv(NamedTuple):
    """Stand for the KV of a prefix."""

    digest: str
    tokens: int


class Update(NamedTuple):
    """Tell a request's handler of a new token or of the end."""

    text: str = ""
    finish_reason: str | None = None
    lost: bool = False


class Job:
    """Tie a request to its sequence in the batch."""

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
        """Tell whether the last token is there."""
        return self.sequence.generated == self.sequence.max_tokens

    def push_token(self) -> None:
        """Hand the newest token to the handler."""
        index = self.prompt.start + self.sequence.generated - 1
        reason = ("stop" if self.natural_end else "length") if self.done else None
        self.updates.put_nowait(Update(build_token(self.digest, index), reason))

    def snapshot_kv(self) -> Kv:
        """Describe the KV that the engine holds for this request."""
        start, generated = self.prompt.start, self.sequence.generated
        made = [build_token(self.digest, start + i).strip() for i in range(generated)]
        prompt_end = self.sequence.kv_tokens - generated
        words = self.prompt.words[:prompt_end] + made
        return Kv(hash_prefix(self.model, words), len(words))


def keep(store: OrderedDict[str, Kv], name: str, kv: Kv) -> None:
    """Remember a KV and forget the oldest beyond the limit."""
    store[name] = kv
    if len(store) > KEPT_KV:
        store.popitem(last=False)
