"""Find out what became of a transaction whose reply was lost."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Final

from radishtally.outcome import Error, Ok, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Delete,
    Put,
    Row,
    Table,
    TableError,
    Unavailable,
    Unclear,
    Write,
)

INITIAL_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 1.0

Verdict = Result[None, TableError]


async def transact_settled(
    table: Table,
    writes: list[Write],
    write_id: str,
    *,
    deadline: float,
    clock: Callable[[], float] = time.monotonic,
) -> Verdict:
    """Write until the outcome is known, or say at the deadline that it is unclear.

    The write id must be new, and rows that others write too need a condition.
    """
    unclear: Unclear | None = None
    unclear_in = 0
    pause = INITIAL_BACKOFF_SECONDS
    while (left := deadline - clock()) > 0:
        era = _get_era(table)
        result = await _transact_within(table, writes, write_id, left)
        if result.is_ok():
            return result
        error = result.error
        if isinstance(error, Conflict):
            verdict = await _judge_conflict(
                table, writes, write_id, error, unclear, unclear_in
            )
            if verdict is not None:
                return verdict
            error = Unclear("conflict, and its rows can't be read")
        elif unclear is None and not isinstance(error, Unclear):
            return result
        # Failure: the reply of a write is lost, and the next attempt is turned away.
        # Symptom: taking the later answer for the outcome of the earlier attempt,
        # which may have taken effect or still be under way. Once unclear, only a
        # write that passed or a conflict that is not our own settles it.
        if isinstance(error, Unclear):
            unclear_in = era if unclear is None else unclear_in
            unclear = error
        await asyncio.sleep(min(random.uniform(0.5, 1) * pause, deadline - clock()))
        pause = min(2 * pause, MAX_BACKOFF_SECONDS)
    return Error(unclear or Unavailable("deadline passed before the write was sent"))


async def _transact_within(
    table: Table, writes: list[Write], write_id: str, seconds: float
) -> Verdict:
    try:
        async with asyncio.timeout(seconds):
            return await table.transact(writes, write_id)
    except TimeoutError:
        return Error(Unclear("no reply before the deadline"))


async def _judge_conflict(
    table: Table,
    writes: list[Write],
    write_id: str,
    conflict: Conflict,
    unclear: Unclear | None,
    unclear_in: int,
) -> Verdict | None:
    # Failure: the store is restored from an older copy after an unclear attempt.
    # Symptom: rows that the attempt wrote have gone back, and it is taken for one that
    # never passed, while it may still be carried out. Then nothing but the write id
    # tells.
    def is_one_era(row: Row | None = None) -> bool:
        eras = {_get_era(table), unclear_in if row is None else row.era}
        return unclear is None or eras == {unclear_in}

    # Had an attempt of ours passed, every row that it wrote under a condition would
    # have moved on and would conflict now. One that does not tells that none passed.
    if is_one_era() and any(
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
        if is_one_era(read.ok) and _is_first_successor(write, read.ok):
            return Error(conflict)
    return Error(conflict if unclear is None else unclear)


def _get_era(table: Table) -> int:
    """Give the newest era that a table has seen; 0 for one that knows none."""
    return getattr(table, "era", 0)


def _is_conditional(write: Write) -> bool:
    return isinstance(write, Delete) or (
        isinstance(write, Put) and write.expect is not None
    )


def _is_first_successor(write: Put, row: Row | None) -> bool:
    # Revisions grow by one with each write. A row one above the expected revision
    # was written once since, and by another; one further on may hide our write.
    if row is None or write.expect is None:
        return False
    return row.rev == (1 if write.expect == ABSENT else write.expect + 1)
