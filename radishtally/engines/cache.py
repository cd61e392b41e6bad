"""Model of the prompt parts that an engine's prefix cache holds."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from radishtally.direct.core import CachedPart
from radishtally.links.gateway_messages import HashedPart
from radishtally.serving.terms import PromptPart


class PromptCache:
    """Model an engine's prefix cache with least-recently-used eviction."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._shared: set[int] = set()
        """Cached parts that several requests share."""
        self._tokens = 0

    def record_prompt(
        self, model: str, parts: Sequence[PromptPart]
    ) -> list[HashedPart]:
        """Record a prompt that the engine prefills; return its new shared parts."""
        chain = hash_parts(model, parts)
        new = [part for part in chain[:-1] if part.key not in self._parts]
        self._shared.update(part.key for part in new)
        self._add(chain)
        return new

    def record_parts(self, parts: Iterable[HashedPart]) -> None:
        """Record shared parts that the engine received through other gateways."""
        parts = list(parts)
        self._shared.update(part.key for part in parts)
        self._add(parts)

    def list_shared(self) -> list[HashedPart]:
        """List the cached shared parts, least recently used first."""
        return [
            HashedPart(key, tokens)
            for key, tokens in self._parts.items()
            if key in self._shared
        ]

    def resize(self, capacity: int) -> None:
        """Set the number of tokens that the engine can cache."""
        self._capacity = capacity
        self._drop_oldest()

    def count_cached_tokens(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that need no prefill.

        A part counts only if all parts before it are cached too: its KV entries depend
        on everything before it, and engines look up whole prefixes only.
        """
        return self.count_cached_chain(hash_parts(model, parts))

    def count_cached_chain(self, chain: Iterable[HashedPart]) -> int:
        """Count the cached tokens of a prompt whose parts are already hashed."""
        cached_tokens = 0
        for part in chain:
            if part.key not in self._parts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def clear(self) -> None:
        """Drop all parts, because the engine lost its cache."""
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
    """Hash the names of a prompt's parts, with the model name as the seed."""
    seed = xxh3_64_intdigest(model.encode())
    return [
        HashedPart(xxh3_64_intdigest(part.name.encode(), seed), part.tokens)
        for part in parts
    ]


def hash_cached_part(cached: CachedPart) -> HashedPart:
    """Hash a part that an engine reported as cached."""
    (part,) = hash_parts(cached.model, [PromptPart(cached.name, cached.tokens)])
    return part
