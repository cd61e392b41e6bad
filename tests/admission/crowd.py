"""Gateways before plain hosts, in virtual time: callers who compete for places."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import NamedTuple

from radishtally.admission.core import Admission
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.call_exchange import CallExchange
from radishtally.limits.retries import RetryBudgets
from radishtally.links.messages import (
    CALL,
    Accepted,
    Chunk,
    Finished,
    Hello,
    Offer,
    Refused,
    Work,
)
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.terms import Terms

UPSTREAM = "desk"
ROUND_SECONDS = 0.02
CHECKSUM_OF_X = 0x5C80C09683041123


class Crowd(NamedTuple):
    """Describe callers of one rank and team."""

    rank: int
    team: str
    rate: float
    """Requests a second."""
    begin: float = 0.0
    end: float = 20.0
    gateways: tuple[int, ...] = ()
    """Gateways that they meet; empty for any."""
    deadline: float = 3.0
    returns: int = 0
    """Times that a refused caller comes back, after a third of its time at most."""
    is_patient: bool = True
    """Whether callers wait as told; others come back every 50 ms."""


@dataclass
class Asked:
    """Hold what became of one caller."""

    crowd: Crowd
    at: float
    attempts: int = 0
    served_after: float | None = None
    refused_again: bool = False


@dataclass
class Host:
    """Process some calls at a time, queue some and reject others."""

    slots: int = 4
    queue: int = 4
    pace: float = 1.0
    spells: float = 0.0
    """Share of the time in spells of 0.6 s in which it is 2.5 times as slow."""
    running: int = 0
    waiting: list[tuple[int, str, int]] = field(default_factory=list)
    rejections: int = 0
    done: int = 0


class Fleet:
    """Run gateways, hosts and callers in steps of virtual time."""

    def __init__(
        self, gateways: int = 3, hosts: list[Host] | None = None, seed: int = 1
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.hosts = {f"d-{n}": h for n, h in enumerate(hosts or [Host()] * 0)}
        if hosts is None:
            self.hosts = {f"d-{n}": Host() for n in range(4)}
        self.asked: list[Asked] = []
        self.linked = True
        self.cut: set[int] = set()
        """Gateways whose links to the others are cut."""
        self.frozen: set[int] = set()
        self.answered = Counter[str]()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._callers: dict[str, tuple[Asked, float]] = {}
        self.cores = [self._make_core(n) for n in range(gateways)]
        self.exchanges = [
            CallExchange(core, self._make_send(n), self._make_change(n))
            for n, core in enumerate(self.cores)
        ]
        for exchange in self.exchanges:
            exchange.set_staleness(ROUND_SECONDS)
        self.spans = {
            name: [self.random.random() < host.spells for _ in range(200)]
            for name, host in self.hosts.items()
        }
        for number in range(gateways):
            self._at(self.random.uniform(0, ROUND_SECONDS), self._make_round(number))

    def run(self, crowds: list[Crowd], seconds: float) -> None:
        """Let crowds come, until a time."""
        for crowd in crowds:
            self._at(crowd.begin, lambda crowd=crowd: self._arrive(crowd))
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def share(self, within: float, since: float = 2.0, **match: object) -> float:
        """Return the share of matching callers that were served in time."""
        asked = [
            one
            for one in self.asked
            if one.at >= since
            and all(getattr(one.crowd, name) == value for name, value in match.items())
        ]
        served = [
            one
            for one in asked
            if one.served_after is not None and one.served_after <= within
        ]
        return len(served) / len(asked)

    @property
    def rejections(self) -> int:
        """Return how many calls the hosts have rejected."""
        return sum(host.rejections for host in self.hosts.values())

    @property
    def done(self) -> int:
        """Return how many calls the hosts have answered."""
        return sum(host.done for host in self.hosts.values())

    def count_open(self) -> int:
        """Return how many calls the hosts have."""
        return sum(host.running + len(host.waiting) for host in self.hosts.values())

    def handle(self, number: int, event: events.Event) -> None:
        """Handle an event at one gateway."""
        if number in self.frozen:
            self._at(self.now + 0.05, lambda: self.handle(number, event))
            return
        core = self.cores[number]
        for command in handle_event(event, core, self.now):
            self._execute(number, command)
        wake = core.next_wake()
        if wake < float("inf"):
            self._at(max(wake, self.now + 1e-4), lambda: self._tick(number, wake))

    def _tick(self, number: int, wake: float) -> None:
        if self.cores[number].next_wake() <= self.now:
            self.handle(number, events.Tick())

    def _make_core(self, number: int) -> DispatchCore:
        placement = EnginePlacement(lambda: self.now, random.Random(number))
        core = DispatchCore(
            f"g-{number}",
            "dc",
            random.Random(number),
            placement,
            RetryBudgets(0.1, 1.0),
            offer_timeout=float("inf"),
            refusals_cost_retries=True,
            prefill_counts_as_run=False,
            admission=Admission(random.Random(number)),
        )
        for name, host in self.hosts.items():
            core.set_host(name, "dc", UPSTREAM, True)
            core.hosts[name].slots = host.slots
            handle_event(events.LinkUp(Hello(name, "dc", "", "1", 0)), core, 0.0)
        return core

    def _make_send(self, number: int) -> Callable[[str, object], None]:
        def send(peer: str, message: object) -> None:
            other = int(peer[2:])
            delay = self.random.uniform(0.001, 0.003)
            self._at(self.now + delay, lambda: self._pass_on(number, other, message))

        return send

    def _pass_on(self, number: int, other: int, message: object) -> None:
        if {number, other} & self.cut or other in self.frozen or not self.linked:
            return
        exchange = self.exchanges[other]
        exchange.handle_message(f"g-{number}", message, False, self.now)

    def _make_change(self, number: int) -> Callable[[], None]:
        return lambda: self.handle(number, events.PlacesChanged())

    def _make_round(self, number: int) -> Callable[[], None]:
        def run_round() -> None:
            self._at(self.now + ROUND_SECONDS, run_round)
            if number in self.frozen:
                return
            names = [f"g-{n}" for n in range(len(self.cores)) if n != number]
            exchange = self.exchanges[number]
            exchange.run_round(names, lambda peer: None, len(self.cores), self.now)
            for _, message in exchange.pop_refused(self.now):
                for name in names:
                    self._make_send(number)(name, message)

        return run_round

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, crowd: Crowd) -> None:
        if self.now >= crowd.end:
            return
        pause = self.random.expovariate(crowd.rate)
        self._at(self.now + pause, lambda: self._arrive(crowd))
        one = Asked(crowd, self.now)
        self.asked.append(one)
        self._ask(one, f"c{next(self._numbers)}")

    def _ask(self, one: Asked, content: str) -> None:
        left = one.at + one.crowd.deadline - self.now
        if left <= 0.05:
            return
        one.attempts += 1
        number = self.random.choice(one.crowd.gateways or range(len(self.cores)))
        name = f"r{next(self._numbers)}"
        work = Work(
            name, one.crowd.team, UPSTREAM, CALL, b"", "", priority=one.crowd.rank,
            idempotent=True,
        )  # fmt: skip
        terms = Terms(2, 0.4, one.crowd.rank, caller_seconds=left, content=content)
        self._callers[name] = one, self.now
        arrived = events.Arrived(work, self.now + left, False, terms)
        self._contents[name] = content
        self.handle(number, arrived)

    _contents: dict[str, str] = {}

    def _execute(self, number: int, command: events.Command) -> None:
        if isinstance(command, events.Send):
            message = command.message
            if not isinstance(message, Offer):
                return
            name = message.work.request
            delay = self.random.uniform(0.0005, 0.002)
            attempt = number, name, message.attempt
            self._at(self.now + delay, lambda: self._reach(command.host, attempt))
        elif isinstance(command, events.SendFullAnswer):
            one, _ = self._callers[command.request]
            one.served_after = self.now - one.at
        elif isinstance(command, events.Refuse):
            self._refuse(command)

    def _refuse(self, command: events.Refuse) -> None:
        one, _ = self._callers[command.request]
        self.answered[command.refusal.code] += 1
        if one.attempts > one.crowd.returns or command.refusal.retry_after is None:
            one.refused_again = one.attempts > 1
            return
        left = one.at + one.crowd.deadline - self.now
        wait = min(command.refusal.retry_after, left / 3)
        if not one.crowd.is_patient:
            wait = 0.05
        content = self._contents[command.request]
        self._at(self.now + wait + 0.005, lambda: self._ask(one, content))

    def _reach(self, name: str, attempt: tuple[int, str, int]) -> None:
        host = self.hosts[name]
        if host.running < host.slots:
            self._start(name, attempt)
        elif len(host.waiting) < host.queue:
            host.waiting.append(attempt)
        else:
            host.rejections += 1
            refused = Refused(attempt[1], attempt[2], "status 503", 0.0)
            self._reply(name, attempt, refused)

    def _start(self, name: str, attempt: tuple[int, str, int]) -> None:
        host = self.hosts[name]
        host.running += 1
        seconds = 0.1 * self.random.uniform(0.7, 1.3) / host.pace
        if host.spells and self.spans[name][int(self.now / 0.6) % 200]:
            seconds *= 2.5
        self._at(self.now + seconds, lambda: self._finish(name, attempt))

    def _finish(self, name: str, attempt: tuple[int, str, int]) -> None:
        host = self.hosts[name]
        host.running -= 1
        host.done += 1
        if host.waiting:
            self._start(name, host.waiting.pop(0))
        _, request, number = attempt
        self._reply(name, attempt, Accepted(request, number, 0.0))
        self._reply(name, attempt, Chunk(request, number, 0, b"x", 0))
        end = Finished(request, number, 1, CHECKSUM_OF_X, 200, "", 0, 0, ())
        self._reply(name, attempt, end)

    def _reply(self, host: str, attempt: tuple[int, str, int], message) -> None:
        delay = 0.001
        gateway = attempt[0]
        self._at(
            self.now + delay,
            lambda: self.handle(gateway, events.Received(host, message)),
        )
