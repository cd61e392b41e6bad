"""A change is rebased onto the head or refused with the other operator's name."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.configuration import head as module
from radishtally.configuration.head import (
    EMPTY,
    EditConflict,
    HeadTracker,
    Plan,
    Stamp,
    advance,
    decode_head,
    encode_head,
    plan_change,
)


def move(head, author, **changes):
    """Advance the head; keyword a stands for file a.json."""
    texts = {f"{name}.json": text for name, text in changes.items()}
    return advance(head, Plan(texts), Stamp(author, f"{author}'s cause", "w", 0))


BASE = move(EMPTY, "mitali", a="1", b="1")


# Arnab works on BASE; meanwhile Mitali moves the head. What he changes passes if the
# files that he touches still have the content that he started from, or his own.
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
def test_plan(meanwhile, change, expected):
    head = move(BASE, "mitali", **meanwhile) if meanwhile else BASE
    planned = plan_change(BASE, head, change)
    found = planned.error if planned.is_error() else planned.ok.changes
    assert found == expected


def test_own_later_edit_is_not_lost_either():
    # Mitali edits a file at two screens. The second apply does not know of the first
    # edit, and must not undo it only because the author is the same.
    head = move(BASE, "mitali", a="2")
    assert plan_change(BASE, head, {"a.json": "3"}).is_error()


def test_race_is_still_seen_when_the_removal_is_forgotten(monkeypatch):
    monkeypatch.setattr(module, "MAX_REMOVED", 1)
    head = move(move(BASE, "mitali", a=None), "mitali", b=None)
    assert list(head.removed) == ["b.json"]
    assert plan_change(BASE, head, {"a.json": "2"}).error == EditConflict(
        "a.json", "", 0
    )


def test_message_names_the_other_operator():
    raced = EditConflict("a.json", "mitali", 7, "bigger pool", "-1\n+2")
    assert "mitali in revision 7 (bigger pool)" in str(raced)
    assert str(raced).endswith("-1\n+2")


def test_head_comes_back_from_its_row():
    head = move(BASE, "arnab", a=None, c="x")
    assert decode_head(encode_head(head)).ok == head


@pytest.mark.parametrize("value", [{}, {**encode_head(BASE), "revision": "x"}])
def test_broken_row_is_an_error(value):
    assert decode_head(value).is_error()


@given(st.lists(st.integers(0, 9)))
def test_tracker_never_goes_back(revisions):
    tracker = HeadTracker()
    for revision in revisions:
        before = tracker.head.revision
        taken = tracker.offer(EMPTY._replace(revision=revision))
        assert taken == (revision > before)
        assert tracker.head.revision == max(before, revision)
