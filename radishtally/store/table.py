"""Client of the table service, which offers a subset of DynamoDB JSON over HTTP."""

import hashlib
from functools import singledispatch
from typing import Any, Final

import msgspec

from radishtally.decoding import DECODE_ERRORS
from radishtally.outcome import Error, Ok, Result
from radishtally.store.client import CallError, HttpClient, NoReply, NotSent, Reply
from radishtally.store.core import (
    ABSENT,
    Check,
    Conflict,
    Delete,
    Invalid,
    Key,
    Put,
    ReadError,
    Row,
    TableError,
    Unavailable,
    Unclear,
    Write,
)

DEFAULT_TIMEOUT_SECONDS: Final = 2.0
TARGET_HEADER: Final = "X-Amz-Target"
TARGET_PREFIX: Final = "DynamoDB_20120810."
CONTENT_TYPE: Final = "application/x-amz-json-1.0"
THROTTLED: Final = frozenset(
    {
        "ProvisionedThroughputExceededException",
        "RequestLimitExceeded",
        "ThrottlingException",
        "TransactionInProgressException",
    }
)
"""Error types of calls that the service did not carry out and that may be retried."""

Attributes = dict[str, dict[str, str]]


class HttpTable:
    """Read and write rows of one table over HTTP."""

    def __init__(
        self, url: str, name: str, *, timeout: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
        self._url = url
        self._name = name
        self._client = HttpClient(timeout)

    async def get(self, key: Key) -> Result[Row | None, ReadError]:
        """Read one row."""
        body = {
            "TableName": self._name,
            "Key": _encode_key(key),
            "ConsistentRead": True,
        }
        return (await self._read("GetItem", body)).bind(_parse_item)

    async def query(
        self,
        pk: str,
        *,
        after: str = "",
        prefix: str = "",
        limit: int = 100,
        newest_first: bool = False,
    ) -> Result[list[Row], ReadError]:
        """Read rows of one partition in the order of their sort keys."""
        rows: list[Row] = []
        start = _encode_key(Key(pk, after)) if after else None
        while len(rows) < limit:
            body = self._build_query(pk, prefix, limit - len(rows), newest_first)
            if start is not None:
                body["ExclusiveStartKey"] = start
            page = (await self._read("Query", body)).bind(_parse_page)
            if page.is_error():
                return page
            page_rows, start = page.ok
            rows.extend(page_rows)
            if start is None:
                break
        return Ok(rows)

    async def transact(
        self, writes: list[Write], write_id: str
    ) -> Result[None, TableError]:
        """Carry out all writes or none; each written row stores the write id."""
        items = [_encode_write(write, self._name, write_id) for write in writes]
        result = await self._call("TransactWriteItems", {"TransactItems": items})
        if result.is_error():
            return Error(_classify_call_error(result.error))
        return _classify_write_reply(result.ok)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    def _build_query(
        self, pk: str, prefix: str, limit: int, newest_first: bool
    ) -> dict[str, Any]:
        condition = "pk = :pk"
        values = {":pk": {"S": pk}}
        if prefix:
            condition += " AND begins_with(sk, :sk)"
            values[":sk"] = {"S": prefix}
        return {
            "TableName": self._name,
            "KeyConditionExpression": condition,
            "ExpressionAttributeValues": values,
            "ScanIndexForward": not newest_first,
            "Limit": limit,
            "ConsistentRead": True,
        }

    async def _read(
        self, operation: str, body: dict[str, Any]
    ) -> Result[dict[str, Any], ReadError]:
        result = await self._call(operation, body)
        if result.is_error():
            return Error(Unavailable(result.error.message))
        return _classify_read_reply(result.ok)

    async def _call(
        self, operation: str, body: dict[str, Any]
    ) -> Result[Reply, CallError]:
        headers = {
            TARGET_HEADER: TARGET_PREFIX + operation,
            "Content-Type": CONTENT_TYPE,
        }
        data = msgspec.json.encode(body)
        return await self._client.call("POST", self._url, headers=headers, body=data)


def compute_revision(write: Put, write_id: str) -> int:
    """Compute the row's revision after this write."""
    if write.expect is not None:
        return write.expect + 1
    # Failure: an unconditional write resets the row to a revision that a reader has
    # seen before. Symptom: the reader's conditional write succeeds and undoes this one.
    # A revision derived from the write id does not repeat an earlier one.
    return int.from_bytes(hashlib.sha256(write_id.encode()).digest()[:6])


@singledispatch
def _encode_write(write: Write, table: str, write_id: str) -> dict[str, Any]:
    raise TypeError(f"not a write: {write!r}")


@_encode_write.register
def _(write: Put, table: str, write_id: str) -> dict[str, Any]:
    item = _encode_key(write.key)
    item["rev"] = {"N": str(compute_revision(write, write_id))}
    item["write_id"] = {"S": write_id}
    item["value"] = {"S": msgspec.json.encode(write.value).decode()}
    put = {"TableName": table, "Item": item, **_encode_condition(write.expect)}
    return {"Put": put}


@_encode_write.register
def _(write: Delete, table: str, write_id: str) -> dict[str, Any]:
    key = _encode_key(write.key)
    return {
        "Delete": {"TableName": table, "Key": key, **_encode_condition(write.expect)}
    }


@_encode_write.register
def _(write: Check, table: str, write_id: str) -> dict[str, Any]:
    key = _encode_key(write.key)
    check = {"TableName": table, "Key": key, **_encode_condition(write.expect)}
    return {"ConditionCheck": check}


def _encode_key(key: Key) -> Attributes:
    return {"pk": {"S": key.pk}, "sk": {"S": key.sk}}


def _encode_condition(expect: int | None) -> dict[str, Any]:
    if expect is None:
        return {}
    if expect == ABSENT:
        return {"ConditionExpression": "attribute_not_exists(pk)"}
    return {
        "ConditionExpression": "rev = :rev",
        "ExpressionAttributeValues": {":rev": {"N": str(expect)}},
    }


def _decode_object(body: bytes) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(body, type=dict[str, Any])
    except DECODE_ERRORS:
        return None


def _get_error_type(data: dict[str, Any]) -> str:
    return str(data.get("__type", "")).rpartition("#")[2]


def _classify_read_reply(reply: Reply) -> Result[dict[str, Any], ReadError]:
    data = _decode_object(reply.body)
    if data is None or reply.status not in (200, 400):
        return Error(Unavailable(f"malformed reply, status {reply.status}"))
    if reply.status == 200:
        return Ok(data)
    kind = _get_error_type(data)
    if not kind or kind in THROTTLED:
        return Error(Unavailable(kind or "error reply without a type"))
    return Error(Invalid(_describe(kind, data)))


@singledispatch
def _classify_call_error(error: CallError) -> TableError:
    raise TypeError(f"not a call error: {error!r}")


@_classify_call_error.register
def _(error: NotSent) -> TableError:
    return Unavailable(error.message)


@_classify_call_error.register
def _(error: NoReply) -> TableError:
    return Unclear(error.message)


def _classify_write_reply(reply: Reply) -> Result[None, TableError]:
    # Failure: the reply is truncated, or was made up by a proxy in front of the
    # service. Symptom: a write that took effect is taken for one that did not. Only a
    # reply in the service's own format counts as a known outcome.
    data = _decode_object(reply.body)
    if data is None or reply.status not in (200, 400):
        return Error(Unclear(f"malformed reply, status {reply.status}"))
    if reply.status == 200:
        return Ok(None)
    kind = _get_error_type(data)
    if not kind:
        return Error(Unclear("error reply without a type"))
    if kind in THROTTLED:
        return Error(Unavailable(kind))
    if kind == "TransactionCanceledException":
        return Error(_classify_cancellation(data))
    return Error(Invalid(_describe(kind, data)))


def _classify_cancellation(data: dict[str, Any]) -> Conflict | Unavailable:
    reasons = data.get("CancellationReasons")
    reasons = reasons if isinstance(reasons, list) else []
    codes = [part.get("Code") for part in reasons if isinstance(part, dict)]
    failed = [i for i, code in enumerate(codes) if code == "ConditionalCheckFailed"]
    if failed:
        return Conflict(tuple(failed))
    return Unavailable(
        f"transaction cancelled: {sorted({str(code) for code in codes})}"
    )


def _describe(kind: str, data: dict[str, Any]) -> str:
    message = data.get("message") or data.get("Message")
    return f"{kind}: {message}" if message else kind


def _parse_item(data: dict[str, Any]) -> Result[Row | None, ReadError]:
    if not data:
        return Ok(None)
    try:
        return Ok(_decode_row(data["Item"]))
    except (*DECODE_ERRORS, LookupError, TypeError, ValueError) as error:
        return Error(Unavailable(f"malformed item: {error!r}"))


def _parse_page(
    data: dict[str, Any],
) -> Result[tuple[list[Row], Attributes | None], ReadError]:
    try:
        rows = [_decode_row(item) for item in data["Items"]]
    except (*DECODE_ERRORS, LookupError, TypeError, ValueError) as error:
        return Error(Unavailable(f"malformed items: {error!r}"))
    return Ok((rows, data.get("LastEvaluatedKey")))


def _decode_row(item: dict[str, Any]) -> Row:
    key = Key(item["pk"]["S"], item["sk"]["S"])
    value = msgspec.json.decode(item["value"]["S"], type=dict[str, Any])
    return Row(key, int(item["rev"]["N"]), item["write_id"]["S"], value)
