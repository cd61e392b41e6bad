"""Tests of the guarantees to callers, with entries and agents together."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from radishtally.agent import events as agent_events
from radishtally.links.messages import CALL, CHAT, Work
from radishtally.outcome import Refusal
from tests.entry.network import DOWN, UP
from tests.entry.world import POOL, World

ENTRIES = st.sampled_from(["entry-0", "entry-1"])
AGENTS = st.sampled_from(["agent-0", "agent-1", "agent-2"])
ROLES = ["prefill", "decode", "mixed"]
NUMBERS = st.integers(0, 7)
DEADLINES = st.sampled_from([30.0, 600.0])
SELDOM = st.integers(0, 2)
"""A fault that ends much work happens only for 0, in one of three cases."""


class Fleet(RuleBasedStateMachine):
    """Define the rules that cause no fault by themselves."""

    roles = ROLES
    only_kind = ""
    """The kind of all requests; empty for any kind."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(2, self.roles)
        self.count = 0

    def find_agent(self, agent: str) -> str:
        """Return the agent, or another one if this fleet doesn't have it."""
        return agent if agent in self.world.agents else "agent-0"

    def make_work(self, kind: str, body: int, **more: object) -> Work:
        self.count += 1
        tokens = 2_000 if body % 2 else 20
        return Work(
            f"r{self.count}",
            "team",
            POOL,
            kind,
            b"body-%d" % body,
            "m" if kind == CHAT else "",
            prompt_tokens=tokens if kind == CHAT else 0,
            max_tokens=3 if body % 3 else 50,
            **more,
        )

    @rule(
        entry=ENTRIES,
        body=NUMBERS,
        streamed=st.booleans(),
        key=st.booleans(),
        seconds=DEADLINES,
    )
    def ask_model(
        self, entry: str, body: int, streamed: bool, key: bool, seconds: float
    ) -> None:
        """Ask for text; a key may be repeated at any entry."""
        if self.only_kind == CALL:
            self.call_once(entry, body, "", seconds)
            return
        work = self.make_work(CHAT, body, key=f"k{body}" if key else "")
        self.world.open_request(work, entry, seconds, streamed)

    @rule(
        entry=ENTRIES,
        body=NUMBERS,
        key=st.sampled_from(["", "c1", "c2", "c3"]),
        seconds=DEADLINES,
    )
    def call_once(self, entry: str, body: int, key: str, seconds: float) -> None:
        """Make a call that is not idempotent; a key belongs to one body."""
        if self.only_kind == CHAT:
            self.ask_model(entry, body, not key, bool(key), seconds)
            return
        number = int(key[1:]) if key else body
        work = self.make_work(CALL, number, key=key, idempotent=False)
        self.world.open_request(work, entry, seconds, False)

    @rule(entry=ENTRIES, body=NUMBERS, seconds=DEADLINES)
    def call_again(self, entry: str, body: int, seconds: float) -> None:
        """Make an idempotent call whose runs give different answers."""
        if self.only_kind:
            self.call_once(entry, body, "c1", seconds)
            return
        work = self.make_work(CALL, body, method="GET")
        self.world.open_request(work, entry, seconds, False)

    @rule(
        number=NUMBERS, direction=st.sampled_from([UP, DOWN]), duplicated=st.booleans()
    )
    def deliver(self, number: int, direction: str, duplicated: bool) -> None:
        full = [link for link in self.world.links if link.queues[direction]]
        if full:
            link = full[number % len(full)]
            self.world.deliver(link, direction, duplicated)

    @rule()
    def deliver_all(self) -> None:
        self.world.deliver_all()

    @rule(agent=AGENTS)
    def step(self, agent: str) -> None:
        self.world.step(self.find_agent(agent))

    @rule(agent=AGENTS, whole=st.booleans())
    def export(self, agent: str, whole: bool) -> None:
        self.world.export(self.find_agent(agent), whole)

    @precondition(lambda self: self.world.claims.pending)
    @rule(away=st.booleans())
    def answer_claim(self, away: bool) -> None:
        self.world.answer_claim(away)

    @rule()
    def redial(self) -> None:
        self.world.redial()

    @rule(times=st.integers(1, 6))
    def run_steps(self, times: int) -> None:
        """Advance all processes by some steps."""
        for _ in range(times):
            self.world.run_steps(0.03)

    @invariant()
    def check_link_count(self) -> None:
        assert len(self.world.links) < 500

    def teardown(self) -> None:
        self.world.heal_and_finish()
        self.world.check_finished()


