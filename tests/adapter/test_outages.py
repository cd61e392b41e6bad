"""Days of random outages and leavings, played on a clock of their own."""

import asyncio
import json
import selectors
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

import pytest
from adapter import const
from adapter.store import ANSWER_SECONDS, Page, StoredRow
from adapter.watch import StoreWatcher
from hypothesis import given, settings
from hypothesis import strategies as st

from radishtally.gateway.bounds import find_gathering
from radishtally.gateway.config import Bounds
from radishtally.gateway.members import MASS_SHARE, Change, Members
from radishtally.outcome import Error, Ok, Result
from radishtally.runtime import Runtime
from radishtally.store.core import Unavailable
from tests.gateway.common import ENTRY

AWAY: Final = Error(Unavailable("away"))
HOSTS: Final = "abcdefgh"
UPSTREAMS: Final = frozenset("ab"), frozenset("cdefgh")
BEAT_SECONDS: Final = 1.2
"""Time between a host's writes."""
SILENT_BEATS: Final = 3
"""Beats after which an entry lapses."""
TRIP_SECONDS: Final = 0.01
"""Time of a question and its answer."""
STABLE_SECONDS: Final = 3.0
"""Time after an outage from which promises hold again."""
DRAIN_SECONDS: Final = 2.0
"""Longest time for which a host gets requests after its entry was removed."""
TICK_SECONDS: Final = 0.05
DAY_SECONDS: Final = 40.0
BOUNDS: Final = Bounds(8.0, DRAIN_SECONDS * 1000, 3_000.0, 0.2, 50.0, 10.0)


class Outage(NamedTuple):
    """Say when the store is away, and whether it refuses questions or holds them."""

    start: float
    end: float
    refuses: bool


