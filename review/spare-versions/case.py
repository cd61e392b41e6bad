"""A server starts again at another version behind a cut from the store."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from fleet3 import ENGINE, Fleet, ask, make_route, run_case  # noqa: E402

EVENTS = 38
STREAMS = 12
ALLOWED = 2
DOWN_SECONDS = 0.8
LAPSE_SECONDS = 2.4
"""Earliest lapse after a crash: three heartbeats of 1.2 s, the last one just due."""


async def play(fleet: Fleet, with_trouble: bool) -> bool:
    """Return whether more than two streams hold events of two versions."""
    await fleet.start_store()
    route = make_route(
        "reply",
        "streaming",
        "fault-reader",
        timeoutMs=8000,
        targetLatencyMs=300,
        maxAttempts=2,
        resumable=True,
        gapAimMs=300,
    )
    service = {"name": "fault-reader", "healthPath": "/health", "engine": ENGINE}
    await fleet.configure(3, [route], [service])
    shape = ("--events", str(EVENTS), "--gap", "0.1", "--born")
    phases = ("prefill", "prefill", "prefill", "decode", "decode", "decode")
    engines = {
        f"i-{number + 1}": await fleet.start_server(
            f"i-{number + 1}", "--phase", phase, *shape
        )
        for number, phase in enumerate(phases)
    }
    await fleet.start_gateway("front-1")
    await asyncio.sleep(8.0)
    chosen = min(await fleet.list_decode())
    first = engines[chosen]
    address = fleet.gateways["front-1"]["address"]
    if with_trouble:
        fleet.record(f"{chosen} is cut off from the store, and crashes behind the cut")
        first.kill()
        first.wait()
        crashed = fleet.now()
        await asyncio.sleep(DOWN_SECONDS)
        port = fleet.servers[chosen].rsplit(":", 1)[1]
        again = ("--port", port, "--cut", "--version", "v2")
        first = await fleet.start_server(chosen, "--phase", "decode", *shape, *again)
        fleet.record(f"{chosen} has started again under its id, at version v2")

    async def send(number: int) -> tuple[str, object]:
        name = f"r{number:03d}"
        await asyncio.sleep(0.04 * number)
        fleet.record(f"sent {name}")
        answer = await ask(
            address,
            "/reply/2f",
            name,
            X_Deadline_Ms="8000",
            X_Model="m",
            X_Token_Count="628,38",
            X_Prompt_Prefix=f"aa:100,bb:80,{number:x}f:300",
        )
        return name, answer

    sending = [asyncio.create_task(send(number)) for number in range(STREAMS)]
    await asyncio.sleep(0.95)
    if with_trouble:
        fleet.record(f"the connections of {chosen} are reset")
        first.send_signal(signal.SIGUSR2)
        await asyncio.sleep(max(0.0, crashed + LAPSE_SECONDS - fleet.now()))
        fleet.record(f"the entry of {chosen} lapses")
        await fleet.write("servers", chosen, None)
    answers = dict(await asyncio.gather(*sending))
    mixed = []
    for name, answer in answers.items():
        events = [
            line.split()[2:4]
            for line in answer.body.decode().split("\n")
            if line.startswith("data:")
        ]
        versions = [version for _, version in events]
        changes = [
            f"{events[at][0]} by {events[at][1]}"
            for at in range(len(events))
            if at == 0 or versions[at] != versions[at - 1]
        ]
        fleet.record(
            f"answered {name}: {answer.status}, {len(events)} events, "
            f"{'complete' if answer.is_complete else 'broken off'}; from {changes}"
        )
        if len(set(versions)) > 1:
            mixed.append(name)
    for run in fleet.read_runs():
        if run["what"] != "sends":
            fleet.record(f"server {run}")
    fleet.record(f"streams with events of two versions: {len(mixed)} {mixed}")
    return len(mixed) > ALLOWED


run_case(FOLDER, play)
