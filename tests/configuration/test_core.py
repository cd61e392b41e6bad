"""Tests of merging files in name order and of the faults that it reports."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.configuration.core import (
    Origin,
    hash_key,
    merge_files,
    merge_object,
)
from radishtally.configuration.folder import read_folder
from tests.common import ROOT
from tests.configuration.common import BASE, DIGEST, build_team, write_teams


@pytest.mark.parametrize(
    ("sample", "key", "operators"),
    [
        ("lagna", "lagna-demo-key", {"mitali", "arnab"}),
        ("brolga", "brolga-demo-key", {"noelene", "darcy"}),
    ],
)
def test_samples_are_valid(sample, key, operators):
    files = read_folder(ROOT / "samples" / sample).ok
    configuration = merge_files(files).ok
    assert configuration.deployment == sample
    assert hash_key(key) in configuration.teams["demo"].key_sha256
    assert configuration.operators.keys() == operators


def test_later_files_merge_replace_and_remove_values():
    files = {
        "20.json": '{"places": {"howrah": null}, "policy": {"retry_budget": 0.5}}',
        "10.json": BASE,
        "30.json": '{"upstreams": {"gown-llm": {"servers": {"gown-1": null, '
        '"gown-2": {"place": "new-town", "role": null}}}}}',
    }
    configuration = merge_files(files).ok
    assert list(configuration.places) == ["new-town"]
    assert list(configuration.upstreams["gown-llm"].servers) == ["gown-2"]
    assert configuration.policy.retry_budget == 0.5


KEYS = f'{{key_sha256: ["{DIGEST}"]}}'


# One value of an operator's file is wrong. The fault must name the file, the key path
# and what was expected there.
@pytest.mark.parametrize(
    ("text", "path", "message"),
    [
        ("{", "", "line 1"),
        ('{\n"a": 1 "b"}', "", "line 2"),
        ("[]", "", "expected an object"),
        ("{places: {x: {}}}", "places.x.region", "got none"),
        ("{places: {x: {region: 1}}}", "places.x.region", "str"),
        ('{places: {"x y": {region: "r"}}}', "places.x y", "regex"),
        ("{places: {howrah: {region: null}}}", "places.howrah.region", "got none"),
        ("{places: {howrah: {odd: 1}}}", "places.howrah.odd", "no such"),
        ("{places: 3}", "places", "object"),
        ("{odd: {}}", "odd", "no such field"),
        ("{deployment: null}", "deployment", "got none"),
        ("{policy: {deadline_seconds: -1}}", "policy.deadline_seconds", ">= 0"),
        ("{policy: {retry_budget: NaN}}", "policy.retry_budget", ">= 0"),
        ("{policy: {goodput_weight: Infinity}}", "policy.goodput_weight", "<="),
        ("{policy: {max_body_bytes: 0}}", "policy.max_body_bytes", ">= 1"),
        ('{policy: {planning: "odd"}}', "policy.planning", "odd"),
        ('{upstreams: {x: {kind: "odd"}}}', "upstreams.x.kind", "odd"),
        ("{upstreams: {x: {}}}", "upstreams.x.kind", "got none"),
        ("{upstreams: {booking: {slots: -1}}}", "upstreams.booking.slots", ">= 1"),
        (
            '{upstreams: {booking: {routes: [{path: "x"}]}}}',
            "upstreams.booking.routes.0.path",
            "regex",
        ),
        (
            '{upstreams: {booking: {servers: {"gown-1": {place: "howrah"}}}}}',
            "upstreams.booking.servers.gown-1",
            "gown-llm already",
        ),
        (
            '{upstreams: {entry: {kind: "service", servers: {}}}}',
            "upstreams.entry",
            "reserved",
        ),
        (
            '{upstreams: {"gown-llm": {model: "odd"}}}',
            "upstreams.gown-llm.model",
            "got odd",
        ),
        (
            '{models: {b: {version: "1", adapters: ["tag"]}}}',
            "models.b.adapters.0",
            "adapter of model gown",
        ),
        (
            '{models: {b: {version: "1", adapters: ["gown"]}}}',
            "models.b.adapters.0",
            "taken by a model",
        ),
        (
            '{teams: {a: {key_sha256: [], upstreams: ["odd"]}}}',
            "teams.a.upstreams.0",
            "got odd",
        ),
        ('{teams: {a: {key_sha256: ["not-a-hash"]}}}', "teams.a.key_sha256.0", "regex"),
        (
            f'{{teams: {{a: {{key_sha256: ["{DIGEST}\\n"]}}}}}}',
            "teams.a.key_sha256.0",
            "regex",
        ),
        (f"{{teams: {{a: {KEYS}, b: {KEYS}}}}}", "teams.b.key_sha256.0", "by teams.a"),
        (
            f"{{teams: {{a: {KEYS}}}, operators: {{o: {KEYS}}}}}",
            "operators.o.key_sha256.0",
            "by teams.a",
        ),
    ],
)
def test_faults_name_file_path_and_expectation(text, path, message):
    fault = merge_files({"10.json": BASE, "90.json": text}).error
    assert fault.place == (f"90.json: {path}" if path else "90.json")
    assert message in fault.message


@pytest.mark.parametrize(
    ("text", "place", "message"),
    [
        (
            "{places: {howrah: null}}",
            "10.json: upstreams.gown-llm.servers.gown-1.place",
            "got howrah",
        ),
        ("{models: {gown: null}}", "10.json: upstreams.gown-llm.model", "got gown"),
    ],
)
def test_unknown_reference_is_reported_in_the_file_that_refers(text, place, message):
    fault = merge_files({"10.json": BASE, "90.json": text}).error
    assert fault.place == place
    assert message in fault.message


def test_fault_names_the_file_that_set_the_faulty_field():
    files = {
        "10.json": BASE,
        "20.json": write_teams(a=build_team(1, share=1)),
        "30.json": write_teams(a={"share": -1}),
        "40.json": write_teams(a={"priority": "low"}),
    }
    assert merge_files(files).error.place == "30.json: teams.a.share"


def test_empty_folder_is_refused():
    assert merge_files({}).is_error()


VALUES = st.recursive(
    st.none() | st.integers(0, 3),
    lambda parts: st.dictionaries(st.sampled_from("abc"), parts, max_size=3),
    max_leaves=8,
)
PATCHES = st.lists(
    st.dictionaries(st.sampled_from("abc"), VALUES, max_size=3), max_size=4
)


def merge_by_rfc_7396(target, patch):
    """Merge by the pseudocode of RFC 7396."""
    if not isinstance(patch, dict):
        return patch
    target = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            target.pop(name, None)
        else:
            target[name] = merge_by_rfc_7396(target.get(name), value)
    return target


@given(PATCHES)
def test_merge_is_a_json_merge_patch(patches):
    merged, expected, origin = {}, {}, Origin("")
    for number, patch in enumerate(patches):
        merge_object(merged, origin, copy.deepcopy(patch), str(number))
        expected = merge_by_rfc_7396(expected, patch)
    assert merged == expected


@given(st.permutations(range(6)), st.integers(1, 6))
def test_teams_merge_alike_however_they_are_split_over_files(order, per_file):
    teams = {f"t{number}": build_team(number) for number in range(6)}
    files = {"10.json": BASE}
    for start in range(0, 6, per_file):
        part = {f"t{n}": teams[f"t{n}"] for n in order[start : start + per_file]}
        files[f"2{start}.json"] = write_teams(**part)
    whole = {"10.json": BASE, "20.json": write_teams(**teams)}
    assert merge_files(files) == merge_files(whole)
