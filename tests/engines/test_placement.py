"""Tests of choosing engines."""

import pytest

from radishtally.direct.core import Instance
from radishtally.engines.cache import hash_parts
from radishtally.engines.choice import (
    MIN_PATIENCE_SECONDS,
    WHOLE_SHARE,
    WHOLE_TOKENS,
)
from radishtally.engines.core import Observer
from radishtally.engines.placement import (
    ORDER_SECONDS,
    START_TERMS,
    EnginePlacement,
)
from radishtally.engines.state import INITIAL_PREFILL_RATE, PeerShare
from radishtally.links.messages import (
    CALL,
    DECODE,
    PREFILL,
    STREAM,
    WHOLE,
    KvRef,
    PartsRead,
    WaitingTokens,
    Work,
)
from radishtally.routes.config import EngineTerms, UpstreamTerms
from radishtally.routing.core import rank
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest
from radishtally.serving.terms import PromptPart, Terms

ROLE_SECONDS = START_TERMS.role_seconds
PLACES = ("howrah", "new-town")
SLOTS = 64
PARTS = (PromptPart("a", 500), PromptPart("b", 5_000), PromptPart("c", 500))
HOSTS = {f"p{n}": PREFILL for n in range(4)} | {f"d{n}": DECODE for n in range(2)}


def make_instance(host: str, role: str, place: str = "howrah") -> Instance:
    return Instance(host, "llm", f"{host}:1", place, False, SLOTS, role)


class World:
    """Hold a placement and the hosts that it chooses among."""

    def __init__(self, hosts: dict[str, str] = HOSTS) -> None:
        self.placement = EnginePlacement(lambda: 0.0)
        self.hosts = []
        for number, (host, role) in enumerate(hosts.items()):
            place = PLACES[number % 2]
            instance = make_instance(host, role, place)
            self.placement.set_instance(instance)
            self.hosts.append(KnownHost(host, place, "llm", live=True))

    def place(self, request: OpenRequest) -> Placed | Declined:
        return self.placement.place(request, self.hosts, "howrah", 0.0)

    def keep(self, host: str) -> None:
        """Let an engine keep the shared parts of the requests."""
        chain = hash_parts("m", PARTS)[:-1]
        self.placement.record_parts(PartsRead(host, 0, tuple(chain)))

    def load(self, host: str, seconds: float, answers: int = 0) -> None:
        """Let another gateway have prompts of so many seconds at an engine."""
        waiting = WaitingTokens(0, int(seconds * INITIAL_PREFILL_RATE))
        share = PeerShare((waiting,), answers)
        self.placement._engines[host].take_share("peer", share, 0.0)


def make_request(objective: float = 0.6, **more: object) -> OpenRequest:
    work = Work("r", "", "llm", STREAM, b"", "m", prompt_tokens=6_000, prefix=5, **more)
    terms = Terms(objective=objective, parts=PARTS)
    return OpenRequest(work, 10.0, True, 0.0, terms)


HOME, OTHER, *_ = rank([host for host, role in HOSTS.items() if role == PREFILL], 5)


# A shared part is read at two engines: two gateways are the first to be asked for it at
# the same moment, and each chooses for itself.
def test_shared_parts_that_nobody_has_read_have_one_home() -> None:
    placed = World().place(make_request())
    assert placed[:2] == (PREFILL, HOME)


# Prompts pile up at one engine while others idle: that is the home of their parts by
# name, though nobody has read these yet.
def test_shared_parts_that_nobody_has_read_go_where_it_is_soonest() -> None:
    world = World()
    world.load(HOME, 0.15)
    assert world.place(make_request()).host != HOME


def test_prompt_stays_where_its_shared_parts_are_while_it_is_in_time() -> None:
    world = World()
    world.keep(OTHER)
    world.load(OTHER, 0.15)
    assert world.place(make_request()).host == OTHER


def test_prompt_leaves_its_shared_parts_when_it_would_be_late_there() -> None:
    world = World()
    world.keep(HOME)
    world.load(HOME, 0.6)
    placed = world.place(make_request())
    assert placed.stage == PREFILL
    assert placed.host != HOME


