"""Tests of decoding what the platform and its callers send."""

import json
from typing import Any

import pytest
from adapter.callers import PlatformCallers
from adapter.config import decode_configuration
from adapter.instances import decode_entry, decode_instance
from adapter.store import Answer, _parse_page
from adapter.upstreams import MAX_LIMIT, MAX_PAUSE_SECONDS, PlatformUpstreams

from radishtally.direct.core import Instance, Notice
from radishtally.links.messages import PREFILL, STREAM, KvRef, Offer, Work
from radishtally.outcome import Result
from radishtally.routes.core import RouteKind, Split
from radishtally.serving.terms import PromptPart, Terms
from radishtally.teams.core import Team, TeamKeys
from tests.gateway.common import ENTRY, LIMITS

ROUTE = {
    "name": "r",
    "host": "Desk.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeoutMs": 8000,
    "targetLatencyMs": 300,
    "priority": 1,
    "trafficSplit": [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 10},
    ],
    "maxAttempts": 2,
    "resumable": True,
    "aFieldOfTomorrow": 1,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "x", "engine": {"slots": 64, "kvCapacityTokens": 5, "stride": 10}},
        {"name": "y"},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
HEAD = (("Host", "desk.example"), ("X-Request-Id", "r1"))
ENGINE = Instance("i-1", "llm", "127.0.0.1:1", "howrah", False, 64, "decode")


def test_configuration_is_decoded() -> None:
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode()).ok
    (route,) = configuration.routes
    assert route.authority == "desk.example"
    assert route.kind == RouteKind.STREAM
    assert route.splits == (Split("x", 90), Split("y", 10))
    assert (route.timeout, route.objective) == (8.0, 0.3)
    assert configuration.upstreams["x"].engine.kv_tokens == 5
    assert configuration.upstreams["y"].engine is None
    assert configuration.limits.idle_seconds == 15.0


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        json.dumps({**CONFIGURATION, "version": "7"}).encode(),
        json.dumps({**CONFIGURATION, "routes": [{**ROUTE, "kind": "new"}]}).encode(),
        json.dumps({**CONFIGURATION, "routes": [{**ROUTE, "timeoutMs": 0}]}).encode(),
        json.dumps({**CONFIGURATION, "routes": [{**ROUTE, "prefix": "a"}]}).encode(),
        json.dumps(
            {**CONFIGURATION, "routes": [{**ROUTE, "trafficSplit": []}]}
        ).encode(),
        json.dumps(
            {
                **CONFIGURATION,
                "routes": [
                    {**ROUTE, "trafficSplit": [{"service": "x", "weight": -1}]},
                ],
            }
        ).encode(),
        b"[" * 100_000,
        b"\xff\xfe",
    ],
)
def test_invalid_configuration_is_an_error(data: bytes) -> None:
    assert decode_configuration(data).is_error()


def test_host_entry_is_decoded() -> None:
    value = {
        "service": "x",
        "address": "10.0.0.1:80",
        "zone": "howrah",
        "version": "v1",
        "slots": 6,
        "state": "draining",
        "coldRemainingMs": 0,
        "sequence": 4,
        "phase": "prefill",
    }
    instance = decode_instance("i-1", json.dumps(value).encode()).ok
    assert instance == Instance(
        "i-1", "x", "10.0.0.1:80", "howrah", True, 6, PREFILL, version="v1"
    )


# Guards against a restarted host that is not recognized as such, and against rejecting
# the entries of hosts that don't report their start.
def test_start_time_is_decoded_from_entries_and_reports() -> None:
    entry = {**ENTRY, "service": "x", "address": "10.0.0.1:80"}
    for more, started_ms in (({}, 0), ({"born": 1_790_000_000_123}, 1_790_000_000_123)):
        instance = decode_instance("i-1", json.dumps({**entry, **more}).encode()).ok
        assert instance.started_ms == started_ms
        data = json.dumps({"phase": "decode", "sequence": 2, **more}).encode()
        report = PlatformUpstreams().read_report(data).ok
        assert (report.sequence, report.started_ms) == (2, started_ms)


