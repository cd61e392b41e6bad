"""State machine of prompt parts, gateways and hosts that terminate."""

import random
from collections import deque
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

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
from radishtally.serving import const, events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.prompt_suspects import (
    ENDS_TO_DENY_SERVED,
    FIRST_DENIAL_SECONDS,
    MAX_ENDS,
    PartKeys,
    PartsMessage,
    hash_parts,
)
from radishtally.serving.suspects import ENDS_TO_DENY
from radishtally.serving.terms import PromptPart, Terms

POOL = "pool"
GATEWAYS = 3
HOSTS = 4
PARTS = tuple("abcdef")
PICKS = st.integers(0, 1 << 16)
PROMPTS = st.sets(st.sampled_from(PARTS), min_size=1, max_size=3)
EVENT = b"id: 1\ndata: x\n\n"


@dataclass
class Attempt:
    """A run at a host."""

    gateway: int
    request: str
    number: int
    host: str
    parts: frozenset[str]
    offered_at: float


class PromptParts(RuleBasedStateMachine):
    """End hosts under prompts with bad parts, and for other reasons."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.numbers = iter(range(1, 1 << 20))
        self.bad: frozenset[str] = frozenset()
        self.hosts: list[str] = []
        self.prompts: dict[str, frozenset[str]] = {}
        self.attempts: dict[str, Attempt] = {}
        self.mail: deque[tuple[int, PartsMessage]] = deque()
        self.ends: dict[str, list[tuple[float, float]]] = {part: [] for part in PARTS}
        """For each part, the times of hosts' ends and of the last offer before."""
        self.served_at = [dict.fromkeys(PARTS, 0.0) for _ in range(GATEWAYS)]
        """Times of complete answers, by gateway and part."""
        self.is_undisturbed = True
        """Whether all messages have arrived and no gateway was killed."""
        self.cores = [self.make_core() for _ in range(GATEWAYS)]
        for _ in range(HOSTS):
            self.add_host()

    def make_core(self) -> DispatchCore:
        core = DispatchCore("g", "howrah", random.Random(1))
        core.budgets.configure(10.0, 1000.0)
        core.offer_timeout = float("inf")
        for host in self.hosts:
            self.list_host(core, host)
        return core

    def add_host(self) -> None:
        self.hosts.append(f"h-{next(self.numbers)}")
        for core in self.cores:
            self.list_host(core, self.hosts[-1])

    def list_host(self, core: DispatchCore, host: str) -> None:
        core.set_host(host, "howrah", POOL, True)
        list(handle_event(events.LinkUp(Hello(host, "", "", "1", 0)), core, self.now))

    def handle(self, gateway: int, event: events.Event) -> None:
        """Handle an event at a gateway and play its commands."""
        core = self.cores[gateway]
        for command in handle_event(event, core, self.now):
            if isinstance(command, events.Send):
                self.play_message(gateway, command.host, command.message)
            elif isinstance(command, events.Refuse):
                self.check_refusal(gateway, command)
            if isinstance(command, events.Refuse | events.AbortAnswer):
                self.attempts.pop(command.request, None)

    def play_message(self, gateway: int, host: str, message: object) -> None:
        if isinstance(message, Cancel):
            self.attempts.pop(message.request, None)
        if not isinstance(message, Offer):
            return
        name = message.work.request
        prompt = self.prompts[name]
        self.check_trial(gateway, name, prompt)
        self.attempts[name] = Attempt(
            gateway, name, message.attempt, host, prompt, self.now
        )

    def check_trial(self, gateway: int, name: str, prompt: frozenset[str]) -> None:
        """Check that a suspected part runs once at a time at a gateway."""
        isolated = self.cores[gateway].part_suspects.list_isolated(find_keys(prompt))
        for other in self.attempts.values():
            if other.gateway == gateway and other.request != name:
                assert isolated.isdisjoint(find_keys(other.parts))

    def check_refusal(self, gateway: int, command: events.Refuse) -> None:
        """Check that a denied prompt has a part under which hosts have terminated."""
        refusal, prompt = command.refusal, self.prompts[command.request]
        if refusal.code != const.CODE_ENDS_HOSTS:
            return
        assert refusal.ran == Ran.NO or command.request not in self.attempts
        served = self.served_at[gateway]
        assert any(
            sum(end > served[part] for end, _ in self.ends[part]) >= ENDS_TO_DENY - 1
            for part in prompt
        )

    def pick(self, items: list, number: int) -> object:
        return items[number % len(items)]

    @rule(gateway=st.integers(0, GATEWAYS - 1), prompt=PROMPTS)
    def ask(self, gateway: int, prompt: set[str]) -> None:
        name = f"r-{next(self.numbers)}"
        self.prompts[name] = frozenset(prompt)
        parts = tuple(PromptPart(part, 1) for part in (*sorted(prompt), f"own-{name}"))
        work = Work(name, "", POOL, STREAM, b"", idempotent=True)
        terms = Terms(parts=parts, content=name)
        arrived = events.Arrived(work, self.now + 300.0, True, terms)
        self.handle(gateway, arrived)

    @rule(parts=st.sets(st.sampled_from(PARTS), max_size=2))
    def change_bad_parts(self, parts: set[str]) -> None:
        self.bad = frozenset(parts)

    @precondition(lambda self: self.attempts)
    @rule(number=PICKS)
    def run(self, number: int) -> None:
        """Let a run end: by a whole answer, or with its host if it is bad."""
        attempt = self.pick(list(self.attempts.values()), number)
        if attempt.parts & self.bad:
            self.end_host(attempt.host)
        else:
            self.answer(attempt)

    @rule(number=PICKS)
    def kill_host(self, number: int) -> None:
        self.end_host(self.pick(self.hosts, number))

    def end_host(self, host: str) -> None:
        """End a host with all its runs; another one takes its place."""
        self.now += 0.05
        self.hosts.remove(host)
        cut = [attempt for attempt in self.attempts.values() if attempt.host == host]
        for part in PARTS:
            offers = [a.offered_at for a in cut if part in a.parts]
            if offers:
                self.ends[part].append((self.now, max(offers)))
        for attempt in cut:
            if self.attempts.get(attempt.request) is attempt:
                del self.attempts[attempt.request]
                key = attempt.request, attempt.number
                lost = Lost(*key, Ran.UNKNOWN, ENDED, 0)
                self.handle(attempt.gateway, events.Received(host, lost))
        for core in self.cores:
            core.forget_host(host)
            core.links.pop(host, None)
        self.add_host()

    def answer(self, attempt: Attempt) -> None:
        self.now += 0.05
        del self.attempts[attempt.request]
        request = self.cores[attempt.gateway].requests[attempt.request]
        for part in attempt.parts:
            self.served_at[attempt.gateway][part] = self.now
            self.ends[part].clear()
        key = attempt.request, attempt.number
        for message in (
            Accepted(*key, 0.0),
            Begun(*key, 200, ()),
            Chunk(*key, len(request.received), EVENT, 1),
        ):
            self.handle(attempt.gateway, events.Received(attempt.host, message))
        end = Finished(*key, len(EVENT), request.checksum(), 200, "", 0, 1, ())
        self.handle(attempt.gateway, events.Received(attempt.host, end))
        suspects, keys = self.find_suspects(attempt.gateway), find_keys(attempt.parts)
        assert not suspects.find_denial_seconds(keys, self.now)
        assert not suspects.list_isolated(keys)

    def find_suspects(self, gateway: int):  # noqa: ANN201
        return self.cores[gateway].part_suspects

    def send_mail(self) -> None:
        for sender in range(GATEWAYS):
            for message in self.find_suspects(sender).pop_messages(self.now):
                self.mail += [(g, message) for g in range(GATEWAYS) if g != sender]

    @rule(is_lost=st.sampled_from([False, False, False, True]))
    def exchange(self, is_lost: bool) -> None:
        """Deliver what the gateways have to say, or lose it."""
        self.send_mail()
        self.is_undisturbed &= not (is_lost and self.mail)
        while self.mail:
            gateway, message = self.mail.popleft()
            if not is_lost:
                self.find_suspects(gateway).merge(message, self.now)
            self.send_mail()

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def kill_gateway(self, gateway: int) -> None:
        self.is_undisturbed = False
        for name in [n for n, a in self.attempts.items() if a.gateway == gateway]:
            del self.attempts[name]
        self.cores[gateway] = self.make_core()
        self.served_at[gateway] = dict.fromkeys(PARTS, 0.0)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0]))
    def pass_time(self, seconds: float) -> None:
        self.exchange(False)
        self.now += seconds
        for gateway in range(GATEWAYS):
            self.handle(gateway, events.Tick())

    @invariant()
    def part_with_many_ends_is_accounted_for(self) -> None:
        """A part under which five hosts in a row terminated is denied, or another."""
        self.send_mail()
        if not self.is_undisturbed or self.mail:
            return
        for part in PARTS:
            ends = find_chain(self.ends[part])
            is_recent = ends and self.now < ends[-1] + FIRST_DENIAL_SECONDS
            if len(ends) >= ENDS_TO_DENY_SERVED and is_recent:
                for gateway in range(GATEWAYS):
                    assert self.find_suspects(gateway).count_denied(self.now)

    @invariant()
    def memory_is_bounded(self) -> None:
        for gateway in range(GATEWAYS):
            suspects = self.find_suspects(gateway)
            assert len(suspects._ends) <= MAX_ENDS
            assert all(denial.parts for denial in suspects._denials)


def find_keys(parts: frozenset[str]) -> PartKeys:
    """Return the keys of a prompt's parts."""
    return hash_parts(POOL, [*(PromptPart(part, 1) for part in parts), PARTS[0]])


def find_chain(ends: list[tuple[float, float]]) -> list[float]:
    """Return the ends in a row: each under a run offered after the end before."""
    chain: list[float] = []
    for at, offered_at in ends:
        if not chain or offered_at >= chain[-1]:
            chain.append(at)
    return chain


TestPromptParts = PromptParts.TestCase
TestPromptParts.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
