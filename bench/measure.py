"""Measure routing, admission and planning on real processes with stand-in engines."""

import json
import time
from collections.abc import Iterable, Sequence
from typing import Final

import fire

from bench.calibration import calibrate
from bench.fleet import ROOT
from bench.report import write_report
from bench.run import Outcome, run_scenario, stop_by_signal
from bench.scenarios import (
    DEFAULT,
    ROUTING,
    Action,
    Scenario,
    Variant,
    make_brolga_shift,
    make_flood,
    make_hot,
    make_lagna_shift,
    make_overload,
    make_planning,
    make_revisions,
    make_steady,
)

REPORTS: Final = ROOT / "reports"


class Measure:
    """Measure scenarios; each prints JSON lines and writes a report under reports/.

    Commands: quick, calibrate, overload, routing, shift, planning, faults, recovery
    and all. For the flags of one: script/measure COMMAND --help.

    Parameters
    ----------
    seeds : int
        Number of runs of each scenario and variant, each with another seed.
    patience : float
        Longest wait in seconds before each run for a low load average.
    """

    def __init__(self, seeds: int = 2, patience: float = 60.0) -> None:
        self._patience = patience
        self._seeds = range(1, seeds + 1)
        self._outcomes: list[Outcome] = []
        self._folder = REPORTS / time.strftime("%Y%m%d-%H%M%S")

    def quick(self) -> None:
        """Run one routing variant once at three times the capacity, about a minute."""
        self._measure([make_overload(3.0)], ROUTING[:1], [1])
        self._write("quick")

    def calibrate(self, speed: float = 1.0) -> None:
        """Compare the computed capacity with one engine under constant full load."""
        for line in calibrate(speed):
            print(json.dumps(line), flush=True)

    def routing(self) -> None:
        """Compare rendezvous routing with round robin and least reported load."""
        scenarios = [make_revisions(), make_hot(), make_overload(1.5)]
        self._measure(scenarios, ROUTING, self._seeds)
        self._write("routing")

    def overload(self) -> None:
        """Offer 0.8, 1, 1.5 and 3 times the pool's capacity."""
        scenarios = [make_overload(times) for times in (0.8, 1.0, 1.5, 3.0)]
        scenarios.append(make_overload(3.0, retries=True))
        self._measure(scenarios, [DEFAULT], self._seeds)
        self._write("overload")

    def shift(self) -> None:
        """Shift the mix of requests in both deployments."""
        scenarios = [make_lagna_shift(), make_brolga_shift()]
        self._measure(scenarios, [DEFAULT], self._seeds)
        self._write("shift")

    def planning(self, load: float = 1.3, deployment: str = "") -> None:
        """Compare the planning policies while the mix of requests shifts."""
        makers = {"lagna": make_lagna_shift, "brolga": make_brolga_shift}
        chosen = [deployment] if deployment else list(makers)
        for name in chosen:
            scenario = makers[name](load, speed=1.0, burst_seconds=50.0)
            variants = make_planning(scenario.deployment)
            self._measure([scenario], variants, self._seeds)
        self._write("planning")

    def faults(self) -> None:
        """Kill, drain and stall engines under load; flood; overuse one prefix."""
        scenarios = [
            make_steady("engine-lost", Action(12.0, "kill_engine", "gown-5")),
            make_steady("engine-drained", Action(12.0, "drain", "gown-5")),
            make_steady("agents-paused", Action(12.0, "pause_agents", seconds=2.0)),
            make_steady("engines-stalled", Action(12.0, "stall_engines", seconds=2.0)),
            make_flood(),
            make_hot(),
        ]
        self._measure(scenarios, [DEFAULT], self._seeds)
        self._write("faults")

    def recovery(self) -> None:
        """Measure the time to full goodput after killed processes and an outage."""
        scenarios = [
            make_steady("entry-killed", Action(12.0, "kill_entry", "entry-2")),
            make_steady("agent-killed", Action(12.0, "kill_agent", "gown-5")),
            make_steady("planner-killed", Action(12.0, "kill_planner", "howrah")),
            make_steady("table-away", Action(12.0, "table_down", seconds=6.0)),
        ]
        self._measure(scenarios, [DEFAULT], self._seeds)
        self._write("recovery")

    def all(self) -> None:
        """Run everything, about half an hour."""
        for command in (
            "overload",
            "routing",
            "shift",
            "planning",
            "faults",
            "recovery",
        ):
            getattr(self, command)()

    def _measure(
        self,
        scenarios: Iterable[Scenario],
        variants: Sequence[Variant],
        seeds: Iterable[int],
    ) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        for scenario in scenarios:
            for seed in seeds:
                # Alternate the variants, so that a change in the machine's load during
                # the measurement affects all of them.
                for variant in variants:
                    outcome = run_scenario(
                        scenario, variant, seed, self._folder, self._patience
                    )
                    self._outcomes.append(outcome)
                    print_lines(outcome)

    def _write(self, name: str) -> None:
        path = write_report(name, self._outcomes, self._folder)
        print(json.dumps({"report": str(path.relative_to(ROOT))}), flush=True)


def print_lines(outcome: Outcome) -> None:
    """Print one line for the run and one for each class."""
    print(json.dumps({"run": outcome.figures}), flush=True)
    names = {key: outcome.figures[key] for key in ("scenario", "variant", "seed")}
    for name, figures in outcome.classes.items():
        print(json.dumps({**names, "class": name, **figures}), flush=True)


def main() -> None:
    """Run the measurement command that is named on the command line."""
    stop_by_signal()
    fire.Fire(Measure, name="script/measure")


if __name__ == "__main__":
    main()
