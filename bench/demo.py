"""Demonstrate the complete system with both deployments on one loopback fleet."""

import json
import signal
import sys
import threading
import time
import urllib.error
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Final

import fire
import openai

from bench.checks import hash_question
from bench.fleet import Fleet, get_json, post_json, read_sample

KEYS: Final = {"lagna": "lagna-demo-key", "brolga": "brolga-demo-key"}
MODELS: Final = {"lagna": "gown-llm", "brolga": "fault-reader"}
REMINDER_PATH: Final = "/services/booking-app/reminders"
SPEED: Final = 5
COMBINED_CONFIGURATION: Final = """\
// Both samples as one deployment, for the demo; each demo team gets a name of its own.
{
  "deployment": "demo",
  "teams": {
    "demo": null,
    "lagna": { "key_sha256": ["%s"] },
    "brolga": { "key_sha256": ["%s"] },
  },
}
"""


class DemoError(Exception):
    """Report which step of the demo failed."""


def make_files() -> dict[str, str]:
    """Combine the configuration folders of the samples into one."""
    files = {
        f"{number}-{name}-{file}": text
        for number, name in enumerate(KEYS, 1)
        for file, text in read_sample(name).items()
    }
    hashes = [hash_question(key) for key in KEYS.values()]
    files["9-demo.json"] = COMBINED_CONFIGURATION % tuple(hashes)
    return files


def make_fleet(entries: int = 2) -> Fleet:
    """Describe the demo's fleet."""
    return Fleet(
        make_files(),
        entries_wanted=entries,
        engine_args=(f"--speed={SPEED}", "--role-change-seconds=1"),
    )


def check(condition: bool, text: str) -> None:
    """Print that a step succeeded, or raise an error if it failed."""
    if not condition:
        raise DemoError(text)
    print(f"  ok: {text}")


def show_generation(fleet: Fleet) -> None:
    """Generate text for both deployments, streamed and unstreamed."""
    questions = {
        "lagna": "Which darts suit a silk blouse for the trial on Friday?",
        "brolga": "Line drops at dusk each day: must a technician attend?",
    }
    for name, question in questions.items():
        for number, entry in enumerate(fleet.entries.values()):
            client = openai.OpenAI(
                base_url=f"{entry.url}/v1", api_key=KEYS[name], max_retries=0
            )
            print(f"{name}, {entry.name}: {question}")
            text = ask(client, MODELS[name], question, streamed=number == 0)
            print(f"  answer: {text[:90]}...")
            is_own = text.startswith(hash_question(question))
            check(is_own, f"{name}'s answer is complete and belongs to its question")
    models = {model.id for model in client.models.list().data}
    check(set(MODELS.values()) <= models, f"models listed: {sorted(models)}")
    done = client.completions.create(
        model=MODELS[name], prompt="Summarise the fault case.", max_tokens=8
    )
    is_own = done.choices[0].text.startswith(hash_question("Summarise the fault case."))
    check(is_own, "a plain completion is answered")


def ask(client: openai.OpenAI, model: str, question: str, streamed: bool) -> str:
    """Send one chat completion request and return the text of the answer."""
    messages = [{"role": "user", "content": question}]
    if not streamed:
        whole = client.chat.completions.create(
            model=model, messages=messages, max_tokens=24
        )
        return whole.choices[0].message.content
    stream = client.chat.completions.create(
        model=model, messages=messages, max_tokens=24, stream=True
    )
    parts = list(stream)
    if parts[-1].choices[0].finish_reason != "length":
        raise DemoError("the stream ended without the finish reason 'length'")
    return "".join(part.choices[0].delta.content or "" for part in parts)


