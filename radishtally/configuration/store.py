"""Store the configuration in the platform's table and object store.

The table holds the head and its history; the objects hold the files' texts by hash.
"""

import asyncio
import difflib
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Final

from radishtally.audit.core import make_audit_put
from radishtally.configuration.config import Configuration
from radishtally.configuration.core import merge_files
from radishtally.configuration.folder import check_change, check_sizes
from radishtally.configuration.head import (
    EMPTY_HEAD,
    ChangeMetadata,
    EditConflict,
    Head,
    RebasedChange,
    build_next_head,
    decode_head,
    encode_head,
    get_content_hash,
    hash_text,
    rebase_change,
)
from radishtally.outcome import Error, Fault, Ok, Result
from radishtally.store.core import (
    ABSENT,
    Conflict,
    Invalid,
    Key,
    Objects,
    Put,
    ReadError,
    Row,
    Table,
    Unavailable,
    Unclear,
)
from radishtally.store.settle import transact_settled

HEAD_KEY: Final = Key("head", "configuration")
HISTORY_PARTITION: Final = "head-history"
OBJECT_PREFIX: Final = "config/"
REVISION_DIGITS: Final = 12
MAX_DIFF_LINES: Final = 40
MAX_PARALLEL_OBJECTS: Final = 16
DEFAULT_APPLY_SECONDS: Final = 10.0

LoadError = Fault | Unavailable | Invalid
ApplyError = Fault | EditConflict | Unavailable | Unclear | Invalid
Merge = Callable[[Mapping[str, str]], Result[Configuration, Fault]]


