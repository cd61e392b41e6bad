"""Tests of the planner."""

import pytest

from radishtally.authority.plan import Plan, Wanted, make_next_plan
from radishtally.configuration.config import Policy
from radishtally.links.messages import DECODE, MIXED, PREFILL
from radishtally.planner.core import (
    CHANGE_TIMEOUT_SECONDS,
    Configured,
    HostGone,
    LeaseGained,
    LeaseLost,
    LoadReported,
    Planner,
    PlanNotWritten,
    PlanWritten,
    Tick,
    handle,
)
from radishtally.planner.demand import DemandRates, WorkCounters
from tests.planner.common import (
    COST,
    LONG_ANSWERS,
    LONG_PROMPTS,
    POOL,
    add_counts,
    make_load,
)

START = (PREFILL, PREFILL, DECODE, DECODE, DECODE, MIXED)
SWITCH_SECONDS = 8


class Fleet:
    """Drive a planner with engines that carry out its plans after some seconds."""

    def __init__(self, policy: Policy = COST) -> None:
        self.planner = Planner()
        self.now = 0.0
        self.roles = {f"gown-{number}": role for number, role in enumerate(START)}
        self.counts = dict.fromkeys(self.roles, WorkCounters(0, 0, 0, 0))
        self.pending_changes: dict[str, tuple[float, str]] = {}
        self.commands = []
        self.changed_at: list[float] = []
        self.carries_out_plans = True
        handle(Configured(policy, dict(self.roles)), self.planner, 0.0)

    def gain(self, plan: Plan | None = None) -> None:
        handle(LeaseGained(7, plan), self.planner, self.now)

    def run(self, demand: DemandRates, seconds: int, write: bool = True) -> None:
        for _ in range(seconds):
            self.now += 1.0
            self._carry_out()
            self._report(demand)
            for command in handle(Tick(), self.planner, self.now):
                self.commands.append(command)
                if write:
                    self._write(command)

    def _carry_out(self) -> None:
        for host, (at, role) in list(self.pending_changes.items()):
            if self.now >= at:
                self.roles[host] = role
                del self.pending_changes[host]

    def _report(self, demand: DemandRates) -> None:
        share = 1.0 / len(self.roles)
        for host, role in self.roles.items():
            self.counts[host] = add_counts(self.counts[host], demand, share)
            load = make_load(host, role, draining=host in self.pending_changes)
            handle(LoadReported(POOL, load, self.counts[host]), self.planner, self.now)

    def _write(self, command) -> None:
        plan = make_next_plan(
            "howrah", command.previous, 7, command.cause, command.wanted
        )
        handle(PlanWritten(plan), self.planner, self.now)
        for host, wanted in command.wanted.items():
            if wanted.role != self.roles[host] and host not in self.pending_changes:
                self.changed_at.append(self.now)
                if self.carries_out_plans:
                    self.pending_changes[host] = (
                        self.now + SWITCH_SECONDS,
                        wanted.role,
                    )


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet()
    fleet.gain()
    return fleet


def test_lasting_mix_is_followed(fleet):
    fleet.run(LONG_PROMPTS, 600)
    assert list(fleet.roles.values()).count(PREFILL) > 2
    assert 1 <= len(fleet.changed_at) <= 4


def test_alternating_mix_is_not_followed(fleet):
    """The mix alternates each minute, and a role change takes 8 seconds or more.

    A planner that follows each mix changes a role in nearly every minute, lacks an
    engine for much of it and always has the split of the minute before. It should find
    the best split for both mixes and then keep it.
    """
    for _ in range(15):
        fleet.run(LONG_PROMPTS, 60)
        fleet.run(LONG_ANSWERS, 60)
    assert len(fleet.changed_at) <= 3
    assert max(fleet.changed_at, default=0.0) < 300


def test_changes_are_sequential_and_respect_the_dwell_time(fleet):
    fleet.run(LONG_PROMPTS, 400)
    fleet.run(LONG_ANSWERS, 400)
    gaps = [b - a for a, b in zip(fleet.changed_at, fleet.changed_at[1:], strict=False)]
    assert len(gaps) >= 1
    assert min(gaps) >= COST.min_dwell_seconds + SWITCH_SECONDS - 1


