"""Stand-in for the table service: a subset of DynamoDB JSON over HTTP."""

import bisect
import re
import time
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, NotRequired, TypeAlias, TypedDict

import msgspec
from aiohttp import web

from standins.common import (
    TABLE_MODES,
    FaultGate,
    build_app,
    build_parser,
    reply_json,
    serve,
)

TARGET_PREFIX: Final = "DynamoDB_20120810."
ERROR_PREFIX: Final = "com.amazonaws.dynamodb.v20120810#"
WRITES_PER_SECOND: Final = 500
READS_PER_SECOND: Final = 2000
MAX_TRANSACTION_ITEMS: Final = 100
MAX_ITEM_BYTES: Final = 400 * 1024
MAX_PAGE_BYTES: Final = 1024 * 1024
ITEM_TYPES: Final = {"pk": "S", "sk": "S", "rev": "N", "write_id": "S", "value": "S"}
KEY_TYPES: Final = {"pk": "S", "sk": "S"}

Attributes: TypeAlias = dict[str, dict[str, str]]


class GetItem(TypedDict):
    """Read one item."""

    TableName: str
    Key: Attributes
    ConsistentRead: NotRequired[bool]


class Write(TypedDict):
    """Put, delete or check one item."""

    TableName: str
    Item: NotRequired[Attributes]
    Key: NotRequired[Attributes]
    ConditionExpression: NotRequired[str]
    ExpressionAttributeValues: NotRequired[Attributes]


class Transaction(TypedDict):
    """Write up to a hundred items atomically."""

    TransactItems: list[dict[str, Write]]


class Query(TypedDict):
    """Read a range of one partition."""

    TableName: str
    KeyConditionExpression: str
    ExpressionAttributeValues: Attributes
    ScanIndexForward: NotRequired[bool]
    Limit: NotRequired[int]
    ExclusiveStartKey: NotRequired[Attributes]
    ConsistentRead: NotRequired[bool]


class Address(NamedTuple):
    """Identify one item."""

    table: str
    pk: str
    sk: str


class Action(NamedTuple):
    """Represent one validated part of a transaction."""

    kind: str
    address: Address
    write: Write


class TableError(Exception):
    """Signal that an operation was rejected without effect."""

    def __init__(self, name: str, **more: Any) -> None:
        super().__init__(name)
        self.body = {"__type": ERROR_PREFIX + name, **more}


class Partition:
    """Store the items of one partition, ordered by their sort keys."""

    def __init__(self) -> None:
        self.items: dict[str, Attributes] = {}
        self.keys: list[str] = []

    def put(self, sk: str, item: Attributes) -> None:
        """Set an item."""
        if sk not in self.items:
            bisect.insort(self.keys, sk)
        self.items[sk] = item

    def remove(self, sk: str) -> None:
        """Remove an item if it exists."""
        if self.items.pop(sk, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, sk)]


