"""Tests of admission by what the upstream's work takes at present."""

import pytest

from radishtally.limits.queue import MARGIN, Reason, WorkQueue
from tests.limits.common import RATES, make_job, make_running


@pytest.fixture
def queue() -> WorkQueue:
    return WorkQueue(length=20, team_length=10)


def slow_down(queue: WorkQueue, now: float, seconds: float = 0.08) -> None:
    for _ in range(20):
        queue.record_tokens(seconds, 1, now)


def test_admits_by_the_present_pace(queue):
    """An engine that computes long prompts beside gives tokens four times slower.

    By the engine's own figure the job ends in 1 s and is admitted; at the present
    pace it takes 2.5 s. It would be cut at its deadline, and its slot's time be lost.
    """
    job = make_job(deadline=2.0)
    slow_down(queue, now=0.0)
    assert queue.admit(job, RATES, [], 0.0).error.reason == Reason.DEADLINE
    assert queue.admit(make_job(deadline=2.6), RATES, [], 0.0).is_ok()


def test_gives_back_what_the_present_pace_cannot_meet(queue):
    """Queued work was admitted at the lone pace; the engine has slowed down since."""
    job = make_job(deadline=2.0)
    assert queue.admit(job, RATES, [], 0.0).is_ok()
    slow_down(queue, now=0.0)
    assert queue.expire(RATES, [], 0.0) == [job]


def test_a_pace_of_the_past_does_not_count(queue):
    """The engine was slow and fell idle: no token tells that it is fast again."""
    slow_down(queue, now=0.0)
    assert queue.admit(make_job(deadline=32.0), RATES, [], 30.0).is_ok()
    assert queue.admit(make_job(deadline=31.1), RATES, [], 30.0).is_ok()


def test_a_pace_is_never_below_the_lone_one(queue):
    """Tokens that come in one read show no time between them."""
    slow_down(queue, now=0.0, seconds=0.0)
    assert queue.admit(make_job(deadline=0.9), RATES, [], 0.0).is_error()


@pytest.mark.parametrize(("more", "admitted"), [(0.95, False), (1.05, True)])
def test_leaves_a_margin_for_the_wait(queue, more, admitted):
    """Under overload every queue is filled up to the deadlines of its work.

    Without a margin half of what is admitted last comes a little late, and all the
    work on it is lost.
    """
    running = [make_running(100), make_running(100)]
    wait, own = 2.0, 1.0
    job = make_job(deadline=more * ((1 + MARGIN) * wait + own))
    assert queue.admit(job, RATES, running, 0.0).is_ok() is admitted


def test_low_priority_is_admitted_by_what_the_higher_leaves(queue):
    """Work of high priority keeps three fifths of the slots' time.

    A job of low priority would start after 1 s by what is queued now, but is passed
    all the while: it starts after 2.5 s. Admitted for a deadline before that, it would
    be refused only when nothing else can be done for its caller.
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


def test_counts_the_urgent_work_of_its_own_team_to_come(queue):
    """A team sends tags, which are urgent, and a question, which has more time.

    The question waits for 2 s by what is queued now. All tags that come within its
    spare time go before it: admitted without them, it was cut at its deadline.
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


def test_what_has_passed_long_ago_does_not_count(queue):
    for _ in range(9):
        queue.admit(make_job("b", priority=-1), RATES, [], 0.0)
        queue.pop_next(0.0)
    running = [make_running(50), make_running(50)]
    wait = queue.admit(make_job(), RATES, running, 6.0).ok - 0.5
    assert wait == pytest.approx(1.0)