def test_without_lease_state_is_tracked_and_nothing_is_written():
    """An entry without the lease receives the same reports as the holder.

    The holder crashes during a lasting mix, and the next one decides at its first tick.
    A cold start would need a minute to know that the mix lasts.
    """
    fleet = Fleet()
    fleet.run(LONG_PROMPTS, 200)
    assert fleet.commands == []
    fleet.gain()
    fleet.run(LONG_PROMPTS, 1)
    assert len(fleet.commands) == 1


def test_losing_the_lease_drops_the_pending_plan(fleet):
    """The lease is lost while a plan's write is in flight.

    The next holder decides by the table. A plan that is kept here would lead to a
    conflicting order when the lease is gained again.
    """
    fleet.run(LONG_PROMPTS, 200, write=False)
    [command] = fleet.commands
    plan = make_next_plan("howrah", None, 7, command.cause, command.wanted)
    handle(LeaseLost(), fleet.planner, fleet.now)
    handle(PlanWritten(plan), fleet.planner, fleet.now)
    assert fleet.planner.plan is None
    fleet.run(LONG_PROMPTS, 100)
    assert len(fleet.commands) == 1
    fleet.gain(plan)
    assert fleet.planner.plan == plan
    assert fleet.planner.pending is None


def test_late_result_of_an_old_write_does_not_end_a_new_one(fleet):
    fleet.run(LONG_PROMPTS, 200, write=False)
    old = Plan("howrah", 1, 6, "", {})
    handle(PlanWritten(old), fleet.planner, fleet.now)
    assert fleet.planner.pending is not None
    assert fleet.planner.plan is None


def test_writes_are_sequential_and_retried_after_failure(fleet):
    fleet.run(LONG_PROMPTS, 200, write=False)
    assert len(fleet.commands) == 1
    handle(PlanNotWritten(), fleet.planner, fleet.now)
    fleet.run(LONG_PROMPTS, 1, write=False)
    assert len(fleet.commands) == 2


def test_change_in_progress_at_takeover_blocks_others():
    """The former holder crashed after writing a plan that is not carried out yet.

    If the new holder planned another change, two engines would be away at once.
    """
    fleet = Fleet()
    fleet.run(LONG_PROMPTS, 200)
    wanted = {"gown-2": Wanted(PREFILL, "gown", "1")}
    fleet.gain(Plan("howrah", 3, 6, "", wanted))
    fleet.run(LONG_PROMPTS, 20)
    assert fleet.commands == []
    fleet.roles["gown-2"] = PREFILL
    fleet.run(LONG_PROMPTS, 20)
    assert fleet.commands == []
    fleet.run(LONG_PROMPTS, 60)
    assert len(fleet.commands) >= 1
    assert fleet.commands[0].wanted["gown-2"] == wanted["gown-2"]
    assert fleet.commands[0].previous.number == 3


def test_engine_crashed_during_its_change_does_not_block_the_pool(fleet):
    fleet.carries_out_plans = False
    while not fleet.commands:
        fleet.run(LONG_PROMPTS, 1)
    timeout = int(COST.drain_seconds + CHANGE_TIMEOUT_SECONDS)
    fleet.run(LONG_PROMPTS, timeout - 1)
    assert len(fleet.commands) == 1
    fleet.run(LONG_PROMPTS, int(COST.min_dwell_seconds) + 2)
    assert len(fleet.commands) == 2


def test_silent_and_removed_engines_do_not_count(fleet):
    fleet.run(LONG_PROMPTS, 30)
    state = fleet.planner.pools[POOL]
    assert len(fleet.planner.describe_pool(state, fleet.now).engines) == 6
    assert fleet.planner.describe_pool(state, fleet.now + 60).engines == ()
    handle(HostGone("gown-0"), fleet.planner, fleet.now)
    assert len(fleet.planner.describe_pool(state, fleet.now).engines) == 5


def test_queued_prefill_counts_as_demand(fleet):
    fleet.run(DemandRates(1_000.0, 100.0, 1.0, 0.0), 30)
    state = fleet.planner.pools[POOL]
    before = state.estimate_demand(fleet.now).prefill_tokens
    state.record_load(make_load("gown-0", PREFILL, prefill_backlog=10.0), fleet.now)
    assert state.estimate_demand(fleet.now).prefill_tokens == pytest.approx(
        before + 9_500
    )
