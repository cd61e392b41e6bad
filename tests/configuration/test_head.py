"""Tests that a change is rebased onto the head or refused as a conflict."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.configuration import head as head_module
from radishtally.configuration.head import (
    EMPTY_HEAD,
    ChangeMetadata,
    EditConflict,
    HeadTracker,
    RebasedChange,
    build_next_head,
    decode_head,
    encode_head,
    rebase_change,
)


def advance_head(head, author, **changes):
    """Build the next head; keyword a stands for file a.json."""
    texts = {f"{name}.json": text for name, text in changes.items()}
    return build_next_head(
        head, RebasedChange(texts), ChangeMetadata(author, f"{author}'s cause", "w", 0)
    )


BASE = advance_head(EMPTY_HEAD, "mitali", a="1", b="1")


# Arnab's change is based on BASE, and meanwhile Mitali advances the head. The change
# passes if each file that it touches has the content of BASE or already Arnab's.
@pytest.mark.parametrize(
    ("meanwhile", "change", "expected"),
    [
        ({}, {"a.json": "2"}, {"a.json": "2"}),
        ({"b": "2"}, {"a.json": "2"}, {"a.json": "2"}),
        ({"b": "2"}, {"a.json": None}, {"a.json": None}),
        ({"b": None}, {"c.json": "1"}, {"c.json": "1"}),
        ({"a": "2"}, {"a.json": "2"}, {}),
        ({"a": None}, {"a.json": None}, {}),
        ({"a": "2", "b": "2"}, {"a.json": "2", "c.json": "3"}, {"c.json": "3"}),
        ({}, {"a.json": "1"}, {}),
        ({}, {"none.json": None}, {}),
        ({"a": "2"}, {"a.json": "3"}, EditConflict("a.json", "mitali", 2)),
        ({"a": "2"}, {"a.json": None}, EditConflict("a.json", "mitali", 2)),
        ({"a": None}, {"a.json": "3"}, EditConflict("a.json", "mitali", 2)),
        ({"c": "1"}, {"c.json": "2"}, EditConflict("c.json", "mitali", 2)),
        (
            {"a": "2"},
            {"a.json": "3", "b.json": "3"},
            EditConflict("a.json", "mitali", 2),
        ),
    ],
)
def test_rebase(meanwhile, change, expected):
    head = advance_head(BASE, "mitali", **meanwhile) if meanwhile else BASE
    rebased = rebase_change(BASE, head, change)
    found = rebased.error if rebased.is_error() else rebased.ok.changes
    assert found == expected


def test_conflict_with_an_edit_of_the_same_author():
    # Mitali edits a file in two folders. The second apply is not based on the first
    # edit and must not revert it, though the author is the same.
    head = advance_head(BASE, "mitali", a="2")
    assert rebase_change(BASE, head, {"a.json": "3"}).is_error()


def test_conflict_with_a_removal_that_the_head_no_longer_lists(monkeypatch):
    monkeypatch.setattr(head_module, "MAX_REMOVED", 1)
    head = advance_head(advance_head(BASE, "mitali", a=None), "mitali", b=None)
    assert list(head.removed) == ["b.json"]
    assert rebase_change(BASE, head, {"a.json": "2"}).error == EditConflict(
        "a.json", "", 0
    )


def test_conflict_message_names_the_other_operator():
    conflict = EditConflict("a.json", "mitali", 7, "bigger pool", "-1\n+2")
    assert "mitali in revision 7 (bigger pool)" in str(conflict)
    assert str(conflict).endswith("-1\n+2")


def test_head_survives_encoding_and_decoding():
    head = advance_head(BASE, "arnab", a=None, c="x")
    assert decode_head(encode_head(head)).ok == head


@pytest.mark.parametrize("value", [{}, {**encode_head(BASE), "revision": "x"}])
def test_invalid_row_is_an_error(value):
    assert decode_head(value).is_error()


@given(st.lists(st.integers(0, 9)))
def test_tracker_never_goes_back(revisions):
    tracker = HeadTracker()
    for revision in revisions:
        before = tracker.head.revision
        accepted = tracker.accept_newer(EMPTY_HEAD._replace(revision=revision))
        assert accepted == (revision > before)
        assert tracker.head.revision == max(before, revision)
