"""Test the commands on the configuration against a real entry and table."""

import json
from collections.abc import Callable
from pathlib import Path

import pytest

from bench.fleet import Fleet, read_sample
from radishtally.command import const
from radishtally.command.base import FILE
from tests.command.conftest import Run, Said
from tests.command.fake import FakeEntry

POLICY = "50-policy.json"
TEAMS = "40-teams.json"
KEYS = {"mitali": "lagna-operator-key", "arnab": "lagna-operator-2-key"}
TeamRun = Callable[..., Said]


@pytest.fixture
def ask(run: Run, small_fleet: Fleet) -> TeamRun:
    """Run the tool against the fleet as one of the operators."""
    url = small_fleet.entries["entry-1"].url

    def ask_as(who: str, *words: str) -> Said:
        return run(*words, url=url, key=KEYS[who])

    return ask_as


@pytest.fixture
def folders(ask: TeamRun, tmp_path: Path) -> dict[str, Path]:
    """Give each operator a folder that was just fetched."""
    paths = {who: tmp_path / who for who in KEYS}
    for who, path in paths.items():
        assert ask(who, "config", "show", "--into", str(path)).code == 0
    return paths


def write(folder: Path, name: str, text: str) -> None:
    (folder / name).write_text(text)


def add(folder: Path, name: str, line: str) -> None:
    write(folder, name, (folder / name).read_text() + f"// {line}\n")


def apply(ask: TeamRun, who: str, folder: Path, *words: str) -> Said:
    return ask(who, "config", "apply", str(folder), "--cause", "a test", *words)


def read_in_force(ask: TeamRun) -> dict[str, str]:
    return json.loads(ask("mitali", "config", "show", "--json").out)["files"]


def test_check(run: Run, tmp_path: Path) -> None:
    for name, text in read_sample("brolga").items():
        write(tmp_path, name, text)
    said = run("config", "check", str(tmp_path))
    assert (said.code, said.err) == (const.EXIT_FINE, "")
    assert said.out.startswith("fine: deployment brolga")
    write(tmp_path, "99-x.json", '{ "policy": { "planing": "off" } }')
    said = run("config", "check", str(tmp_path))
    assert (said.code, said.out) == (const.EXIT_REFUSED, "")
    assert said.err == (
        "radishtally: 99-x.json: policy.planing: expected no such field\n"
    )


def test_check_of_no_folder(run: Run, tmp_path: Path) -> None:
    said = run("config", "check", str(tmp_path / "nowhere"))
    assert said.code == const.EXIT_REFUSED


def test_apply_spreads_and_is_recorded(ask: TeamRun, folders: dict[str, Path]) -> None:
    add(folders["mitali"], POLICY, "first")
    said = apply(ask, "mitali", folders["mitali"], "--wait", "30")
    assert said.code == const.EXIT_FINE, said.err
    assert "in force everywhere" in said.out
    assert read_in_force(ask)[POLICY].endswith("// first\n")
    history = json.loads(ask("arnab", "config", "history", "--json").out)
    assert history[0]["author"] == "mitali"
    assert history[0]["cause"] == "a test"
    assert history[0]["changed"] == [POLICY]
    trail = ask("arnab", "audit", "--subject", "configuration").out
    assert "config.apply" in trail
    again = apply(ask, "mitali", folders["mitali"])
    assert "nothing to change" in again.out


def test_edits_of_different_files_both_hold(
    ask: TeamRun, folders: dict[str, Path]
) -> None:
    add(folders["mitali"], POLICY, "mitali's")
    add(folders["arnab"], TEAMS, "arnab's")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    assert apply(ask, "arnab", folders["arnab"]).code == const.EXIT_FINE
    files = read_in_force(ask)
    assert files[POLICY].endswith("// mitali's\n")
    assert files[TEAMS].endswith("// arnab's\n")


def test_edits_of_one_file_race(ask: TeamRun, folders: dict[str, Path]) -> None:
    # Both operators fetched the same revision and edit the same file. The second one
    # to apply has not seen the first one's edit: it is told whose edit is in force,
    # and that edit stays until the second operator says to have seen it.
    add(folders["mitali"], POLICY, "mitali's")
    add(folders["arnab"], POLICY, "arnab's")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    said = apply(ask, "arnab", folders["arnab"])
    assert said.code == const.EXIT_RACED
    assert "by mitali" in said.err
    assert "-// mitali's" in said.err
    assert read_in_force(ask)[POLICY].endswith("// mitali's\n")
    fetched = ask("arnab", "config", "show", "--into", str(folders["arnab"]))
    assert fetched.code == const.EXIT_RACED
    assert (folders["arnab"] / POLICY).read_text().endswith("// arnab's\n")
    assert apply(ask, "arnab", folders["arnab"]).code == const.EXIT_RACED
    revision = json.loads(ask("arnab", "status", "--json").out)["revision"]
    seen = apply(ask, "arnab", folders["arnab"], "--base", str(revision))
    assert seen.code == const.EXIT_FINE
    assert read_in_force(ask)[POLICY].endswith("// arnab's\n")


def test_old_text_of_unedited_file_stays_home(
    ask: TeamRun, folders: dict[str, Path]
) -> None:
    # Arnab's apply of one file moves his folder's base on. His copy of the other file
    # is older than what is in force and he did not edit it: neither his next apply nor
    # one with --base may bring the old text back, and an edit of it is a race.
    add(folders["mitali"], POLICY, "mitali's")
    add(folders["arnab"], TEAMS, "arnab's")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    assert apply(ask, "arnab", folders["arnab"]).code == const.EXIT_FINE
    revision = json.loads(ask("arnab", "status", "--json").out)["revision"]
    add(folders["arnab"], TEAMS, "arnab's second")
    based = apply(ask, "arnab", folders["arnab"], "--base", str(revision))
    assert based.code == const.EXIT_FINE, based.err
    assert read_in_force(ask)[POLICY].endswith("// mitali's\n")
    add(folders["arnab"], POLICY, "arnab's")
    assert apply(ask, "arnab", folders["arnab"]).code == const.EXIT_RACED


