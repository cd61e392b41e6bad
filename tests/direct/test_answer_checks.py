"""Tests of checking whether an answer belongs to its request."""

import pytest

from radishtally.connector import ConnectionUsage
from radishtally.direct.answer_checks import AnswerMismatch, find_mismatch

KEPT = ConnectionUsage(age=1.0, carried=3)


@pytest.mark.parametrize(
    ("names", "usage", "mismatch"),
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
def test_mismatch_is_found(
    names: tuple[str, ...], usage: ConnectionUsage, mismatch: AnswerMismatch | None
) -> None:
    assert find_mismatch(names, "r1", usage) == mismatch
