"""State machine of callers that resume streams at gateways, while versions change."""

import random
from collections import deque
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from radishtally.links.gateway_messages import StreamsBegun
from radishtally.links.messages import (
    ENDED,
    STREAM,
    Accepted,
    Begun,
    Cancel,
    Chunk,
    Hello,
    Lost,
    Offer,
    Work,
)
from radishtally.outcome import Ran
from radishtally.serving import const, events
from radishtally.serving.core import DispatchCore, handle_event
from radishtally.serving.origins import hash_stream
from radishtally.serving.terms import Terms

POOL = "pool"
GATEWAYS = 3
MIN_HOSTS = 2
"""Hosts of a version with which a stream of it goes on."""
VERSIONS = ("v1", "v2", "v3")
HEADERS = (("X-Signed", "by-host"),)
PICKS = st.integers(0, 1 << 16)


@dataclass
class Stream:
    """What a caller has of its stream."""

    first: str = ""
    """Request that brought the first event."""
    versions: list[str] = field(default_factory=list)
    """True versions of its events."""
    request: str = ""
    """Request that is open; empty between two tries."""
    gateway: int = 0


@dataclass
class Attempt:
    """A run at a process of a host."""

    request: str
    number: int
    host: str
    version: str
    """True version of the process, whatever its gateway believes."""
    gateway: int
    has_begun: bool = False
    is_broken: bool = False


