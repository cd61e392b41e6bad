"""Tests of what a process waits for as it starts."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

import pytest

from bench.fleet import ROOT, make_environment
from radishtally.outcome import Error, Fault, Ok, Result
from radishtally.runtime import Runtime
from radishtally.startup import open_listener, wait_for_settings
from tests.common import run

SHORT_SECONDS = 0.3
WAIT_SECONDS = 10.0


# Guards against an operator who is not told what is wrong with the settings, and
# against a process that waits for valid ones for ever.
def test_wrong_settings_are_reported_at_once_and_returned_in_bounds(
    capsys: pytest.CaptureFixture[str],
) -> None:
    faults = [
        Fault("expected an object at the top", "s.json"),
        Fault("empty", "s.json"),
    ]
    reads: list[Fault] = []

    def read() -> Result[int, Fault]:
        reads.append(faults[min(len(reads) // 2, 1)])
        return Error(reads[-1])

    outcome = run(wait_for_settings(read, SHORT_SECONDS))
    assert outcome == Error(faults[1])
    assert len(reads) > 2
    reported = capsys.readouterr().err.splitlines()
    assert reported == [
        f"radishtallyd: waiting for settings: {fault}" for fault in faults
    ]


def test_settings_are_used_as_soon_as_they_are_valid() -> None:
    outcomes = [Error(Fault("half", "s.json")), Ok(7)]
    assert run(wait_for_settings(lambda: outcomes.pop(0), WAIT_SECONDS)) == Ok(7)


# Guards against two processes on one address, and against one that waits for ever.
def test_address_that_stays_taken_is_an_error_in_bounds() -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = "{}:{}".format(*taken.getsockname())
            with pytest.raises(OSError, match="in use"):
                await open_listener(address, SHORT_SECONDS)

    run(scenario())


def test_invalid_address_is_an_error_at_once() -> None:
    async def scenario() -> None:
        async with asyncio.timeout(SHORT_SECONDS):
            with pytest.raises(OSError, match="."):
                await open_listener("300.0.0.1:7", float("inf"))

    run(scenario())


# Guards against a stop that waits for an address first.
def test_stop_ends_the_wait_for_an_address() -> None:
    async def scenario() -> None:
        runtime = Runtime()
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = "{}:{}".format(*taken.getsockname())
            starting = runtime.run_unless_stopping(open_listener(address))
            asyncio.get_running_loop().call_later(0.05, runtime.stopping.set)
            async with asyncio.timeout(SHORT_SECONDS):
                assert not await starting

    run(scenario())


SETTINGS = """{
  "role": "agent", "host": "gown-1", "place": "howrah", "peer_key": "k",
  "address": "127.0.0.1:0",
  "table": {"url": "http://127.0.0.1:1"}, "objects": {"url": "http://127.0.0.1:1"},
  "host_list": {"url": "http://127.0.0.1:1"},
  "upstream": {"name": "gown-llm", "kind": "engine", "url": "http://127.0.0.1:1"},
}"""


# Guards against an entry or an agent that ends since its settings are still being
# written.
def test_agent_waits_for_settings_that_are_half_written(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(SETTINGS[: len(SETTINGS) // 2])

    async def scenario() -> None:
        command = [sys.executable, "-m", "radishtally.daemon", "--settings", str(path)]
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=make_environment(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                assert b"waiting for settings" in await process.stderr.readline()
                path.write_text(SETTINGS)
                while b"agent:ready" not in (line := await process.stdout.readline()):
                    assert line
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()

    run(scenario())
