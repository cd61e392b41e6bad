"""Row format of claims on idempotency keys."""

import base64
from typing import Annotated, Any, Final, NamedTuple, TypedDict

from msgspec import Meta

from radishtally.numbers import Count
from radishtally.outcome import Result
from radishtally.store.core import Invalid, Key, Row
from radishtally.store.records import read_record

CLAIM_PREFIX: Final = "claim#"
CLAIMED: Final = "claimed"
DONE: Final = "done"
NOT_RUN: Final = "not_run"

MAX_BODY_BYTES: Final = 32 * 1024
"""Largest answer body that is stored for repeats."""
ROW_OVERHEAD_BYTES: Final = 512
"""Estimated size of a row without headers and body."""


class Claim(NamedTuple):
    """Identify a call that must run at most once."""

    team: str
    key: str
    request: str
    body_hash: str


class StoredAnswer(NamedTuple):
    """Represent the first answer to a call; repeats of the call receive it."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_kept: bool = True
    """False if the body was too large to store; body is then empty."""


class ClaimValue(TypedDict):
    """Represent the value of a claim's row."""

    request: str
    body_hash: str
    state: str
    """CLAIMED, DONE or NOT_RUN."""
    status: Annotated[int, Meta(ge=0, le=599)]
    headers: list[list[str]]
    body: str
    """Base64."""
    body_kept: bool
    expires: Count
    """Unix time in seconds after which the platform may remove the row."""


def make_claim_key(claim: Claim) -> Key:
    """Return the key of a claim's row."""
    return Key(CLAIM_PREFIX + claim.team, claim.key)


def make_claim_value(claim: Claim, state: str, expires: int) -> ClaimValue:
    """Build the row value of a claim without an answer."""
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
    """Build the row value of a claim whose call was answered."""
    value = make_claim_value(claim, DONE, expires)
    value["status"] = answer.status
    value["headers"] = [list(header) for header in answer.headers]
    value["body"] = base64.b64encode(answer.body).decode()
    value["body_kept"] = answer.body_kept
    return value


def limit_body(answer: StoredAnswer, limit: int) -> StoredAnswer:
    """Drop the body if it is larger than the limit."""
    if len(answer.body) <= limit:
        return answer
    return answer._replace(body=b"", body_kept=False)


def read_claim(row: Row) -> Result[ClaimValue, Invalid]:
    """Decode a claim from its row, which other software may have filled."""
    return read_record(row, ClaimValue)


def read_answer(value: ClaimValue) -> StoredAnswer | None:
    """Decode the stored answer of a claim; None if it can't be read."""
    try:
        headers = tuple((name, text) for name, text in value["headers"])
        body = base64.b64decode(value["body"], validate=True)
    except ValueError:
        return None
    return StoredAnswer(value["status"], headers, body, value["body_kept"])


def estimate_row_bytes(value: ClaimValue | dict[str, Any]) -> int:
    """Estimate the size in bytes of a row with this value."""
    headers = sum(len(name) + len(text) for name, text in value["headers"])
    return ROW_OVERHEAD_BYTES + len(value["body"]) + headers
