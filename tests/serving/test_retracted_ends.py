"""Tests of host ends that are taken back because the host accepts work again."""

import random

from radishtally.links.messages import ENDED, STREAM, Accepted, Hello, Lost, Offer, Work
from radishtally.outcome import Ran
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.suspects import ENDS_TO_DENY
from radishtally.serving.terms import PromptPart, Terms

HOST = "h-1"
PARTS = (PromptPart("team", 1), PromptPart("own", 1))


def make_core() -> DispatchCore:
    """Return a gateway's core with one host."""
    core = DispatchCore("g", "howrah", random.Random(1))
    core.budgets.configure(10.0, 1000.0)
    core.offer_timeout = float("inf")
    core.set_host(HOST, "howrah", "pool", True)
    list(handle_event(events.LinkUp(Hello(HOST, "", "", "1", 0)), core, 0.0))
    return core


def ask(
    core: DispatchCore, name: str, now: float, parts: tuple[PromptPart, ...] = ()
) -> list[events.Command]:
    """Let a request arrive; return the offers that are made of it."""
    work = Work(name, "", "pool", STREAM, b"")
    terms = Terms(1, parts=parts, content=name)
    arrived = events.Arrived(work, now + 30.0, True, terms)
    commands = handle_event(arrived, core, now)
    return [
        command
        for command in commands
        if isinstance(command, events.Send) and isinstance(command.message, Offer)
    ]


# Guards against denial of parts because of a cut link that refuses connections, as a
# terminated host does: the host itself has gone on serving.
def test_ends_of_a_living_host_do_not_deny_parts() -> None:
    core, now = make_core(), 100.0
    for number in range(ENDS_TO_DENY):
        assert ask(core, f"r-{number}", now, PARTS)
        lost = Lost(f"r-{number}", 1, Ran.UNKNOWN, ENDED, 0)
        handle_event(events.Received(HOST, lost), core, now + 0.1)
        core.hosts[HOST].breaker.record_success()
        assert ask(core, f"other-{number}", now + 1.0)
        accepted = Accepted(f"other-{number}", 1, 0.0)
        handle_event(events.Received(HOST, accepted), core, now + 1.1)
        now += 5.0
    assert ask(core, "served", now, PARTS)
    assert not core.part_suspects.is_active
