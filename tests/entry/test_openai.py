"""Tests of the answers with OpenAI's client library, on a real fleet."""

import json
from collections.abc import Iterator
from urllib.error import HTTPError

import openai
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.checks import hash_question
from bench.fleet import Fleet, post_json
from radishtally.entry.openai import format_refusal, parse_generation
from radishtally.links.messages import CHAT, COMPLETION
from radishtally.outcome import Ran, Refusal

QUESTION = "Which darts suit a silk blouse?"
MESSAGES = [{"role": "user", "content": QUESTION}]
KEY = "lagna-demo-key"


@pytest.fixture(scope="module")
def client(small_fleet: Fleet) -> Iterator[openai.OpenAI]:
    url = small_fleet.entries["entry-1"].url
    with openai.OpenAI(base_url=f"{url}/v1", api_key=KEY, max_retries=0) as client:
        yield client


def test_whole_chat(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(
        model="gown-llm", messages=MESSAGES, max_tokens=8
    )
    choice = answer.choices[0]
    assert choice.message.role == "assistant"
    assert choice.message.content.startswith(hash_question(QUESTION))
    assert choice.finish_reason == "length"
    assert answer.usage.completion_tokens == 8
    assert answer.usage.total_tokens == 8 + answer.usage.prompt_tokens


def test_streamed_chat_is_the_same(client: openai.OpenAI) -> None:
    whole = client.chat.completions.create(
        model="gown-llm", messages=MESSAGES, max_tokens=8
    )
    *parts, usage = client.chat.completions.create(
        model="gown-llm",
        messages=MESSAGES,
        max_completion_tokens=8,
        stream=True,
        stream_options={"include_usage": True},
    )
    text = "".join(part.choices[0].delta.content or "" for part in parts)
    assert text == whole.choices[0].message.content
    assert parts[-1].choices[0].finish_reason == "length"
    assert len({part.id for part in parts}) == 1
    assert usage.choices == []
    assert usage.usage.completion_tokens == 8


def test_completion(client: openai.OpenAI) -> None:
    prompt = "Summarise the gown notes."
    whole = client.completions.create(model="gown-llm", prompt=prompt, max_tokens=6)
    parts = client.completions.create(
        model="gown-llm", prompt=prompt, max_tokens=6, stream=True
    )
    assert whole.choices[0].text.startswith(hash_question(prompt))
    assert "".join(part.choices[0].text for part in parts) == whole.choices[0].text


def test_adapter(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(
        model="fabric-tag", messages=MESSAGES, max_tokens=2
    )
    assert answer.model == "fabric-tag"


def test_models(client: openai.OpenAI) -> None:
    names = [model.id for model in client.models.list().data]
    assert names == ["gown-llm", "alteration-sheet", "fabric-tag"]
    assert client.models.retrieve("fabric-tag").id == "fabric-tag"


def test_errors_raise_the_clients_exceptions(
    client: openai.OpenAI, small_fleet: Fleet
) -> None:
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="none", messages=MESSAGES)
    assert missing.value.code == "model_not_found"
    assert missing.value.body["ran"] == "no"
    with pytest.raises(openai.BadRequestError):
        client.chat.completions.create(model="gown-llm", messages=MESSAGES, n=2)
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="no-key").models.list()


def test_deadline_that_cannot_be_met(client: openai.OpenAI) -> None:
    # No engine produces 4,096 tokens within half a second. The request is refused at
    # once as not run, instead of being answered late.
    with pytest.raises(openai.RateLimitError) as refused:
        client.chat.completions.create(
            model="gown-llm",
            messages=MESSAGES,
            max_tokens=4_096,
            extra_headers={"X-Request-Timeout": "0.5"},
        )
    assert refused.value.body["ran"] == "no"
    assert refused.value.response.headers["Retry-After"]


def test_service_call_is_repeated_by_its_key(small_fleet: Fleet) -> None:
    url = f"{small_fleet.entries['entry-1'].url}/services/booking-app/reminders"
    key = {"Idempotency-Key": "reminder-1"}
    first = post_json(url, {"bride": "A. Sen"}, KEY, **key)
    assert post_json(url, {"bride": "A. Sen"}, KEY, **key) == first
    assert first["path"] == "/reminders"
    with pytest.raises(HTTPError) as refused:
        post_json(url, {"bride": "B. Roy"}, KEY, **key)
    assert refused.value.code == 422
    assert refused.value.headers["X-Ran"] == "no"


@given(st.binary(max_size=200), st.sampled_from([CHAT, COMPLETION]))
def test_any_bytes_are_refused_or_parsed(body: bytes, kind: str) -> None:
    parsed = parse_generation(body, kind)
    assert parsed.is_ok() or parsed.error.status == 400


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["role", "content", "text"]), inner)
    ),
    max_leaves=6,
)
FIELDS = ["model", "messages", "prompt", "max_tokens", "stream", "n", "tools", "x"]


@given(st.dictionaries(st.sampled_from(FIELDS), JSON))
def test_any_fields_are_refused_or_parsed(body: dict) -> None:
    import msgspec

    parsed = parse_generation(msgspec.json.encode(body), CHAT)
    if parsed.is_ok():
        assert parsed.ok.model == body["model"]
        assert isinstance(parsed.ok.text, str)
    else:
        assert parsed.error.ran == Ran.NO


def test_content_parts_are_joined() -> None:
    body = (
        b'{"model": "m", "messages": [{"role": "user", "content": '
        b'[{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]}]}'
    )
    assert parse_generation(body, CHAT).ok.text == "a\nb"


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (400, "invalid_request_error"),
        (401, "authentication_error"),
        (408, "invalid_request_error"),
        (429, "rate_limit_error"),
        (502, "server_error"),
        (503, "server_error"),
    ],
)
def test_error_type(status: int, kind: str) -> None:
    refusal = Refusal(status, "code", "text", Ran.UNKNOWN, 2.0)
    assert format_refusal(refusal)["error"] == {
        "message": "text",
        "type": kind,
        "param": None,
        "code": "code",
        "ran": "unknown",
        "retry_after": 2.0,
    }


# Guards against a caller's body that ends the entry: nested deeply, or with a number
# that no message to an agent can carry.
@pytest.mark.parametrize("field", ["max_tokens", "max_completion_tokens"])
def test_body_out_of_range_is_refused(field: str) -> None:
    sound = {"model": "m", "prompt": "p", field: 9}
    assert parse_generation(json.dumps(sound).encode(), COMPLETION).is_ok()
    huge = json.dumps({**sound, field: 10**399}).encode()
    deep = json.dumps(sound).encode()[:-1] + b', "x": ' + b"[" * 100_000
    for body in (huge, deep, b"[" * 100_000):
        assert parse_generation(body, COMPLETION).error.status == 400
