"""Connect a gateway to the parts that count, exchange and report usage."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from radishtally.authority.lease_driver import LeaseDriver
from radishtally.gateway.config import UsageSettings
from radishtally.gateway.topology import Sites
from radishtally.gateway.usage import UsageExchange, UsageRecorder
from radishtally.links.gateway_messages import UsageCounts
from radishtally.links.hub import LinkHub
from radishtally.links.messages import Work
from radishtally.store.core import Table
from radishtally.store.ids import WriteIds
from radishtally.usage.clock import SteadyClock
from radishtally.usage.core import Source, UsageLedger
from radishtally.usage.reporter import PlatformApi, UsageReporter

Loop = Callable[[], Coroutine[Any, Any, None]]


class UsageMeter:
    """Ignore usage, for deployments that want no reports."""

    def open(self, work: Work) -> None:
        """Record that a request was opened."""

    def record_offer(self, request: str) -> None:
        """Record that a request is sent to a host now."""

    def record_begin(self, request: str) -> None:
        """Record that a request has certainly run, or is running."""

    def record_unclear_end(self, request: str) -> None:
        """Record that a request has ended and may have run."""

    def close(self, request: str) -> None:
        """Record that a request is over."""

    def attach(self, hub: LinkHub) -> None:
        """Exchange counts over the links of a hub from now on."""

    def set_sites(self, sites: Sites) -> None:
        """Set the known gateways, including this one."""

    def handle_message(self, peer: str, message: UsageCounts) -> None:
        """Handle the counts that another gateway has sent."""

    def handle_link_down(self, peer: str) -> None:
        """Handle the end of a link to another gateway."""

    def enter_era(self) -> None:
        """Handle a restore of the store."""

    def flush(self) -> None:
        """Send all counts of this gateway, which is about to exit."""

    def list_loops(self) -> dict[str, Loop]:
        """Return what has to run for as long as the gateway does, by name."""
        return {}


class ReportingMeter(UsageMeter):
    """Count the teams' requests, and report them while this gateway has the lease."""

    def __init__(
        self,
        host: str,
        settings: UsageSettings,
        table: Table,
        ids: WriteIds,
        lease: LeaseDriver,
        api: PlatformApi,
        on_outcome: Callable[[str], None],
    ) -> None:
        self._clock = SteadyClock()
        ledger = UsageLedger(Source(host, ids.incarnation), settings.window_seconds)
        self._recorder = UsageRecorder(ledger, self._clock.read)
        self._exchange = UsageExchange(host, ledger)
        self._reporter = UsageReporter(
            host,
            ledger,
            table,
            ids,
            lease,
            api,
            settings.late_seconds,
            self._clock.read,
        )
        self._reporter.on_outcome = on_outcome
        self.open = self._recorder.open
        self.record_offer = self._recorder.record_offer
        self.record_begin = self._recorder.record_begin
        self.record_unclear_end = self._recorder.record_unclear_end
        self.close = self._recorder.close
        self.attach = self._exchange.attach
        self.set_sites = self._exchange.set_sites
        self.handle_message = self._exchange.handle_message
        self.handle_link_down = self._exchange.handle_link_down
        self.flush = self._exchange.flush
        self.enter_era = self._reporter.enter_era

    def list_loops(self) -> dict[str, Loop]:
        """Return what has to run for as long as the gateway does, by name."""
        return {
            "usage exchange": partial(self._exchange.run, self._clock.read),
            "usage reports": self._reporter.run,
        }