class RateLimit:
    """Limit the units per second, with a burst of one second's units."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._left = per_second
        self._filled_at = time.monotonic()

    def take(self, units: int) -> bool:
        """Take the units if that many are available."""
        now = time.monotonic()
        filled = self._left + (now - self._filled_at) * self._per_second
        self._left = min(self._per_second, filled)
        self._filled_at = now
        if units > self._left:
            return False
        self._left -= units
        return True


class Table:
    """Store the partitions of all tables and carry out the operations."""

    def __init__(self, reads_per_second: float, writes_per_second: float) -> None:
        self._partitions: dict[tuple[str, str], Partition] = {}
        self._reads = RateLimit(reads_per_second)
        self._writes = RateLimit(writes_per_second)
        self.counts = dict.fromkeys(
            ("reads", "writes", "transactions", "cancelled", "throttled"), 0
        )

    def get(self, body: GetItem) -> dict[str, Any]:
        """Read one item."""
        address = _parse_address(body["TableName"], body["Key"])
        self._charge(self._reads, "reads", 1)
        item = self._find(address)
        return {} if item is None else {"Item": item}

    def transact(self, body: Transaction) -> dict[str, Any]:
        """Carry out a transaction atomically."""
        actions = [_parse_action(part) for part in body["TransactItems"]]
        _check_transaction(actions)
        written = sum(action.kind != "ConditionCheck" for action in actions)
        self._charge(self._writes, "writes", written)
        self.counts["transactions"] += 1
        holds = [
            _condition_holds(action.write, self._find(action.address))
            for action in actions
        ]
        if not all(holds):
            self.counts["cancelled"] += 1
            codes = ["None" if ok else "ConditionalCheckFailed" for ok in holds]
            reasons = [{"Code": code} for code in codes]
            raise TableError(
                "TransactionCanceledException", CancellationReasons=reasons
            )
        for action in actions:
            self._carry_out(action)
        return {}

    def query(self, body: Query) -> dict[str, Any]:
        """Read one page of a range of a partition."""
        pk, selected = _parse_query(body)
        self._charge(self._reads, "reads", 1)
        partition = self._partitions.get((body["TableName"], pk), Partition())
        page = _Page(body.get("Limit"))
        for sk in _iterate_keys(partition.keys, body):
            if not selected(sk):
                continue
            if page.full:
                break
            page.add(partition.items[sk])
        return page.reply()

    def _charge(self, limit: RateLimit, name: str, units: int) -> None:
        if not limit.take(units):
            self.counts["throttled"] += 1
            raise TableError("ProvisionedThroughputExceededException")
        self.counts[name] += units

    def _find(self, address: Address) -> Attributes | None:
        partition = self._partitions.get((address.table, address.pk))
        return None if partition is None else partition.items.get(address.sk)

    def _carry_out(self, action: Action) -> None:
        table, pk, sk = action.address
        if action.kind == "Put":
            partition = self._partitions.setdefault((table, pk), Partition())
            partition.put(sk, action.write["Item"])
        if action.kind == "Delete" and (table, pk) in self._partitions:
            self._partitions[table, pk].remove(sk)


class _Page:
    def __init__(self, limit: int | None) -> None:
        self._limit = limit
        self._items: list[Attributes] = []
        self._bytes = 0
        self.full = False

    def add(self, item: Attributes) -> None:
        self._items.append(item)
        self._bytes += _count_bytes(item)
        self.full = len(self._items) == self._limit or self._bytes >= MAX_PAGE_BYTES

    def reply(self) -> dict[str, Any]:
        # As in DynamoDB, a full page has a last key even if no items follow.
        if not self.full:
            return {"Items": self._items}
        last = {name: self._items[-1][name] for name in KEY_TYPES}
        return {"Items": self._items, "LastEvaluatedKey": last}


def _count_bytes(item: Attributes) -> int:
    return sum(len(text) for kinds in item.values() for text in kinds.values())


def _invalid(message: str) -> TableError:
    return TableError("ValidationException", message=message)


def _check_attributes(item: Attributes, kinds: dict[str, str]) -> None:
    for name, kind in kinds.items():
        if kind not in item.get(name, {}):
            raise _invalid(f"{name} must be of type {kind}")


def _parse_address(table: str, key: Attributes) -> Address:
    _check_attributes(key, KEY_TYPES)
    return Address(table, key["pk"]["S"], key["sk"]["S"])


def _parse_action(part: dict[str, Write]) -> Action:
    if len(part) != 1:
        raise _invalid("one action an item")
    [(kind, write)] = part.items()
    if kind not in ("Put", "Delete", "ConditionCheck"):
        raise _invalid(f"unknown action {kind}")
    if kind == "ConditionCheck" and "ConditionExpression" not in write:
        raise _invalid("ConditionExpression is missing")
    attributes = write.get("Item") if kind == "Put" else write.get("Key")
    if attributes is None:
        raise _invalid("Item or Key is missing")
    if kind == "Put":
        _check_attributes(attributes, ITEM_TYPES)
    if _count_bytes(attributes) > MAX_ITEM_BYTES:
        raise _invalid("item is too large")
    _check_condition(write)
    return Action(kind, _parse_address(write["TableName"], attributes), write)


def _check_condition(write: Write) -> None:
    condition = write.get("ConditionExpression")
    if condition in (None, "attribute_exists(pk)", "attribute_not_exists(pk)"):
        return
    if condition != "rev = :rev":
        raise _invalid(f"unknown condition {condition}")
    values = write.get("ExpressionAttributeValues", {})
    if not re.fullmatch(r"-?\d+", values.get(":rev", {}).get("N", "")):
        raise _invalid(":rev must be a number")


def _check_transaction(actions: list[Action]) -> None:
    if not 1 <= len(actions) <= MAX_TRANSACTION_ITEMS:
        raise _invalid(f"1 to {MAX_TRANSACTION_ITEMS} items")
    if len({action.address for action in actions}) != len(actions):
        raise _invalid("an item may stand only once in a transaction")


def _condition_holds(write: Write, item: Attributes | None) -> bool:
    match write.get("ConditionExpression"):
        case None:
            return True
        case "attribute_exists(pk)":
            return item is not None
        case "attribute_not_exists(pk)":
            return item is None
    if item is None:
        return False
    return int(item["rev"]["N"]) == int(write["ExpressionAttributeValues"][":rev"]["N"])


def _parse_query(body: Query) -> tuple[str, Callable[[str], bool]]:
    expression = " ".join(body["KeyConditionExpression"].split())
    values = body["ExpressionAttributeValues"]
    names = {":pk"} if expression == "pk = :pk" else {":pk", ":sk"}
    if body.get("Limit", 1) < 1:
        raise _invalid("Limit must be positive")
    _check_attributes(values, dict.fromkeys(names, "S"))
    pk = values[":pk"]["S"]
    if "ExclusiveStartKey" in body:
        _check_attributes(body["ExclusiveStartKey"], KEY_TYPES)
    if expression == "pk = :pk":
        return pk, lambda sk: True
    bound = values[":sk"]["S"]
    if expression == "pk = :pk AND sk > :sk":
        return pk, lambda sk: sk > bound
    if expression == "pk = :pk AND begins_with(sk, :sk)":
        return pk, lambda sk: sk.startswith(bound)
    raise _invalid(f"unknown key condition {expression}")


def _iterate_keys(keys: list[str], body: Query) -> Iterator[str]:
    start = body.get("ExclusiveStartKey")
    if body.get("ScanIndexForward", True):
        first = bisect.bisect_right(keys, start["sk"]["S"]) if start else 0
        return iter(keys[first:])
    end = bisect.bisect_left(keys, start["sk"]["S"]) if start else len(keys)
    return reversed(keys[:end])


def _is_write(request: web.Request) -> bool:
    return request.headers.get("X-Amz-Target") == f"{TARGET_PREFIX}TransactWriteItems"


class Server:
    """Serve the table service's HTTP interface."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._operations: dict[str, tuple[Any, Callable[[Any], dict[str, Any]]]] = {
            "GetItem": (GetItem, table.get),
            "TransactWriteItems": (Transaction, table.transact),
            "Query": (Query, table.query),
        }

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_post("/", self._call)
        app.router.add_get("/_counts", self._report_counts)
        FaultGate(TABLE_MODES, _is_write).install(app)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        name = request.headers.get("X-Amz-Target", "").removeprefix(TARGET_PREFIX)
        data = await request.read()
        try:
            if name not in self._operations:
                raise TableError("UnknownOperationException")
            kind, operation = self._operations[name]
            return reply_json(operation(msgspec.json.decode(data, type=kind)))
        except TableError as error:
            return reply_json(error.body, status=400)
        except msgspec.DecodeError as error:
            return reply_json(_invalid(str(error)).body, status=400)

    async def _report_counts(self, request: web.Request) -> web.Response:
        return reply_json(self._table.counts)


def main() -> None:
    """Run the table service."""
    parser = build_parser("table service")
    parser.add_argument("--reads-per-second", type=float, default=READS_PER_SECOND)
    parser.add_argument("--writes-per-second", type=float, default=WRITES_PER_SECOND)
    args = parser.parse_args()
    table = Table(args.reads_per_second, args.writes_per_second)
    serve(Server(table).build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