class ConfigurationStore:
    """Read and change the configuration that all processes share."""

    def __init__(
        self,
        table: Table,
        objects: Objects,
        *,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        merge: Merge = merge_files,
    ) -> None:
        self._table = table
        self._merge = merge
        self._objects = objects
        self._clock = clock
        self._wall_clock = wall_clock
        self._cached_texts: dict[str, str] = {}
        self._object_semaphore = asyncio.Semaphore(MAX_PARALLEL_OBJECTS)

    async def read_head(self) -> Result[Head, ReadError]:
        """Read the head in force; EMPTY_HEAD before the first change."""
        return (await self._table.get(HEAD_KEY)).bind(_read_row)

    async def read_revision(self, revision: int) -> Result[Head, LoadError]:
        """Read the head of an earlier revision."""
        if revision == EMPTY_HEAD.revision:
            return Ok(EMPTY_HEAD)
        row = await self._table.get(_build_history_key(revision))
        if row.is_ok() and row.ok is None:
            return Error(Fault("expected a revision of the history", f"{revision}"))
        return row.bind(_read_row)

    async def read_history(self, limit: int = 20) -> Result[list[Head], ReadError]:
        """Read the most recent heads, newest first."""
        rows = await self._table.query(
            HISTORY_PARTITION, limit=limit, newest_first=True
        )
        if rows.is_error():
            return rows
        heads = [_read_row(row) for row in rows.ok]
        broken = next((head for head in heads if head.is_error()), None)
        return broken or Ok([head.ok for head in heads])

    async def load(self, head: Head) -> Result[dict[str, str], LoadError]:
        """Read the files of a head; texts of the last loaded head are cached."""
        names = sorted(head.files)
        texts = await asyncio.gather(
            *(self._load_text(head.files[name].sha256) for name in names)
        )
        failed = next((text for text in texts if text.is_error()), None)
        if failed is not None:
            return failed
        files = {name: text.ok for name, text in zip(names, texts, strict=True)}
        self._cached_texts = {head.files[name].sha256: files[name] for name in names}
        return Ok(files)

    async def apply(
        self,
        change: Mapping[str, str | None],
        base_revision: int,
        author: str,
        cause: str,
        *,
        seconds: float = DEFAULT_APPLY_SECONDS,
    ) -> Result[Head, ApplyError]:
        """Rebase a change onto the head, validate the result and put it in force."""
        deadline = self._clock() + seconds
        named = check_change(change)
        if named.is_error():
            return named
        base = await self.read_revision(base_revision)
        if base.is_error():
            return base
        while self._clock() < deadline:
            result = await self._apply_once(base.ok, change, author, cause, deadline)
            if result.is_ok() or not isinstance(result.error, Conflict):
                return result
        return Error(
            Unavailable("concurrent changes won every attempt until the deadline")
        )

    async def _apply_once(
        self,
        base: Head,
        change: Mapping[str, str | None],
        author: str,
        cause: str,
        deadline: float,
    ) -> Result[Head, ApplyError | Conflict]:
        read = await self.read_head()
        if read.is_error():
            return read
        head: Head = read.ok
        rebased = rebase_change(base, head, change)
        if rebased.is_error():
            return Error(await self._add_details(base, head, rebased.error))
        if not rebased.ok.changes:
            return Ok(head)
        ready = await self._check_and_store(head, rebased.ok)
        if ready.is_error():
            return ready
        now_ms = int(self._wall_clock() * 1000)
        metadata = ChangeMetadata(author, cause, uuid.uuid4().hex, now_ms)
        after = build_next_head(head, rebased.ok, metadata)
        writes = _build_writes(head, after)
        settled = await transact_settled(
            self._table, writes, metadata.write_id, deadline=deadline, clock=self._clock
        )
        return settled.map(lambda _: after)

    async def _check_and_store(
        self, head: Head, rebased: RebasedChange
    ) -> Result[None, LoadError]:
        loaded = await self.load(head)
        if loaded.is_error():
            return loaded
        changed = {**loaded.ok, **rebased.changes}
        files = {name: text for name, text in changed.items() if text is not None}
        checked = check_sizes(files).bind(lambda _: self._merge(files))
        if checked.is_error():
            return checked
        return await self._store_texts(
            [text for text in rebased.changes.values() if text is not None]
        )

    async def _store_texts(self, texts: list[str]) -> Result[None, Unavailable]:
        results = await asyncio.gather(*(self._store_text(text) for text in texts))
        return next((result for result in results if result.is_error()), Ok(None))

    async def _store_text(self, text: str) -> Result[None, Unavailable]:
        async with self._object_semaphore:
            key = OBJECT_PREFIX + hash_text(text)
            return await self._objects.put(key, text.encode())

    async def _load_text(self, sha256: str) -> Result[str, LoadError]:
        if sha256 in self._cached_texts:
            return Ok(self._cached_texts[sha256])
        async with self._object_semaphore:
            read = await self._objects.get(OBJECT_PREFIX + sha256)
        if read.is_error():
            return read
        return _check_text(read.ok, sha256)

    async def _add_details(
        self, base: Head, head: Head, conflict: EditConflict
    ) -> EditConflict:
        earlier = await self.read_revision(conflict.revision)
        if earlier.is_ok():
            conflict = conflict._replace(cause=earlier.ok.cause)
        texts = []
        for revision in (base, head):
            sha256 = get_content_hash(revision, conflict.name)
            text = await self._load_text(sha256) if sha256 else Ok("")
            if text.is_error():
                return conflict
            texts.append(text.ok.splitlines())
        lines = list(difflib.unified_diff(*texts, lineterm="", n=1))[2:]
        return conflict._replace(diff="\n".join(lines[:MAX_DIFF_LINES]))


def _check_text(body: bytes | None, sha256: str) -> Result[str, LoadError]:
    if body is None:
        return Error(Unavailable(f"object {OBJECT_PREFIX}{sha256} not found"))
    # A truncated or corrupted body must not come into force.
    text = body.decode(errors="replace")
    if hash_text(text) != sha256:
        return Error(
            Unavailable(f"object {OBJECT_PREFIX}{sha256} differs from its hash")
        )
    return Ok(text)


def _read_row(row: Row | None) -> Result[Head, ReadError]:
    if row is None:
        return Ok(EMPTY_HEAD)
    return decode_head(row.value).map_error(Invalid)


def _build_history_key(revision: int) -> Key:
    return Key(HISTORY_PARTITION, f"{revision:0{REVISION_DIGITS}d}")


def _build_writes(head: Head, after: Head) -> list[Put]:
    value = encode_head(after)
    audit = make_audit_put(
        after.at_ms,
        after.author,
        "config.apply",
        "configuration",
        after.cause,
        _describe_files(head, after.changed),
        _describe_files(after, after.changed),
        after.write_id,
    )
    return [
        Put(HEAD_KEY, value, head.revision or ABSENT),
        Put(_build_history_key(after.revision), value, ABSENT),
        audit,
    ]


def _describe_files(head: Head, names: tuple[str, ...]) -> dict[str, object]:
    files = {name: get_content_hash(head, name) or None for name in names}
    return {"revision": head.revision, "files": files}
