"""Measure the cost of a routing choice and of the entry's dispatch core."""

import itertools
import random
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from bench.capacity.peer import make_load
from radishtally.links.messages import (
    CHAT,
    WHOLE,
    Accepted,
    Chunk,
    Finished,
    Hello,
    Work,
)
from radishtally.routing.core import Candidate, WorkSpec, choose_host
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event

HOSTS: Final = (9, 100, 350, 1_400)
POOLS: Final = 34
BODY: Final = b"x" * 4_000


def make_work(request: str, upstream: str) -> Work:
    """Make a work item of typical size."""
    return Work(
        request, "team", upstream, CHAT, BODY, "gown-llm", prompt_tokens=900,
        max_tokens=229, prefix=hash(request),
    )  # fmt: skip


def make_core(hosts: int, pools: int) -> DispatchCore:
    """Make an entry's core with this many live hosts that have reported their load."""
    core = DispatchCore("entry-1", "place-0", random.Random(1))
    for number in range(hosts):
        place, upstream = f"place-{number % 8}", f"pool-{number % pools}"
        add_host(core, f"host-{number}", place, upstream)
    return core


def add_host(core: DispatchCore, host: str, place: str, upstream: str) -> None:
    """Add a host that is live, linked and has reported its load."""
    core.set_host(host, place, upstream, True)
    handle_event(events.LinkUp(Hello(host, place, "agent", "one", 1)), core, 0.0)
    handle_event(events.Received(host, make_load(host)), core, 0.0)


def open_requests(core: DispatchCore, count: int) -> list[tuple[str, str]]:
    """Open this many accepted requests; return their ids and hosts."""
    opened = []
    for number in range(count):
        request = f"{number:032}"
        work = make_work(request, f"pool-{number % POOLS}")
        handle_event(events.Arrived(work, 30.0, True), core, 0.0)
        host = core.requests[request].host
        message = Accepted(request, 1, 0.1)
        handle_event(events.Received(host, message), core, 0.0)
        opened.append((request, host))
    return opened


def time_choice(hosts: int) -> float:
    """Measure the microseconds of one choice among this many hosts."""
    candidates = [
        Candidate(f"host-{n}", f"place-{n % 8}", make_load(f"host-{n}"), 0.5, 3, 2)
        for n in range(hosts)
    ]
    numbers = itertools.count()

    def choose_once() -> None:
        spec = WorkSpec(WHOLE, next(numbers), "gown-llm", "", 900, 229, 30.0, "place-0")
        choose_host(spec, candidates, ())

    return time_calls(choose_once)


def time_request(hosts: int, pools: int) -> float:
    """Measure the microseconds that the core takes for one request, arrival to end."""
    core = make_core(hosts, pools)
    numbers = itertools.count()

    def run_once() -> None:
        request = str(next(numbers))
        handle_event(
            events.Arrived(make_work(request, "pool-0"), 30.0, True), core, 0.0
        )
        host = core.requests[request].host
        end = Finished(request, 1, 0, 0xEF46DB3751D8E999, 200, "stop", 900, 0)
        for message in (Accepted(request, 1, 0.1), end):
            handle_event(events.Received(host, message), core, 0.0)

    return time_calls(run_once)


def time_chunk(open_count: int) -> float:
    """Measure the microseconds of one chunk with this many open requests."""
    core = make_core(1_400, POOLS)
    opened = itertools.cycle(open_requests(core, open_count))

    def handle_chunk() -> None:
        request, host = next(opened)
        offset = len(core.requests[request].received)
        message = Chunk(request, 1, offset, b"word ", 1)
        handle_event(events.Received(host, message), core, 0.0)
        core.next_wake()

    return time_calls(handle_chunk)


def measure_routing() -> Iterator[Figure]:
    """Measure choices, requests and chunks in the entry's core."""
    for hosts in HOSTS:
        at = {"hosts": hosts}
        yield Figure("routing choice in one pool", time_choice(hosts), "us", at)
    for hosts in HOSTS:
        at = {"hosts": hosts, "pools": 1}
        yield Figure("core, request", time_request(hosts, 1), "us", at)
    at = {"hosts": 1_400, "pools": POOLS}
    yield Figure("core, request", time_request(1_400, POOLS), "us", at)
    for count in (1, 60, 600):
        at = {"open_requests": count}
        yield Figure("core, chunk", time_chunk(count), "us", at)
