"""Fleets whose agents share a few stand-in upstreams, so that many agents fit."""

import time
from pathlib import Path
from typing import Any

from bench.capacity.samples import OPERATOR_KEY, make_folder
from bench.capacity.usage import read_usage
from bench.fleet import Fleet, get_json


class SharedFleet(Fleet):
    """Start one stand-in for each upstream, whatever the number of its hosts."""

    @property
    def operator_key(self) -> str:
        """Give the key of the sample's operator."""
        return OPERATOR_KEY

    def _start_upstream(self, host: str, name: str, upstream: Any) -> None:
        for other in upstream.servers:
            if other in self.upstreams:
                self.upstreams[host] = self.upstreams[other]
                return
        super()._start_upstream(host, name, upstream)

    def read_seconds(self, role: str) -> float:
        """Read the processor time that all entries or all agents have used."""
        group = self.entries if role == "entry" else self.agents
        return sum(read_usage(child.pid).seconds for child in group.values())

    def read_table_counts(self) -> dict[str, int]:
        """Read how many reads and writes the table has served."""
        return get_json(f"{self.standins['table'].url}/_counts")

    def read_log(self, host: str) -> str:
        """Read what a daemon has written so far."""
        return Path(self.folder / f"{host}.log").read_text()


def make_fleet(entries: int, agents: int, speed: float = 1.0, teams: int = 1) -> Fleet:
    """Describe a fleet of one pool."""
    files = make_folder(teams, max(1, teams // 100), 1, agents)
    return SharedFleet(files, entries_wanted=entries, engine_args=(f"--speed={speed}",))


def wait_to_settle(seconds: float = 3.0) -> None:
    """Let what a start sets off come to rest."""
    time.sleep(seconds)
