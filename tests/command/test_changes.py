"""Test what counts as an operator's change, and what as a race."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.command.changes import find_change, find_update, hash_texts

# Texts of one file in the folder, as last seen, and in force; then what is to be sent
# (`same` for nothing) and whether it is a race.
CASES = [
    ("a", "a", "a", "same", False),
    ("b", "a", "a", "b", False),
    ("a", "a", "b", "same", False),
    ("b", "a", "b", "same", False),
    ("c", "a", "b", "same", True),
    ("b", "", "", "b", False),
    ("b", "", "c", "same", True),
    ("b", "", "b", "same", False),
    ("", "", "b", "same", False),
    ("", "a", "a", None, False),
    ("", "a", "b", "same", True),
    ("", "a", "", "same", False),
    ("a", "a", "", "same", False),
    ("b", "a", "", "same", True),
]


def hold(text: str) -> dict[str, str]:
    return {"x.json": text} if text else {}


@pytest.mark.parametrize(("local", "seen", "in_force", "sent", "raced"), CASES)
def test_find_change(
    local: str, seen: str, in_force: str, sent: str | None, raced: bool
) -> None:
    removable = frozenset({"x.json"})
    known = hash_texts(hold(seen))
    change = find_change(hold(local), known, hold(in_force), removable)
    assert change.files == ({} if sent == "same" else {"x.json": sent})
    assert change.raced == (("x.json",) if raced else ())


def test_missing_file_is_kept_unless_removable() -> None:
    theirs = {"x.json": "a"}
    change = find_change({}, hash_texts(theirs), theirs, frozenset())
    assert change == ({}, (), ("x.json",))


@pytest.mark.parametrize(("local", "seen", "in_force", "sent", "raced"), CASES)
def test_find_update(
    local: str, seen: str, in_force: str, sent: str | None, raced: bool
) -> None:
    update = find_update(hold(local), hash_texts(hold(seen)), hold(in_force))
    assert update.raced == (("x.json",) if raced else ())
    assert update.edited == (() if raced or sent == "same" else ("x.json",))
    taken = local == seen != in_force
    assert update.files == ({"x.json": in_force or None} if taken else {})


TEXTS = st.dictionaries(st.sampled_from("xyz"), st.sampled_from("abc"))


@given(TEXTS, TEXTS, TEXTS)
def test_no_edit_is_lost(
    local: dict[str, str], seen: dict[str, str], in_force: dict[str, str]
) -> None:
    # Whatever two operators did, a text in force that the one did not see is never
    # replaced by the other's, and a fetch never overwrites an edit.
    known = hash_texts(seen)
    change = find_change(local, known, in_force, frozenset(seen))
    for name in change.files:
        assert in_force.get(name) == seen.get(name)
    update = find_update(local, known, in_force)
    for name in update.files:
        assert local.get(name) == seen.get(name)


@given(TEXTS, TEXTS, TEXTS)
def test_update_keeps_the_same_edits(
    local: dict[str, str], seen: dict[str, str], in_force: dict[str, str]
) -> None:
    removable = frozenset("xyz")
    before = find_change(local, hash_texts(seen), in_force, removable)
    update = find_update(local, hash_texts(seen), in_force)
    merged = {**local, **update.files}
    texts = {name: text for name, text in merged.items() if text is not None}
    after = find_change(texts, update.known, in_force, removable)
    assert (after.files, after.raced) == (before.files, before.raced)