@pytest.mark.parametrize("born", ["1790000000123", 1.5, None, True, [1]])
def test_start_time_of_a_wrong_type_is_rejected(born: object) -> None:
    entry = {**ENTRY, "service": "x", "address": "10.0.0.1:80", "born": born}
    assert decode_instance("i-1", json.dumps(entry).encode()).is_error()
    data = json.dumps({"phase": "decode", "born": born}).encode()
    assert PlatformUpstreams().read_report(data).is_error()


def test_prompt_headers_are_parsed() -> None:
    head = (
        *HEAD,
        ("X-Model", "m"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", "5c:800, 91:410,e4:250"),
        ("X-Deadline-Ms", "1500"),
    )
    request = PlatformCallers().read_request("/a/b?c", head).ok
    assert request.path == "/a/b"
    assert request.timeout == 1.5
    assert (request.prompt_tokens, request.max_tokens) == (1460, 80)
    assert request.parts == tuple(
        PromptPart(*part) for part in (("5c", 800), ("91", 410), ("e4", 250))
    )


@pytest.mark.parametrize("text", ["x", "x:", ":5", "x:-1", "x:9999999999999999"])
def test_parsing_of_prompt_parts_ends_at_an_invalid_part(text: str) -> None:
    head = (*HEAD, ("X-Prompt-Prefix", f"a:1,{text},b:2"))
    request = PlatformCallers().read_request("/a/b", head).ok
    assert request.parts == (PromptPart("a", 1),)


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    head = (*HEAD, ("Connection", "close, X-Mine"), ("X-Mine", "1"), ("TE", "x"))
    request = PlatformCallers().read_request("/a/b", head).ok
    assert request.headers == HEAD


def make_offer(**more: object) -> Offer:
    work = Work("r1", "", "llm", STREAM, b"", path="/a", headers=HEAD)
    return Offer(work, 1, 1.2345, **more)


def test_offer_names_target_deadline_and_priority() -> None:
    call = PlatformUpstreams().encode_offer(make_offer(), Terms(priority=3), ENGINE)
    assert call.headers == (
        *HEAD,
        ("x-deadline-ms", "1234"),
        ("x-target-instance", "i-1"),
        ("x-request-priority", "3"),
    )


def test_offer_after_prefill_names_the_kv_source() -> None:
    kv = KvRef("p", "10.0.0.1:80", "3f", 9)
    offer = make_offer(kv=kv, done=b"e", tokens_done=4)
    headers = dict(PlatformUpstreams().encode_offer(offer, Terms(), ENGINE).headers)
    assert headers["x-kv-source"] == "10.0.0.1:80/3f"
    assert headers["last-event-id"] == "4"


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, (("X-Not-Executed", "1"),), True),
        (421, (), True),
        (503, (), False),
        (429, (), False),
    ],
)
def test_not_run_requires_the_hosts_header_or_status(
    status: int, headers: tuple[tuple[str, str], ...], not_run: bool
) -> None:
    assert PlatformUpstreams().read_head(status, headers).not_run == not_run


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, (), Notice()),
        (200, (("Server-Leaving", "1"),), Notice(is_leaving=True)),
        (503, (("server-leaving", "1"),), Notice(is_leaving=True)),
        (200, (("Server-Leaving", "0"),), Notice()),
        (503, (("Retry-After", "2.5"),), Notice(pause=2.5)),
        (503, (("Retry-After", "-3"),), Notice()),
        (503, (("Retry-After", "nan"),), Notice()),
        (503, (("Retry-After", "1e300"),), Notice(pause=MAX_PAUSE_SECONDS)),
        (503, (("Retry-After", "inf"),), Notice(pause=MAX_PAUSE_SECONDS)),
        (503, (("Retry-After", "Thu, 01 Jan 2099 00:00:00 GMT"),), Notice()),
        (503, (("Retry-After", ""),), Notice()),
        # Retry-After counts only in a 503.
        (200, (("Retry-After", "2.5"),), Notice()),
        (429, (("Retry-After", "2.5"),), Notice()),
        # A 421 comes from another host than the one that was called.
        (421, (("Server-Leaving", "1"),), Notice()),
        (200, (("Server-Limit", "4.4"),), Notice(limit=4.4)),
        (503, (("server-limit", " 0.25 "),), Notice(limit=0.25)),
        (421, (("Server-Limit", "4.4"),), Notice()),
        (200, (("Server-Limit", ""),), Notice()),
        (200, (("Server-Limit", "0"),), Notice()),
        (200, (("Server-Limit", "-1"),), Notice()),
        (200, (("Server-Limit", "1e3"),), Notice()),
        (200, (("Server-Limit", "inf"),), Notice()),
        (200, (("Server-Limit", "4,4"),), Notice()),
        (200, (("Server-Limit", "9" * 15),), Notice(limit=MAX_LIMIT)),
        (200, (("Server-Limit", "9" * 16),), Notice()),
    ],
)
def test_notice_of_a_host_is_extracted(
    status: int, headers: tuple[tuple[str, str], ...], notice: Notice
) -> None:
    assert PlatformUpstreams().read_notice(status, headers) == notice


