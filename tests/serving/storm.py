"""Model of gateways before hosts that crash on parts of prompts, in virtual time."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from radishtally.links.messages import (
    ENDED,
    STREAM,
    Accepted,
    Begun,
    Cancel,
    Chunk,
    Finished,
    Hello,
    Lost,
    Offer,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving import events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.prompt_suspects import PromptSuspects
from radishtally.serving.terms import PromptPart, Terms

POOL = "pool"
NEWS_SECONDS = 0.03
"""Time until a peer has a message: its batch and the link."""
NOTICE_SECONDS = 0.01
"""Time until a gateway has seen that a host has terminated."""
RESTART_SECONDS = 3.5
CRASH_SECONDS = 0.12
"""Time from the start of a run with a bad part to the crash of its host."""
CALLER_SECONDS = 8.0
PICK_SUBJECTS = 40


@dataclass
class Traffic:
    """Describe the requests that are sent."""

    sound_per_second: float = 25.0
    bad_per_second: float = 2.5
    bad: tuple[str, ...] = ("bad",)
    position: int = 1
    """Place of the bad part in a prompt."""
    bad_from: float = 5.0
    bad_until: float = 35.0
    teams: int = 3
    """Number of different first parts."""
    events: int = 10
    event_seconds: float = 0.06
    is_resumable: bool = False


@dataclass
class Run:
    """A run at a host."""

    gateway: int
    offer: Offer
    is_bad: bool
    sent: int = 0


@dataclass
class Outcome:
    """What became of the first attempt of a request."""

    team: str
    at: float
    is_bad: bool
    has_begun: bool = False
    was_denied: bool = False


@dataclass
class Storm:
    """Play traffic on gateways and hosts."""

    seed: int
    gateways: int = 3
    hosts: int = 6
    traffic: Traffic = field(default_factory=Traffic)
    linked: Callable[[int, int], bool] = lambda a, b: True

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.now = 100.0
        self.started = self.now
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = iter(range(1, 1 << 30))
        self.cores = [self.make_core(n) for n in range(self.gateways)]
        self.runs: dict[str, dict[tuple[int, str, int], Run]] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.crashes: dict[str, list[float]] = {}
        """Times of the crashes by the bad part that caused them."""
        self.arrivals: dict[str, list[float]] = {}
        """Times at which runs with a bad part reached a host, by that part."""
        self.bad_now: frozenset[str] = frozenset()
        for number in range(self.hosts):
            self.start_host(f"h{number}")

    def make_core(self, number: int) -> DispatchCore:
        core = DispatchCore(f"g{number}", "howrah", random.Random(self.seed + number))
        core.budgets.configure(10.0, 1000.0)
        core.offer_timeout = float("inf")
        core.part_suspects = PromptSuspects()
        return core

    def after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.queue, (self.now + seconds, next(self.numbers), call, args))

    def play(self, seconds: float) -> None:
        """Play for so many seconds."""
        end = self.now + seconds
        self.after(0.0, self.send_sound)
        self.after(self.traffic.bad_from, self.send_bad)
        self.after(0.0, self.exchange)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)

    # Hosts

    def start_host(self, name: str) -> None:
        host = f"{name}-{next(self.numbers)}"
        self.runs[host] = {}
        for core in self.cores:
            self.list_host(core, host)

    def list_host(self, core: DispatchCore, host: str) -> None:
        core.set_host(host, "howrah", POOL, True)
        list(handle_event(events.LinkUp(Hello(host, "", "", "1", 0)), core, self.now))

    def crash(self, host: str) -> None:
        """End a host with all its runs, and start it again under a new name."""
        runs = self.runs.pop(host, None)
        if runs is None:
            return
        for run in runs.values():
            self.after(NOTICE_SECONDS, self.lose, run, host)
        self.after(1.0, self.unlist, host)
        self.after(RESTART_SECONDS, self.start_host, host.partition("-")[0])

    def lose(self, run: Run, host: str) -> None:
        key = run.offer.work.request, run.offer.attempt
        self.receive(run.gateway, host, Lost(*key, Ran.UNKNOWN, ENDED, 0))

    def unlist(self, host: str) -> None:
        for core in self.cores:
            core.forget_host(host)
            core.links.pop(host, None)

    def begin_run(self, gateway: int, host: str, offer: Offer) -> None:
        key = offer.work.request, offer.attempt
        runs = self.runs.get(host)
        if runs is None:
            self.receive(gateway, host, Lost(*key, Ran.NO, "unreached", 0))
            return
        bad = self.bad_now & set(offer.work.headers)
        run = Run(gateway, offer, bool(bad))
        runs[gateway, *key] = run
        if bad:
            part = min(bad)
            self.arrivals.setdefault(part, []).append(self.now)
            self.after(CRASH_SECONDS, self.crash_under, part, host)
            if not self.traffic.is_resumable:
                return
        self.after(0.02, self.send_event, host, run)

    def crash_under(self, part: str, host: str) -> None:
        if host in self.runs:
            self.crashes.setdefault(part, []).append(self.now)
        self.crash(host)

    def send_event(self, host: str, run: Run) -> None:
        key = run.offer.work.request, run.offer.attempt
        if self.runs.get(host, {}).get((run.gateway, *key)) is not run:
            return
        request = self.cores[run.gateway].requests.get(key[0])
        if request is None or request.host != host:
            self.runs[host].pop((run.gateway, *key), None)
            return
        if not run.sent:
            self.receive(run.gateway, host, Accepted(*key, 0.0))
            self.receive(run.gateway, host, Begun(*key, 200, ()))
        run.sent += 1
        number = request.tokens + 1
        data = b"id: %d\ndata: x\n\n" % number
        chunk = Chunk(*key, len(request.received), data, number)
        self.receive(run.gateway, host, chunk)
        if number < self.traffic.events or run.is_bad:
            self.after(self.traffic.event_seconds, self.send_event, host, run)
            return
        self.runs[host].pop((run.gateway, *key))
        length, checksum = len(request.received), request.checksum()
        end = Finished(*key, length, checksum, 200, "", 0, number, ())
        self.receive(run.gateway, host, end)

    # Gateways

    def receive(self, gateway: int, host: str, message: object) -> None:
        self.handle(gateway, events.Received(host, message))

    def handle(self, gateway: int, event: events.Event) -> None:
        core = self.cores[gateway]
        for command in handle_event(event, core, self.now):
            if isinstance(command, events.Send):
                self.send(gateway, command.host, command.message)
            elif isinstance(command, events.Deliver):
                self.outcomes[command.request].has_begun = True
            elif isinstance(command, events.Refuse):
                outcome = self.outcomes[command.request]
                outcome.was_denied |= command.refusal.code == "ends_hosts"
        wake = core.next_wake()
        if wake != float("inf"):
            self.after(max(0.0, wake - self.now), self.tick, gateway, core)

    def tick(self, gateway: int, core: DispatchCore) -> None:
        if self.cores[gateway] is core and core.next_wake() <= self.now:
            self.handle(gateway, events.Tick())

    def send(self, gateway: int, host: str, message: object) -> None:
        if isinstance(message, Offer):
            self.after(0.002, self.begin_run, gateway, host, message)
        elif isinstance(message, Cancel):
            key = gateway, message.request, message.attempt
            self.runs.get(host, {}).pop(key, None)

    def exchange(self) -> None:
        """Let the gateways send each other what they know of hosts' ends."""
        for sender, core in enumerate(self.cores):
            for message in core.part_suspects.pop_messages(self.now):
                for receiver in range(self.gateways):
                    if receiver != sender and self.linked(sender, receiver):
                        self.after(NEWS_SECONDS, self.merge, receiver, message)
        self.after(0.02, self.exchange)

    def merge(self, gateway: int, message: object) -> None:
        self.cores[gateway].part_suspects.merge(message, self.now)

    def kill_gateway(self, gateway: int) -> None:
        """Kill a gateway and start it again; its peers tell it what they know."""
        for runs in self.runs.values():
            for key in [key for key, run in runs.items() if run.gateway == gateway]:
                del runs[key]
        self.cores[gateway] = core = self.make_core(gateway)
        for host in self.runs:
            self.list_host(core, host)
        for sender, peer in enumerate(self.cores):
            if sender != gateway and self.linked(sender, gateway):
                for message in peer.part_suspects.list_all(self.now):
                    self.after(0.2, self.merge, gateway, message)

    # Callers

    def send_sound(self) -> None:
        self.ask(None)
        self.after(
            self.random.expovariate(self.traffic.sound_per_second), self.send_sound
        )

    def send_bad(self) -> None:
        if self.now - self.started >= self.traffic.bad_until:
            self.bad_now = frozenset()
            return
        self.bad_now = frozenset(self.traffic.bad)
        self.ask(self.random.choice(self.traffic.bad))
        self.after(self.random.expovariate(self.traffic.bad_per_second), self.send_bad)

    def ask(self, bad: str | None) -> None:
        """Send a request, one with a bad part if there is one named."""
        team = f"team-{self.random.randrange(self.traffic.teams)}"
        # Few subjects are asked for often, as in the users' traffic.
        subject = int(self.random.paretovariate(0.7)) % PICK_SUBJECTS
        parts = [team, f"{team}-subject-{subject}"]
        if bad is not None:
            parts.insert(self.traffic.position, bad)
        name = f"r{next(self.numbers)}"
        gateway = self.random.randrange(self.gateways)
        self.outcomes[name] = Outcome(team, self.now, bad is not None)
        work = Work(name, "", POOL, STREAM, b"", headers=tuple(parts), idempotent=True)
        prompt = tuple(PromptPart(part, 100) for part in (*parts, f"own-{name}"))
        attempts = 4 if self.traffic.is_resumable else 1
        terms = Terms(attempts, parts=prompt, content=name)
        deadline = self.now + CALLER_SECONDS
        self.handle(gateway, events.Arrived(work, deadline, True, terms))

    # Figures

    def count_late(self, part: str, seconds: float = 3.0) -> int:
        """Count the runs with a part that reach hosts after its fifth crash."""
        crashes = self.crashes.get(part, [])
        if len(crashes) < 5:
            return 0
        return sum(at > crashes[4] + seconds for at in self.arrivals[part])

    def find_begun_share(self, since: float, until: float) -> float:
        """Return the share of sound requests in a time that begin."""
        counts = Counter(
            outcome.has_begun
            for outcome in self.outcomes.values()
            if not outcome.is_bad and since <= outcome.at - self.started < until
        )
        return counts[True] / max(1, counts.total())
