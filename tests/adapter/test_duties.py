"""Calls to the platform's API, and what their answers say."""

import json

import pytest
from adapter import duties
from adapter.duties import DutiesClient
from aiohttp import web

from radishtally.usage.reporter import ReportOutcome
from tests.common import run
from tests.gateway.common import serve

COUNTS = {"silk": 3, "satin": 1}


async def call(*, status: int = 200, is_silent: bool = False) -> ReportOutcome:
    """Report to a platform that answers so, and check what it gets."""
    seen: list[tuple[str, str, dict]] = []

    async def answer(request: web.Request) -> web.Response:
        holder, fencing = (request.headers[name] for name in HEADERS)
        seen.append((holder, fencing, json.loads(await request.read())))
        if is_silent:
            request.transport.abort()
        return web.Response(status=status)

    app = web.Application()
    app.router.add_post("/usage", answer)
    client = DutiesClient(await serve(app))
    await client.start()
    try:
        outcome = await client.report_usage("front-1", 12, 353445120, COUNTS)
    finally:
        await client.stop()
    body = {"windowSeq": 353445120, "counts": COUNTS}
    assert seen == [("front-1", "12", body)]
    return outcome


HEADERS = ("X-Lease-Holder", "X-Fence-Token")


# Guards against a report that is given up although it may be repeated, or repeated
# although the platform will never accept it.
@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, ReportOutcome.ACCEPTED),
        (409, ReportOutcome.STALE),
        (400, ReportOutcome.REFUSED),
        (429, ReportOutcome.UNCLEAR),
        (503, ReportOutcome.UNCLEAR),
        (500, ReportOutcome.UNCLEAR),
    ],
)
def test_answer_decides_whether_a_report_is_repeated(
    status: int, outcome: ReportOutcome
) -> None:
    assert run(call(status=status)) == outcome


# Guards against a call that the HTTP library sends a second time by itself.
def test_lost_answer_is_unclear() -> None:
    assert run(call(is_silent=True)) == ReportOutcome.UNCLEAR


def test_platform_that_does_not_answer_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(duties, "CALL_SECONDS", 0.05)

    async def scenario() -> None:
        client = DutiesClient("127.0.0.1:9")
        await client.start()
        outcome = await client.report_usage("front-1", 12, 1, COUNTS)
        await client.stop()
        assert outcome == ReportOutcome.UNCLEAR

    run(scenario())
