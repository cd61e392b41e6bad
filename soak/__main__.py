"""Run seeds one after another: `script/soak SEED... [--seconds N] [--scale N]`."""

import argparse
import asyncio
import shutil
import sys

from soak.core import run_seed
from soak.schedule import make_schedule


def main() -> None:
    """Run the seeds that are named; the exit code tells whether anything was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="+", type=int, metavar="SEED")
    parser.add_argument("--seconds", type=float, default=60.0, help="time of faults")
    parser.add_argument("--scale", type=int, default=1, help="times as many processes")
    parser.add_argument("--show", action="store_true", help="print the schedule only")
    args = parser.parse_args()
    if args.show:
        for seed in args.seeds:
            print(*make_schedule(seed, args.seconds), sep="\n")
        return
    found = [_run(seed, args.seconds, args.scale) for seed in args.seeds]
    sys.exit(1 if any(found) else 0)


def _run(seed: int, seconds: float, scale: int) -> int:
    command = f"script/soak {seed} --seconds {seconds:g} --scale {scale}"
    print(f"replay: {command}", flush=True)
    outcome = asyncio.run(run_seed(seed, seconds, scale))
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
