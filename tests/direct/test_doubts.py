"""Tests of telling whether an answer is the request's own."""

import pytest

from radishtally.connector import Usage
from radishtally.direct.doubts import Doubt, find_doubt

KEPT = Usage(age=1.0, carried=3)


@pytest.mark.parametrize(
    ("names", "usage", "doubt"),
    [
        (("r1",), Usage(), None),
        (("r1",), KEPT, None),
        ((), Usage(), None),
        ((), KEPT, Doubt.UNNAMED),
        (("r0",), Usage(), Doubt.FOREIGN),
        (("r0",), KEPT, Doubt.FOREIGN),
        (("",), KEPT, Doubt.FOREIGN),
        (("r1", "r0"), Usage(), Doubt.SEVERAL),
        (("r1", "r1"), KEPT, Doubt.SEVERAL),
    ],
)
def test_answer_is_doubted(
    names: tuple[str, ...], usage: Usage, doubt: Doubt | None
) -> None:
    assert find_doubt(names, "r1", usage) == doubt
