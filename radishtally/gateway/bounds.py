"""Derive one gateway's limits from the bounds of the deployment."""

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
    """Return a short hash of the bounds that all gateways of a deployment share."""
    return f"{xxh32_intdigest(msgspec.json.encode(bounds)):08x}"


def find_min_retry_rate(bounds: Bounds, gateways: int) -> float:
    """Return the retries per second that one of these gateways may always make."""
    retries_per_second = bounds.retry_slack / bounds.retry_window_seconds
    return retries_per_second * RETRY_SHARE / gateways


def find_gather_seconds(bounds: Bounds, gateways: int | None) -> float:
    """Return how long one gateway may let changes in the store accumulate.

    A host whose entry is removed must get no request after its drain time, and may be
    kept as missing for MISSING_GRACE_SECONDS of that time.
    """
    max_seconds = max(
        0.0, bounds.drain_ms / 1000 - MISSING_GRACE_SECONDS - GATHER_MARGIN_SECONDS
    )
    return (
        max_seconds
        if gateways is None
        else min(max_seconds, gateways * GATHER_SECONDS_PER_GATEWAY)
    )


def make_lease_terms(bounds: Bounds) -> LeaseTerms:
    """Build the terms of the lease whose holder assigns roles to engines."""
    granted = max(LEASE_SECONDS, LEASE_HANDOVER_FACTOR * bounds.lease_ms / 1000)
    return LeaseTerms(
        granted, LEASE_MARGIN_SECONDS, LEASE_RENEW_SECONDS, LEASE_READ_SECONDS
    )
