"""Model of a fleet: real cores of entries and agents, modelled links and upstreams."""

import random
from dataclasses import dataclass, field

from radishtally.agent import core as agent
from radishtally.agent import events as agent_events
from radishtally.links.kinds import Message
from radishtally.links.messages import CALL, Hello, Work
from radishtally.outcome import Ran, Refusal
from radishtally.serving import core as entry
from radishtally.serving import events as entry_events
from tests.entry.network import DOWN, UP, Ends, ModelLink
from tests.entry.upstreams import Ledger, Upstream

POOL = "pool"
STORE_AWAY = Refusal(503, "store_unavailable", "away")
UNKNOWN = Refusal(409, "outcome_unknown", "begun before", Ran.UNKNOWN)


@dataclass
class Caller:
    """Record the answer that one caller receives."""

    work: Work
    entry: str
    streamed: bool
    delivered: bytes = b""
    end: entry_events.SendFullAnswer | entry_events.EndStream | Refusal | None = None
    gone: bool = False

    @property
    def whole(self) -> bytes:
        """Return the complete answer; empty if there is none."""
        if isinstance(self.end, entry_events.SendFullAnswer):
            return self.end.body
        return self.delivered if isinstance(self.end, entry_events.EndStream) else b""

    def deliver(self, data: bytes, ledger: Ledger) -> None:
        assert self.end is None and self.streamed
        self.delivered += data
        ledger.check_part(self.work, self.delivered)

    def finish(self, end: entry_events.SendFullAnswer, ledger: Ledger) -> None:
        assert self.end is None, "a second end of one request"
        self.end = end
        ledger.check_whole(self.work, end.body)
        assert not self.streamed or self.delivered == end.body

    def finish_stream(self, end: entry_events.EndStream, ledger: Ledger) -> None:
        assert self.end is None, "a second end of one request"
        assert self.streamed and self.delivered
        self.end = end
        ledger.check_whole(self.work, self.delivered)

    def refuse(self, refusal: Refusal, ledger: Ledger) -> None:
        assert self.end is None, "a second end of one request"
        self.end = refusal
        assert not (self.delivered and refusal.ran == Ran.NO)
        if refusal.ran == Ran.NO:
            ledger.record_not_run(self.work.request)


@dataclass
class Claims:
    """Store claims as the table does."""

    rows: dict[tuple[str, str], tuple[str, str, bytes]] = field(default_factory=dict)
    """State, request and answer by team and key."""
    pending: list[tuple[str, str, Work]] = field(default_factory=list)
    """Claims in flight: entry, its incarnation, work."""

    def decide(self, work: Work, away: bool) -> entry_events.Event:
        """Return the event that answers a claim."""
        if away:
            return entry_events.Denied(work.request, STORE_AWAY)
        state, _, body = self.rows.get((work.team, work.key), ("", "", b""))
        if state == "claimed":
            return entry_events.Denied(work.request, UNKNOWN)
        if state == "done":
            return entry_events.Repeated(work.request, 200, (), body)
        self.rows[work.team, work.key] = "claimed", work.request, b""
        return entry_events.Granted(work)

    def release(self, work: Work) -> None:
        """Delete a claim."""
        state, request, _ = self.rows[work.team, work.key]
        assert (state, request) == ("claimed", work.request)
        del self.rows[work.team, work.key]

    def finish(self, work: Work, body: bytes) -> None:
        """Store the outcome of a claimed call."""
        state, request, _ = self.rows[work.team, work.key]
        assert (state, request) == ("claimed", work.request)
        self.rows[work.team, work.key] = "done", work.request, body

    def check_released(self, callers: dict[str, Caller]) -> None:
        """Check that no claim remains for a call that was refused as not run."""
        for state, request, _ in self.rows.values():
            caller = callers[request]
            if state == "claimed" and not caller.gone:
                assert caller.end.ran != Ran.NO, "a claim was not released"


