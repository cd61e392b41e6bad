"""Poll the platform for the configuration head and the host list."""

import asyncio
import random
from typing import Final

from eliot import log_message

from radishtally.distribution.core import hash_files
from radishtally.entry.core import Entry
from radishtally.links.messages import ConfigurationFiles
from radishtally.store.core import ENTRY, ListedHost

HEAD_POLL_SECONDS: Final = 1.0
"""Average time between two reads of the head, counted over all entries."""
MAX_HEAD_POLL_SECONDS: Final = 60.0
LIST_POLL_SECONDS: Final = 1.0
MAX_LISTED_HOSTS_PER_SECOND: Final = 100.0
"""Upper bound on the list lines that one entry reads per second; the poll interval
grows with the number of hosts to keep it. See docs/CAPACITY.md."""
TICK_SECONDS: Final = 0.5


class Watcher:
    """Run the periodic tasks of an entry: platform polls and membership ticks."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Start the periodic tasks."""
        keep_running = self._entry.process.keep_running
        self._tasks = [
            keep_running("head", self._poll_head),
            keep_running("hosts", self._poll_list),
            keep_running("members", self._tick),
        ]

    async def stop(self) -> None:
        """Cancel the periodic tasks."""
        for task in self._tasks:
            task.cancel()

    async def read_head(self) -> None:
        """Apply the configuration in the table if it is newer."""
        entry = self._entry
        head = await entry.configurations.read_head()
        if head.is_error():
            log_message("head:unread", error=str(head.error))
            return
        if head.ok.revision <= entry.process.replica.revision:
            return
        files = await entry.configurations.load(head.ok)
        if files.is_error():
            log_message("head:not_loaded", error=str(files.error))
            return
        given = ConfigurationFiles(head.ok.revision, hash_files(files.ok), files.ok)
        entry.process.apply_configuration(given, "table")

    async def _poll_head(self) -> None:
        while True:
            await self.read_head()
            await asyncio.sleep(
                self._find_head_poll_seconds() * random.uniform(0.5, 1.5)
            )

    def _find_head_poll_seconds(self) -> float:
        """Return the poll interval of this entry, which grows with the entry count.

        An entry that reads a new head notifies all its peers, so one read per second
        by any entry is enough. The load on the table doesn't grow with the entries.
        """
        if self._entry.process.replica.current is None:
            return HEAD_POLL_SECONDS
        members = self._entry.members.membership.members.values()
        entries = sum(member.upstream == ENTRY for member in members)
        return min(MAX_HEAD_POLL_SECONDS, HEAD_POLL_SECONDS * max(1, entries))

    async def _poll_list(self) -> None:
        while True:
            listed = await self._entry.process.host_list.read()
            if listed.is_ok():
                self._apply_host_list(listed.ok)
            else:
                log_message("list:unread", error=listed.error.message)
            hosts = len(self._entry.members.membership.members)
            await asyncio.sleep(
                max(LIST_POLL_SECONDS, hosts / MAX_LISTED_HOSTS_PER_SECOND)
            )

    def _apply_host_list(self, hosts: list[ListedHost]) -> None:
        if not hosts:
            log_message("list:empty")
        self._entry.members.apply_host_list(hosts)

    async def _tick(self) -> None:
        while True:
            members = self._entry.members
            members.tick()
            await self._entry.planners.contend(members.list_entries())
            await asyncio.sleep(TICK_SECONDS)
