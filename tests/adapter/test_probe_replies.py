"""Tests of reading which process has answered a probe."""

import json

import pytest
from adapter.config import decode_configuration
from adapter.upstreams import PlatformUpstreams

from radishtally.direct.core import Instance, ProbeReply
from radishtally.exchange import Headers
from radishtally.routes.config import HEALTH_PATH
from tests.adapter.test_decoding import CONFIGURATION

OTHER, RESTARTED = ProbeReply.OTHER, ProbeReply.RESTARTED
SAME, UNCLEAR = ProbeReply.SAME, ProbeReply.UNCLEAR
BORN = 1_000
ENGINE = Instance("i-1", "llm", "127.0.0.1:1", "howrah", False, 64, "decode")
ENGINE = ENGINE._replace(started_ms=BORN)
DESK = ENGINE._replace(role="")
SAME_ID = (("X-Instance-Id", "i-1"),)
OTHER_ID = (("X-Instance-Id", "i-2"),)
NOT_RUN = (("X-Not-Executed", "1"),)
NAMED = (("X-Request-Id", "r1"),)
SIGNED = (("X-Server-Signature", "by-i-1"),)


def make_report(born: int | None) -> bytes:
    """Make an engine's report."""
    report = {"phase": "decode", "busy": False, "sequence": 0}
    return json.dumps(report if born is None else {**report, "born": born}).encode()


def make_health(born: int) -> bytes:
    """Make an answer to a health check."""
    return json.dumps({"status": "ok", "born": born}).encode()


def read(
    status: int, headers: Headers, body: bytes, instance: Instance = ENGINE
) -> ProbeReply:
    """Read the answer to a probe."""
    return PlatformUpstreams().read_probe(status, headers, body, instance)


# Guards against a part that looks whole: another process, or the answer of an
# intermediary, is taken for the host that was killed.
@pytest.mark.parametrize("instance", [ENGINE, DESK], ids=["engine", "desk"])
@pytest.mark.parametrize(
    ("status", "headers", "body", "expected"),
    [
        (421, (), b"", OTHER),
        (421, OTHER_ID, b"", OTHER),
        (421, SAME_ID, b"", OTHER),
        (200, SAME_ID, b"", SAME),
        (200, OTHER_ID, b"", OTHER),
        (503, OTHER_ID, b"", OTHER),
        (200, OTHER_ID, make_report(BORN), OTHER),
        (200, (), make_report(BORN + 1), RESTARTED),
        (200, (), make_report(BORN - 1), RESTARTED),
        (200, (), make_report(10**30), RESTARTED),
        (200, SAME_ID, make_health(BORN), SAME),
        (200, SAME_ID, make_health(BORN + 1), RESTARTED),
        (200, SAME_ID, make_health(BORN - 1), RESTARTED),
        (503, NOT_RUN, b"", SAME),
        (503, NOT_RUN, make_health(BORN + 1), RESTARTED),
        (503, NOT_RUN + OTHER_ID, b"", OTHER),
        (503, SAME_ID, b"", SAME),
        (502, (), b"", UNCLEAR),
        (503, (), b"", UNCLEAR),
        (504, (), b"", UNCLEAR),
        (502, (), b"<html>Bad Gateway</html>", UNCLEAR),
        (502, OTHER_ID, b"", OTHER),
        (200, NAMED, b"", UNCLEAR),
        (500, NAMED, b"", UNCLEAR),
        (200, NAMED + SAME_ID, b"", UNCLEAR),
        (503, NAMED + NOT_RUN, b"", UNCLEAR),
        (500, SIGNED, b"", SAME),
        (500, NAMED + SIGNED, b"", UNCLEAR),
        (200, (), b"", UNCLEAR),
        (404, (), b"", UNCLEAR),
        (405, (), b"", UNCLEAR),
        (429, (), b"", UNCLEAR),
        (500, (), b"", UNCLEAR),
    ],
)
def test_probe_reply_is_read(
    status: int,
    headers: Headers,
    body: bytes,
    expected: ProbeReply,
    instance: Instance,
) -> None:
    assert read(status, headers, body, instance) == expected


@pytest.mark.parametrize("born", [BORN, 0, None])
def test_report_without_a_name_is_that_of_the_engine(born: int | None) -> None:
    assert read(200, (), make_report(born)) == SAME
    assert read(200, (), make_report(born), DESK) == UNCLEAR


def test_header_names_are_read_in_any_case() -> None:
    assert read(200, (("x-instance-id", "i-2"),), b"") == OTHER
    assert read(503, (("x-not-executed", "1"),), b"") == SAME
    assert read(200, (("x-request-id", "r1"),), b"") == UNCLEAR


# Guards against a host that was listed without its start and counts as replaced.
def test_any_start_matches_one_that_is_not_known() -> None:
    unknown = ENGINE._replace(started_ms=0)
    assert read(200, (), make_report(BORN), unknown) == SAME


# Guards against an exception that leaves the request without a result.
@pytest.mark.parametrize(
    "body",
    [
        b"\xff\xfe\x00",
        b'{"born": "\xff"}',
        b'{"born": ',
        b'{"born": "late"}',
        b'{"born": null}',
        b'{"born": 1e400}',
        b'{"born": 1.5}',
        b"[1000]",
        b"1000",
        b"null",
        b"OK",
        b"[" * 10_000,
    ],
)
@pytest.mark.parametrize("status", [200, 404, 502])
def test_garbage_tells_nothing_about_the_start(status: int, body: bytes) -> None:
    assert read(status, (), body) == UNCLEAR
    assert read(status, SAME_ID, body) == SAME


def test_engine_is_probed_with_its_report_and_others_with_a_health_check() -> None:
    probe = PlatformUpstreams().encode_probe(ENGINE, "/alive")
    assert (probe.method, probe.path, probe.body) == ("GET", "/api/report", b"")
    assert dict(probe.headers)["x-target-instance"] == "i-1"
    probe = PlatformUpstreams().encode_probe(DESK, "/alive")
    assert (probe.method, probe.path, probe.body) == ("GET", "/alive", b"")
    assert dict(probe.headers)["x-target-instance"] == "i-1"


def decode_services(*services: dict[str, object]) -> object:
    """Decode a configuration with these services."""
    data = {**CONFIGURATION, "services": services}
    return decode_configuration(json.dumps(data).encode())


def test_health_path_is_decoded() -> None:
    engine = CONFIGURATION["services"][0]["engine"]
    upstreams = decode_services(
        {"name": "x", "engine": engine, "healthPath": "/live"},
        {"name": "y", "healthPath": "/up/now"},
    ).ok.upstreams
    assert upstreams["x"].health_path == "/live"
    assert upstreams["x"].engine is not None
    assert upstreams["y"].health_path == "/up/now"


def test_health_path_has_a_default() -> None:
    upstreams = decode_services({"name": "x"}, {"name": "y"}).ok.upstreams
    assert {terms.health_path for terms in upstreams.values()} == {HEALTH_PATH}


# Guards against a probe of a URL that is formed of the address and the path's start.
@pytest.mark.parametrize("path", ["", "health", "@elsewhere/health", 7, None])
def test_health_path_without_a_slash_is_rejected(path: object) -> None:
    services = {"name": "x", "healthPath": path}, {"name": "y"}
    assert decode_services(*services).is_error()
