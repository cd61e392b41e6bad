"""Measure what is remembered of streams that callers may resume, at a gateway."""

import itertools
import tracemalloc
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from radishtally.links.codec import decode_frame, encode_frame
from radishtally.serving.origins import Origin, StreamOrigins, hash_stream

STREAMS: Final = (1_000, 100_000)
BATCHES: Final = (1, 16)
"""Streams in one message."""
HELD_SECONDS: Final = 18.0
"""A deadline of eight seconds and the time to return after it."""
ORIGINS: Final = tuple(Origin("gown-llm", "v1.2", f"i-{n:08x}") for n in range(40))


def make_book(count: int) -> StreamOrigins:
    """Remember this many streams."""
    origins = StreamOrigins()
    for number in range(count):
        origin = ORIGINS[number % len(ORIGINS)]
        until = number % HELD_SECONDS
        origins.record(hash_stream(f"{number:016x}"), origin, until, 0.0)
    origins.pop_changed(HELD_SECONDS)
    return origins


def measure_origins() -> Iterator[Figure]:
    """Measure memory and time to remember streams, to send and to find them."""
    for count in STREAMS:
        at = {"streams": count}
        tracemalloc.start()
        origins = make_book(count)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield Figure("streams, held", held, "bytes", at)
        keys = itertools.cycle([hash_stream(f"{n:016x}") for n in range(1_000)])

        def find(
            origins: StreamOrigins = origins, keys: Iterator[bytes] = keys
        ) -> Origin | None:
            return origins.find(next(keys))

        yield Figure("stream, origin found", time_calls(find), "us", at)
    for count in BATCHES:
        yield from _measure_message(count)


def _measure_message(count: int) -> Iterator[Figure]:
    """Measure a message about streams of one host, and what its receiver does."""
    at = {"streams": count}
    origins, receiver = StreamOrigins(), StreamOrigins()
    numbers = itertools.count()

    def send() -> bytes:
        for _ in range(count):
            stream = hash_stream(f"{next(numbers):016x}")
            origins.record(stream, ORIGINS[0], HELD_SECONDS, 0.0)
        return encode_frame(origins.pop_changed(0.0))

    yield Figure("streams, recorded and encoded", time_calls(send), "us", at)
    frame = send()
    yield Figure("streams, message", len(frame), "bytes", at)

    def receive() -> None:
        for message in decode_frame(frame).ok:
            receiver.merge(message, 0.0)
        receiver._streams.clear()

    yield Figure("streams, decoded and merged", time_calls(receive), "us", at)