class FaultyFleet(Fleet):
    """Add faults of every kind."""

    @rule(seconds=st.sampled_from([0.02, 0.3, 0.6, 1.1, 2.1, 4.1]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(agent=AGENTS)
    def fail_upstream(self, agent: str) -> None:
        self.world.fail(self.find_agent(agent))

    @rule(agent=AGENTS, seldom=SELDOM)
    def change_readiness(self, agent: str, seldom: int) -> None:
        agent = self.find_agent(agent)
        self.world.ready[agent] = bool(seldom)
        self.world.read_upstream(agent)

    @rule(agent=AGENTS)
    def begin_abandoned(self, agent: str) -> None:
        self.world.upstreams[self.find_agent(agent)].begin_abandoned()

    @rule(number=NUMBERS, up=st.integers(0, 3), down=st.integers(0, 3))
    def cut(self, number: int, up: int, down: int) -> None:
        links = [link for link in self.world.links if not link.broken]
        if links:
            links[number % len(links)].cut(up, down)

    @rule(number=NUMBERS, agent=AGENTS)
    def run_without_link(self, number: int, agent: str) -> None:
        """Advance an upstream while links to its agent are cut."""
        agent = self.find_agent(agent)
        links = [k for k in self.world.links if k.ends.agent == agent and not k.broken]
        for link in links[: 1 + number % 2]:
            link.cut(0, 0)
        for _ in range(number):
            self.world.step(agent)

    @rule(number=NUMBERS)
    def replace_link(self, number: int) -> None:
        links = [link for link in self.world.links if link.known_up[DOWN]]
        if links:
            self.world.replace_link(links[number % len(links)])

    @rule(number=NUMBERS, end=st.sampled_from([UP, DOWN]))
    def notice_cut(self, number: int, end: str) -> None:
        broken = [k for k in self.world.links if k.broken and k.known_up[end]]
        if broken:
            self.world.notice_break(broken[number % len(broken)], end)

    @rule(agent=AGENTS, seldom=SELDOM)
    def kill_agent(self, agent: str, seldom: int) -> None:
        if not seldom:
            self.world.start_agent(self.find_agent(agent))

    @rule(entry=ENTRIES, seldom=SELDOM)
    def kill_entry(self, entry: str, seldom: int) -> None:
        if not seldom:
            self.world.start_entry(entry)

    @rule(entry=ENTRIES, seldom=SELDOM)
    def pause_entry(self, entry: str, seldom: int) -> None:
        """Pause an entry for longer than agents remember attempts."""
        if seldom:
            return
        self.world.paused.add(entry)
        for _ in range(26):
            self.world.advance(10.0)
        self.world.paused.discard(entry)
        for link in list(self.world.links):
            if link.ends.entry == entry and link.broken:
                self.world.notice_break(link, DOWN)
        self.world.redial()
        self.world.deliver_all()

    @rule(agent=AGENTS, seconds=st.sampled_from([0.0, 1.0]), final=st.booleans())
    def drain(self, agent: str, seconds: float, final: bool) -> None:
        event = agent_events.Drain(f"drain-{final}", seconds, final)
        self.world.to_agent(self.find_agent(agent), event)

    @rule(agent=AGENTS, final=st.booleans())
    def undrain(self, agent: str, final: bool) -> None:
        agent = self.find_agent(agent)
        self.world.to_agent(agent, agent_events.Undrain(f"drain-{final}"))

    @rule(number=NUMBERS)
    def disconnect_caller(self, number: int) -> None:
        names = [n for n, c in self.world.callers.items() if c.end is None]
        if names:
            self.world.disconnect_caller(names[number % len(names)])


class TextFleet(FaultyFleet):
    """Use one agent and text only, so that all attempts run at the same host."""

    roles = ["mixed"]
    only_kind = CHAT


class CallFleet(FaultyFleet):
    """Make only calls that are not idempotent."""

    roles = ["mixed", "mixed"]
    only_kind = CALL


class PlannedFleet(Fleet):
    """Add planned changes only: one agent at a time is drained or restarted."""

    leaving = ""

    @rule(agent=AGENTS)
    def drain(self, agent: str) -> None:
        agent = self.find_agent(agent)
        if not self.leaving:
            self.leaving = agent
            self.world.deliver_all()
            self.world.step(agent)
            self.world.step(agent)
            self.world.drained.discard(agent)
            self.world.to_agent(agent, agent_events.Drain("drain", 0.0))

    @precondition(lambda self: self.leaving)
    @rule(stopped=st.booleans())
    def undrain_or_restart(self, stopped: bool) -> None:
        """End the drain, or restart the agent once it has no work left."""
        agent, core = self.leaving, self.world.agents[self.leaving]
        if not stopped:
            self.world.to_agent(agent, agent_events.Undrain("drain"))
            self.leaving = ""
            return
        self.world.to_agent(agent, agent_events.Drain("stop", 0.0, final=True))
        for _ in range(20):
            self.world.run_steps(0.03)
        assert not core.running and not len(core.queue)
        assert agent in self.world.drained
        self.world.start_agent(agent)
        for link in list(self.world.links):
            if link.ends.agent == agent:
                self.world.notice_break(link, DOWN)
        self.leaving = ""

    def teardown(self) -> None:
        super().teardown()
        for caller in self.world.callers.values():
            if caller.work.request in self.world.ledger.begun:
                assert not isinstance(caller.end, Refusal), caller.end


class SingleAgentFleet(PlannedFleet):
    """Use one agent, so that there is no other host for work while it drains."""

    roles = ["mixed"]


@pytest.mark.parametrize("fleet", [FaultyFleet, TextFleet, CallFleet])
def test_callers_get_complete_answers_or_truthful_refusals(fleet: type[Fleet]) -> None:
    # Each caller gets its own complete answer or a truthful refusal. Links break
    # silently and lose suffixes, messages of old links arrive late, agents, entries
    # and engines die, hosts are drained, claims are denied and keys are repeated.
    # Attempt numbers, offsets, checksums and remembered names make late messages
    # harmless. Unless it is certain that a request did not run, it is "unknown".
    run_state_machine_as_test(
        fleet, settings=settings(max_examples=80, stateful_step_count=60)
    )


@pytest.mark.parametrize("fleet", [PlannedFleet, SingleAgentFleet])
def test_planned_changes_end_no_request(fleet: type[Fleet]) -> None:
    # Every request that began ends complete while agents are drained one at a time,
    # some of them restarted, and all links work. Streams are handed over with their
    # text so far, queued work is refused, and both wait for another host.
    run_state_machine_as_test(
        fleet, settings=settings(max_examples=50, stateful_step_count=30)
    )
