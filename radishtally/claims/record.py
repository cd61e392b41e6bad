"""Hold the claim on an idempotency key as its row keeps it."""

import base64
from typing import Any, Final, NamedTuple, TypedDict

from radishtally.store.core import Key, Row

CLAIM_PREFIX: Final = "claim#"
CLAIMED: Final = "claimed"
DONE: Final = "done"
NOT_RUN: Final = "not_run"

BODY_BYTES: Final = 32 * 1024
"""Largest answer body that is kept for a repeat."""
ROW_BYTES: Final = 512
"""Size of a row without headers and body, estimated."""


class Claim(NamedTuple):
    """Name a call that must run at most once."""

    team: str
    key: str
    request: str
    body_hash: str


class StoredAnswer(NamedTuple):
    """Hold the first answer to a call, for its repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_kept: bool = True
    """False if the body was too large to keep; then body is empty."""


class ClaimValue(TypedDict):
    """Hold what a claim's row says."""

    request: str
    body_hash: str
    state: str
    """CLAIMED, DONE or NOT_RUN."""
    status: int
    headers: list[list[str]]
    body: str
    """Base64."""
    body_kept: bool
    expires: int
    """Seconds since 1970 after which the platform may remove the row."""


def name_claim(claim: Claim) -> Key:
    """Name the row of a claim."""
    return Key(CLAIM_PREFIX + claim.team, claim.key)


def make_value(claim: Claim, state: str, expires: int) -> ClaimValue:
    """Form the value of a claim without an answer."""
    return ClaimValue(
        request=claim.request,
        body_hash=claim.body_hash,
        state=state,
        status=0,
        headers=[],
        body="",
        body_kept=True,
        expires=expires,
    )


def make_done_value(claim: Claim, answer: StoredAnswer, expires: int) -> ClaimValue:
    """Form the value of a claim whose call was answered."""
    value = make_value(claim, DONE, expires)
    value["status"] = answer.status
    value["headers"] = [list(header) for header in answer.headers]
    value["body"] = base64.b64encode(answer.body).decode()
    value["body_kept"] = answer.body_kept
    return value


def bound_answer(answer: StoredAnswer, limit: int) -> StoredAnswer:
    """Leave out a body that is larger than the limit."""
    if len(answer.body) <= limit:
        return answer
    return answer._replace(body=b"", body_kept=False)


def read_answer(row: Row) -> StoredAnswer:
    """Read the first answer back from its row."""
    value = row.value
    headers = tuple((name, text) for name, text in value["headers"])
    body = base64.b64decode(value["body"])
    return StoredAnswer(value["status"], headers, body, value["body_kept"])


def estimate_bytes(value: ClaimValue | dict[str, Any]) -> int:
    """Estimate the size of a row with this value."""
    headers = sum(len(name) + len(text) for name, text in value["headers"])
    return ROW_BYTES + len(value["body"]) + headers
