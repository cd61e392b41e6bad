"""Read and write the gateways' rows and shared secret in the store."""

import asyncio
import secrets
import time
from typing import Final

from eliot import log_message

from radishtally.gateway.const import JOIN_POLL_SECONDS
from radishtally.gateway.topology import Site
from radishtally.outcome import Result
from radishtally.settings.core import is_address
from radishtally.store.core import (
    ABSENT,
    UNREADABLE,
    Conflict,
    Delete,
    Invalid,
    Key,
    Put,
    ReadError,
    Row,
    Table,
    Write,
)
from radishtally.store.settle import transact_settled

GATEWAYS_PARTITION: Final = "gateways"
"""Partition of the rows that hold the gateways' peer addresses."""
PEER_SECRET_KEY: Final = Key("secrets", "peer-key")
"""Key of the secret that gateways share; the first gateway generates it."""
WRITE_TIMEOUT_SECONDS: Final = 2.0
MAX_GATEWAYS: Final = 1_000
"""Maximum number of rows to read: three times the number of gateways supported."""
MAX_CORES: Final = 100_000
"""More processor cores than any machine has."""


class GatewayRegistry:
    """Maintain a gateway's own row and read those of the others."""

    def __init__(self, table: Table, host: str, site: Site, address: str) -> None:
        self._table = table
        self._key = Key(GATEWAYS_PARTITION, host)
        self._value = {"address": address, **site._asdict()}

    async def read_or_create_secret(self, known: str | None = None) -> str:
        """Return the stored secret; if none is valid, store the known or a new one."""
        while True:
            read = await self._table.get(PEER_SECRET_KEY)
            if read.is_error() and not isinstance(read.error, Invalid):
                await _wait_for_store(str(read.error))
                continue
            stored = _read_secret(read.ok) if read.is_ok() else None
            if stored is not None:
                return stored
            value = {"secret": known or secrets.token_hex(16)}
            put = Put(PEER_SECRET_KEY, value, _find_revision(read))
            written = await self._write(put)
            # After a conflict another gateway's secret may be stored.
            is_lost = written.is_error() and isinstance(written.error, Conflict)
            if written.is_error() and not (is_lost and read.is_ok()):
                await _wait_for_store(str(written.error))

    async def write_own_row(self) -> bool:
        """Write this gateway's row; return whether one existed from an earlier start.

        If none existed, either the engines' caches are still empty, or other gateways
        are running and know their contents.
        """
        while True:
            read = await self._table.get(self._key)
            if read.is_ok():
                row = read.ok
                if row is not None and row.value == self._value:
                    return True
                rev = ABSENT if row is None else row.rev
                written = await self._write(Put(self._key, self._value, rev))
                if written.is_ok():
                    return row is not None
                await _wait_for_store(str(written.error))
                continue
            await _wait_for_store(str(read.error))

    async def read_rows(self) -> Result[dict[str, Row], ReadError]:
        """Read the rows of all gateways by their names."""
        read = await self._table.query(GATEWAYS_PARTITION, limit=MAX_GATEWAYS)
        return read.map(
            lambda rows: {row.key.sk: row for row in rows if _has_address(row)}
        )

    async def remove(self, row: Row) -> None:
        """Remove the row of a gateway that is permanently gone."""
        removed = await self._write(Delete(row.key, row.rev))
        outcome = "removed" if removed.is_ok() else str(removed.error)
        log_message("peers:gone", peer=row.key.sk, outcome=outcome)

    async def _write(self, write: Write) -> Result:
        return await transact_settled(
            self._table,
            [write],
            secrets.token_hex(8),
            deadline=time.monotonic() + WRITE_TIMEOUT_SECONDS,
        )


async def _wait_for_store(reason: str) -> None:
    """Log why the store can't be used, and wait before the next attempt."""
    log_message("peers:not_joined", reason=reason)
    await asyncio.sleep(JOIN_POLL_SECONDS)


def read_site(row: Row) -> Site:
    """Return a gateway's site; rows of other releases may not contain it."""
    data_centre, cores = row.value.get("data_centre"), row.value.get("cores")
    is_valid = isinstance(data_centre, str) and isinstance(cores, int | float)
    if not is_valid or not 0 <= cores <= MAX_CORES:
        return Site()
    return Site(data_centre, cores)


def _find_revision(read: Result[Row | None, ReadError]) -> int:
    """Return the revision that a write of a row expects that was read."""
    if read.is_error():
        return UNREADABLE
    return ABSENT if read.ok is None else read.ok.rev


def _read_secret(row: Row | None) -> str | None:
    """Return the secret of a row; None if another writer has replaced it."""
    secret = None if row is None else row.value.get("secret")
    return secret if isinstance(secret, str) and secret else None


def _has_address(row: Row) -> bool:
    address = row.value.get("address")
    if isinstance(address, str) and is_address(address):
        return True
    log_message("peers:row_invalid", peer=row.key.sk)
    return False
