"""Tests of the admission queue."""

import pytest

from radishtally.limits.queue import Rates, Reason, Rejection, WorkQueue
from radishtally.outcome import Error, Ok
from tests.limits.common import RATES, make_job, make_running


@pytest.fixture
def queue() -> WorkQueue:
    return WorkQueue(length=20, team_length=10)


def pop_teams(queue: WorkQueue, number: int) -> list[str]:
    return [queue.pop_next(0.0).team for _ in range(number)]


@pytest.mark.parametrize(
    ("running", "queued", "expected"),
    [
        ([], 0, 0.5),
        ([make_running()], 0, 0.5),
        ([make_running(50), make_running(100)], 0, 1.5),
        ([make_running(50, prefill_left=300)], 0, 0.8),
        ([], 1, 1.0),
        # Both slots hold a job each until 1.0 and 1.5 s; the third starts at 1.0.
        ([], 2, 1.5),
    ],
)
def test_predicts_the_first_token(queue, running, queued, expected):
    for _ in range(queued):
        queue.admit(make_job(), RATES, running, 0.0)
    assert queue.admit(make_job(), RATES, running, 0.0) == Ok(pytest.approx(expected))


@pytest.mark.parametrize(
    ("more", "rates", "reason"),
    [
        ({"deadline": 0.9}, RATES, Reason.DEADLINE),
        ({"prompt_tokens": 1_000_000}, RATES, Reason.DEADLINE),
        ({}, RATES._replace(slots=0), Reason.NO_SLOTS),
    ],
)
def test_refuses_what_cannot_be_met(queue, more, rates, reason):
    result = queue.admit(make_job(**more), rates, [], 0.0)
    assert result.is_error()
    assert result.error.reason == reason
    assert 0 < result.error.retry_after <= 5
    assert len(queue) == 0


def test_bounds_the_queue_and_each_team(queue):
    for _ in range(10):
        assert queue.admit(make_job("a"), RATES, [], 0.0).is_ok()
    refused = queue.admit(make_job("a"), RATES, [], 0.0)
    assert refused.error.reason == Reason.TEAM_FULL
    for _ in range(10):
        assert queue.admit(make_job("b"), RATES, [], 0.0).is_ok()
    refused = queue.admit(make_job("c"), RATES, [], 0.0)
    assert refused.error.reason == Reason.FULL


def test_queues_an_attempt_once(queue):
    job = make_job()
    assert queue.admit(job, RATES, [], 0.0).is_ok()
    assert queue.admit(job, RATES, [], 0.0).is_ok()
    assert len(queue) == 1
    assert queue.drain() == [job]


def test_removes_an_attempt_once(queue):
    job = make_job()
    queue.admit(job, RATES, [], 0.0)
    assert not queue.remove(job.request, attempt=2)
    assert queue.remove(job.request, attempt=1)
    assert not queue.remove(job.request, attempt=1)
    assert queue.pop_next(0.0) is None


def test_serves_by_priority_then_share_then_slack(queue):
    jobs = [
        make_job("low", priority=1),
        make_job("a", deadline=90.0),
        make_job("a", deadline=80.0),
        make_job("b", deadline=99.0),
    ]
    for job in jobs:
        queue.admit(job, RATES, [], 0.0)
    assert [queue.pop_next(0.0) for _ in jobs] == [jobs[2], jobs[3], jobs[1], jobs[0]]


def test_shares_turns_by_weight(queue):
    for _ in range(9):
        queue.admit(make_job("a", share=2.0), RATES, [], 0.0)
        queue.admit(make_job("b", share=1.0), RATES, [], 0.0)
    assert pop_teams(queue, 9).count("a") == 6


