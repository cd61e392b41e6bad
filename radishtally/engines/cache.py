"""Guess which parts of prompts an engine keeps in its memory."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from radishtally.direct.core import CachedPart
from radishtally.links.messages import HashedPart
from radishtally.serving.terms import PromptPart


class PromptCache:
    """Follow the parts that an engine has read, the least recently used going first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._shared: set[int] = set()
        """Parts that other requests share, of those kept."""
        self._tokens = 0

    def note(self, model: str, parts: Sequence[PromptPart]) -> list[HashedPart]:
        """Take in a prompt that the engine reads; give shared parts that are new."""
        chain = hash_parts(model, parts)
        new = [part for part in chain[:-1] if part.key not in self._parts]
        self._shared.update(part.key for part in new)
        self._add(chain)
        return new

    def take(self, parts: Iterable[HashedPart]) -> None:
        """Take in shared parts that the engine was given by others."""
        parts = list(parts)
        self._shared.update(part.key for part in parts)
        self._add(parts)

    def list_shared(self) -> list[HashedPart]:
        """List the parts that requests share, the least recently used first."""
        return [
            HashedPart(key, tokens)
            for key, tokens in self._parts.items()
            if key in self._shared
        ]

    def resize(self, capacity: int) -> None:
        """Take how many tokens the engine keeps."""
        self._capacity = capacity
        self._drop_oldest()

    def count(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that need not be read again.

        A part counts only behind parts that are all kept: what it means to the model
        hangs on everything before it, and engines look for it there only.
        """
        return self.count_chain(hash_parts(model, parts))

    def count_chain(self, chain: Iterable[HashedPart]) -> int:
        """Count the same of a prompt whose parts are hashed already."""
        kept = 0
        for part in chain:
            if part.key not in self._parts:
                break
            kept += part.tokens
        return kept

    def clear(self) -> None:
        """Forget all, as the engine's memory was lost."""
        self._parts.clear()
        self._shared.clear()
        self._tokens = 0

    def _add(self, chain: Iterable[HashedPart]) -> None:
        for key, tokens in chain:
            self._tokens += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        while self._tokens > self._capacity and self._parts:
            key, tokens = self._parts.popitem(last=False)
            self._shared.discard(key)
            self._tokens -= tokens


def hash_parts(model: str, parts: Sequence[PromptPart]) -> list[HashedPart]:
    """Give a prompt's parts under hashes, by which engines name them too."""
    seed = xxh3_64_intdigest(model.encode())
    return [
        HashedPart(xxh3_64_intdigest(part.name.encode(), seed), part.tokens)
        for part in parts
    ]


def hash_kept(kept: CachedPart) -> HashedPart:
    """Give a part that an engine names under the same hash."""
    (part,) = hash_parts(kept.model, [PromptPart(kept.name, kept.tokens)])
    return part
