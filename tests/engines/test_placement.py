"""Tests of placing requests on engines."""

import pytest

from radishtally.direct.core import Instance
from radishtally.engines.cache import hash_parts
from radishtally.engines.choice import (
    MAX_WHOLE_FILL,
    MAX_WHOLE_PROMPT_TOKENS,
    MIN_CALLER_TIMEOUT_SECONDS,
)
from radishtally.engines.core import Observer
from radishtally.engines.placement import (
    DEFAULT_ENGINE_TERMS,
    MAX_ANSWER_EVENTS,
    ROLE_ORDER_SECONDS,
    EnginePlacement,
)
from radishtally.engines.state import INITIAL_PREFILL_RATE, PeerShare
from radishtally.links.gateway_messages import PartsRead, WaitingTokens
from radishtally.links.messages import CALL, DECODE, PREFILL, STREAM, WHOLE, KvRef, Work
from radishtally.routes.config import EngineTerms, UpstreamTerms
from radishtally.routing.core import rank
from radishtally.serving.hosts import KnownHost
from radishtally.serving.placement import Declined, Placed
from radishtally.serving.requests import OpenRequest
from radishtally.serving.terms import PromptPart, Terms

ROLE_SECONDS = DEFAULT_ENGINE_TERMS.role_seconds
PLACES = ("howrah", "new-town")
SLOTS = 64
PARTS = (PromptPart("a", 500), PromptPart("b", 5_000), PromptPart("c", 500))
HOSTS = {f"p{n}": PREFILL for n in range(4)} | {f"d{n}": DECODE for n in range(2)}


def make_instance(host: str, role: str, place: str = "howrah") -> Instance:
    return Instance(host, "llm", f"{host}:1", place, False, SLOTS, role)


class World:
    """Hold a placement and its hosts."""

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

    def cache_parts(self, host: str) -> None:
        """Report the shared parts of the requests as cached at an engine."""
        chain = hash_parts("m", PARTS)[:-1]
        self.placement.record_parts(PartsRead(host, 0, tuple(chain)))

    def add_load(self, host: str, seconds: float, answers: int = 0) -> None:
        """Report prompts of another gateway at an engine, in seconds of prefill."""
        waiting = WaitingTokens(0, int(seconds * INITIAL_PREFILL_RATE))
        share = PeerShare((waiting,), answers)
        self.placement._engines[host].record_peer_share("peer", share, 0.0)


def make_request(objective: float = 0.6, **more: object) -> OpenRequest:
    work = Work("r", "", "llm", STREAM, b"", "m", prompt_tokens=6_000, prefix=5, **more)
    terms = Terms(objective=objective, parts=PARTS)
    return OpenRequest(work, 10.0, True, 0.0, terms)


PREFERRED, OTHER, *_ = rank(
    [host for host, role in HOSTS.items() if role == PREFILL], 5
)


# When two gateways receive the first requests for a shared part at the same time, both
# must choose the same engine, or the part is prefilled twice.
def test_uncached_parts_go_to_the_engine_chosen_by_hash() -> None:
    placed = World().place(make_request())
    assert placed[:2] == (PREFILL, PREFERRED)


# If uncached parts always went to the engine chosen by hash, prompts would queue there
# while other engines are idle.
def test_uncached_parts_avoid_a_busy_engine() -> None:
    world = World()
    world.add_load(PREFERRED, 0.15)
    assert world.place(make_request()).host != PREFERRED


def test_prompt_goes_to_its_cached_parts_while_on_time() -> None:
    world = World()
    world.cache_parts(OTHER)
    world.add_load(OTHER, 0.15)
    assert world.place(make_request()).host == OTHER


def test_prompt_leaves_its_cached_parts_if_late_there() -> None:
    world = World()
    world.cache_parts(PREFERRED)
    world.add_load(PREFERRED, 0.6)
    placed = world.place(make_request())
    assert placed.stage == PREFILL
    assert placed.host != PREFERRED


# The penalty for repeated prefill of a long shared part must not outweigh that the
# prompt is late there while idle engines could prefill it on time.
def test_prompt_leaves_long_cached_parts_if_late_there() -> None:
    world = World()
    parts = (PromptPart("b", 13_000), PromptPart("c", 500))
    chain = hash_parts("m", parts)[:-1]
    world.placement.record_parts(PartsRead(PREFERRED, 0, tuple(chain)))
    world.add_load(PREFERRED, 0.34)
    request = make_request()
    request.work = request.work._replace(prompt_tokens=13_500)
    request.terms = request.terms._replace(parts=parts)
    assert world.place(request).host != PREFERRED


