"""Tests of rows that other software has filled with anything."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.audit.core import make_audit_put, read_entry
from radishtally.authority.lease_value import parse_lease_value
from radishtally.authority.plan import (
    Drain,
    Plan,
    Wanted,
    encode_record,
    read_drain_row,
    read_plan_row,
)
from radishtally.claims.record import (
    Claim,
    StoredAnswer,
    make_done_value,
    read_answer,
    read_claim,
)
from radishtally.configuration.head import decode_head
from radishtally.gateway.origin_store import OriginRow, merge_rows
from radishtally.gateway.origin_store import _find_expiry as find_expiry
from radishtally.gateway.registry import _has_address as has_address
from radishtally.gateway.registry import _read_secret as read_secret
from radishtally.gateway.registry import read_site
from radishtally.gateway.source_recorder import SourceRecorder
from radishtally.serving.sources import UsableSources
from radishtally.store.core import Key, Put, Row
from radishtally.usage.reporter import _parse_counts as parse_counts
from tests.common import MemoryTable, run

LEASE = {
    "holder": "g-1",
    "incarnation": "i",
    "fencing": 7,
    "granted": 6.0,
    "counter": 3,
    "era": 1,
}
PLAN = Plan("howrah", 3, 7, "mix", {"h-1": Wanted("decode", "m", "v1", ("a",))})
ANSWER = StoredAnswer(200, (("a", "b"),), b"body")
HEAD = {
    "revision": 3,
    "files": {"a": ["0", "ana", 3]},
    "removed": {},
    "author": "ana",
    "cause": "x",
    "write_id": "w",
    "at_ms": 5,
    "changed": ["a"],
}


def make_row(value: dict[str, Any]) -> Row:
    return Row(Key("p", "s"), 1, "w", value)


def read_claim_row(row: Row) -> None:
    """Read a claim, and its answer if there may be one."""
    claim = read_claim(row)
    if claim.is_ok():
        read_answer(claim.ok)


def read_sources(row: Row) -> None:
    """Read the row of the sources as a gateway that looks for a sole one."""
    table = MemoryTable()
    table.rows.apply([Put(Key("streams", "sources"), row.value, 0)], "w")
    recorder = SourceRecorder(table, lambda: "w", UsableSources())
    run(recorder.find_sole("a/"))


def read_registry(row: Row) -> None:
    """Read a gateway's row."""
    if has_address(row):
        read_site(row)


READERS: dict[str, tuple[dict[str, Any], Callable[[Row], object]]] = {
    "lease": (LEASE, lambda row: parse_lease_value(row.value)),
    "plan": (encode_record(PLAN), read_plan_row),
    "drain": (encode_record(Drain("h", True, "ana", "x")), read_drain_row),
    "audit": (make_audit_put(5, "ana", "x", "h", "c", {}, {}, "1").value, read_entry),
    "claim": (make_done_value(Claim("t", "k", "r", "h"), ANSWER, 9), read_claim_row),
    "head": (HEAD, lambda row: decode_head(row.value)),
    "sources": ({"routes": {"a/": None}}, read_sources),
    "origins": (
        OriginRow(
            expires=1.0,
            origins=[{"upstream": "u", "version": "v", "streams": ["AA=="]}],
        ),
        lambda row: (merge_rows([row]), find_expiry(row) < 0.0),
    ),
    "gateway": (
        {"address": "1.2.3.4:5", "data_centre": "h", "cores": 1},
        read_registry,
    ),
    "secret": ({"secret": "s"}, read_secret),
    "usage": ({"counts": {"t": 1}}, lambda row: parse_counts(row.value)),
}
"""A sound value of each row, and what reads it."""

HUGE = [10**400, -(10**400), 10**20, 1e308, -1.5, True, None, "", [], {}, [[[]]]]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.sampled_from(HUGE),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


def list_paths(value: object, path: tuple = ()) -> list[tuple]:
    """List the paths of all values in a value."""
    inner = []
    if isinstance(value, dict):
        inner = list(value.items())
    elif isinstance(value, list | tuple):
        inner = list(enumerate(value))
    return [path, *(p for key, item in inner for p in list_paths(item, (*path, key)))]


def replace(value: Any, path: tuple, new: object) -> Any:
    """Return a copy of a value in which one part is replaced."""
    if not path:
        return new
    value = json.loads(json.dumps(value)) if isinstance(value, dict) else list(value)
    value[path[0]] = replace(value[path[0]], path[1:], new)
    return value


@pytest.mark.parametrize("name", READERS)
def test_sound_row_is_read(name: str) -> None:
    value, read = READERS[name]
    outcome = read(make_row(value))
    assert not hasattr(outcome, "is_error") or outcome.is_ok()


# Guards against a row of another writer that ends each process which reads it.
@pytest.mark.parametrize("name", READERS)
@pytest.mark.parametrize("new", HUGE, ids=[repr(value)[:8] for value in HUGE])
def test_row_with_an_odd_value_raises_no_error(name: str, new: object) -> None:
    value, read = READERS[name]
    for path in list_paths(value)[1:]:
        read(make_row(replace(value, path, new)))
        read(make_row({}))


@given(st.sampled_from(sorted(READERS)), st.data())
def test_row_with_any_value_raises_no_error(name: str, data: st.DataObject) -> None:
    value, read = READERS[name]
    path = data.draw(st.sampled_from(list_paths(value)[1:]))
    read(make_row(replace(value, path, data.draw(JSON))))
