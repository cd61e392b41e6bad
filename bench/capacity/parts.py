"""Measure what a gateway remembers of prompt parts, and its messages about them."""

import itertools
import tracemalloc
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from radishtally.links.codec import decode_frame, encode_frame
from radishtally.serving.prompt_suspects import (
    MAX_PARTS,
    OpenRun,
    PromptSuspects,
    hash_parts,
)
from radishtally.serving.terms import PromptPart

RUNS: Final = (1, 64)
"""Runs that are open at a host when it ends."""
COMMON: Final = 1
"""Key of the part that all of them have in common."""


def make_runs(count: int) -> list[OpenRun]:
    """Make runs whose prompts have a common part and one of few requests."""
    return [
        OpenRun(f"{number:032x}", frozenset((COMMON, (number + 1) << 40)), 0.0, 0.0)
        for number in range(count)
    ]


def measure_parts() -> Iterator[Figure]:
    """Measure memory and time for parts that are served, and for an end of a host."""
    tracemalloc.start()
    served = PromptSuspects()
    for number in range(MAX_PARTS):
        served.record_served(frozenset((number << 40,)), 0.0)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure("parts, served", held, "bytes", {"parts": MAX_PARTS})
    parts = [PromptPart(f"{number:012x}", 100) for number in range(3)]

    def serve() -> None:
        served.record_served(hash_parts("gown-llm", parts), 0.0)

    yield Figure("parts of an answer, recorded", time_calls(serve), "us", {})
    for count in RUNS:
        yield from _measure_end(count)


def _measure_end(count: int) -> Iterator[Figure]:
    """Measure the end of a host, and the message about it."""
    at = {"runs": count}
    runs, numbers = make_runs(count), itertools.count()

    def send() -> bytes:
        sender = PromptSuspects()
        host = f"i-{next(numbers):08x}"
        for run in runs:
            sender.record_end(host, run, 1.0)
        return encode_frame(sender.pop_messages(1.0))

    yield Figure("host's end, recorded and encoded", time_calls(send), "us", at)
    frame = send()
    yield Figure("host's end, message", len(frame), "bytes", at)

    def receive() -> None:
        receiver = PromptSuspects()
        for message in decode_frame(frame).ok:
            receiver.merge(message, 1.0)

    yield Figure("host's end, decoded and merged", time_calls(receive), "us", at)
