"""Signals that come while a gateway ends."""

import asyncio
import json
import random
import signal
import subprocess
import sys
from pathlib import Path

from bench.fleet import ROOT, make_environment
from soak.checks import Ledger, Trouble
from soak.fleet import Fleet

HANGUP_IN_BETWEEN = """
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
"""Program to which the signal comes as it gives its own handler back."""
SIGNAL_SECONDS = 0.001
"""Time between two signals: far less than an interpreter takes to end."""


# The same as below, in the moment in which the gateway gives its own handler back.
def test_changed_settings_do_not_kill_a_gateway_that_gives_its_signals_back() -> None:
    command = [sys.executable, "-c", HANGUP_IN_BETWEEN]
    environment = make_environment() | {"PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"}
    assert subprocess.run(command, env=environment, check=False).returncode == 0


# A process that was told to stop counts as crashed. Its settings change meanwhile: the
# platform's SIGHUP comes once the loop has ended and given the signal back to its
# default, which ends the process with -1 before the interpreter has. Found by the soak
# (seed 208, 20 s), where the last line of the log was `gateway:stopped`.
def test_changed_settings_do_not_kill_a_gateway_that_ends(tmp_path: Path) -> None:
    async def play() -> int:
        trouble = Trouble()
        fleet = Fleet(tmp_path, Ledger(trouble), trouble, random.Random(1))
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

    assert asyncio.run(play()) == 0
    lines = (tmp_path / "g-1.log").read_text().splitlines()
    assert "gateway:stopped" in [json.loads(line)["message_type"] for line in lines]