def test_folder_without_base_does_not_overwrite(
    ask: TeamRun, folders: dict[str, Path], tmp_path: Path
) -> None:
    # A folder from elsewhere, such as a checkout, carries no word on what it is based
    # on. What differs may be its owner's edit or an older text: it is not sent before
    # the owner names the revision that was looked at.
    add(folders["mitali"], POLICY, "newer")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    (folders["arnab"] / FILE).unlink()
    said = apply(ask, "arnab", folders["arnab"])
    assert said.code == const.EXIT_RACED
    assert "may not have seen" in said.err
    assert read_in_force(ask)[POLICY].endswith("// newer\n")


def test_removal(ask: TeamRun, folders: dict[str, Path]) -> None:
    write(folders["mitali"], "60-new.json", "{}")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    assert "60-new.json" in read_in_force(ask)
    # Arnab's folder is older than the file: lacking it is no wish to remove it.
    add(folders["arnab"], TEAMS, "x")
    assert apply(ask, "arnab", folders["arnab"]).code == const.EXIT_FINE
    assert "60-new.json" in read_in_force(ask)
    (folders["mitali"] / "60-new.json").unlink()
    diff = ask("mitali", "config", "diff", str(folders["mitali"]), "--json")
    assert json.loads(diff.out)["changed"] == ["60-new.json"]
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    assert "60-new.json" not in read_in_force(ask)


def test_removal_without_base_is_asked_for(
    ask: TeamRun, folders: dict[str, Path]
) -> None:
    write(folders["mitali"], "60-new.json", "{}")
    assert apply(ask, "mitali", folders["mitali"]).code == const.EXIT_FINE
    (folders["mitali"] / "60-new.json").unlink()
    (folders["mitali"] / FILE).unlink()
    said = apply(ask, "mitali", folders["mitali"])
    assert "60-new.json: in force but not in the folder; kept" in said.err
    assert "60-new.json" in read_in_force(ask)
    assert apply(ask, "mitali", folders["mitali"], "--remove").code == 0
    assert "60-new.json" not in read_in_force(ask)


def test_apply_does_not_lock_its_operator_out(
    ask: TeamRun, folders: dict[str, Path]
) -> None:
    (folders["mitali"] / "45-operators.json").unlink()
    said = apply(ask, "mitali", folders["mitali"])
    assert said.code == const.EXIT_REFUSED
    assert "your own key" in said.err
    assert ask("mitali", "status").code == const.EXIT_FINE


def test_refused_by_the_entry(ask: TeamRun, folders: dict[str, Path]) -> None:
    before = read_in_force(ask)
    write(folders["mitali"], "60-new.json", '{ "policy": { "x": 1 } }')
    said = apply(ask, "mitali", folders["mitali"])
    assert said.code == const.EXIT_REFUSED
    assert "60-new.json: policy.x" in said.err
    assert read_in_force(ask) == before


def test_store_away(ask: TeamRun, small_fleet: Fleet, folders: dict[str, Path]) -> None:
    # The platform's table is down. The operator is told that nothing was changed, and
    # the configuration in force can still be read, as the entry holds it.
    from bench.fleet import post_json

    fault = f"{small_fleet.standins['table'].url}/_fault"
    add(folders["mitali"], POLICY, "not to come")
    post_json(fault, {"mode": "down"})
    try:
        said = apply(ask, "mitali", folders["mitali"])
        shown = ask("mitali", "config", "show")
    finally:
        post_json(fault, {"mode": "up"})
    assert said.code == const.EXIT_AWAY, said
    assert shown.code == const.EXIT_FINE


def test_wait_names_who_has_not_confirmed(
    run: Run, entry: FakeEntry, tmp_path: Path
) -> None:
    write(tmp_path, "10-x.json", "{}")
    entry.set("/configuration", {"revision": 4, "files": {"10-x.json": "{}"}})
    entry.set("/configuration/confirmed", {"behind": ["gown-3"], "seconds": 2.0})
    words = ("config", "apply", str(tmp_path), "--cause", "x", "--wait", "2")
    said = run(*words, url=entry.url)
    assert said.code == const.EXIT_NOT_CONFIRMED
    assert said.err == "radishtally: not confirmed within 2 s by: gown-3\n"


def test_entry_that_is_behind_the_folder(
    run: Run, entry: FakeEntry, tmp_path: Path
) -> None:
    # An entry that lags would show an older text as in force, and the operator's own
    # last change would look like a race.
    write(tmp_path, FILE, json.dumps({"revision": 7, "files": {}}))
    entry.set("/configuration", {"revision": 6, "files": {}})
    words = ("config", "apply", str(tmp_path), "--cause", "x")
    assert run(*words, url=entry.url).code == const.EXIT_AWAY


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"revision": "x", "files": {}}'])
def test_broken_base(run: Run, entry: FakeEntry, tmp_path: Path, text: str) -> None:
    write(tmp_path, FILE, text)
    said = run("config", "apply", str(tmp_path), "--cause", "x", url=entry.url)
    assert said.code == const.EXIT_USAGE
    assert FILE in said.err
    assert entry.asked == []
