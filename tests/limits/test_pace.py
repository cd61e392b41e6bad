"""Tests of admission by the observed decode speed and by overtaking work."""

import pytest

from radishtally.limits.queue import WAIT_MARGIN, Reason, WorkQueue
from tests.limits.common import RATES, make_job, make_running


@pytest.fixture
def queue() -> WorkQueue:
    return WorkQueue(length=20, team_length=10)


def slow_down(queue: WorkQueue, now: float, seconds: float = 0.08) -> None:
    for _ in range(20):
        queue.record_tokens(seconds, 1, now)


def test_admits_by_the_observed_speed(queue):
    """An engine that also computes long prompts decodes four times slower.

    By the nominal rate the job takes 1 s; at the observed speed it takes 2.5 s. If it
    were admitted, it would be cut off at its deadline and its slot time wasted.
    """
    job = make_job(deadline=2.0)
    slow_down(queue, now=0.0)
    assert queue.admit(job, RATES, [], 0.0).error.reason == Reason.DEADLINE
    assert queue.admit(make_job(deadline=2.6), RATES, [], 0.0).is_ok()


def test_expires_what_the_observed_speed_cannot_meet(queue):
    """Jobs were admitted at the nominal speed; the engine has slowed down since."""
    job = make_job(deadline=2.0)
    assert queue.admit(job, RATES, [], 0.0).is_ok()
    slow_down(queue, now=0.0)
    assert queue.expire(RATES, [], 0.0) == [job]


def test_an_outdated_speed_does_not_count(queue):
    """The engine was slow and then idle: no new token shows that it is fast again."""
    slow_down(queue, now=0.0)
    assert queue.admit(make_job(deadline=32.0), RATES, [], 30.0).is_ok()
    assert queue.admit(make_job(deadline=31.1), RATES, [], 30.0).is_ok()


def test_the_estimate_is_never_faster_than_nominal(queue):
    """Tokens that arrive in a single read have no measurable time between them."""
    slow_down(queue, now=0.0, seconds=0.0)
    assert queue.admit(make_job(deadline=0.9), RATES, [], 0.0).is_error()


@pytest.mark.parametrize(("more", "admitted"), [(0.95, False), (1.05, True)])
def test_leaves_a_margin_for_the_wait(queue, more, admitted):
    """Under overload the queue is filled up to the deadlines of its jobs.

    Without a margin half of the jobs admitted last would finish slightly late, and all
    the work on them would be wasted.
    """
    running = [make_running(100), make_running(100)]
    wait, own = 2.0, 1.0
    job = make_job(deadline=more * ((1 + WAIT_MARGIN) * wait + own))
    assert queue.admit(job, RATES, running, 0.0).is_ok() is admitted


def test_low_priority_is_admitted_by_the_remaining_slot_time(queue):
    """High-priority work occupies three fifths of the slot time.

    By the present queue a low-priority job would start after 1 s, but it is overtaken
    continuously and starts after 2.5 s. If it were admitted for an earlier deadline, it
    would be rejected only when its caller can no longer try elsewhere.
    """
    for number in range(6):
        now = number / 1_000
        queue.admit(make_job("b", priority=-1), RATES, [], now)
        assert queue.pop_next(now) is not None
    running = [make_running(50), make_running(50)]
    wait = queue.admit(make_job(), RATES, running, 0.01).ok - 0.5
    assert wait == pytest.approx(1.0 / (1 - 0.6), rel=0.02)
    queue.drain()
    equal = queue.admit(make_job(priority=-1), RATES, running, 0.01).ok - 0.5
    assert equal == pytest.approx(1.0, rel=0.01)


def test_counts_future_urgent_work_of_the_same_team(queue):
    """A team sends urgent tags and a question with a later deadline.

    By the present queue the question waits for 2 s, but all tags that arrive within its
    slack are served before it. If they were not counted, the question would be cut off
    at its deadline.
    """
    for number in range(10):
        now = number / 1_000
        tag = make_job(prompt_tokens=100, output_tokens=5, deadline=now + 4.0)
        queue.admit(tag, RATES, [], now)
        assert queue.pop_next(now) is not None
    running = [make_running(100), make_running(100)]
    question = make_job(deadline=60.0)
    wait = queue.admit(question, RATES, running, 0.01).ok - 0.5
    assert wait == pytest.approx(2.0 + 10 * 0.2 * 2.0 / (5 * 2), rel=0.02)
    other = queue.admit(make_job("b", deadline=60.0), RATES, running, 0.01).ok - 0.5
    assert other < wait + 1.0


def test_old_admissions_do_not_count(queue):
    for _ in range(9):
        queue.admit(make_job("b", priority=-1), RATES, [], 0.0)
        queue.pop_next(0.0)
    running = [make_running(50), make_running(50)]
    wait = queue.admit(make_job(), RATES, running, 6.0).ok - 0.5
    assert wait == pytest.approx(1.0)
