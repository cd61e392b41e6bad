"""Run seeds one after another; --kept adds the seeds that failed before."""

import argparse
import asyncio
import shutil
import signal
import sys
from pathlib import Path
from typing import Final

from soak.core import run_seed
from soak.schedule import make_schedule

KEPT_FILE: Final = Path(__file__).parent / "kept.txt"


def main() -> None:
    """Run the given seeds; exit with 1 if any check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int, metavar="SEED")
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="duration of the faults"
    )
    parser.add_argument(
        "--scale", type=int, default=1, help="multiplier for the number of processes"
    )
    parser.add_argument(
        "--kept", action="store_true", help="also run the seeds that failed before"
    )
    parser.add_argument(
        "--sound-runs",
        action="store_true",
        help="do not spoil single runs of the engines",
    )
    parser.add_argument(
        "--show", action="store_true", help="print the schedules without running them"
    )
    args = parser.parse_args()
    # The default handler would leave the fleet's processes running.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if args.show:
        for seed in args.seeds:
            schedule = make_schedule(seed, args.seconds, not args.sound_runs)
            print(*schedule, sep="\n")
        return
    options = args.seconds, args.scale, not args.sound_runs
    runs = [(seed, *options) for seed in args.seeds]
    found = [_run(*run) for run in (runs + _read_kept() if args.kept else runs)]
    sys.exit(1 if any(found) else 0)


def _read_kept() -> list[tuple[int, float, int, bool]]:
    lines = KEPT_FILE.read_text().splitlines()
    kept = [line.split()[:4] for line in lines if not line.startswith("#")]
    return [
        (int(seed), float(seconds), int(scale), runs == "spoiled")
        for seed, seconds, scale, runs in kept
    ]


def _run(seed: int, seconds: float, scale: int, spoil_runs: bool) -> int:
    command = f"script/soak {seed} --seconds {seconds:g} --scale {scale}"
    if not spoil_runs:
        command += " --sound-runs"
    print(f"replay: {command}", flush=True)
    outcome = asyncio.run(run_seed(seed, seconds, scale, spoil_runs))
    counts = " ".join(f"{name}={n}" for name, n in sorted(outcome.counts.items()))
    found = len(outcome.findings)
    print(f"seed {seed}: {found} findings, {outcome.faults} faults; {counts}")
    if found:
        print(f"logs: {outcome.folder}; replay: {command}", flush=True)
    else:
        shutil.rmtree(outcome.folder)
    return found


if __name__ == "__main__":
    main()
