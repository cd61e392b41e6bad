"""Each check of the soak finds the failure that it is for."""

from collections.abc import Callable

import pytest

from soak.checks import Ledger, Sent, Trouble
from soak.const import EVENTS, GONE_SECONDS
from soak.wire import Answer
from standins.runs import ORDER, RUN, Order, Run, digest
from standins.staged import make_event

BODY = b"an answer"
SIGNATURE = "h-1.1"


def make_sent(kind: str = "book", name: str = "r1") -> Sent:
    """Make a request that a caller sent."""
    return Sent(name, kind, "POST", f"/{kind}/1", digest(b""), "g-1", 100.0)


def make_run(sent: Sent, **changes: object) -> Run:
    """Make the run of a request."""
    asked = sent.id, sent.method, sent.path, sent.body
    run = Run(RUN, 100.0, "h-1", *asked, SIGNATURE, 200, digest(BODY))
    return run._replace(**changes)


def make_answer(body: bytes = BODY, status: int = 200, **more: str) -> Answer:
    """Make an answer that a caller got whole."""
    headers = {"x-server-signature": [SIGNATURE], "x-request-id": ["r1"]}
    headers |= {name.replace("_", "-"): [value] for name, value in more.items()}
    return Answer(status, headers, bytearray(body), True)


def make_events(numbers: range) -> bytes:
    """Make events of a stream."""
    return b"".join(make_event("r1", number) for number in numbers)


def play(*steps: Callable[[Ledger], None]) -> list[str]:
    """Give what a ledger finds after some steps."""
    ledger = Ledger(Trouble())
    ledger.send(make_sent())
    for step in steps:
        step(ledger)
    ledger.check_signed(ledger.take_signed())
    return ledger.findings


def get(answer: Answer, kind: str = "book") -> Callable[[Ledger], None]:
    """Let the caller get an answer."""
    return lambda ledger: ledger.end(make_sent(kind), answer)


def note(*records: Run | Order) -> Callable[[Ledger], None]:
    """Let hosts note records."""
    return lambda ledger: ledger.take(records)


RAN = note(make_run(make_sent()))
STREAMED = note(make_run(make_sent(), answer=""))
REFUSAL = Answer(503, {}, bytearray(), True)
ORDERS = [Order(ORDER, 100.0, "e-1", "g-1", 7, "decode", 202)]


def test_sound_request_is_no_finding() -> None:
    assert play(RAN, get(make_answer())) == []


def test_sound_stream_is_no_finding() -> None:
    whole = make_answer(make_events(range(1, EVENTS + 1)))
    cut = Answer(200, whole.headers, bytearray(whole.body[:50]), False)
    assert play(STREAMED, get(whole, "draft"), get(cut, "draft")) == []


@pytest.mark.parametrize(
    ("steps", "text"),
    [
        ([RAN, get(make_answer(b"another"))], "no run of that request"),
        ([get(make_answer())], "no run of that request"),
        ([RAN, get(make_answer(x_server_signature=""))], "without signature"),
        ([RAN, get(make_answer(x_request_id="r2"))], "the answer names"),
        ([RAN, RAN], "ran 2 times"),
        ([RAN, get(REFUSAL)], "answered 503, and ran"),
        ([get(REFUSAL), RAN], "answered 503, and ran"),
        ([get(Answer(404, {}, bytearray(), True))], "denied with 404"),
        ([note(make_run(make_sent(name="r2")))], "no caller sent it"),
        ([note(make_run(make_sent(), path="/book/2"))], "it was sent as"),
        ([get(Answer(fault="ValueError"))], "no answer"),
    ],
)
def test_failure_is_found(steps: list[Callable[[Ledger], None]], text: str) -> None:
    findings = play(*steps)
    assert findings and text in findings[0]


@pytest.mark.parametrize(
    ("body", "text"),
    [
        (make_events(range(1, EVENTS)), "complete before its last event"),
        (make_events(range(2, EVENTS + 1)), "not its events"),
        (make_events(range(1, 3)) + make_events(range(2, 4)), "not its events"),
        (make_events(range(1, 3)) + b"id: 99\ndata: half", "not its events"),
    ],
)
def test_broken_stream_is_found(body: bytes, text: str) -> None:
    findings = play(STREAMED, get(make_answer(body), "draft"))
    assert len(findings) == 1 and text in findings[0]


def test_run_at_a_host_that_left_is_found_unless_its_gateway_was_cut_off() -> None:
    late = make_run(make_sent(), at=100.0 + 2 * GONE_SECONDS)

    def leave(ledger: Ledger) -> None:
        ledger.gone["h-1"] = 100.0

    def cut_off(ledger: Ledger) -> None:
        ledger._trouble.spans["store:g-1"].append([111.0, 112.0])

    assert "after its host was gone" in play(leave, note(late))[0]
    assert play(leave, cut_off, note(late)) == []


def test_orders_of_two_holders_are_found() -> None:
    other = ORDERS[0]._replace(owner="g-2")
    lower = other._replace(fence=6)
    assert "under the same number" in play(note(*ORDERS, other))[0]
    assert "was seen before" in play(note(*ORDERS, lower))[0]
    assert play(note(*ORDERS, other._replace(fence=8))) == []
