"""Look at the platform from time to time: configuration head and host list."""

import asyncio
import random
from typing import Final

from eliot import log_message

from radishtally.distribution.core import hash_files
from radishtally.entry.core import Entry
from radishtally.links.messages import ConfigurationFiles
from radishtally.store.core import ENTRY, ListedHost

HEAD_SECONDS: Final = 1.0
"""Time between two reads of the head by all entries together."""
MAX_HEAD_SECONDS: Final = 60.0
LIST_SECONDS: Final = 1.0
LIST_HOSTS_PER_SECOND: Final = 100.0
"""Lines of the list that an entry reads in a second, at most: docs/CAPACITY.md."""
TICK_SECONDS: Final = 0.5


class Watcher:
    """Run the entry's regular looks at the platform."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to look."""
        spawn = self._entry.process.spawn
        self._tasks = [
            spawn(self._watch_head()),
            spawn(self._watch_list()),
            spawn(self._tick()),
        ]

    async def stop(self) -> None:
        """Look no more."""
        for task in self._tasks:
            task.cancel()

    async def read_head(self) -> None:
        """Bring a newer configuration into force, if the table has one."""
        entry = self._entry
        head = await entry.configurations.read_head()
        if head.is_error():
            log_message("head:unread", error=str(head.error))
            return
        if head.ok.revision <= entry.process.keeper.revision:
            return
        files = await entry.configurations.load(head.ok)
        if files.is_error():
            log_message("head:not_loaded", error=str(files.error))
            return
        given = ConfigurationFiles(head.ok.revision, hash_files(files.ok), files.ok)
        entry.process.apply_configuration(given, "table")

    async def _watch_head(self) -> None:
        while True:
            await self.read_head()
            await asyncio.sleep(self._find_head_wait() * random.uniform(0.5, 1.5))

    def _find_head_wait(self) -> float:
        """Take turns with the other entries, so that reads don't grow with them.

        Whoever reads a new head tells all its peers, so one read a second by any
        entry brings it to all.
        """
        if self._entry.process.keeper.current is None:
            return HEAD_SECONDS
        members = self._entry.members.membership.members.values()
        entries = sum(member.upstream == ENTRY for member in members)
        return min(MAX_HEAD_SECONDS, HEAD_SECONDS * max(1, entries))

    async def _watch_list(self) -> None:
        while True:
            listed = await self._entry.process.host_list.read()
            if listed.is_ok():
                self._take_list(listed.ok)
            else:
                log_message("list:unread", error=listed.error.message)
            hosts = len(self._entry.members.membership.members)
            await asyncio.sleep(max(LIST_SECONDS, hosts / LIST_HOSTS_PER_SECOND))

    def _take_list(self, hosts: list[ListedHost]) -> None:
        if not hosts:
            log_message("list:empty")
        self._entry.members.listed(hosts)

    async def _tick(self) -> None:
        while True:
            members = self._entry.members
            members.tick()
            await self._entry.planning.contend(members.list_entries())
            await asyncio.sleep(TICK_SECONDS)
