"""Test that signals during the start and the stop of a process do not kill it."""

import asyncio
import json
import random
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bench.fleet import ROOT, make_environment
from soak.checks import Disturbances, Ledger
from soak.fleet import Fleet

HANGUP_PROGRAM = """
import asyncio, os, signal, uvloop, radishtallyd
from radishtally.runtime import Runtime

set_handler = signal.signal

def interrupt(number, handler):
    os.kill(os.getpid(), signal.SIGHUP)
    set_handler(number, handler)

async def play():
    Runtime().on_hangup(print)
    signal.signal = interrupt
    radishtallyd.ignore_hangups()

with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    runner.run(play())
"""
"""Program that gets SIGHUP just before it replaces its signal handler."""
IMPORTING_PROGRAM = """
import os, signal, sys

class HangUp:
    def find_spec(self, name, path, target=None):
        if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
            print(name, file=sys.stderr)
        os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
program = sys.argv.pop()
code = compile(open(program).read(), program, "exec")
exec(code, {"__name__": "__main__", "__file__": program})
"""
"""Program that gets SIGHUP at each import of the program that it runs."""
EXIT_USAGE = 2
"""Exit code of a program that is told no settings."""
SIGNAL_SECONDS = 0.001
"""Interval of the signals: far shorter than the shutdown of an interpreter."""


# As the test below, for a SIGHUP at the moment when the gateway resets its handler.
def test_hangup_while_handlers_are_reset_does_not_kill_the_gateway() -> None:
    command = [sys.executable, "-c", HANGUP_PROGRAM]
    environment = make_environment() | {"PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"}
    assert subprocess.run(command, env=environment, check=False).returncode == 0


# A change of settings sends SIGHUP while the gateway stops. If the event loop has
# already restored the default handler, the signal kills the interpreter with -1, and
# the stop counts as a crash although the log ends with `gateway:stopped`. Soak seed
# 208 with 20 s of faults runs into this.
def test_hangups_during_shutdown_do_not_kill_the_gateway(tmp_path: Path) -> None:
    async def stop_under_hangups() -> int:
        disturbances = Disturbances()
        fleet = Fleet(tmp_path, Ledger(disturbances), disturbances, random.Random(1))
        try:
            await fleet.start(1, 1, 1)
            (gateway,) = fleet.gateways
            gateway.is_ending = True
            fleet.signal_gateway(gateway, signal.SIGTERM)
            while gateway.process.poll() is None:
                fleet.signal_gateway(gateway, signal.SIGHUP)
                await asyncio.sleep(SIGNAL_SECONDS)
            return gateway.process.returncode
        finally:
            await fleet.stop()

    assert asyncio.run(stop_under_hangups()) == 0
    lines = (tmp_path / "g-1.log").read_text().splitlines()
    assert "gateway:stopped" in [json.loads(line)["message_type"] for line in lines]


# Guards against changed settings, told by SIGHUP, that end a process which is still
# importing its modules.
@pytest.mark.parametrize(
    "program", ["platform/radishtallyd.py", "radishtally/daemon.py"]
)
def test_hangup_during_the_imports_does_not_end_a_process(program: str) -> None:
    command = [sys.executable, "-c", IMPORTING_PROGRAM, str(ROOT / program)]
    environment = make_environment() | {"PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"}
    ended = subprocess.run(command, env=environment, capture_output=True, check=False)
    assert ended.returncode == EXIT_USAGE, ended.stderr.decode()[-2000:]


# As above, from the end of the imports on until callers are served.
def test_hangups_until_it_is_ready_do_not_end_a_gateway(tmp_path: Path) -> None:
    async def play() -> None:
        disturbances = Disturbances()
        fleet = Fleet(tmp_path, Ledger(disturbances), disturbances, random.Random(1))
        try:
            await fleet.start(1, 1, 1)
            (gateway,) = fleet.gateways
            gateway.process.kill()
            gateway.process.wait()
            fleet.start_gateway(gateway)
            while not ignores_hangups(gateway.process.pid):
                await asyncio.sleep(SIGNAL_SECONDS)
            starting = asyncio.create_task(fleet.wait_ready(gateway))
            while not starting.done():
                fleet.signal_gateway(gateway, signal.SIGHUP)
                await asyncio.sleep(SIGNAL_SECONDS)
            assert gateway.process.poll() is None
            assert gateway.was_ready
        finally:
            await fleet.stop()

    asyncio.run(play())


def ignores_hangups(pid: int) -> bool:
    """Return whether a process ignores SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (ignored,) = [line for line in lines if line.startswith("SigIgn:")]
    return bool(int(ignored.split()[1], 16) & 1 << signal.SIGHUP - 1)
