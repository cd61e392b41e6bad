"""Work out what a deployment's bounds leave to one gateway."""

import msgspec
from xxhash import xxh32_intdigest

from radishtally.authority.lease_events import LeaseTerms
from radishtally.gateway.config import Bounds
from radishtally.gateway.const import (
    GATHER_MARGIN,
    GATHER_SECONDS,
    LEASE_MARGIN,
    LEASE_READ,
    LEASE_RENEW,
    LEASE_SECONDS,
    LEASE_TURNS,
    RETRY_PART,
)
from radishtally.gateway.members import MISSING_GRACE_SECONDS


def mark_bounds(bounds: Bounds) -> str:
    """Give a short mark of the settings that all gateways of a deployment share."""
    return f"{xxh32_intdigest(msgspec.json.encode(bounds)):08x}"


def find_retry_floor(bounds: Bounds, gateways: int) -> float:
    """Find the retries a second that one of some gateways may always make."""
    every_second = bounds.retry_slack / bounds.retry_window_seconds
    return every_second * RETRY_PART / gateways


def find_gathering(bounds: Bounds, gateways: int | None) -> float:
    """Find how long one of some gateways may gather changes of the store.

    A host whose entry is gone gets no request once its time to drain is over, and may
    be missed for MISSING_GRACE_SECONDS of that first.
    """
    longest = max(0.0, bounds.drain_ms / 1000 - MISSING_GRACE_SECONDS - GATHER_MARGIN)
    return longest if gateways is None else min(longest, gateways * GATHER_SECONDS)


def make_lease_terms(bounds: Bounds) -> LeaseTerms:
    """Make the times of the lease under which engines are given their roles."""
    granted = max(LEASE_SECONDS, LEASE_TURNS * bounds.lease_ms / 1000)
    return LeaseTerms(granted, LEASE_MARGIN, LEASE_RENEW, LEASE_READ)