# Prompts with long shared parts are late while engines idle that would read them in
# time: what it costs to read the parts twice weighed more than that they are in time.
def test_prompt_leaves_long_shared_parts_where_it_would_be_late() -> None:
    world = World()
    parts = (PromptPart("b", 13_000), PromptPart("c", 500))
    chain = hash_parts("m", parts)[:-1]
    world.placement.record_parts(PartsRead(HOME, 0, tuple(chain)))
    world.load(HOME, 0.34)
    request = make_request()
    request.work = request.work._replace(prompt_tokens=13_500)
    request.terms = request.terms._replace(parts=parts)
    assert world.place(request).host != HOME


# Engines are still later: each late prompt is read by whoever is soonest, with all of
# its shared parts, though it would be late at their home as well.
def test_late_prompt_stays_near_its_shared_parts() -> None:
    world = World()
    world.keep(HOME)
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.load(host, 0.9 if host == HOME else 0.75)
    assert world.place(make_request()).host == HOME


def test_prompt_that_nobody_can_begin_in_time_is_refused_with_a_time() -> None:
    world = World()
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.load(host, 5.0)
    declined = world.place(make_request())
    assert isinstance(declined, Declined)
    assert declined.retry_after > 2.0


def test_answer_is_made_near_its_kv_cache_by_the_least_busy_engine() -> None:
    world = World()
    request = make_request()
    request.next_stage = DECODE
    request.kv = KvRef("p0", "p0:1", "h", 1)
    assert world.place(request)[:2] == (DECODE, "d0")
    world.load("d0", 0.0, answers=30)
    assert world.place(request)[:2] == (DECODE, "d1")


# Every request is refused though engines are there: with no engine for prompts left,
# those that make answers read them as well, if more slowly.
def test_engines_for_answers_read_prompts_when_no_other_is_left() -> None:
    world = World({"d0": DECODE, "d1": DECODE})
    assert world.place(make_request()).host in ("d0", "d1")


def test_nothing_is_placed_when_no_engine_makes_answers() -> None:
    declined = World({"p0": PREFILL}).place(make_request())
    assert isinstance(declined, Declined)
    assert "no engine makes answers" in declined.why
    assert declined.retry_after == pytest.approx(ORDER_SECONDS + ROLE_SECONDS)


# A gateway ends for a broken invariant: the only engine for answers could not fetch a
# KV cache and then crashed; the request is to be read by whoever makes its answer.
def test_prompt_whose_kv_cache_is_lost_waits_for_an_engine_for_answers() -> None:
    request = make_request()
    request.kv_lost = True
    declined = World({"p0": PREFILL}).place(request)
    assert isinstance(declined, Declined)


# All callers are refused for as long as the only engine for answers is gone, and come
# back in a crowd: their prompts could have been read meanwhile, and answered as soon as
# another engine has changed its role.
def test_prompt_is_read_where_its_caller_waits_longer_than_the_outage() -> None:
    world = World({"p0": PREFILL})
    request = make_request()
    assert isinstance(world.place(request), Declined)
    late = ORDER_SECONDS + ROLE_SECONDS - MIN_PATIENCE_SECONDS
    placed = world.placement.place(request, world.hosts, "howrah", late + 0.1)
    assert placed[:2] == (PREFILL, "p0")
    request.next_stage = DECODE
    declined = world.placement.place(request, world.hosts, "howrah", late + 0.2)
    assert isinstance(declined, Declined)
    world.placement.set_instance(make_instance("d0", DECODE))
    world.hosts.append(KnownHost("d0", "howrah", "llm", live=True))
    placed = world.placement.place(request, world.hosts, "howrah", late + 0.3)
    assert placed[:2] == (DECODE, "d0")


def make_short(name: str = "s") -> OpenRequest:
    work = Work(name, "", "llm", STREAM, b"", "m", prompt_tokens=600, prefix=5)
    parts = (PromptPart("own-" + name, 600),)
    return OpenRequest(work, 10.0, True, 0.0, Terms(objective=0.3, parts=parts))


