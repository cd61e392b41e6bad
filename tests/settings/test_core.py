"""Tests of reading settings: a fault names the file, key path and expectation."""

import json

import pytest

from radishtally.settings.core import parse_settings, read_settings

AGENT = {
    "role": "agent",
    "host": "gown-1",
    "place": "howrah",
    "address": "127.0.0.2:7000",
    "peer_key": "k",
    "table": {"url": "http://127.0.0.9:1"},
    "objects": {"url": "http://127.0.0.9:2"},
    "host_list": {"url": "http://127.0.0.9:3"},
    "upstream": {"name": "gown-llm", "kind": "engine", "url": "http://127.0.0.2:8"},
}
ENTRY = {**AGENT, "role": "entry", "upstream": None, "http_address": "127.0.0.1:80"}


@pytest.mark.parametrize("data", [AGENT, ENTRY])
def test_settings_with_comments_are_read(tmp_path, data):
    path = tmp_path / "settings.json"
    path.write_text("// one process\n" + json.dumps(data))
    assert read_settings(path).ok.role == data["role"]


@pytest.mark.parametrize(
    ("data", "place", "message"),
    [
        ({**AGENT, "upstream": None}, "s.json: upstream", "for an agent"),
        ({**ENTRY, "http_address": None}, "s.json: http_address", "of an entry"),
        ({**AGENT, "role": "odd"}, "s.json: role", "odd"),
        ({**AGENT, "odd": 1}, "s.json: odd", "no such field"),
        ({**AGENT, "table": {}}, "s.json: table.url", "got none"),
        ({**AGENT, "seeds": ["a", 1]}, "s.json: seeds.1", "str"),
        (
            {**AGENT, "upstream": {**AGENT["upstream"], "kind": "odd"}},
            "s.json: upstream.kind",
            "odd",
        ),
        ({**AGENT, "address": "127.0.0.1"}, "s.json: address", "port"),
        ({**AGENT, "address": "howrah:70"}, "s.json: address", "port"),
        ({**AGENT, "address": "127.0.0.1:70000"}, "s.json: address", "port"),
        ({**ENTRY, "http_address": "127.0.0.1:x"}, "s.json: http_address", "port"),
        ({**AGENT, "statsd": "x"}, "s.json: statsd", "port"),
        ({**AGENT, "seeds": ["127.0.0.1:9", "x"]}, "s.json: seeds.1", "port"),
        ({**AGENT, "dial": {"gown-2": "x"}}, "s.json: dial.gown-2", "port"),
        ({**AGENT, "stop_seconds": -1}, "s.json: stop_seconds", ">= 0"),
        ({**AGENT, "peer_key": ""}, "s.json: peer_key", "length"),
    ],
)
def test_faults_name_file_path_and_expectation(data, place, message):
    fault = parse_settings(json.dumps(data), "s.json").error
    assert fault.place == place
    assert message in fault.message


def test_missing_file_is_a_fault(tmp_path):
    assert "none.json" in read_settings(tmp_path / "none.json").error.place


def test_file_that_is_not_utf8_is_a_fault(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(b"\xff")
    assert "UTF-8" in read_settings(path).error.message
