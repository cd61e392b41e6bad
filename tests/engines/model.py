"""A fleet in simulated time, whose gateways place prompts and answers by old news."""

import heapq
from collections import Counter
from collections.abc import Iterator
from itertools import count
from random import Random
from typing import NamedTuple

from radishtally.direct.core import Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import PeerStaleness
from radishtally.links.messages import (
    DECODE,
    PREFILL,
    STREAM,
    Backlog,
    EngineShare,
    KvRef,
    PartsRead,
    WaitingTokens,
    Work,
)
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Placed
from radishtally.serving.requests import OpenRequest
from radishtally.serving.terms import PromptPart, Terms

TOKENS_PER_SECOND = 50_000.0
DATA_CENTRES = ("howrah", "new-town", "behala", "gariahat", "salt-lake")
SLOTS = 16
SHARED = 5_000
OWN = 6_000
BUSY = 0.4
"""Share of their time that the engines for prompts are to be busy."""
ANSWER_SECONDS = 0.3


class Fleet(NamedTuple):
    """Say how many decide for how many engines, by how old news."""

    gateways: int
    engines: int
    age: float = 0.0
    """Seconds, in the mean: news comes as far apart, and half of that late."""
    shared_parts: int = 200


class Report(NamedTuple):
    """Hold how prompts and answers fared."""

    waits: list[float]
    """Seconds until prompts were begun, in ascending order."""
    busiest: float
    """Work of the busiest engine for prompts, by the mean."""
    most_answers: int
    """Most answers at one engine at a time."""
    read_again: float
    """Share of the prompts whose shared part was read though it had been before."""

    def find_wait(self, part: float) -> float:
        return self.waits[int(part * (len(self.waits) - 1))]


