"""Recognize a caller's team by its API key.

Only digests of keys are kept, so that a key never reaches a log or a message.
"""

import hashlib
from typing import Final, NamedTuple

BEARER: Final = "bearer"


class Team(NamedTuple):
    """Describe a team as far as requests are served by it."""

    name: str
    priority: int | None = None
    """Replaces the route's priority; None to keep it."""


def extract_bearer(authorization: str) -> str:
    """Return the key of an Authorization header; empty for any other scheme."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == BEARER else ""


def hash_key(key: bytes) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key).hexdigest()