# A prompt that is late everywhere must not repeat the prefill of its shared parts at
# the earliest engine, which would delay all engines further.
def test_late_prompt_stays_with_its_cached_parts() -> None:
    world = World()
    world.cache_parts(PREFERRED)
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.add_load(host, 0.9 if host == PREFERRED else 0.75)
    assert world.place(make_request()).host == PREFERRED


def test_prompt_late_everywhere_is_declined_with_retry_after() -> None:
    world = World()
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.add_load(host, 5.0)
    declined = world.place(make_request())
    assert isinstance(declined, Declined)
    assert declined.retry_after > 2.0


def test_decode_prefers_near_and_idle_engines() -> None:
    world = World()
    request = make_request()
    request.next_stage = DECODE
    request.kv = KvRef("p0", "p0:1", "h", 1)
    assert world.place(request)[:2] == (DECODE, "d0")
    world.add_load("d0", 0.0, answers=30)
    assert world.place(request)[:2] == (DECODE, "d1")


# Without a prefill engine, decode engines must also prefill, if more slowly, instead of
# every request being refused.
def test_decode_engines_prefill_without_prefill_engines() -> None:
    world = World({"d0": DECODE, "d1": DECODE})
    assert world.place(make_request()).host in ("d0", "d1")


def test_prompt_is_declined_without_decode_engines() -> None:
    declined = World({"p0": PREFILL}).place(make_request())
    assert isinstance(declined, Declined)
    assert "no decode engine" in declined.why
    assert declined.retry_after == pytest.approx(ROLE_ORDER_SECONDS + ROLE_SECONDS)


# The only decode engine failed to fetch a KV cache and then crashed. The prompt has to
# be prefilled by the engine that decodes it; placing it on a prefill engine would break
# an invariant and end the gateway.
def test_prompt_with_lost_kv_cache_waits_for_a_decode_engine() -> None:
    request = make_request()
    request.kv_lost = True
    declined = World({"p0": PREFILL}).place(request)
    assert isinstance(declined, Declined)


# If all callers were refused while the only decode engine is gone, they would retry all
# at once. Prompts whose callers wait long enough are prefilled in the meantime, and
# decoded as soon as another engine has changed its role.
def test_prompt_is_prefilled_if_its_caller_outwaits_the_outage() -> None:
    world = World({"p0": PREFILL})
    request = make_request()
    assert isinstance(world.place(request), Declined)
    late = ROLE_ORDER_SECONDS + ROLE_SECONDS - MIN_CALLER_TIMEOUT_SECONDS
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


def load_prefill_engines(world: World, seconds: float) -> None:
    for host, role in HOSTS.items():
        if role == PREFILL:
            world.add_load(host, seconds)


# While all prefill engines work on long prompts, a short one would be late behind them,
# although decode engines have time for it.
def test_short_prompt_late_at_prefill_engines_goes_to_decode_engine() -> None:
    world = World()
    assert world.place(make_short()).stage == PREFILL
    load_prefill_engines(world, 0.5)
    placed = world.place(make_short())
    assert (placed.stage, HOSTS[placed.host]) == (WHOLE, DECODE)


def test_busy_decode_engines_get_no_prompts() -> None:
    world = World()
    load_prefill_engines(world, 0.5)
    for host in ("d0", "d1"):
        world.add_load(host, 0.0, answers=int(SLOTS * MAX_WHOLE_FILL))
    assert world.place(make_short()).stage == PREFILL


