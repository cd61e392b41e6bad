"""Simulation of gateways that place prompts and answers with stale views."""

import heapq
from collections import Counter
from collections.abc import Iterator
from itertools import count
from random import Random
from typing import NamedTuple

from radishtally.direct.core import Instance
from radishtally.engines.placement import EnginePlacement
from radishtally.engines.staleness import PeerStaleness
from radishtally.links.gateway_messages import (
    Backlog,
    EngineShare,
    PartsRead,
    WaitingTokens,
)
from radishtally.links.messages import DECODE, PREFILL, STREAM, KvRef, Work
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Placed
from radishtally.serving.requests import OpenRequest
from radishtally.serving.terms import PromptPart, Terms

TOKENS_PER_SECOND = 50_000.0
DATA_CENTRES = ("howrah", "new-town", "behala", "gariahat", "salt-lake")
SLOTS = 16
SHARED_TOKENS = 5_000
OWN_TOKENS = 6_000
UTILIZATION = 0.4
"""Utilization of the prefill engines."""
ANSWER_SECONDS = 0.3


class Fleet(NamedTuple):
    """Describe the simulated gateways and engines, and the age of load reports."""

    gateways: int
    engines: int
    age: float = 0.0
    """Mean age in seconds: the report interval, with half of it as delay."""
    shared_parts: int = 200


class Report(NamedTuple):
    """Hold the results of a simulation."""

    waits: list[float]
    """Seconds until prompts were started, in ascending order."""
    busiest: float
    """Work of the busiest prefill engine, relative to the mean."""
    most_answers: int
    """Most concurrent answers at one engine."""
    prefilled_again: float
    """Share of the prompts whose shared part was prefilled more than once."""

    def find_wait(self, part: float) -> float:
        return self.waits[int(part * (len(self.waits) - 1))]


class Model:
    """Simulate a fleet: prefill engines work on one prompt at a time."""

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
        self.prefilled: set[int] = set()
        self.cached: set[tuple[str, int]] = set()
        self.prefilled_again = 0

    def make_gateway(self, number: int) -> EnginePlacement:
        placement = EnginePlacement(lambda: self.now, Random(number))
        for host, role in self.roles.items():
            place = self.hosts[host].data_centre
            placement.set_instance(
                Instance(host, "llm", f"{host}:1", place, False, SLOTS, role)
            )
        placement.unseen_requests.peers = PeerStaleness(
            self.fleet.gateways - 1, 1.5 * self.fleet.age
        )
        return placement

    def run(self) -> Report:
        prefill_engines = sum(role == PREFILL for role in self.roles.values())
        per_second = (
            prefill_engines
            * UTILIZATION
            * TOKENS_PER_SECOND
            / (OWN_TOKENS + 0.2 * SHARED_TOKENS)
        )
        self.schedule(0.0, self.arrive, per_second)
        if self.fleet.gateways > 1:
            self.schedule(self.fleet.age, self.send_reports)
        while self.due:
            self.now, _, action, more = heapq.heappop(self.due)
            action(*more)
        done = [self.work[host] for host, r in self.roles.items() if r == PREFILL]
        return Report(
            sorted(self.waits),
            max(done) / (sum(done) / len(done)),
            self.most_answers,
            self.prefilled_again / len(self.waits),
        )

    def schedule(self, delay: float, action: object, *more: object) -> None:
        heapq.heappush(self.due, (self.now + delay, next(self.order), action, more))

    def arrive(self, per_second: float) -> None:
        if self.now < self.seconds:
            self.schedule(self.random.expovariate(per_second), self.arrive, per_second)
        part = self.random.randrange(self.fleet.shared_parts)
        name = f"r{next(self.order)}"
        parts = PromptPart(f"s{part}", SHARED_TOKENS), PromptPart(name, OWN_TOKENS)
        prompt = SHARED_TOKENS + OWN_TOKENS
        work = Work(
            name, "", "llm", STREAM, b"", "m", prompt_tokens=prompt, prefix=part
        )
        terms = Terms(objective=0.6, parts=parts)
        request = OpenRequest(work, self.now + 10.0, True, self.now, terms)
        number = self.random.randrange(self.fleet.gateways)
        self.start_prefill(number, request, part)

    def place(self, number: int, request: OpenRequest) -> KnownHost:
        place = DATA_CENTRES[number % 5]
        hosts = list(self.hosts.values())
        placed = self.gateways[number].place(request, hosts, place, self.now)
        assert isinstance(placed, Placed)
        host = self.hosts[placed.host]
        request.stage = PREFILL if placed.stage == PREFILL else "whole"
        self.gateways[number].begin(request, host, self.now)
        return host

    def start_prefill(self, number: int, request: OpenRequest, part: int) -> None:
        host = self.place(number, request)
        is_cached = (host.host, part) in self.cached
        self.prefilled_again += not is_cached and part in self.prefilled
        self.cached.add((host.host, part))
        self.prefilled.add(part)
        seconds = (
            OWN_TOKENS if is_cached else OWN_TOKENS + SHARED_TOKENS
        ) / TOKENS_PER_SECOND
        started = max(self.now, self.free_at[host.host])
        self.free_at[host.host] = started + seconds
        self.work[host.host] += seconds
        self.waits.append(started - self.now)
        delay = started + seconds - self.now
        self.schedule(delay, self.start_answer, number, request, host)

    def start_answer(
        self, number: int, request: OpenRequest, prefill_host: KnownHost
    ) -> None:
        request.kv = KvRef(prefill_host.host, "", "h", 1)
        self.gateways[number].end_attempt(request, prefill_host)
        request.next_stage = DECODE
        host = self.place(number, request)
        self.answers[host.host] += 1
        self.most_answers = max(self.most_answers, self.answers[host.host])
        self.schedule(ANSWER_SECONDS, self.finish, number, request, host)

    def finish(self, number: int, request: OpenRequest, host: KnownHost) -> None:
        self.answers[host.host] -= 1
        self.gateways[number].end_attempt(request, host)

    def send_reports(self) -> None:
        """Send each gateway the open work of the others, with a delay."""
        read = [gateway.pop_sent_parts() for gateway in self.gateways]
        for number, backlog in enumerate(self.list_backlogs()):
            parts = [items for n, items in enumerate(read) if n != number]
            parts = [item for items in parts for item in items]
            self.schedule(
                self.fleet.age / 2, self.receive_report, number, backlog, parts
            )
        if self.now < self.seconds:
            self.schedule(self.fleet.age, self.send_reports)

    def receive_report(
        self, number: int, backlog: Backlog, parts: list[PartsRead]
    ) -> None:
        self.gateways[number].record_backlog("collector", backlog, self.now)
        for item in parts:
            self.gateways[number].record_parts(item)

    def list_backlogs(self) -> Iterator[Backlog]:
        """List, for each gateway, the open work of all others."""
        own = [self.count_own(gateway) for gateway in self.gateways]
        tokens, answers = Counter(), Counter()
        for waiting, decoding in own:
            tokens.update(waiting)
            answers.update(decoding)
        for waiting, decoding in own:
            shares = [
                EngineShare(
                    host,
                    (WaitingTokens(0, tokens[host] - waiting.get(host, 0)),),
                    answers[host] - decoding.get(host, 0),
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
