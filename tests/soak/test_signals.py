"""Signals that come while a gateway ends."""

import asyncio
import json
import random
import signal
from pathlib import Path

from soak.checks import Ledger, Trouble
from soak.fleet import Fleet

SIGNAL_SECONDS = 0.001
"""Time between two signals: far less than an interpreter takes to end."""


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
