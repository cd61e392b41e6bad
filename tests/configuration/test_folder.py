"""Tests that a folder is either read completely or refused with the file's name."""

import pytest

from radishtally.configuration import folder
from radishtally.configuration.folder import check_change, read_folder


def test_only_json_files_are_read(tmp_path):
    (tmp_path / "10.json").write_text('{"a": "ü"}', encoding="utf-8")
    (tmp_path / "notes.txt").write_text("no")
    (tmp_path / "sub.json").mkdir()
    assert read_folder(tmp_path).ok == {"10.json": '{"a": "ü"}'}


@pytest.mark.parametrize(
    ("name", "body", "message"),
    [
        ("10.json", b"\xff\xfe", "UTF-8"),
        ("10.json", b"x" * 101, "at most 100 bytes"),
        ("a b.json", b"{}", "file name"),
    ],
)
def test_bad_file_is_named(tmp_path, monkeypatch, name, body, message):
    monkeypatch.setattr(folder, "MAX_FILE_BYTES", 100)
    (tmp_path / name).write_bytes(body)
    fault = read_folder(tmp_path).error
    assert fault.place == name
    assert message in fault.message


def test_too_many_or_too_large_files_are_refused(tmp_path, monkeypatch):
    monkeypatch.setattr(folder, "MAX_FILES", 2)
    monkeypatch.setattr(folder, "MAX_TOTAL_BYTES", 10)
    for name in ("1.json", "2.json"):
        (tmp_path / name).write_bytes(b"{     }")
    assert "10 bytes" in read_folder(tmp_path).error.message
    (tmp_path / "3.json").write_bytes(b"{}")
    assert "2 files" in read_folder(tmp_path).error.message


def test_missing_folder_is_a_fault(tmp_path):
    assert "folder" in read_folder(tmp_path / "none").error.message


@pytest.mark.parametrize(
    "change", [{"../x.json": ""}, {"x": ""}, {"x.json": "\ud800"}, {"": None}]
)
def test_change_that_can_not_be_stored_is_refused(change):
    assert check_change(change).is_error()
