"""Retry a transaction until its outcome is known."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import (
    Conflict,
    Delete,
    Put,
    Row,
    Table,
    TableError,
    Unavailable,
    Unclear,
    Write,
    find_next_revision,
)

INITIAL_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 1.0

Outcome = Result[None, TableError]


async def transact_settled(
    table: Table,
    writes: list[Write],
    write_id: str,
    *,
    deadline: float,
    clock: Callable[[], float] = time.monotonic,
) -> Outcome:
    """Retry a transaction until its outcome is known or the deadline passes.

    At the deadline, the result is Unclear if an attempt may have taken effect. The
    write id must be new, and writes of rows shared with other writers need a condition.
    """
    unclear: Unclear | None = None
    unclear_era = 0
    backoff = INITIAL_BACKOFF_SECONDS
    while (remaining := deadline - clock()) > 0:
        era = _get_era(table)
        result = await _transact_within(table, writes, write_id, remaining)
        if result.is_ok():
            return result
        error = result.error
        if isinstance(error, Conflict):
            outcome = await _resolve_conflict(
                table, writes, write_id, error, unclear, unclear_era
            )
            if outcome is not None:
                return outcome
            error = Unclear("conflict, and the rows can't be read to resolve it")
        elif unclear is None and not isinstance(error, Unclear):
            return result
        # Failure: the reply to one attempt is lost, and the next attempt is refused.
        # Symptom: the refusal is taken for the outcome of the earlier attempt, which
        # may have taken effect or still be in flight. Once an attempt is unclear, only
        # a successful write, or a conflict with another writer, decides the outcome.
        if isinstance(error, Unclear):
            unclear_era = era if unclear is None else unclear_era
            unclear = error
        await asyncio.sleep(min(random.uniform(0.5, 1) * backoff, deadline - clock()))
        backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
    return Error(unclear or Unavailable("deadline passed before the write was sent"))


async def _transact_within(
    table: Table, writes: list[Write], write_id: str, seconds: float
) -> Outcome:
    try:
        async with asyncio.timeout(seconds):
            return await table.transact(writes, write_id)
    except TimeoutError:
        return Error(Unclear("no reply before the deadline"))


async def _resolve_conflict(
    table: Table,
    writes: list[Write],
    write_id: str,
    conflict: Conflict,
    unclear: Unclear | None,
    unclear_era: int,
) -> Outcome | None:
    # Failure: the store is restored from an older copy after an unclear attempt.
    # Symptom: the rows that it wrote are reverted, so it seems never to have succeeded,
    # although it may still be carried out. Across eras only the write id is conclusive.
    def is_same_era(row: Row | None = None) -> bool:
        eras = {_get_era(table), unclear_era if row is None else row.era}
        return unclear is None or eras == {unclear_era}

    # If an earlier attempt had succeeded, every row it wrote under a condition would
    # have a new revision and conflict now. A row without a conflict proves that no
    # attempt succeeded.
    if is_same_era() and any(
        index not in conflict.indexes and _is_conditional(write)
        for index, write in enumerate(writes)
    ):
        return Error(conflict)
    for write in writes:
        if not isinstance(write, Put):
            continue
        read = await table.get(write.key)
        if read.is_error():
            return None
        if read.ok is not None and read.ok.write_id == write_id:
            return Ok(None)
        if is_same_era(read.ok) and _is_next_revision(write, read.ok):
            return Error(conflict)
    return Error(conflict if unclear is None else unclear)


def _get_era(table: Table) -> int:
    """Return the newest era that a table has seen; 0 if it tracks none."""
    return getattr(table, "era", 0)


def _is_conditional(write: Write) -> bool:
    return isinstance(write, Delete) or (
        isinstance(write, Put) and write.expect is not None
    )


def _is_next_revision(write: Put, row: Row | None) -> bool:
    # Each conditional write increases the revision by one. A row one above the expected
    # revision was written once since, by another writer; a higher one may hide this
    # process's own write.
    if row is None or write.expect is None:
        return False
    return row.rev == find_next_revision(write.expect)
