"""Tests of merging a folder incrementally after a change."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.configuration.core import merge_files
from radishtally.configuration.merger import Merger

BASE = json.dumps(
    {
        "deployment": "test",
        "places": {"here": {"region": "r"}},
        "upstreams": {"app": {"kind": "service", "servers": {"h": {"place": "here"}}}},
    }
)
NAMES = ("a", "b", "c", "d")
FILES = ("20-x.json", "30-y.json", "40-z.json")


def make_team(key, **more):
    return {"key_sha256": [f"{key:064x}"], **more}


def make_file(**teams):
    return json.dumps({"teams": teams})


team = st.one_of(
    st.none(),
    st.builds(make_team, st.integers(0, 5)),
    st.builds(make_team, st.integers(0, 5), share=st.integers(0, 3)),
    st.just({"share": 2}),
    st.just({"share": None}),
    st.just({"share": -1}),
    st.just(make_team(9, upstreams=["gone"])),
    st.just("no team"),
)
text = st.one_of(
    st.dictionaries(st.sampled_from(NAMES), team, max_size=3).map(
        lambda teams: make_file(**teams)
    ),
    st.just('{"teams": null}'),
    st.just('{"teams": []}'),
    st.just('{"policy": {"retry_budget": 0.2}, "teams": {"a": {"share": 3}}}'),
    st.just("no JSON"),
)
folder = st.dictionaries(st.sampled_from(FILES), text)


def assert_same_result(merged, files):
    expected = merge_files(files)
    assert merged.is_ok() == expected.is_ok()
    if expected.is_ok():
        assert merged.ok == expected.ok
    else:
        assert merged.error == expected.error


@given(st.lists(folder, min_size=1, max_size=4))
def test_incremental_merge_equals_merge_from_scratch(folders):
    # A merge that reuses cached files might reuse too much: a team that a file no
    # longer defines, or that another file has since changed or removed. The fleet
    # would then apply a configuration that no operator wrote.
    merger = Merger()
    for files in folders:
        files = {"10-base.json": BASE, **files}
        assert_same_result(merger.merge(files), files)


def test_only_changed_files_are_parsed_again(monkeypatch):
    files = {"10-base.json": BASE, "20-x.json": make_file(a=make_team(1))}
    files["30-y.json"] = make_file(b=make_team(2))
    merger = Merger()
    before = merger.merge(files).ok
    files["30-y.json"] = make_file(b=make_team(2, share=2))
    after = merger.merge(files).ok
    assert after.teams["a"] is before.teams["a"]
    assert after.teams["b"].share == 2


@pytest.mark.parametrize(
    "changed",
    [
        make_file(a=make_team(2)),
        make_file(a=None),
        make_file(a={"share": 4}),
        make_file(b=make_team(1)),
    ],
    ids=["defined twice", "removed", "changed in part", "key used twice"],
)
def test_a_team_in_two_files_is_merged_from_both(changed):
    files = {"10-base.json": BASE, "20-x.json": make_file(a=make_team(1))}
    merger = Merger()
    assert merger.merge(files).is_ok()
    files["30-y.json"] = changed
    assert_same_result(merger.merge(files), files)
