"""Work out what a deployment's bounds leave to one gateway."""

import msgspec
from xxhash import xxh32_intdigest

from radishtally.authority.lease_events import LeaseTerms
from radishtally.gateway.config import Bounds
from radishtally.gateway.const import (
    GATHER_MARGIN_SECONDS,
    GATHER_SECONDS_PER_GATEWAY,
    LEASE_HANDOVER_FACTOR,
    LEASE_MARGIN_SECONDS,
    LEASE_READ_SECONDS,
    LEASE_RENEW_SECONDS,
    LEASE_SECONDS,
    RETRY_SHARE,
)
from radishtally.gateway.members import MISSING_GRACE_SECONDS


def hash_bounds(bounds: Bounds) -> str:
    """Give a short mark of the settings that all gateways of a deployment share."""
    return f"{xxh32_intdigest(msgspec.json.encode(bounds)):08x}"


def find_min_retry_rate(bounds: Bounds, gateways: int) -> float:
    """Find the retries a second that one of some gateways may always make."""
    every_second = bounds.retry_slack / bounds.retry_window_seconds
    return every_second * RETRY_SHARE / gateways


def find_gather_seconds(bounds: Bounds, gateways: int | None) -> float:
    """Find how long one of some gateways may gather changes of the store.

    A host whose entry is gone gets no request once its time to drain is over, and may
    be missed for MISSING_GRACE_SECONDS of that first.
    """
    longest = max(
        0.0, bounds.drain_ms / 1000 - MISSING_GRACE_SECONDS - GATHER_MARGIN_SECONDS
    )
    return (
        longest
        if gateways is None
        else min(longest, gateways * GATHER_SECONDS_PER_GATEWAY)
    )


def make_lease_terms(bounds: Bounds) -> LeaseTerms:
    """Make the times of the lease under which engines are given their roles."""
    granted = max(LEASE_SECONDS, LEASE_HANDOVER_FACTOR * bounds.lease_ms / 1000)
    return LeaseTerms(
        granted, LEASE_MARGIN_SECONDS, LEASE_RENEW_SECONDS, LEASE_READ_SECONDS
    )
