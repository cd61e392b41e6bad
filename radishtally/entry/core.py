"""Contract of what the parts of an entry read of it."""

from typing import Protocol

from radishtally.authority.plan_store import PlanStore
from radishtally.configuration.store import ConfigurationStore
from radishtally.entry.callers import Directory
from radishtally.entry.explain import RequestSteps
from radishtally.entry.members import Members
from radishtally.entry.places import PlanningBoard
from radishtally.process import Process
from radishtally.serving.core import DispatchCore
from radishtally.settings.config import Settings


class HeadReader(Protocol):
    """Look at the configuration's head out of turn."""

    async def read_head(self) -> None:
        """Bring a newer configuration into force, if the table has one."""


class Entry(Protocol):
    """Be what operators are told of and what the platform is watched for."""

    settings: Settings
    process: Process
    members: Members
    core: DispatchCore
    configurations: ConfigurationStore
    plans: PlanStore
    planning: PlanningBoard
    steps: RequestSteps
    watcher: HeadReader

    @property
    def directory(self) -> Directory | None:
        """Give who may call, once a configuration is in force."""
