"""Property tests of the admission queue under any order of events."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from radishtally.limits.queue import Job, WorkQueue
from tests.limits.common import RATES, make_job, make_running

TEAMS = st.sampled_from("abc")


class QueueMachine(RuleBasedStateMachine):
    """Drive a queue and track the jobs that it holds."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue = WorkQueue(length=12, team_length=6)
        self.queued: dict[tuple[str, int], Job] = {}
        self.running = [make_running(20)]

    @rule(
        team=TEAMS,
        priority=st.integers(0, 2),
        share=st.sampled_from([0.5, 1.0, 4.0]),
        prompt=st.integers(0, 3_000),
        output=st.integers(1, 200),
        budget=st.floats(0.0, 20.0),
    )
    def admit(self, team, priority, share, prompt, output, budget):
        job = make_job(
            team,
            priority=priority,
            share=share,
            prompt_tokens=prompt,
            output_tokens=output,
            arrived=self.now,
            deadline=self.now + budget,
        )
        result = self.queue.admit(job, RATES, self.running, self.now)
        if result.is_error():
            assert result.error.retry_after > 0
            return
        assert self.now + result.ok + RATES.decode_time(output) <= job.deadline
        self.queued[job.request, job.attempt] = job

    @precondition(lambda self: self.queued)
    @rule()
    def take(self):
        job = self.queue.pop_next(self.now)
        assert job.priority == min(item.priority for item in self.queued.values())
        self.forget(job)

    @precondition(lambda self: self.queued)
    @rule(data=st.data())
    def remove(self, data):
        request, attempt = data.draw(st.sampled_from(sorted(self.queued)))
        assert self.queue.remove(request, attempt)
        self.forget(self.queued[request, attempt])

    @rule(seconds=st.floats(0.0, 5.0))
    def pass_time(self, seconds):
        self.now += seconds
        for job in self.queue.expire(RATES, self.running, self.now):
            self.forget(job)

    @rule()
    def drain(self):
        for job in self.queue.drain():
            self.forget(job)
        assert not self.queued

    def forget(self, job):
        assert self.queued.pop((job.request, job.attempt)) == job

    @invariant()
    def queue_matches_the_model(self):
        assert len(self.queue) == len(self.queued) <= 12
        tokens = sum(job.prompt_tokens for job in self.queued.values())
        assert abs(self.queue.prefill_backlog(RATES) - tokens / 1_000) < 1e-6


TestQueue = QueueMachine.TestCase


@given(st.lists(st.tuples(TEAMS, st.integers(1, 3_000)), min_size=1, max_size=60))
def test_no_team_starves_within_a_priority(arrivals):
    """A first job waits while others keep arriving, one for each that starts.

    Later jobs of its team start after it unless they are more urgent, and other teams
    overtake it by their share only, so it must start before its latest start time.
    """
    queue = WorkQueue()
    first = make_job("victim", deadline=1_000.0)
    queue.admit(first, RATES, [], 0.0)
    passed = 0.0
    for team, prompt in arrivals:
        job = make_job(team, prompt_tokens=prompt, deadline=1_000.0 + passed)
        queue.admit(job, RATES, [], 0.0)
        taken = queue.pop_next(passed)
        if taken == first:
            return
        passed += 1.0
        assert passed <= 3, "each other team gets one job at most before it"
    assert queue.pop_next(passed) == first


@given(
    flood=st.integers(0, 60),
    sizes=st.lists(st.integers(1, 2_000), min_size=1, max_size=5),
)
def test_a_flood_extends_another_wait_by_its_share_at_most(flood, sizes):
    """Compare team b's predicted wait with and without a flood from team a.

    At equal shares a gets as much service as b, plus one job that had already started.
    """
    waits = []
    for number in (0, flood):
        queue = WorkQueue()
        for _ in range(number):
            queue.admit(make_job("a"), RATES, [], 0.0)
        for size in sizes:
            wait = queue.admit(make_job("b", prompt_tokens=size), RATES, [], 0.0)
        waits.append(wait.ok)
    own = sum(size / 1_000 + 0.5 for size in sizes)
    assert waits[1] <= waits[0] + own + 2 * 1.0


@given(
    shares=st.tuples(st.sampled_from([1.0, 2.0, 3.0]), st.sampled_from([1.0, 4.0])),
    turns=st.integers(10, 60),
)
def test_backlogged_teams_get_their_shares(shares, turns):
    queue = WorkQueue(length=400, team_length=200)
    for _ in range(70):
        for team, share in zip("ab", shares, strict=True):
            queue.admit(make_job(team, share=share), RATES, [], 0.0)
    taken = [queue.pop_next(0.0).team for _ in range(turns)]
    per_share = [taken.count(t) / s for t, s in zip("ab", shares, strict=True)]
    assert abs(per_share[0] - per_share[1]) <= 1 / shares[0] + 1 / shares[1]