# Without a bound, prompts at a decode engine would stall all of its answers.
def test_prompts_at_decode_engines_are_bounded() -> None:
    world = World()
    load_prefill_engines(world, 0.5)
    for number in range(2 * MAX_WHOLE_PROMPT_TOKENS // 600 + 2):
        request = make_short(f"s{number}")
        request.host = world.place(request).host
        known = next(host for host in world.hosts if host.host == request.host)
        request.stage = WHOLE if HOSTS[request.host] == DECODE else PREFILL
        world.placement.begin(request, known, 0.0)
    assert HOSTS[request.host] == PREFILL
    for host in ("d0", "d1"):
        assert (
            0
            < world.placement._engines[host].count_pending_tokens()
            <= MAX_WHOLE_PROMPT_TOKENS
        )


def test_prompt_at_decode_engine_is_done_when_its_answer_starts() -> None:
    world = World()
    request = make_short()
    request.stage, request.host = WHOLE, "d0"
    known = next(host for host in world.hosts if host.host == "d0")
    world.placement.begin(request, known, 0.0)
    engine = world.placement._engines["d0"]
    assert (engine.count_pending_tokens(), engine.count_answers()) == (600, 1)
    world.placement.record_progress(request, known, 0.1)
    assert (engine.count_pending_tokens(), engine.count_answers()) == (0, 1)
    world.placement.end_attempt(request, known)
    assert (engine.count_pending_tokens(), engine.count_answers()) == (0, 0)


def test_call_goes_to_host_with_fewest_open_calls() -> None:
    world = World()
    work = Work("r", "", "llm", CALL, b"")
    request = OpenRequest(work, 10.0, False, 0.0)
    for host in world.hosts:
        host.in_flight = 2
    world.hosts[3].in_flight = 0
    assert world.place(request).host == world.hosts[3].host


# If an engine that is listed before the first configuration is read kept the assumed
# cache size, prompts would be sent there for parts that it has long evicted.
def test_cache_size_follows_configuration_of_listed_engines() -> None:
    world = World()
    world.placement.configure([UpstreamTerms("llm", EngineTerms(8_000))])
    preferred = next(host for host in world.hosts if host.host == PREFERRED)
    request = make_request()
    world.placement.begin(request, preferred, 0.0)
    cache = world.placement._engines[PREFERRED].cache
    assert cache.count_cached_tokens("m", PARTS) == 0
    world.placement.configure([UpstreamTerms("llm", EngineTerms(10_000))])
    world.placement.begin(request, preferred, 0.0)
    assert cache.count_cached_tokens("m", PARTS) == 6_000


class AnswerRecorder(Observer):
    """Record the upstreams of complete answers."""

    def __init__(self) -> None:
        self.answered: list[str] = []

    def record_answer(self, upstream: str, *more: float) -> None:
        self.answered.append(upstream)


# Demand must not be reported for plain services, which have no engines.
def test_only_answers_of_engines_are_recorded() -> None:
    world = World()
    world.placement.observer = recorder = AnswerRecorder()
    request = make_request()
    desk = KnownHost("desk-1", "howrah", "desk", live=True)
    engine = next(host for host in world.hosts if host.host == "d0")
    for host in (desk, engine):
        world.placement.record_completion(request, host)
    assert recorder.answered == ["llm"]


# Guards against demand and pace that one answer distorts for hours: ids that increase
# by more than one don't count its events.
def test_event_ids_too_large_to_count_events_are_not_measured() -> None:
    world = World()
    world.placement.observer = recorder = AnswerRecorder()
    engine = next(host for host in world.hosts if host.host == "d0")
    for tokens in (MAX_ANSWER_EVENTS + 1, MAX_ANSWER_EVENTS):
        request = make_request()
        request.tokens = tokens
        world.placement.record_progress(request, engine, 0.0)
        world.placement.record_completion(request, engine)
    assert recorder.answered == ["llm"]
    assert world.placement._engines["d0"].last_events == {"r": (0.0, MAX_ANSWER_EVENTS)}


# Guards against an engine that gets no work for long: it has its new role already, was
# restarted, or has never carried out the order.
@pytest.mark.parametrize("end", ["listed", "restarted", "timeout"])
def test_engine_gets_work_again_after_its_role_change(end: str) -> None:
    world = World()
    placement, now = world.placement, 0.0
    request = make_request()
    request.next_stage = DECODE
    placement.record_role_order(placement.describe_role_order("d0", PREFILL), now)
    assert world.place(request).host == "d1"
    if end == "listed":
        placement.set_instance(make_instance("d0", PREFILL))
        placement.set_instance(make_instance("d0", DECODE))
    elif end == "restarted":
        placement.reset_engine("d0")
        placement.set_instance(make_instance("d0", DECODE))
    else:
        now += 20.0
    hosts, chosen = world.hosts, set()
    for _ in range(40):
        chosen.add(placement.place(request, hosts, "warwick", now).host)
    assert chosen == {"d0", "d1"}