class Versions(RuleBasedStateMachine):
    """Change versions under streams, with gateways that know of it late or never."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.numbers = iter(range(1, 1 << 20))
        self.hosts: dict[str, str] = {}
        """True versions of the hosts that serve."""
        self.streams: list[Stream] = []
        self.attempts: dict[str, Attempt] = {}
        self.asked: deque[tuple[int, bytes]] = deque()
        self.mail: deque[tuple[int, StreamsBegun]] = deque()
        for number in range(6):
            self.add_host(VERSIONS[number % 2])
        self.cores = [self.make_core() for _ in range(GATEWAYS)]

    def make_core(self) -> DispatchCore:
        core = DispatchCore("g", "howrah", random.Random(1), tracks_versions=True)
        core.budgets.configure(10.0, 1000.0)
        core.offer_timeout = float("inf")
        self.sync_core(core)
        return core

    def add_host(self, version: str) -> None:
        self.hosts[f"h-{next(self.numbers)}"] = version

    def handle(self, gateway: int, event: events.Event) -> None:
        """Handle an event at a gateway and play its commands."""
        core = self.cores[gateway]
        for command in handle_event(event, core, self.now):
            if isinstance(command, events.Send):
                self.play_message(gateway, command.host, command.message)
            elif isinstance(command, events.FindOrigin):
                self.asked.append((gateway, command.stream))
            elif isinstance(command, events.Deliver):
                self.receive(command)
            elif isinstance(command, events.Refuse):
                self.check_refusal(gateway, command)
                self.end(command.request)
            elif isinstance(command, events.AbortAnswer):
                self.end(command.request)

    def play_message(self, gateway: int, host: str, message: object) -> None:
        if isinstance(message, Offer):
            name = message.work.request
            version = self.hosts.get(host, "")
            attempt = Attempt(name, message.attempt, host, version, gateway)
            attempt.is_broken = not version
            self.attempts[name] = attempt
        elif isinstance(message, Cancel):
            self.attempts.pop(message.request, None)

    def receive(self, command: events.Deliver) -> None:
        stream = self.find_stream(command.request)
        stream.first = stream.first or command.request
        stream.versions.append(self.attempts[command.request].version)

    def check_refusal(self, gateway: int, command: events.Refuse) -> None:
        """Check that what was refused as not run has had no attempt."""
        if command.refusal.ran == Ran.NO:
            assert command.request not in self.attempts or not (
                self.attempts[command.request].has_begun
            )

    def find_stream(self, request: str) -> Stream:
        return next(stream for stream in self.streams if stream.request == request)

    def end(self, request: str) -> None:
        self.attempts.pop(request, None)
        for stream in self.streams:
            if stream.request == request:
                stream.request = ""

    def sync_core(self, core: DispatchCore, gateway: int | None = None) -> None:
        """Apply the host list to a gateway."""
        for host in core.hosts.keys() - self.hosts.keys():
            core.forget_host(host)
            core.links.pop(host, None)
        for host, version in self.hosts.items():
            known = core.hosts.get(host)
            if known is not None and known.version != version and gateway is not None:
                self.handle(gateway, events.VersionChanged(host, version, True))
            core.set_host(host, "howrah", POOL, True, version)
            core.hosts[host].reports_start = True
            if host not in core.links:
                hello = Hello(host, "howrah", "", "1", 0)
                list(handle_event(events.LinkUp(hello), core, self.now))

    def pick(self, items: list, number: int) -> object:
        return items[number % len(items)]

    @rule(gateway=st.integers(0, GATEWAYS - 1), has_event=st.booleans())
    def begin(self, gateway: int, has_event: bool) -> None:
        self.streams.append(Stream())
        self.ask(self.streams[-1], gateway)
        if has_event:
            self.send_next(self.streams[-1])

    @precondition(lambda self: any(stream.first for stream in self.streams))
    @rule(number=PICKS, gateway=st.integers(0, GATEWAYS - 1), has_event=st.booleans())
    def resume(self, number: int, gateway: int, has_event: bool) -> None:
        """Let a caller lose its connection and take its stream up at a gateway."""
        stream = self.pick([one for one in self.streams if one.first], number)
        self.leave(stream)
        self.ask(stream, gateway)
        if has_event:
            self.send_next(stream)

    def leave(self, stream: Stream) -> None:
        """Let a caller lose its connection."""
        if stream.request:
            self.handle(stream.gateway, events.CallerGone(stream.request))
            self.end(stream.request)

    def ask(self, stream: Stream, gateway: int) -> None:
        stream.request, stream.gateway = f"r-{next(self.numbers)}", gateway
        work = Work(stream.request, "", POOL, STREAM, b"")
        terms = Terms(resumed_stream=stream.first, resumed_after=len(stream.versions))
        arrived = events.Arrived(work, self.now + 30.0, True, terms)
        goes_on = self.can_go_on(stream, gateway)
        self.handle(gateway, arrived)
        if goes_on:
            assert stream.request in self.attempts

    def can_go_on(self, stream: Stream, gateway: int) -> bool:
        """Return whether a gateway knows a stream and two hosts of its version."""
        core = self.cores[gateway]
        origin = core.origins.find(hash_stream(stream.first))
        if not stream.first or origin is None or not origin.version:
            return False
        serving = [
            known
            for known in core.hosts.values()
            if known.version == origin.version
            and known.live
            and known.host not in core.doubted_since
            and known.breaker.allows(self.now)
        ]
        return len(serving) >= MIN_HOSTS

    @precondition(lambda self: self.streams)
    @rule(number=PICKS)
    def send_event(self, number: int) -> None:
        self.send_next(self.pick(self.streams, number))

    def send_next(self, stream: Stream) -> None:
        """Send the next event of a stream from its host, if it has one."""
        attempt = self.attempts.get(stream.request)
        if attempt is None or attempt.is_broken:
            return
        request = self.cores[attempt.gateway].requests[attempt.request]
        key = attempt.request, attempt.number
        messages = [Accepted(*key, 0.0), Begun(*key, 200, HEADERS)]
        count = len(stream.versions) + 1
        data = b"id: %d\ndata: x\n\n" % count
        messages = [] if attempt.has_begun else messages
        attempt.has_begun = True
        for message in [*messages, Chunk(*key, len(request.received), data, count)]:
            self.handle(attempt.gateway, events.Received(attempt.host, message))

    @rule(number=PICKS)
    def lose(self, number: int) -> None:
        if self.attempts:
            self.break_off(self.pick(list(self.attempts.values()), number), "reset")

    def break_off(self, attempt: Attempt, reason: str) -> None:
        lost = Lost(attempt.request, attempt.number, Ran.UNKNOWN, reason, 0)
        self.handle(attempt.gateway, events.Received(attempt.host, lost))

    @rule(number=PICKS, version=st.sampled_from(VERSIONS))
    def replace_host(self, number: int, version: str) -> None:
        """Replace a host by another one; the gateways hear of it later."""
        gone = self.pick(list(self.hosts), number)
        del self.hosts[gone]
        self.add_host(version)
        for attempt in self.attempts.values():
            attempt.is_broken |= attempt.host == gone

    @rule(number=PICKS, version=st.sampled_from(VERSIONS))
    def restart_host(self, number: int, version: str) -> None:
        """Begin a host again under its name.

        A gateway that has an answer open there sees it break off; another one has read
        the list before it calls the host again.
        """
        host = self.pick(list(self.hosts), number)
        self.hosts[host] = version
        open_there = [a for a in self.attempts.values() if a.host == host]
        seen_at = {attempt.gateway for attempt in open_there}
        self.now += const.DOUBT_MARGIN_SECONDS
        for attempt in open_there:
            attempt.is_broken = True
        for attempt in open_there:
            if self.attempts.get(attempt.request) is attempt:
                self.break_off(attempt, ENDED)
        for gateway, core in enumerate(self.cores):
            known = core.hosts.get(host)
            if gateway in seen_at or known is None or known.version == version:
                continue
            self.handle(gateway, events.VersionChanged(host, version, True))
            core.set_host(host, "howrah", POOL, True, version)

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def read_list(self, gateway: int) -> None:
        self.sync_core(self.cores[gateway], gateway)

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def kill_gateway(self, gateway: int) -> None:
        for stream in self.streams:
            if stream.gateway == gateway and stream.request:
                self.end(stream.request)
        self.cores[gateway] = self.make_core()

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def send_streams(self, gateway: int) -> None:
        for message in self.cores[gateway].origins.pop_changed(self.now):
            self.mail += [(g, message) for g in range(GATEWAYS) if g != gateway]

    @precondition(lambda self: self.mail)
    @rule(is_lost=st.booleans())
    def deliver_mail(self, is_lost: bool) -> None:
        gateway, message = self.mail.popleft()
        if is_lost:
            return
        self.cores[gateway].origins.merge(message, self.now)
        for stream in message.streams:
            self.handle(gateway, events.OriginSettled(stream.stream))

    @precondition(lambda self: self.asked)
    @rule(peers=st.sets(st.integers(0, GATEWAYS - 1)))
    def answer_query(self, peers: set[int]) -> None:
        """Let some of the peers answer, or none."""
        gateway, stream = self.asked.popleft()
        for peer in sorted(peers - {gateway}):
            reply = self.cores[peer].origins.describe(stream, self.now)
            if reply is not None:
                self.cores[gateway].origins.merge(reply, self.now)
        self.handle(gateway, events.OriginSettled(stream))

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for gateway in range(GATEWAYS):
            self.handle(gateway, events.Tick())

    @invariant()
    def streams_hold_events_of_one_version(self) -> None:
        for stream in self.streams:
            assert len(set(stream.versions)) <= 1, stream


TestVersions = Versions.TestCase
TestVersions.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)