def decode_teams(*tenants: object) -> TeamKeys:
    """Decode a configuration with these teams, and return these."""
    data = json.dumps({**CONFIGURATION, "tenants": tenants}).encode()
    return decode_configuration(data).ok.teams


def test_teams_are_decoded_by_the_digests_of_their_keys() -> None:
    silk = {"name": "silk", "apiKeys": ["a", "b"], "priority": 3}
    teams = decode_teams(silk, {"name": "satin", "apiKeys": ["c", ""]})
    found = [teams.find(key) for key in (b"a", b"b", b"c", b"")]
    assert found == [Team("silk", 3), Team("silk", 3), Team("satin", None), None]
    assert len(teams) == 3
    assert decode_configuration(json.dumps(CONFIGURATION).encode()).ok.teams is None


# Guards against one invalid team that voids the whole configuration, and against a name
# that would add a header to requests.
@pytest.mark.parametrize(
    "tenant",
    [
        {"name": "bad\r\nX-Tenant: other", "apiKeys": ["b"]},
        {"name": "", "apiKeys": ["b"]},
        {"name": "bad", "apiKeys": [7]},
        {"name": "bad", "apiKeys": "b"},
        {"apiKeys": ["b"]},
        "bad",
        None,
    ],
)
def test_invalid_team_is_left_out(tenant: object) -> None:
    teams = decode_teams({"name": "silk", "apiKeys": ["a"]}, tenant)
    assert list(teams) == [Team("silk")]


# Guards against requests that are attributed to one of two teams by chance.
def test_key_of_two_teams_is_left_out() -> None:
    teams = decode_teams(
        {"name": "silk", "apiKeys": ["a", "both"]},
        {"name": "satin", "apiKeys": ["both", "c"]},
    )
    found = [teams.find(key) for key in (b"a", b"both", b"c")]
    assert found == [Team("silk"), None, Team("satin")]


def test_resumed_stream_is_parsed_and_forwarded() -> None:
    head = (*HEAD, ("Last-Event-Id", "4"), ("Resumes", "r0"))
    request = PlatformCallers().read_request("/a/b", head).ok
    assert (request.resumed_stream, request.resumed_after) == ("r0", 4)
    assert request.headers == head


HUGE = 10**399
DEEP = b"[" * 100_000
UPSTREAMS = PlatformUpstreams()
ANSWER = {"phase": "decode", "sequence": 1, "born": 1}
CACHED = ["", "aa", 5, "m"]


def encode_with(value: dict[str, Any], **more: Any) -> bytes:
    return json.dumps({**value, **more}).encode()


def decode_page(body: bytes) -> Result[Any, Any]:
    return _parse_page(Answer(200, body, 0))


def decode_handle(body: bytes) -> Result[Any, str]:
    return UPSTREAMS.read_handle(body, ENGINE)


def decode_host(body: bytes) -> Result[Any, str]:
    return decode_entry("i-1", body)


