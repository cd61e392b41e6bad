"""Tests of telling whether an answer is the request's own."""

import pytest

from radishtally.connector import ConnectionUsage
from radishtally.direct.answer_checks import AnswerMismatch, find_mismatch

KEPT = ConnectionUsage(age=1.0, carried=3)


@pytest.mark.parametrize(
    ("names", "usage", "doubt"),
    [
        (("r1",), ConnectionUsage(), None),
        (("r1",), KEPT, None),
        ((), ConnectionUsage(), None),
        ((), KEPT, AnswerMismatch.UNNAMED),
        (("r0",), ConnectionUsage(), AnswerMismatch.FOREIGN),
        (("r0",), KEPT, AnswerMismatch.FOREIGN),
        (("",), KEPT, AnswerMismatch.FOREIGN),
        (("r1", "r0"), ConnectionUsage(), AnswerMismatch.SEVERAL),
        (("r1", "r1"), KEPT, AnswerMismatch.SEVERAL),
    ],
)
def test_answer_is_doubted(
    names: tuple[str, ...], usage: ConnectionUsage, doubt: AnswerMismatch | None
) -> None:
    assert find_mismatch(names, "r1", usage) == doubt
