"""Tests of host list entries that other writers than hosts have left."""

import json
from typing import Any

import pytest
from adapter.instances import decode_instance
from hypothesis import given
from hypothesis import strategies as st

from radishtally.direct.core import Instance
from radishtally.links.messages import DECODE

GOOD: dict[str, Any] = {
    "service": "x",
    "address": "10.0.0.1:80",
    "zone": "howrah",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
}
ENGINE = {**GOOD, "phase": "decode"}
WRONG: dict[str, list[Any]] = {
    "service": ["", None, 5, ["x"]],
    "address": ["", None, 5, "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:x"]
    + ["10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:8_0", "host:80"],
    "zone": [None, 5, {}],
    "version": [None, 5],
    "slots": [None, 0, -1, 1.5, "6", True, 10**30],
    "state": ["", "READY", "gone", "unknown", None, 1],
    "coldRemainingMs": [None, "0", []],
    "sequence": [None, "4", 1.5],
    "phase": ["", "mixed", "DECODE", None, 5],
    "born": [None, "1790000000123", 1.5, True, 0, -1, 10**16, [1]],
}
UNREADABLE = [
    b"",
    b"null",
    b"[]",
    b"{",
    b"\xff\xfe\x00",
    b'"text"',
    b"[" * 100_000,
    b'{"service": "' + b"x" * 10,
    json.dumps(GOOD).encode("utf-16"),
]


def test_valid_entries_are_decoded() -> None:
    plain = decode_instance("i-1", json.dumps(GOOD).encode()).ok
    assert plain == Instance(
        "i-1", "x", "10.0.0.1:80", "howrah", False, 6, "", version=GOOD["version"]
    )
    assert decode_instance("i-1", json.dumps(ENGINE).encode()).ok.role == DECODE


@pytest.mark.parametrize("field", GOOD)
def test_entry_without_a_field_is_rejected(field: str) -> None:
    entry = {name: value for name, value in GOOD.items() if name != field}
    read = decode_instance("i-1", json.dumps(entry).encode())
    assert field in read.error


@pytest.mark.parametrize(
    ("field", "value"),
    [(field, value) for field, values in WRONG.items() for value in values],
)
def test_entry_with_an_invalid_value_is_rejected(field: str, value: Any) -> None:
    entry = {**ENGINE, field: value}
    read = decode_instance("i-1", json.dumps(entry).encode())
    assert field in read.error


@pytest.mark.parametrize("data", UNREADABLE)
def test_bytes_that_are_no_entry_are_rejected(data: bytes) -> None:
    assert decode_instance("i-1", data).is_error()


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(st.sampled_from(sorted(ENGINE)), JSON)
def test_any_field_value_is_decoded_or_rejected(field: str, value: Any) -> None:
    read = decode_instance("i-1", json.dumps({**ENGINE, field: value}).encode())
    assert read.is_error() or read.ok.slots >= 1


@given(st.binary())
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    assert decode_instance("i-1", data).is_error()