class World:
    """Run entries and agents on one virtual clock."""

    def __init__(self, entries: int, roles: list[str], seed: int = 0) -> None:
        self.now = 1_000.0
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self.claims = Claims()
        self.callers: dict[str, Caller] = {}
        self.links: list[ModelLink] = []
        self.roles = {f"agent-{n}": role for n, role in enumerate(roles)}
        self.ready = dict.fromkeys(self.roles, True)
        self.upstreams = {host: Upstream(host, self.ledger) for host in self.roles}
        self.incarnations = dict.fromkeys(self.roles, 0)
        self.entries: dict[str, entry.DispatchCore] = {}
        self.agents: dict[str, agent.AgentCore] = {}
        self.drained: set[str] = set()
        self.paused: set[str] = set()
        for host in self.roles:
            self.start_agent(host)
        for number in range(entries):
            self.start_entry(f"entry-{number}")
        self.redial()
        self.deliver_all()

    # Processes

    def start_entry(self, host: str) -> None:
        """Start an entry, or restart it without its state."""
        self.incarnations[host] = self.incarnations.get(host, 0) + 1
        core = entry.DispatchCore(
            host, "salt-lake", random.Random(self.random.random())
        )
        for name in self.roles:
            core.set_host(name, "salt-lake", POOL, True)
        self.entries[host] = core
        for caller in self.callers.values():
            caller.gone = caller.gone or caller.entry == host
        for link in self.links:
            if link.ends.entry == host:
                link.drop(DOWN)
                link.known_up[DOWN] = False
                link.broken = True

    def start_agent(self, host: str) -> None:
        """Start an agent, or restart it without its state."""
        self.incarnations[host] += 1
        self.upstreams[host].abandon_all()
        self.agents[host] = agent.AgentCore(host, POOL)
        self.drained.discard(host)
        for link in self.links:
            if link.ends.agent == host:
                link.drop(UP)
                link.known_up[UP] = False
                link.broken = True
        self.read_upstream(host)

    def read_upstream(self, host: str) -> None:
        """Pass the upstream's current state to its agent."""
        ready = self.ready[host]
        state = agent_events.UpstreamRead(
            ready, 2 if ready else 0, 1e6, 1e-6, self.roles[host], "m", "1", ()
        )
        self.to_agent(host, state)

    # Events and commands

    def to_entry(self, host: str, event: entry_events.Event) -> None:
        """Pass an event to an entry and execute its commands."""
        core = self.entries[host]
        for command in entry.handle_event(event, core, self.now):
            self._execute_entry(host, command)
        assert all(known.in_flight >= 0 for known in core.hosts.values())

    def to_agent(self, host: str, event: agent_events.Event) -> None:
        """Pass an event to an agent and execute its commands."""
        core = self.agents[host]
        for command in agent.handle_event(event, core, self.now):
            self._execute_agent(host, command)

    def _execute_entry(self, host: str, command: entry_events.Command) -> None:
        match command:
            case entry_events.Send(to, message):
                self._send(host, to, UP, message)
            case entry_events.Claim(work):
                self.claims.pending.append((host, self.incarnations[host], work))
            case entry_events.Release(work):
                self.claims.release(work)
            case entry_events.Settle(work, _, _, body):
                self.claims.finish(work, body)
            case entry_events.Deliver(request, data, _):
                self.callers[request].deliver(data, self.ledger)
            case entry_events.SendFullAnswer(request, _, _):
                self.callers[request].finish(command, self.ledger)
            case entry_events.EndStream(request, _):
                self.callers[request].finish_stream(command, self.ledger)
            case entry_events.AbortAnswer(request, refusal):
                assert self.callers[request].delivered
                self.callers[request].refuse(refusal, self.ledger)
            case entry_events.Refuse(request, refusal):
                assert not self.callers[request].delivered
                self.callers[request].refuse(refusal, self.ledger)

    def _execute_agent(self, host: str, command: agent_events.Command) -> None:
        upstream = self.upstreams[host]
        match command:
            case agent_events.Send(to, message):
                self._send(to, host, DOWN, message)
            case agent_events.Run(offer):
                upstream.start(offer)
            case agent_events.Abort(request, attempt):
                upstream.abort((request, attempt))
            case agent_events.Export(request, attempt):
                upstream.exports.append((request, attempt))
            case agent_events.Drained():
                self.drained.add(host)

    # Links

    def _send(self, entry_host: str, host: str, direction: str, what: Message) -> None:
        sender = {UP: DOWN, DOWN: UP}[direction]
        for link in reversed(self.links):
            if (link.ends.entry, link.ends.agent) != (entry_host, host):
                continue
            # A process sends on the newest link it knows.
            if link.known_up[sender]:
                link.send(direction, what)
                return

    def deliver(
        self, link: ModelLink, direction: str, duplicated: bool = False
    ) -> None:
        """Deliver the next message of a link, twice if asked for."""
        if not link.queues[direction]:
            return
        message = link.queues[direction].popleft()
        for _ in range(1 + duplicated):
            self._receive(link, direction, message)

    def _receive(self, link: ModelLink, direction: str, message: Message) -> None:
        if direction == DOWN:
            event = entry_events.Received(link.ends.agent, message)
            self.to_entry(link.ends.entry, event)
            return
        host = link.ends.agent
        if isinstance(message, Hello):
            self._accept_link(link)
            return
        self.to_agent(host, agent_events.Received(link.ends.entry, message))

    def _accept_link(self, link: ModelLink) -> None:
        """Accept a new link at an agent and end older ones to the same entry."""
        for old in self.links:
            same = old.ends.entry == link.ends.entry
            if same and old.ends.agent == link.ends.agent and old.known_up[UP]:
                self.notice_break(old, UP)
        link.known_up[UP] = True
        self.to_agent(link.ends.agent, agent_events.LinkUp(link.ends.entry))

    def notice_break(self, link: ModelLink, end: str) -> None:
        """Break a link and report that to one of its ends."""
        link.broken = True
        if not link.known_up[end]:
            return
        link.known_up[end] = False
        if end == UP:
            self.to_agent(link.ends.agent, agent_events.LinkDown(link.ends.entry))
        else:
            self.to_entry(link.ends.entry, entry_events.LinkDown(link.ends.agent))

    def redial(self) -> None:
        """Open a link wherever an entry knows of none."""
        for entry_host in self.entries:
            for host in self.agents:
                if not self._is_linked(entry_host, host):
                    self._dial(entry_host, host)

    def _is_linked(self, entry_host: str, host: str) -> bool:
        return any(
            link.known_up[DOWN]
            for link in self.links
            if (link.ends.entry, link.ends.agent) == (entry_host, host)
        )

    def _dial(self, entry_host: str, host: str) -> None:
        numbers = self.incarnations
        ends = Ends(entry_host, str(numbers[entry_host]), host, str(numbers[host]))
        link = ModelLink(ends)
        self.links.append(link)
        link.send(UP, Hello(entry_host, "", "entry", ends.entry_incarnation, 0))
        hello = Hello(host, "salt-lake", "agent", ends.agent_incarnation, 0)
        self.to_entry(entry_host, entry_events.LinkUp(hello))

    def replace_link(self, link: ModelLink) -> None:
        """Replace a link; messages in flight on the old one arrive late."""
        link.broken = True
        self.notice_break(link, DOWN)
        self.redial()

    def deliver_all(self) -> None:
        """Deliver all messages in flight and those sent in response."""
        moved = True
        while moved:
            moved = False
            for link in list(self.links):
                for direction in (UP, DOWN):
                    while link.queues[direction]:
                        moved = True
                        self.deliver(link, direction)
        self.links = [k for k in self.links if any(k.known_up.values())]

    # Time and work

    def advance(self, seconds: float) -> None:
        """Advance the clock and send the ticks that are due."""
        self.now += seconds
        for host, agent_core in self.agents.items():
            if agent_core.next_wake(self.now) <= self.now or seconds > 0:
                self.to_agent(host, agent_events.Tick())
        for host, entry_core in self.entries.items():
            if entry_core.next_wake() <= self.now and host not in self.paused:
                self.to_entry(host, entry_events.Tick())

    def open_request(
        self, work: Work, host: str, seconds: float, streamed: bool
    ) -> None:
        """Send a caller's request to an entry."""
        streamed = streamed and work.kind != CALL
        self.callers[work.request] = Caller(work, host, streamed)
        arrived = entry_events.Arrived(work, self.now + seconds, streamed)
        self.to_entry(host, arrived)

    def disconnect_caller(self, request: str) -> None:
        """Disconnect a caller whose request is open."""
        caller = self.callers[request]
        if caller.end is None and not caller.gone:
            caller.gone = True
            self.to_entry(caller.entry, entry_events.CallerGone(request))

    def answer_claim(self, away: bool = False) -> None:
        """Answer the oldest claim in flight."""
        host, incarnation, work = self.claims.pending.pop(0)
        event = self.claims.decide(work, away)
        if incarnation == self.incarnations[host]:
            self.to_entry(host, event)

    def step(self, host: str) -> None:
        """Advance all work of an upstream by one step."""
        upstream = self.upstreams[host]
        for name in list(upstream.runs):
            event = upstream.step(name) if name in upstream.runs else None
            if event is not None:
                self.to_agent(host, event)

    def fail(self, host: str) -> None:
        """Fail all work of an upstream."""
        upstream = self.upstreams[host]
        for name in list(upstream.runs):
            self.to_agent(host, upstream.fail(name))

    def export(self, host: str, whole: bool = True) -> None:
        """Hand over the work whose export is requested from an engine."""
        upstream = self.upstreams[host]
        for name in list(upstream.exports):
            self.to_agent(host, upstream.export(name, whole))

    def heal_and_finish(self, seconds: float = 0.2) -> None:
        """Undo all faults and run until all work has ended."""
        for link in self.links:
            if link.broken:
                self.notice_break(link, UP)
                self.notice_break(link, DOWN)
        for host in self.agents:
            for reason in list(self.agents[host].drains):
                self.to_agent(host, agent_events.Undrain(reason))
            self.ready[host] = True
            self.read_upstream(host)
        self.paused.clear()
        for _ in range(400):
            self.run_steps(seconds)
            if self._is_idle():
                break

    def run_steps(self, seconds: float) -> None:
        """Advance all processes, claims and upstreams by one step."""
        self.redial()
        self.deliver_all()
        while self.claims.pending:
            self.answer_claim()
        for host, upstream in self.upstreams.items():
            upstream.begin_abandoned()
            self.export(host)
            self.step(host)
        self.advance(seconds)
        self.deliver_all()

    def _is_idle(self) -> bool:
        open_work = any(core.requests for core in self.entries.values())
        return not open_work and not any(u.runs for u in self.upstreams.values())

    def check_finished(self) -> None:
        """Check that every request has ended and no state is left over."""
        for caller in self.callers.values():
            assert caller.gone or caller.end is not None, caller.work.request
        self.claims.check_released(self.callers)
        for _ in range(30):
            self.advance(10.0)
            self.deliver_all()
        for core in self.entries.values():
            assert not core.requests
            assert core.next_wake() == float("inf")
            assert all(known.in_flight == 0 for known in core.hosts.values())
        for core in self.agents.values():
            kept = (
                core.assignments,
                core.assignment_ids,
                core.keys,
                core.ended_attempts,
                core.queue,
            )
            assert not any(map(len, kept))
            assert not core.running and not core.dirty and not core.orphans
            assert not list(core.retained) and core.retained.bytes == 0
