"""Base of entry and agent processes: store clients, links, metrics, configuration."""

import secrets
import time
from collections.abc import Callable

from eliot import log_message

from radishtally.audit.store import AuditLog
from radishtally.distribution.core import ConfigurationReplica
from radishtally.links.hub import LinkCallbacks, LinkHub
from radishtally.links.kinds import Message
from radishtally.links.messages import (
    ConfigurationFiles,
    ConfigurationRequest,
    Hello,
    Ping,
    Pong,
)
from radishtally.metrics import make_metrics
from radishtally.runtime import Runtime
from radishtally.settings.config import Settings
from radishtally.stalls import Stall
from radishtally.store.hostlist import HttpHostList
from radishtally.store.ids import WriteIds
from radishtally.store.objects import HttpObjects
from radishtally.store.table import HttpTable


class Process(Runtime):
    """Set up and shut down the components that entries and agents share."""

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = secrets.token_hex(8)
        self.write_ids = WriteIds(self.incarnation)
        self.replica = ConfigurationReplica()
        self.table = HttpTable(settings.table.url, settings.table.name)
        self.objects = HttpObjects(settings.objects.url, settings.objects.bucket)
        self.host_list = HttpHostList(settings.host_list.url)
        self.audit = AuditLog(self.table)
        self.metrics = make_metrics(settings.statsd, settings.host)
        self.on_stall = self._count_stall
        self.on_contained = self._count_contained
        self.on_configuration: Callable[[], None] = lambda: None

    def make_hub(self, callbacks: LinkCallbacks) -> LinkHub:
        """Create the link hub, which listens once it is started."""
        settings = self.settings
        hello = Hello(settings.host, settings.place, settings.role, self.incarnation, 0)
        self.hub = LinkHub(hello, settings.peer_key, callbacks)
        return self.hub

    async def unload(self) -> None:
        """Close all components; exit with an error code if an invariant was broken."""
        self.cancel_tasks()
        await self.audit.stop()
        await self.hub.stop()
        for client in (self.table, self.objects, self.host_list):
            await client.close()
        self.exit_if_broken()

    def _count_contained(self, scope: str) -> None:
        self.metrics.incr(f"contained_errors.{scope}")

    def _count_stall(self, stall: Stall) -> None:
        self.metrics.incr("stalls")
        self.metrics.timing("stalled", stall.seconds * 1000)

    def handle_common_message(self, host: str, message: Message) -> bool:
        """Handle a message that is common to all roles; return whether it was one."""
        if isinstance(message, Hello | Ping | Pong):
            self.request_newer_configuration(host, message.revision)
            return not isinstance(message, Ping)
        if isinstance(message, ConfigurationRequest):
            reply = self.replica.build_reply(message)
            if reply is not None:
                self.hub.send(host, reply)
            return True
        if isinstance(message, ConfigurationFiles):
            self.apply_configuration(message, host)
            return True
        return False

    def request_newer_configuration(self, host: str, revision: int) -> None:
        """Request the configuration from a peer that has a newer revision."""
        request = self.replica.record_peer_revision(host, revision, time.monotonic())
        if request is not None:
            self.hub.send(host, request)

    def apply_configuration(self, files: ConfigurationFiles, source: str) -> None:
        """Apply a configuration and announce its revision to all peers."""
        outcome = self.replica.adopt(files)
        if outcome.is_error():
            log_message(
                "configuration:refused", source=source, fault=str(outcome.error)
            )
            return
        if not outcome.ok:
            return
        log_message(
            "configuration:in_force", revision=self.replica.revision, source=source
        )
        self.hub.announce(self.replica.revision)
        self.on_configuration()