HOST = {**ENTRY, "service": "x", "address": "10.0.0.1:80"}
ROW = {"table": "t", "key": "k", "ver": 1}
HANDLE = {"kvHandle": "h", "tokens": 1}
READERS = {
    "report": (UPSTREAMS.read_report, ANSWER),
    "cached parts": (UPSTREAMS.read_cached_parts, {"held": [CACHED]}),
    "handle": (decode_handle, HANDLE),
    "entry": (decode_host, HOST),
    "page": (decode_page, {"rows": [ROW], "ver": 1}),
    "configuration": (decode_configuration, CONFIGURATION),
}


# Guards against JSON nested so deeply that decoding it ends the process, also where the
# type has no such field.
@pytest.mark.parametrize("name", READERS)
def test_deeply_nested_json_is_an_error(name: str) -> None:
    decode, sound = READERS[name]
    assert decode(encode_with(sound)).is_ok()
    nested = encode_with(sound)[:-1] + b', "new": ' + DEEP
    for body in (DEEP, nested, b'{"new": ' * 100_000):
        assert decode(body).is_error()


# Guards against a number that ends the process long after it was read: it can be
# neither a float nor sent to another gateway.
@pytest.mark.parametrize(
    ("name", "field", "value"),
    [
        ("report", "sequence", HUGE),
        ("report", "born", HUGE),
        ("cached parts", "held", [["", "aa", HUGE, "m"]]),
        ("handle", "tokens", HUGE),
        ("entry", "sequence", HUGE),
        ("entry", "slots", HUGE),
        ("entry", "born", HUGE),
        ("entry", "coldRemainingMs", HUGE),
        ("page", "ver", HUGE),
        ("page", "rows", [{**ROW, "ver": HUGE}]),
        ("configuration", "version", HUGE),
        ("configuration", "routes", [{**ROUTE, "priority": HUGE}]),
        ("configuration", "routes", [{**ROUTE, "maxAttempts": HUGE}]),
        ("configuration", "routes", [{**ROUTE, "targetLatencyMs": 1e300}]),
        ("configuration", "limits", {**LIMITS, "maxHeaderBytes": HUGE}),
        ("configuration", "limits", {**LIMITS, "maxBodyBytes": HUGE}),
        (
            "configuration",
            "services",
            [{"name": "x", "engine": {"kvCapacityTokens": HUGE}}],
        ),
    ],
)
def test_number_out_of_range_is_an_error(name: str, field: str, value: Any) -> None:
    decode, sound = READERS[name]
    for signed in (value, -value) if isinstance(value, int) else (value,):
        assert decode(encode_with(sound, **{field: signed})).is_error()


# Guards against a handle that becomes a header of its own at another engine.
@pytest.mark.parametrize(
    "handle", ["", "a b", "a\r\nX-Kv-Hold: 1", "x" * 201, "\u20ac"]
)
def test_handle_that_no_header_can_hold_is_an_error(handle: str) -> None:
    assert decode_handle(encode_with(HANDLE, kvHandle=handle)).is_error()


@pytest.mark.parametrize("digits", [13, 400, 5_000])
@pytest.mark.parametrize("name", ["X-Deadline-Ms", "X-Token-Count", "Last-Event-Id"])
def test_callers_number_out_of_range_is_refused_or_ignored(
    name: str, digits: int
) -> None:
    read = PlatformCallers().read_request("/a/b", (*HEAD, (name, "9" * digits)))
    if name == "X-Deadline-Ms":
        assert read.error.status == 400
        return
    assert (read.ok.prompt_tokens, read.ok.resumed_after) == (0, 0)


@pytest.mark.parametrize("digits", [16, 400, 5_000])
def test_notice_out_of_range_is_ignored_or_bounded(digits: int) -> None:
    number = "9" * digits
    headers = (("Server-Limit", number), ("Retry-After", number))
    notice = UPSTREAMS.read_notice(503, headers)
    assert notice == Notice(False, MAX_PAUSE_SECONDS, 0.0)
