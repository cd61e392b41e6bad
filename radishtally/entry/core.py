"""Define the interface of an entry that its operator routes and pollers use."""

from typing import Protocol

from radishtally.authority.plan_store import PlanStore
from radishtally.configuration.store import ConfigurationStore
from radishtally.entry.callers import Directory
from radishtally.entry.explain import RequestSteps
from radishtally.entry.members import MembershipDriver
from radishtally.entry.places import PlacePlanners
from radishtally.process import Process
from radishtally.serving.core import DispatchCore
from radishtally.settings.config import Settings


class HeadReader(Protocol):
    """Read the configuration's head outside the regular polls."""

    async def read_head(self) -> None:
        """Apply the configuration in the table if it is newer."""


class Entry(Protocol):
    """Provide the state of an entry to the operator routes and the watcher."""

    settings: Settings
    process: Process
    members: MembershipDriver
    core: DispatchCore
    configurations: ConfigurationStore
    plans: PlanStore
    planners: PlacePlanners
    steps: RequestSteps
    watcher: HeadReader

    @property
    def directory(self) -> Directory | None:
        """Return the directory of callers; None until a configuration is in force."""
