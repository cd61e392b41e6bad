"""Tests of the configuration commands against a real entry and table."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from bench.fleet import Fleet, read_sample
from radishtally.command import const
from radishtally.command.base import BASE_FILE
from tests.command.conftest import RunTool, ToolResult
from tests.command.fake import FakeEntry

POLICY = "50-policy.json"
TEAMS = "40-teams.json"
KEYS = {"mitali": "lagna-operator-key", "arnab": "lagna-operator-2-key"}
RunAsOperator = Callable[..., ToolResult]


@pytest.fixture
def run_as(run: RunTool, small_fleet: Fleet) -> RunAsOperator:
    """Return a function that runs the tool against the fleet as an operator."""
    url = small_fleet.entries["entry-1"].url

    def run_tool_as(who: str, *words: str) -> ToolResult:
        return run(*words, url=url, key=KEYS[who])

    return run_tool_as


@pytest.fixture
def folders(run_as: RunAsOperator, tmp_path: Path) -> dict[str, Path]:
    """Return a freshly fetched folder for each operator."""
    paths = {who: tmp_path / who for who in KEYS}
    for who, path in paths.items():
        assert run_as(who, "config", "show", "--into", str(path)).code == 0
    return paths


def write(folder: Path, name: str, text: str) -> None:
    (folder / name).write_text(text)


def append_comment(folder: Path, name: str, line: str) -> None:
    write(folder, name, (folder / name).read_text() + f"// {line}\n")


def apply(run_as: RunAsOperator, who: str, folder: Path, *words: str) -> ToolResult:
    return run_as(who, "config", "apply", str(folder), "--cause", "a test", *words)


def read_in_force(run_as: RunAsOperator) -> dict[str, str]:
    return json.loads(run_as("mitali", "config", "show", "--json").out)["files"]


def test_check(run: RunTool, tmp_path: Path) -> None:
    for name, text in read_sample("brolga").items():
        write(tmp_path, name, text)
    result = run("config", "check", str(tmp_path))
    assert (result.code, result.err) == (const.EXIT_OK, "")
    assert result.out.startswith("fine: deployment brolga")
    write(tmp_path, "99-x.json", '{ "policy": { "planing": "off" } }')
    result = run("config", "check", str(tmp_path))
    assert (result.code, result.out) == (const.EXIT_REFUSED, "")
    assert result.err == (
        "radishtally: 99-x.json: policy.planing: expected no such field\n"
    )


def test_check_of_missing_folder(run: RunTool, tmp_path: Path) -> None:
    result = run("config", "check", str(tmp_path / "nowhere"))
    assert result.code == const.EXIT_REFUSED


def test_apply_spreads_and_is_recorded(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    append_comment(folders["mitali"], POLICY, "first")
    result = apply(run_as, "mitali", folders["mitali"], "--wait", "30")
    assert result.code == const.EXIT_OK, result.err
    assert "in force everywhere" in result.out
    assert read_in_force(run_as)[POLICY].endswith("// first\n")
    history = json.loads(run_as("arnab", "config", "history", "--json").out)
    assert history[0]["author"] == "mitali"
    assert history[0]["cause"] == "a test"
    assert history[0]["changed"] == [POLICY]
    entries = run_as("arnab", "audit", "--subject", "configuration").out
    assert "config.apply" in entries
    again = apply(run_as, "mitali", folders["mitali"])
    assert "nothing to change" in again.out


def test_edits_of_different_files_are_both_in_force(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    append_comment(folders["mitali"], POLICY, "mitali's")
    append_comment(folders["arnab"], TEAMS, "arnab's")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    assert apply(run_as, "arnab", folders["arnab"]).code == const.EXIT_OK
    files = read_in_force(run_as)
    assert files[POLICY].endswith("// mitali's\n")
    assert files[TEAMS].endswith("// arnab's\n")


def test_edits_of_one_file_conflict(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    # Both operators fetched the same revision and edit the same file. The second to
    # apply has not seen the first one's edit: the tool reports whose edit is in force
    # and keeps it until the second operator confirms with --base to have seen it.
    append_comment(folders["mitali"], POLICY, "mitali's")
    append_comment(folders["arnab"], POLICY, "arnab's")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    result = apply(run_as, "arnab", folders["arnab"])
    assert result.code == const.EXIT_CONFLICT
    assert "by mitali" in result.err
    assert "-// mitali's" in result.err
    assert read_in_force(run_as)[POLICY].endswith("// mitali's\n")
    fetched = run_as("arnab", "config", "show", "--into", str(folders["arnab"]))
    assert fetched.code == const.EXIT_CONFLICT
    assert (folders["arnab"] / POLICY).read_text().endswith("// arnab's\n")
    assert apply(run_as, "arnab", folders["arnab"]).code == const.EXIT_CONFLICT
    revision = json.loads(run_as("arnab", "status", "--json").out)["revision"]
    seen = apply(run_as, "arnab", folders["arnab"], "--base", str(revision))
    assert seen.code == const.EXIT_OK
    assert read_in_force(run_as)[POLICY].endswith("// arnab's\n")


def test_old_text_of_unedited_file_is_not_applied(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    # Arnab's apply of one file advances his folder's base. His unedited copy of the
    # other file is older than the text in force: neither his next apply nor one with
    # --base may restore the old text, and an edit of that file is a conflict.
    append_comment(folders["mitali"], POLICY, "mitali's")
    append_comment(folders["arnab"], TEAMS, "arnab's")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    assert apply(run_as, "arnab", folders["arnab"]).code == const.EXIT_OK
    revision = json.loads(run_as("arnab", "status", "--json").out)["revision"]
    append_comment(folders["arnab"], TEAMS, "arnab's second")
    based = apply(run_as, "arnab", folders["arnab"], "--base", str(revision))
    assert based.code == const.EXIT_OK, based.err
    assert read_in_force(run_as)[POLICY].endswith("// mitali's\n")
    append_comment(folders["arnab"], POLICY, "arnab's")
    assert apply(run_as, "arnab", folders["arnab"]).code == const.EXIT_CONFLICT


def test_folder_without_base_does_not_overwrite(
    run_as: RunAsOperator, folders: dict[str, Path], tmp_path: Path
) -> None:
    # A folder from another source, such as a checkout, has no record of its base. A
    # difference may be an edit or an older text, so it is not sent until the operator
    # names the revision that the edits are based on.
    append_comment(folders["mitali"], POLICY, "newer")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    (folders["arnab"] / BASE_FILE).unlink()
    result = apply(run_as, "arnab", folders["arnab"])
    assert result.code == const.EXIT_CONFLICT
    assert "may not have seen" in result.err
    assert read_in_force(run_as)[POLICY].endswith("// newer\n")


def test_removal(run_as: RunAsOperator, folders: dict[str, Path]) -> None:
    write(folders["mitali"], "60-new.json", "{}")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    assert "60-new.json" in read_in_force(run_as)
    # Arnab's folder is older than the file: that the file is missing is no removal.
    append_comment(folders["arnab"], TEAMS, "x")
    assert apply(run_as, "arnab", folders["arnab"]).code == const.EXIT_OK
    assert "60-new.json" in read_in_force(run_as)
    (folders["mitali"] / "60-new.json").unlink()
    diff = run_as("mitali", "config", "diff", str(folders["mitali"]), "--json")
    assert json.loads(diff.out)["changed"] == ["60-new.json"]
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    assert "60-new.json" not in read_in_force(run_as)


def test_removal_without_base_requires_flag(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    write(folders["mitali"], "60-new.json", "{}")
    assert apply(run_as, "mitali", folders["mitali"]).code == const.EXIT_OK
    (folders["mitali"] / "60-new.json").unlink()
    (folders["mitali"] / BASE_FILE).unlink()
    result = apply(run_as, "mitali", folders["mitali"])
    assert "60-new.json: in force but not in the folder; kept" in result.err
    assert "60-new.json" in read_in_force(run_as)
    assert apply(run_as, "mitali", folders["mitali"], "--remove").code == 0
    assert "60-new.json" not in read_in_force(run_as)


def test_apply_refuses_to_revoke_the_own_key(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    (folders["mitali"] / "45-operators.json").unlink()
    result = apply(run_as, "mitali", folders["mitali"])
    assert result.code == const.EXIT_REFUSED
    assert "your own key" in result.err
    assert run_as("mitali", "status").code == const.EXIT_OK


def test_invalid_change_is_refused_by_the_entry(
    run_as: RunAsOperator, folders: dict[str, Path]
) -> None:
    before = read_in_force(run_as)
    write(folders["mitali"], "60-new.json", '{ "policy": { "x": 1 } }')
    result = apply(run_as, "mitali", folders["mitali"])
    assert result.code == const.EXIT_REFUSED
    assert "60-new.json: policy.x" in result.err
    assert read_in_force(run_as) == before


def test_store_unavailable(
    run_as: RunAsOperator, small_fleet: Fleet, folders: dict[str, Path]
) -> None:
    # The platform's table is down. The apply fails and changes nothing, but the entry
    # can still show the configuration in force from memory.
    from bench.fleet import post_json

    fault = f"{small_fleet.standins['table'].url}/_fault"
    append_comment(folders["mitali"], POLICY, "not to come")
    post_json(fault, {"mode": "down"})
    try:
        result = apply(run_as, "mitali", folders["mitali"])
        shown = run_as("mitali", "config", "show")
    finally:
        post_json(fault, {"mode": "up"})
    assert result.code == const.EXIT_UNAVAILABLE, result
    assert shown.code == const.EXIT_OK


def test_wait_lists_hosts_that_have_not_confirmed(
    run: RunTool, entry: FakeEntry, tmp_path: Path
) -> None:
    write(tmp_path, "10-x.json", "{}")
    entry.set_answer("/configuration", {"revision": 4, "files": {"10-x.json": "{}"}})
    entry.set_answer("/configuration/confirmed", {"behind": ["gown-3"], "seconds": 2.0})
    words = ("config", "apply", str(tmp_path), "--cause", "x", "--wait", "2")
    result = run(*words, url=entry.url)
    assert result.code == const.EXIT_NOT_CONFIRMED
    assert result.err == "radishtally: not confirmed within 2 s by: gown-3\n"


def test_entry_with_older_revision_than_the_folder(
    run: RunTool, entry: FakeEntry, tmp_path: Path
) -> None:
    # A lagging entry would return an older text as the one in force, and the
    # operator's own last change would look like a conflict.
    write(tmp_path, BASE_FILE, json.dumps({"revision": 7, "files": {}}))
    entry.set_answer("/configuration", {"revision": 6, "files": {}})
    words = ("config", "apply", str(tmp_path), "--cause", "x")
    assert run(*words, url=entry.url).code == const.EXIT_UNAVAILABLE


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"revision": "x", "files": {}}'])
def test_invalid_base_file(
    run: RunTool, entry: FakeEntry, tmp_path: Path, text: str
) -> None:
    write(tmp_path, BASE_FILE, text)
    result = run("config", "apply", str(tmp_path), "--cause", "x", url=entry.url)
    assert result.code == const.EXIT_USAGE
    assert BASE_FILE in result.err
    assert entry.requests == []
