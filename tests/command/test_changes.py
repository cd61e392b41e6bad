"""Tests of which differences are an operator's change and which are conflicts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.command.changes import find_change, find_update, hash_texts

# Text of a file in the folder, as last seen, and in force; then the text that is sent
# (None for a removal, `same` for nothing) and whether there is a conflict.
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


def make_folder(text: str) -> dict[str, str]:
    return {"x.json": text} if text else {}


@pytest.mark.parametrize(("local", "seen", "in_force", "sent", "conflict"), CASES)
def test_find_change(
    local: str, seen: str, in_force: str, sent: str | None, conflict: bool
) -> None:
    removable = frozenset({"x.json"})
    base_hashes = hash_texts(make_folder(seen))
    change = find_change(
        make_folder(local), base_hashes, make_folder(in_force), removable
    )
    assert change.files == ({} if sent == "same" else {"x.json": sent})
    assert change.conflicts == (("x.json",) if conflict else ())


def test_missing_file_is_kept_unless_removable() -> None:
    theirs = {"x.json": "a"}
    change = find_change({}, hash_texts(theirs), theirs, frozenset())
    assert change == ({}, (), ("x.json",))


@pytest.mark.parametrize(("local", "seen", "in_force", "sent", "conflict"), CASES)
def test_find_update(
    local: str, seen: str, in_force: str, sent: str | None, conflict: bool
) -> None:
    update = find_update(
        make_folder(local), hash_texts(make_folder(seen)), make_folder(in_force)
    )
    assert update.conflicts == (("x.json",) if conflict else ())
    assert update.edited == (() if conflict or sent == "same" else ("x.json",))
    updated = local == seen != in_force
    assert update.files == ({"x.json": in_force or None} if updated else {})


TEXTS = st.dictionaries(st.sampled_from("xyz"), st.sampled_from("abc"))


@given(TEXTS, TEXTS, TEXTS)
def test_no_edit_is_lost(
    local: dict[str, str], seen: dict[str, str], in_force: dict[str, str]
) -> None:
    # Whatever two operators change, an apply never replaces a text in force that its
    # operator has not seen, and a fetch never overwrites an edit.
    base_hashes = hash_texts(seen)
    change = find_change(local, base_hashes, in_force, frozenset(seen))
    for name in change.files:
        assert in_force.get(name) == seen.get(name)
    update = find_update(local, base_hashes, in_force)
    for name in update.files:
        assert local.get(name) == seen.get(name)


@given(TEXTS, TEXTS, TEXTS)
def test_update_does_not_change_the_pending_edits(
    local: dict[str, str], seen: dict[str, str], in_force: dict[str, str]
) -> None:
    removable = frozenset("xyz")
    before = find_change(local, hash_texts(seen), in_force, removable)
    update = find_update(local, hash_texts(seen), in_force)
    merged = {**local, **update.files}
    texts = {name: text for name, text in merged.items() if text is not None}
    after = find_change(texts, update.base_hashes, in_force, removable)
    assert (after.files, after.conflicts) == (before.files, before.conflicts)
