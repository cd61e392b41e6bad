"""Tests of telling whether an answer is the request's own."""

import pytest

from radishtally.connector import ConnectionUsage
from radishtally.direct.doubts import Doubt, find_doubt

KEPT = ConnectionUsage(age=1.0, carried=3)


@pytest.mark.parametrize(
    ("names", "usage", "doubt"),
    [
        (("r1",), ConnectionUsage(), None),
        (("r1",), KEPT, None),
        ((), ConnectionUsage(), None),
        ((), KEPT, Doubt.UNNAMED),
        (("r0",), ConnectionUsage(), Doubt.FOREIGN),
        (("r0",), KEPT, Doubt.FOREIGN),
        (("",), KEPT, Doubt.FOREIGN),
        (("r1", "r0"), ConnectionUsage(), Doubt.SEVERAL),
        (("r1", "r1"), KEPT, Doubt.SEVERAL),
    ],
)
def test_answer_is_doubted(
    names: tuple[str, ...], usage: ConnectionUsage, doubt: Doubt | None
) -> None:
    assert find_doubt(names, "r1", usage) == doubt
