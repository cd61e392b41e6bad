"""Random courses of one host's entry, with disruptions that overlap.

Guards against a host that leaves and is believed to be ready until something else
changes, and against a ready host that gets no more work.
"""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.gateway.leaving_model import STEP_SECONDS, Disruption, LeavingModel

LEAVE_STEP = 150
LAST_DISRUPTION_STEP = 280
END_STEP = 420

Course = list[tuple[int, Disruption]]
COURSES = st.lists(
    st.tuples(st.integers(5, LAST_DISRUPTION_STEP), st.sampled_from(Disruption)),
    min_size=1,
    max_size=6,
)


def play(course: Course, leave_step: int | None, by_removal: bool) -> LeavingModel:
    """Play a course to its end, and check that no request goes to a leaving host."""
    model = LeavingModel()
    while model.step < END_STEP:
        model.advance()
        if model.step == leave_step:
            model.leave(by_removal)
        for step, kind in course:
            if step == model.step:
                model.disrupt(kind)
        if model.must_know_leaving():
            late = model.now - model.left_at
            assert not model.is_believed_ready(), f"ready {late:.1f} s after it left"
    return model


LATE_START_THEN_LEAVE = [(70, Disruption.LATE_START)]
LATE_REPORT_THEN_LEAVE = [(70, Disruption.LATE_REPORT)]
RESTORE_BEFORE_REBORN = [
    (10, Disruption.REBORN),
    (20, Disruption.NEW_GATEWAY),
    (40, Disruption.RESTORE),
]


@pytest.mark.parametrize("by_removal", [False, True])
@given(course=COURSES)
@example(course=LATE_START_THEN_LEAVE)
@example(course=LATE_REPORT_THEN_LEAVE)
@example(course=RESTORE_BEFORE_REBORN)
@settings(max_examples=400)
def test_leaving_host_gets_no_requests(course: Course, by_removal: bool) -> None:
    model = play(course, LEAVE_STEP, by_removal)
    assert not model.is_believed_ready()


@given(course=COURSES)
@example(course=LATE_START_THEN_LEAVE)
@example(course=LATE_REPORT_THEN_LEAVE)
@example(course=RESTORE_BEFORE_REBORN)
@settings(max_examples=400)
def test_ready_host_is_believed_ready_in_the_end(course: Course) -> None:
    model = play(course, None, False)
    assert model.is_believed_ready()
    assert model.known.started_ms == model.starts[-1]


# Guards against a late entry of the same start that makes a draining host ready again.
@pytest.mark.parametrize("seconds", [3.0, 5.0])
def test_late_entry_does_not_undo_draining(seconds: float) -> None:
    step = LEAVE_STEP + int(seconds / STEP_SECONDS)
    play([(step, Disruption.LATE_ENTRY)], LEAVE_STEP, False)
