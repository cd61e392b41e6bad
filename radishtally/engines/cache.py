"""Guess which parts of prompts an engine keeps in its memory."""

from collections import OrderedDict
from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

from radishtally.entry.terms import PromptPart


class PromptCache:
    """Follow the parts that an engine has read, the least recently used going first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def note(self, model: str, parts: Sequence[PromptPart]) -> None:
        """Take in a prompt that the engine reads."""
        for key, tokens in chain_parts(model, parts):
            self._tokens += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        self._drop_oldest()

    def resize(self, capacity: int) -> None:
        """Take how many tokens the engine keeps."""
        self._capacity = capacity
        self._drop_oldest()

    def count(self, model: str, parts: Sequence[PromptPart]) -> int:
        """Count the tokens of a prompt that need not be read again.

        A part counts only behind parts that are all kept: what it means to the model
        hangs on everything before it.
        """
        kept = 0
        for key, tokens in chain_parts(model, parts):
            if key not in self._parts:
                break
            kept += tokens
        return kept

    def clear(self) -> None:
        """Forget all, as the engine's memory was lost."""
        self._parts.clear()
        self._tokens = 0

    def _drop_oldest(self) -> None:
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def chain_parts(model: str, parts: Sequence[PromptPart]) -> list[tuple[int, int]]:
    """Give each part's tokens under a hash of it and of all parts before it."""
    chain = []
    key = xxh3_64_intdigest(model.encode())
    for part in parts:
        key = xxh3_64_intdigest(part.name.encode(), key)
        chain.append((key, part.tokens))
    return chain
