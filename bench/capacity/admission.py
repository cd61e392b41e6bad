"""Cost of an offer at the agent."""

import itertools
from collections.abc import Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from bench.capacity.routing import make_work
from radishtally.agent import events
from radishtally.agent.core import AgentCore, handle_event
from radishtally.agent.retention import EndedAttempts
from radishtally.limits.queue import Job, Rates, Running, WorkQueue
from radishtally.links.messages import Ack, Cancel, Offer

SLOTS: Final = 140
"""195,000 open streams at the peak over 1,400 servers."""
DEPTHS: Final = (0, 16, 64)
RATES: Final = Rates(8_000.0, 0.061, SLOTS)
LONG_SECONDS: Final = 1e6


def make_job(number: int, deadline: float = LONG_SECONDS) -> Job:
    """Make a job of the usual size."""
    return Job(f"{number}", 1, f"team-{number % 7}", 0, 1.0, 900, 229, deadline, 0.0)


def time_admission(depth: int, deadline: float) -> float:
    """Give the microseconds of admitting a job to a queue, or refusing it."""
    queue = WorkQueue()
    running = [Running(make_job(-n - 1), 0.0, 0, 100) for n in range(SLOTS)]
    for number in range(depth):
        queue.admit(make_job(number), RATES, running, 0.0)
    numbers = itertools.count(depth)

    def admit_once() -> None:
        number = next(numbers)
        queue.admit(make_job(number, deadline), RATES, running, 0.0)
        queue.remove(str(number), 1)

    return time_calls(admit_once)


def make_core(open_count: int, slots: int) -> AgentCore:
    """Make an agent's core with so many requests at its engine or queued."""
    core = AgentCore("host-1", "pool-0")
    state = events.UpstreamRead(
        True, slots, 8_000.0, 0.061, "mixed", "gown-llm", "1", ()
    )
    handle_event(state, core, 0.0)
    for number in range(open_count):
        offer_work(core, f"open-{number}")
    return core


def offer_work(core: AgentCore, request: str, budget: float = LONG_SECONDS) -> None:
    """Offer work to an agent's core."""
    offer = Offer(make_work(request, "pool-0"), 1, budget)
    handle_event(events.Received("entry-1", offer), core, 0.0)
    core.next_wake(0.0)


def time_offer(open_count: int, slots: int, budget: float) -> float:
    """Give the microseconds of an offer and its withdrawal, or of its refusal."""
    core = make_core(open_count, slots)
    numbers = itertools.count()

    def offer_once() -> None:
        request = str(next(numbers))
        offer_work(core, request, budget)
        cancel = Cancel(request, 1)
        handle_event(events.Received("entry-1", cancel), core, 0.0)
        core.ended_attempts = EndedAttempts()

    return time_calls(offer_once)


def time_token(open_count: int) -> float:
    """Give the microseconds of one token from the engine, its chunk included."""
    core = make_core(open_count, SLOTS)
    names = itertools.cycle(list(core.running))
    moments = itertools.count()

    def take_token() -> None:
        now = next(moments) / 2_300
        handle_event(events.Produced(*next(names), b"word ", 1), core, now)
        core.next_wake(now)

    return time_calls(take_token)


def time_ack(open_count: int) -> float:
    """Give the microseconds of an event that changes nothing."""
    core = make_core(open_count, SLOTS)
    ack = events.Received("entry-1", Ack("gone", 1, 0))

    def take_ack() -> None:
        handle_event(ack, core, 0.0)
        core.next_wake(0.0)

    return time_calls(take_ack)


def measure_admission() -> Iterator[Figure]:
    """Measure admission, offers and tokens in the agent's core."""
    for depth in DEPTHS:
        at = {"queued": depth, "running": SLOTS}
        cost = time_admission(depth, LONG_SECONDS)
        yield Figure("queue, admission", cost, "us", at)
        yield Figure("queue, refusal", time_admission(depth, 0.1), "us", at)
    for running in (0, 16, SLOTS):
        at = {"running": running}
        cost = time_offer(running, SLOTS + 1, LONG_SECONDS)
        yield Figure("agent core, offer and withdrawal", cost, "us", at)
        cost = time_offer(running, max(1, running), 0.1)
        yield Figure("agent core, refusal and withdrawal", cost, "us", at)
        if running:
            yield Figure("agent core, token", time_token(running), "us", at)
            yield Figure("agent core, empty event", time_ack(running), "us", at)
