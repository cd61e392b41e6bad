"""Tests of driving a lease."""

import pytest

from radishtally.authority.holder import READERS, LeaseHolder
from radishtally.authority.lease import LeaseTerms

TERMS = LeaseTerms(granted=6.0, margin=0.5, renew_every=2.0, read_every=2.0)


# Calls to the store grow with the gateways though one of them looking is enough. Nor
# may they look so seldom that a row renewed in between seems to have lapsed.
@pytest.mark.parametrize(
    ("contenders", "seconds"), [(1, 2.0), (READERS, 2.0), (8, 4.0), (330, 5.5)]
)
def test_contenders_share_the_looks_at_the_lease(
    contenders: int, seconds: float
) -> None:
    holder = LeaseHolder(
        None, "stages", "a", "a-1", TERMS, on_gained=print, on_lost=print
    )
    holder.share_reads(contenders)
    assert holder._core.read_every == seconds
