"""Measure the memory for each host, request, answer and team that is held."""

import gc
import itertools
import random
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

from bench.capacity.admission import LONG_SECONDS, make_core
from bench.capacity.figures import Figure
from bench.capacity.members import make_membership
from bench.capacity.routing import add_host, make_work
from bench.capacity.samples import make_folder
from radishtally.agent import events as agent_events
from radishtally.agent.core import handle_event as handle_agent_event
from radishtally.configuration.core import merge_files
from radishtally.entry.callers import Directory
from radishtally.entry.explain import RequestSteps
from radishtally.links.messages import Cancel, Offer
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.replies import Replies

ANSWER: Final = b"word " * 229


def measure_bytes(build: Callable[[], object]) -> float:
    """Measure the bytes retained by the object that a function builds."""
    build()
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return used


def build_hosts(count: int) -> object:
    """Build an entry's membership and dispatch state for this many hosts."""
    core = DispatchCore("entry-1", "place-0", random.Random(1))
    membership = make_membership(count)
    for name, member in membership.members.items():
        add_host(core, name, member.place, member.upstream)
    return membership, core


def build_requests(count: int) -> object:
    """Build an entry's open requests, each with half an answer of 229 tokens."""
    core = DispatchCore("entry-1", "place-0", random.Random(1))
    add_host(core, "host-1", "place-0", "pool-0")
    steps, replies = RequestSteps(), Replies()
    for number in range(count):
        name = f"{number:032}"
        body = bytes(bytearray(4_000))
        work = make_work(name, "pool-0")._replace(body=body)
        for command in handle_event(events.Arrived(work, 30.0, True), core, 0.0):
            if isinstance(command, events.RecordStep):
                steps.record(name, command.text)
        replies.open(name)
        core.requests[name].received += ANSWER[: len(ANSWER) // 2]
    return core, steps, replies


def build_steps(count: int) -> object:
    """Build the recorded steps of ended requests."""
    steps = RequestSteps()
    for number in range(count):
        for step in range(4):
            text = f"attempt {step} accepted by host-{number}"
            steps.record(f"{number:032}", text)
    return steps


def build_answers(count: int) -> object:
    """Build an agent's retained answers of 229 tokens."""
    core = make_core(0, count)
    numbers = itertools.count()
    for _ in range(count):
        name = f"{next(numbers):032}"
        body = bytes(bytearray(4_000))
        work = make_work(name, "pool-0")._replace(body=body, key=f"key-{name}")
        offer = Offer(work, 1, LONG_SECONDS)
        handle_agent_event(agent_events.Received("entry-1", offer), core, 0.0)
        done = agent_events.Produced(name, 1, ANSWER, 229)
        handle_agent_event(done, core, 0.0)
        end = agent_events.Completed(name, 1, 200, "stop", 900, 229, (), 1.0)
        handle_agent_event(end, core, 0.0)
    return core


def build_tombstones(count: int) -> object:
    """Build an agent's tombstones, which refuse late offers of cancelled requests."""
    core = make_core(0, 1)
    for number in range(count):
        cancel = agent_events.Received("entry-1", Cancel(f"{number:032}", 1))
        handle_agent_event(cancel, core, 0.0)
    return core


def build_teams(count: int) -> object:
    """Build the applied configuration with this many teams."""
    files = make_folder(count, max(1, count // 100), 1, 8)
    configuration = merge_files(files).ok
    return files, configuration, Directory(configuration)


def measure_memory() -> Iterator[Figure]:
    """Measure the memory per item as the difference between two counts of items."""
    builds = {
        "host known": (build_hosts, 1_000),
        "request open, body of 4 kB": (build_requests, 1_000),
        "request remembered for explain": (build_steps, 1_000),
        "retained answer of 1.1 kB, body of 4 kB": (build_answers, 500),
        "tombstone": (build_tombstones, 1_000),
        "team": (build_teams, 2_000),
    }
    for name, (build, count) in builds.items():
        base = measure_bytes(lambda build=build, count=count: build(count // 2))
        full = measure_bytes(lambda build=build, count=count: build(count))
        each = (full - base) / (count - count // 2) / 1e3
        yield Figure(f"memory, {name}", each, "kB", {"count": count})