def show_services(fleet: Fleet) -> None:
    """Call services, repeat an idempotency key, and reuse it with another body."""
    first, second = [entry.url for entry in fleet.entries.values()][:2]
    key = {"Idempotency-Key": "trial-reminder-1"}
    body = {"bride": "A. Sen", "trial": "Friday"}
    one = post_json(first + REMINDER_PATH, body, KEYS["lagna"], **key)
    two = post_json(second + REMINDER_PATH, body, KEYS["lagna"], **key)
    check(one == two, "a reminder repeated at the other entry returns the first answer")
    runs = count_runs(fleet)["trial-reminder-1"]
    check(runs == 1, "the reminder ran exactly once")
    try:
        post_json(first + REMINDER_PATH, {"bride": "B. Roy"}, KEYS["lagna"], **key)
    except urllib.error.HTTPError as error:
        error_body = json.load(error)["error"]
        check(
            error.code == 422 and error_body["ran"] == "no",
            f"refused: {error_body['message']}",
        )
    cases = "/services/fault-desk-app/cases"
    case = post_json(first + cases, {"line": 17}, KEYS["brolga"])
    check(case["run"] == 1, "a fault case is filed")


def show_operations(fleet: Fleet) -> None:
    """Drain a host, undo the drain, and read the audit trail."""
    entry = fleet.entries["entry-1"]
    key = fleet.operator_key
    base = f"{entry.url}/operators/v1"
    for drained in (True, False):
        body = {"drained": drained, "cause": "demo"}
        post_json(f"{base}/hosts/gown-1/drain", body, key)

        def is_done(wanted: bool = drained) -> bool:
            return fleet.status()["hosts"]["gown-1"]["draining"] is wanted

        fleet.wait_until(is_done, "the drain to show in the status")
    trail = get_json(f"{base}/audit?limit=100", key)
    changes = [f"{one['who']} {one['what']} {one['subject']}" for one in trail]
    check(any("drain" in change for change in changes), f"audit trail: {changes[:3]}")


def count_runs(fleet: Fleet) -> Counter[str]:
    """Return the runs by idempotency key, summed over the booking app's servers."""
    total: Counter[str] = Counter()
    for name, upstream in fleet.upstreams.items():
        if name.startswith("booking"):
            total.update(get_json(f"{upstream.url}/_counts"))
    return total


def serve_until_signal(fleet: Fleet, path: str) -> None:
    """Write the fleet's addresses to a file and keep running until a signal."""

    class Counts(BaseHTTPRequestHandler):
        """Serve the summed run counts of the booking app's servers as JSON."""

        def do_GET(self) -> None:  # noqa: N802
            """Answer a request for any path."""
            body = json.dumps(count_runs(fleet)).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            """Suppress the access log."""

    server = ThreadingHTTPServer(("127.0.0.1", 0), Counts)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    text = json.dumps(describe(fleet, server.server_address[1]), indent=2)
    partial = Path(f"{path}.partial")
    partial.write_text(text + "\n")
    # Replace atomically, so that a waiting program never reads a partial file.
    partial.replace(path)
    print(f"running; described in {path}; end with Ctrl-C or SIGTERM", flush=True)
    signal.sigwait({signal.SIGINT, signal.SIGTERM})


def describe(fleet: Fleet, counts_port: int) -> dict[str, Any]:
    """Describe the fleet's addresses, process ids, keys and models."""
    entries = fleet.entries.values()
    agents = fleet.agents.values()
    return {
        "entries": [{"url": entry.url, "pid": entry.pid} for entry in entries],
        "agents": [{"host": agent.name, "pid": agent.pid} for agent in agents],
        "keys": KEYS,
        "models": MODELS,
        "non_idempotent": {
            "path": REMINDER_PATH,
            "counts_url": f"http://127.0.0.1:{counts_port}/counts",
        },
    }


def run(keep_file: str | None) -> None:
    """Start the fleet, run all steps of the demo and stop the fleet."""
    started = time.monotonic()
    print("starting two entries, 21 agents and their upstreams on loopback", flush=True)
    with make_fleet() as fleet:
        print(f"ready after {time.monotonic() - started:.1f} s; logs in {fleet.folder}")
        show_generation(fleet)
        show_services(fleet)
        show_operations(fleet)
        if keep_file:
            serve_until_signal(fleet, keep_file)
    print("demo: all went well")


def main(keep: str | None = None) -> None:
    """Run the demo.

    Parameters
    ----------
    keep : str
        Write the fleet's addresses to this file and keep the fleet running until a
        signal ends it.
    """
    # Turn SIGTERM into SystemExit, so that the fleet is also stopped when the signal
    # arrives during the start.
    if keep:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        run(keep)
    except (DemoError, AssertionError, OSError, openai.OpenAIError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main, name="demo")