def fill_prefill(world: World, seconds: float) -> None:
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.load(host, seconds)


# A short question's answer begins late although engines have time: all engines for
# prompts read long ones, and it waits behind them.
def test_prompt_late_everywhere_is_read_where_answers_are_made() -> None:
    world = World()
    assert world.place(make_short()).stage == PREFILL
    fill_prefill(world, 0.5)
    placed = world.place(make_short())
    assert (placed.stage, HOSTS[placed.host]) == (WHOLE, DECODE)


def test_prompts_stay_away_from_busy_answers() -> None:
    world = World()
    fill_prefill(world, 0.5)
    for host in ("d0", "d1"):
        world.load(host, 0.0, answers=int(SLOTS * WHOLE_SHARE))
    assert world.place(make_short()).stage == PREFILL


# All answers of an engine pause: prompts are given to it beside them without a bound.
def test_prompts_beside_answers_are_bounded() -> None:
    world = World()
    fill_prefill(world, 0.5)
    for number in range(2 * WHOLE_TOKENS // 600 + 2):
        request = make_short(f"s{number}")
        request.host = world.place(request).host
        known = next(host for host in world.hosts if host.host == request.host)
        request.stage = WHOLE if HOSTS[request.host] == DECODE else PREFILL
        world.placement.begin(request, known, 0.0)
    assert HOSTS[request.host] == PREFILL
    for host in ("d0", "d1"):
        assert 0 < world.placement._engines[host].count_tokens() <= WHOLE_TOKENS


def test_prompt_beside_answers_is_read_once_the_answer_begins() -> None:
    world = World()
    request = make_short()
    request.stage, request.host = WHOLE, "d0"
    known = next(host for host in world.hosts if host.host == "d0")
    world.placement.begin(request, known, 0.0)
    engine = world.placement._engines["d0"]
    assert (engine.count_tokens(), engine.count_answers()) == (600, 1)
    world.placement.record_progress(request, known, 0.1)
    assert (engine.count_tokens(), engine.count_answers()) == (0, 1)
    world.placement.end(request, known)
    assert (engine.count_tokens(), engine.count_answers()) == (0, 0)


def test_call_goes_to_the_host_with_the_fewest_open_calls() -> None:
    world = World()
    work = Work("r", "", "llm", CALL, b"")
    request = OpenRequest(work, 10.0, False, 0.0)
    for host in world.hosts:
        host.in_flight = 2
    world.hosts[3].in_flight = 0
    assert world.place(request).host == world.hosts[3].host


# Prompts go to an engine for parts that it has long dropped, and are read there again:
# the engine was listed before the first configuration was read, and its memory is taken
# to be as large as was assumed until then, for as long as the engine is listed.
def test_memory_is_as_configured_whatever_is_known_first() -> None:
    world = World()
    world.placement.configure([UpstreamTerms("llm", EngineTerms(8_000))])
    home = next(host for host in world.hosts if host.host == HOME)
    request = make_request()
    world.placement.begin(request, home, 0.0)
    cache = world.placement._engines[HOME].cache
    assert cache.count("m", PARTS) == 0
    world.placement.configure([UpstreamTerms("llm", EngineTerms(10_000))])
    world.placement.begin(request, home, 0.0)
    assert cache.count("m", PARTS) == 6_000


class Notes(Observer):
    """Keep which upstreams' answers were told of."""

    def __init__(self) -> None:
        self.answered: list[str] = []

    def record_answer(self, upstream: str, *more: float) -> None:
        self.answered.append(upstream)


# Plain services are reported to all gateways as if engines stood behind them.
def test_only_engines_answers_are_learned_from() -> None:
    world = World()
    world.placement.observer = notes = Notes()
    request = make_request()
    desk = KnownHost("desk-1", "howrah", "desk", live=True)
    engine = next(host for host in world.hosts if host.host == "d0")
    for host in (desk, engine):
        world.placement.finish(request, host)
    assert notes.answered == ["llm"]
