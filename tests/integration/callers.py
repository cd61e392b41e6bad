"""Callers that record the answers they receive."""

import http.client
import json
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

from standins.completions import build_token, digest_seed

KEY: Final = "lagna-demo-key"
CALLER_TIMEOUT_SECONDS: Final = 60.0
REMINDER_TIMEOUT_SECONDS: Final = "10"
JOIN_TIMEOUT_SECONDS: Final = 90.0
DONE: Final = "[DONE]"
NO_REPLY: Final = 0
"""Status of a call whose connection broke before a response arrived."""


class Reply(NamedTuple):
    """Hold the response to one call."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def ran(self) -> str:
        """Return a refusal's `ran` value; empty if it has none."""
        if not isinstance(self.body, dict):
            return ""
        error = self.body.get("error")
        return error.get("ran", "") if isinstance(error, dict) else ""


@dataclass(slots=True)
class Answer:
    """Hold the part of a streamed answer that one caller has received."""

    prompt: str
    max_tokens: int
    status: int = NO_REPLY
    parts: list[str] = field(default_factory=list)
    finish_reason: str | None = None
    done: bool = False
    error: Any = None

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.parts)

    @property
    def expected(self) -> str:
        """Return the engine stand-in's complete answer to the prompt."""
        return expect_text(self.prompt, self.max_tokens)

    @property
    def is_complete(self) -> bool:
        """Return whether the answer looks complete to its caller."""
        return self.done and self.finish_reason is not None and self.error is None

    def check(self) -> None:
        """Check that the answer is correct and complete, or visibly incomplete."""
        if self.is_complete:
            assert self.text == self.expected
            return
        assert not self.done and self.finish_reason is None, self
        assert self.expected.startswith(self.text), self


class Stream(threading.Thread):
    """Request a streamed answer in a separate thread."""

    def __init__(self, url: str, prompt: str, max_tokens: int) -> None:
        super().__init__(daemon=True)
        self.url = url
        self.answer = Answer(prompt, max_tokens)
        self.start()

    def run(self) -> None:
        """Send the request and record the answer."""
        try:
            self._ask()
        except (OSError, http.client.HTTPException) as error:
            self.answer.error = repr(error)

    def _ask(self) -> None:
        answer = self.answer
        body = {
            "model": "gown-llm",
            "messages": [{"role": "user", "content": answer.prompt}],
            "max_tokens": answer.max_tokens,
            "stream": True,
        }
        connection = connect(self.url)
        connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), make_headers()
        )
        response = connection.getresponse()
        answer.status = response.status
        if response.status != 200:
            answer.error = response.read().decode()
            return
        for line in response:
            if line.startswith(b"data: "):
                self._handle_event(line.removeprefix(b"data: ").decode().strip())
        connection.close()

    def _handle_event(self, data: str) -> None:
        if data == DONE:
            self.answer.done = True
            return
        event = json.loads(data)
        if "error" in event:
            self.answer.error = event["error"]
            return
        for choice in event["choices"]:
            self.answer.parts.append(choice["delta"].get("content") or "")
            self.answer.finish_reason = choice["finish_reason"]

    def wait(self) -> Answer:
        """Wait for the end of the answer."""
        self.join(JOIN_TIMEOUT_SECONDS)
        assert not self.is_alive(), "the answer did not end in time"
        return self.answer


class Load:
    """Send requests to some entries continuously until it is stopped."""

    def __init__(self, urls: Iterable[str], callers: int, max_tokens: int) -> None:
        self._urls = list(urls)
        self._max_tokens = max_tokens
        self._stopping = threading.Event()
        self.answers: list[Answer] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Answer]:
        """Send no more requests and wait for the answers in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_SECONDS)
            assert not thread.is_alive(), "an answer did not end in time"
        return self.answers

    def _run(self, number: int) -> None:
        url = self._urls[number % len(self._urls)]
        asked = 0
        while not self._stopping.is_set():
            asked += 1
            prompt = f"caller {number} asks question {asked}"
            self.answers.append(Stream(url, prompt, self._max_tokens).wait())


class Reminder(threading.Thread):
    """Send one reminder under a key and repeat it until it succeeds."""

    def __init__(self, urls: list[str], key: str, tries: int, path: str) -> None:
        super().__init__(daemon=True)
        self.key = key
        self.replies: list[Reply] = []
        self._urls = urls
        self._tries = tries
        self._path = path
        self.start()

    def run(self) -> None:
        """Repeat the call at the entries in turn."""
        for number in range(self._tries):
            url = self._urls[number % len(self._urls)]
            reply = send_reminder(url, self.key, self._path)
            self.replies.append(reply)
            if reply.status == 200:
                return
            time.sleep(float(reply.headers.get("Retry-After", "0.2")) / 2)

    def wait(self) -> list[Reply]:
        """Wait until the call has succeeded or the tries are used up."""
        self.join(JOIN_TIMEOUT_SECONDS)
        assert not self.is_alive(), "the reminder did not end in time"
        return self.replies


def expect_text(prompt: str, max_tokens: int) -> str:
    """Return the stand-in's answer: the prompt's hash, then numbered words."""
    digest = digest_seed(prompt)
    return "".join(build_token(digest, index) for index in range(max_tokens))


def send_reminder(
    url: str, key: str, path: str = "/services/booking-app/reminders"
) -> Reply:
    """Send a reminder once."""
    body = json.dumps({"bride": key, "trial": "Friday"})
    headers = {"Idempotency-Key": key, "X-Request-Timeout": REMINDER_TIMEOUT_SECONDS}
    return call(url, "POST", path, body, headers)


def call(
    url: str,
    method: str,
    path: str,
    body: str = "",
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a new connection."""
    try:
        connection = connect(url)
        connection.request(method, path, body, {**make_headers(), **(headers or {})})
        response = connection.getresponse()
        data = response.read()
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        return Reply(NO_REPLY, {}, repr(error))
    return Reply(response.status, dict(response.headers), json.loads(data))


def connect(url: str) -> http.client.HTTPConnection:
    """Open a connection to an entry."""
    return http.client.HTTPConnection(
        url.removeprefix("http://"), timeout=CALLER_TIMEOUT_SECONDS
    )


def make_headers(key: str = KEY) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