class LeapingLoop(asyncio.SelectorEventLoop):
    """Let time pass at once when there is nothing to do."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(LeapingSelector(self))

    def time(self) -> float:
        return self._now

    def leap(self, seconds: float) -> None:
        self._now += seconds


class LeapingSelector(selectors.DefaultSelector):
    """Take the time to wait as passed."""

    def __init__(self, loop: LeapingLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list:
        self._loop.leap(timeout or 0.0)
        return super().select(0)


class ModelStore:
    """Keep entries that lapse while hosts can't write, and answer as the store does."""

    def __init__(self, outages: list[Outage]) -> None:
        self.outages = outages
        self.era = 0
        self.on_era: list[Callable[[int, int], None]] = []
        self.rows: dict[str, StoredRow] = {}
        self.version = 1
        self.changed = asyncio.Event()

    def find_outage(self) -> Outage | None:
        now = asyncio.get_running_loop().time()
        found = (outage for outage in self.outages if outage.start <= now < outage.end)
        return next(found, None)

    def write(self, host: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[host] = StoredRow(host, value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def has(self, host: str) -> bool:
        return host in self.rows and self.rows[host].value is not None

    async def read_table(self, table: str) -> Result:
        if table != const.HOSTS_TABLE:
            return await asyncio.Event().wait()
        return await self._answer(0, 0.0)

    async def follow_table(self, table: str, after: int, wait: float) -> Result:
        return await self._answer(after, wait)

    async def _answer(self, after: int, wait: float) -> Result:
        try:
            async with asyncio.timeout(wait + ANSWER_SECONDS):
                return await self._find_answer(after, wait)
        except TimeoutError:
            return AWAY

    async def _find_answer(self, after: int, wait: float) -> Result:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        await asyncio.sleep(TRIP_SECONDS)
        while True:
            outage = self.find_outage()
            if outage is not None:
                if outage.refuses:
                    return AWAY
                await asyncio.sleep(outage.end - loop.time())
                continue
            rows = [row for row in self.rows.values() if row.version > after]
            if rows or loop.time() >= until:
                rows.sort(key=lambda row: row.version)
                return Ok(Page(tuple(rows), self.version))
            await self._wait_for_change(until - loop.time())

    async def _wait_for_change(self, seconds: float) -> None:
        starts = [outage.start for outage in self.outages]
        now = asyncio.get_running_loop().time()
        seconds = min([seconds, *(start - now for start in starts if start > now)])
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            return


class Listener:
    """Stand for one of some gateways."""

    def __init__(self, gateways: int | None) -> None:
        self.members = Members()
        self.runtime = Runtime()
        self.gateways = gateways

    def find_gathering(self) -> float:
        return find_gathering(BOUNDS, self.gateways)

    def count_unreadable(self, count: int) -> None:
        assert count == 0

    def apply(self, changes: list[Change]) -> None:
        """Take changes; the members hold them already."""


class Day:
    """Play hosts that beat, lapse and leave, and check what the gateway holds."""

    def __init__(
        self, outages: list[Outage], leavings: dict[str, float], gateways: int | None
    ) -> None:
        self._leavings = leavings
        self._outages = outages
        self._listener = Listener(gateways)
        self._removed_at: dict[str, float] = {}
        self._beat_at: dict[str, float] = {}
        """Times of the hosts' last writes."""
        self._due_at: dict[str, float] = {}

    async def play(self) -> None:
        self._store = ModelStore(self._outages)
        self._loop = asyncio.get_running_loop()
        for number, host in enumerate(HOSTS):
            self._beat_at[host] = 0.0
            self._due_at[host] = number * BEAT_SECONDS / len(HOSTS)
            self._store.write(host, _make_entry(host))
        StoreWatcher(self._store, self._listener, self._loop.time).start()
        await asyncio.sleep(1.0)
        while self._loop.time() < DAY_SECONDS:
            await asyncio.sleep(TICK_SECONDS)
            for host in HOSTS:
                self._live(host)
            self._check()
        self._listener.runtime.cancel_tasks()
        assert not self._listener.runtime.broken

    def _live(self, host: str) -> None:
        now = self._loop.time()
        is_up = self._store.find_outage() is None
        if host in self._removed_at:
            return
        if is_up and now >= self._leavings.get(host, DAY_SECONDS):
            self._store.write(host, None)
            self._removed_at[host] = now
            return
        if now >= self._due_at[host]:
            self._due_at[host] += BEAT_SECONDS
            if is_up:
                self._beat(host)
        if now < self._beat_at[host] + SILENT_BEATS * BEAT_SECONDS:
            return
        if self._store.has(host):
            self._store.write(host, None)

    def _beat(self, host: str) -> None:
        self._beat_at[host] = self._loop.time()
        if not self._store.has(host):
            self._store.write(host, _make_entry(host))

    def _check(self) -> None:
        now = self._loop.time()
        held = {instance.host for instance in self._listener.members}
        serving = set(HOSTS) - self._removed_at.keys()
        for upstream in UPSTREAMS:
            dropped = (serving & upstream) - held
            # One entry that lapses looks like a host that leaves without a word.
            assert len(dropped) <= max(1, MASS_SHARE * len(upstream))
            assert not dropped or held & upstream
        last = max((o.end for o in self._outages if o.start <= now), default=0.0)
        if now < last + STABLE_SECONDS:
            return
        late = (host for host in held - serving)
        assert all(now < self._removed_at[host] + DRAIN_SECONDS for host in late)


def _make_entry(host: str) -> bytes:
    service = "desk" if host in UPSTREAMS[0] else "llm"
    address = f"10.0.0.{1 + HOSTS.index(host)}:80"
    return json.dumps({**ENTRY, "service": service, "address": address}).encode()


@contextmanager
def leap() -> Iterator[asyncio.Runner]:
    """Run on a loop whose time passes at once."""
    with asyncio.Runner(loop_factory=LeapingLoop) as runner:
        yield runner


@st.composite
def draw_outages(draw: st.DrawFn) -> list[Outage]:
    """Draw outages, some a moment after the one before."""
    outages, now = [], 1.5
    for _ in range(draw(st.integers(0, 4))):
        start = now + draw(st.sampled_from((0.3, 0.7, 1.5, 4.0)))
        now = start + draw(st.floats(1.0, 6.0))
        outages.append(Outage(start, now, draw(st.booleans())))
    return outages


# Two promises at once, under whatever the store does: callers are not refused because
# hosts that serve were dropped with the store away, and no request reaches a host more
# than two seconds after its entry was removed, from three seconds after an outage on.
@pytest.mark.parametrize("gateways", [1, 330, None])
@settings(max_examples=60, deadline=None)
@given(
    outages=draw_outages(),
    leavings=st.dictionaries(st.sampled_from(HOSTS), st.floats(2.0, 32.0)),
)
def test_hosts_are_neither_dropped_nor_kept_in_error(
    outages: list[Outage], leavings: dict[str, float], gateways: int | None
) -> None:
    with leap() as runner:
        runner.run(Day(outages, leavings, gateways).play())