class Model:
    """Play a fleet: engines read one prompt after another, and make some answers."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.due: list[tuple] = []
        roles = [PREFILL if n % 5 < 3 else DECODE for n in range(fleet.engines)]
        places = [DATA_CENTRES[n // 5 % 5] for n in range(fleet.engines)]
        self.hosts = {
            f"e{n:03}": KnownHost(f"e{n:03}", place, "llm", live=True)
            for n, place in enumerate(places)
        }
        self.roles = dict(zip(self.hosts, roles, strict=True))
        self.gateways = [self.make_gateway(n) for n in range(fleet.gateways)]
        self.free_at = dict.fromkeys(self.hosts, 0.0)
        self.work = Counter()
        self.answers = Counter()
        self.most_answers = 0
        self.waits: list[float] = []
        self.read: set[int] = set()
        self.kept: set[tuple[str, int]] = set()
        self.again = 0

    def make_gateway(self, number: int) -> EnginePlacement:
        placement = EnginePlacement(lambda: self.now, Random(number))
        for host, role in self.roles.items():
            place = self.hosts[host].place
            placement.set_instance(
                Instance(host, "llm", f"{host}:1", place, False, SLOTS, role)
            )
        placement.unseen_requests.peers = PeerStaleness(
            self.fleet.gateways - 1, 1.5 * self.fleet.age
        )
        return placement

    def play(self) -> Report:
        readers = sum(role == PREFILL for role in self.roles.values())
        per_second = readers * BUSY * TOKENS_PER_SECOND / (OWN + 0.2 * SHARED)
        self.plan(0.0, self.arrive, per_second)
        if self.fleet.gateways > 1:
            self.plan(self.fleet.age, self.tell)
        while self.due:
            self.now, _, act, more = heapq.heappop(self.due)
            act(*more)
        done = [self.work[host] for host, r in self.roles.items() if r == PREFILL]
        return Report(
            sorted(self.waits),
            max(done) / (sum(done) / len(done)),
            self.most_answers,
            self.again / len(self.waits),
        )

    def plan(self, delay: float, act: object, *more: object) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.order), act, more))

    def arrive(self, per_second: float) -> None:
        if self.now < self.seconds:
            self.plan(self.random.expovariate(per_second), self.arrive, per_second)
        part = self.random.randrange(self.fleet.shared_parts)
        name = f"r{next(self.order)}"
        parts = PromptPart(f"s{part}", SHARED), PromptPart(name, OWN)
        prompt = SHARED + OWN
        work = Work(
            name, "", "llm", STREAM, b"", "m", prompt_tokens=prompt, prefix=part
        )
        terms = Terms(objective=0.6, parts=parts)
        request = OpenRequest(work, self.now + 10.0, True, self.now, terms)
        number = self.random.randrange(self.fleet.gateways)
        self.read_prompt(number, request, part)

    def place(self, number: int, request: OpenRequest) -> KnownHost:
        place = DATA_CENTRES[number % 5]
        hosts = list(self.hosts.values())
        placed = self.gateways[number].place(request, hosts, place, self.now)
        assert isinstance(placed, Placed)
        host = self.hosts[placed.host]
        request.stage = PREFILL if placed.stage == PREFILL else "whole"
        self.gateways[number].begin(request, host, self.now)
        return host

    def read_prompt(self, number: int, request: OpenRequest, part: int) -> None:
        host = self.place(number, request)
        is_kept = (host.host, part) in self.kept
        self.again += not is_kept and part in self.read
        self.kept.add((host.host, part))
        self.read.add(part)
        seconds = (OWN if is_kept else OWN + SHARED) / TOKENS_PER_SECOND
        begun = max(self.now, self.free_at[host.host])
        self.free_at[host.host] = begun + seconds
        self.work[host.host] += seconds
        self.waits.append(begun - self.now)
        delay = begun + seconds - self.now
        self.plan(delay, self.make_answer, number, request, host)

    def make_answer(self, number: int, request: OpenRequest, reader: KnownHost) -> None:
        request.kv = KvRef(reader.host, "", "h", 1)
        self.gateways[number].end(request, reader)
        request.next_stage = DECODE
        host = self.place(number, request)
        self.answers[host.host] += 1
        self.most_answers = max(self.most_answers, self.answers[host.host])
        self.plan(ANSWER_SECONDS, self.finish, number, request, host)

    def finish(self, number: int, request: OpenRequest, host: KnownHost) -> None:
        self.answers[host.host] -= 1
        self.gateways[number].end(request, host)

    def tell(self) -> None:
        """Tell each gateway what the others have open; it hears that later."""
        read = [gateway.pop_parts_read() for gateway in self.gateways]
        for number, backlog in enumerate(self.list_backlogs()):
            parts = [told for n, told in enumerate(read) if n != number]
            parts = [item for told in parts for item in told]
            self.plan(self.fleet.age / 2, self.hear, number, backlog, parts)
        if self.now < self.seconds:
            self.plan(self.fleet.age, self.tell)

    def hear(self, number: int, backlog: Backlog, parts: list[PartsRead]) -> None:
        self.gateways[number].record_backlog("collector", backlog, self.now)
        for told in parts:
            self.gateways[number].record_parts(told)

    def list_backlogs(self) -> Iterator[Backlog]:
        """List what all gateways but each one have open."""
        own = [self.count_own(gateway) for gateway in self.gateways]
        tokens, answers = Counter(), Counter()
        for waiting, making in own:
            tokens.update(waiting)
            answers.update(making)
        for waiting, making in own:
            shares = [
                EngineShare(
                    host,
                    (WaitingTokens(0, tokens[host] - waiting.get(host, 0)),),
                    answers[host] - making.get(host, 0),
                    0,
                )
                for host in self.hosts
            ]
            yield Backlog(tuple(shares))

    def count_own(self, gateway: EnginePlacement) -> tuple[dict, dict]:
        engines = gateway._engines.values()
        waiting = {
            e.host: sum(r.tokens for r in e.prefills.values())
            for e in engines
            if e.prefills
        }
        return waiting, {e.host: len(e.answers) for e in engines if e.answers}