def test_a_flood_delays_the_other_team_by_its_share_only(queue):
    """Team a floods the queue; team b sends one job.

    Team b should wait for about one job of a, not for all ten: its start tag is the
    current virtual time, while the tags of a's jobs grow with each job. In order of
    arrival b would wait for 5 s or more.
    """
    running = [make_running(10), make_running(10)]
    for _ in range(10):
        queue.admit(make_job("a"), RATES, running, 0.0)
    flooding = queue.admit(make_job("a", priority=0), RATES, running, 0.0)
    other = queue.admit(make_job("b"), RATES, running, 0.0)
    assert flooding == Error(Rejection(Reason.TEAM_FULL, 5.0))
    assert other.ok <= 0.2 + 2 * 0.5 + 0.001
    assert "b" in pop_teams(queue, 2)


def test_a_team_gains_nothing_by_emptying_its_queue(queue):
    """Team a sends its next job after the last one started; b queues all at once.

    Without a stored finish tag, a would return at the current virtual time each time
    and be served before b's second job regardless of the service it already had.
    """
    for _ in range(8):
        queue.admit(make_job("b"), RATES, [], 0.0)
    taken = []
    for _ in range(6):
        if taken[-1:] != ["b"]:
            queue.admit(make_job("a", prompt_tokens=2_500), RATES, [], 0.0)
        taken += pop_teams(queue, 1)
    assert taken.count("a") <= 2


def test_expires_what_can_no_longer_be_met(queue):
    """The upstream stalls until queued jobs can no longer meet their deadline.

    Those are returned as not run, so that their callers can be served elsewhere. Jobs
    that can still meet their deadline stay and benefit from the freed time.
    """
    short = make_job("a", deadline=2.0)
    long = make_job("a", deadline=60.0)
    for job in (short, long):
        assert queue.admit(job, RATES, [], 0.0).is_ok()
    stalled = [make_running(100), make_running(100)]
    assert queue.expire(RATES, stalled, 0.0) == [short]
    assert queue.expire(RATES, stalled, 0.0) == []
    assert queue.pop_next(0.0) == long


def test_expiry_leaves_work_admitted_just_in_time(queue):
    """The rates fluctuate by a few per cent between admission and the next check."""
    job = make_job(deadline=1.0)
    assert queue.admit(job, RATES, [], 0.0).is_ok()
    slower = Rates(950.0, 0.021, 2)
    assert queue.expire(slower, [], 0.0) == []


def test_drain_returns_all_jobs_in_order(queue):
    jobs = [make_job("a", deadline=90.0 - number) for number in range(3)]
    for job in jobs:
        queue.admit(job, RATES, [], 0.0)
    assert queue.prefill_backlog(RATES) == pytest.approx(1.5)
    assert queue.drain() == jobs[::-1]
    assert len(queue) == 0
    assert queue.prefill_backlog(RATES) == 0


def test_predicted_wait_counts_work_of_normal_priority_and_above(queue):
    running = [make_running(50), make_running(50)]
    assert queue.predict_wait(RATES, [], 0.0) == 0
    assert queue.predict_wait(RATES, running, 0.0) == pytest.approx(1.0)
    queue.admit(make_job(priority=1), RATES, running, 0.0)
    assert queue.predict_wait(RATES, running, 0.0) == pytest.approx(1.0)
    queue.admit(make_job(priority=-1), RATES, running, 0.0)
    assert queue.predict_wait(RATES, running, 0.0) == pytest.approx(1.5)


def test_a_plain_service_has_slots_only(queue):
    rates = Rates(prefill_rate=0.0, decode_seconds=0.0, slots=1)
    job = make_job(prompt_tokens=0, output_tokens=0)
    assert queue.admit(job, rates, [], 0.0) == Ok(0.0)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_work_without_cost_uses_up_its_turn(queue, share):
    """Calls of a plain service count no tokens, and one team keeps sending them.

    If they cost nothing, that team's start tag would stay the lowest for ever and the
    other team would starve.
    """
    rates = Rates(prefill_rate=0.0, decode_seconds=0.0, slots=1)
    for team in "aaabbb":
        job = make_job(team, share=share, prompt_tokens=0, output_tokens=0)
        queue.admit(job, rates, [], 0.0)
    assert sorted(pop_teams(queue, 4)) == ["a", "a", "b", "b"]
