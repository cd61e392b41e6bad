"""Test what the processes' logs contain, and what they must not contain."""

import json
from typing import Any

from bench.checks import hash_question
from bench.fleet import Fleet, post_json

KEY = "lagna-demo-key"
PROMPT = "bust 91.4 waist 73.6, satin, private"
REMINDER_KEY = "private-reminder-key"


def read_log(fleet: Fleet, host: str) -> str:
    """Return what a daemon has logged so far."""
    return (fleet.folder / f"{host}.log").read_text()


def find_request(fleet: Fleet, host: str, request: str) -> list[dict[str, Any]]:
    """Return a daemon's log lines about a request."""
    lines = [json.loads(line) for line in read_log(fleet, host).splitlines()]
    return [line for line in lines if line.get("request") == request]


def test_request_is_logged_by_all_its_processes(small_fleet: Fleet) -> None:
    url = next(iter(small_fleet.entries.values())).url
    body = {"model": "gown-llm", "prompt": PROMPT, "max_tokens": 3}
    answer = post_json(f"{url}/v1/completions", body, KEY)
    for host in ("entry-1", "gown-1"):
        assert find_request(small_fleet, host, answer["id"]), host


def test_logs_contain_no_prompts_answers_or_keys(small_fleet: Fleet) -> None:
    # Logs are read by people who may not see callers' personal data, and are kept
    # longer than any answer, so requests and answers must not be logged.
    url = next(iter(small_fleet.entries.values())).url
    body = {"model": "gown-llm", "prompt": PROMPT, "max_tokens": 3}
    post_json(f"{url}/v1/completions", body, KEY)
    key = {"Idempotency-Key": REMINDER_KEY}
    post_json(f"{url}/services/booking-app/reminders", {"bride": PROMPT}, KEY, **key)
    secrets = (PROMPT, KEY, REMINDER_KEY, hash_question(PROMPT), "demo-peer-key")
    for host in ("entry-1", "gown-1", "booking-1"):
        text = read_log(small_fleet, host)
        assert text
        assert [secret for secret in secrets if secret in text] == []
