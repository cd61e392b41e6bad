"""Model test: gateways confirm configurations while calls and messages are late."""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from radishtally.gateway.freshness import (
    ConfigurationState,
    ConfigurationView,
    ViewExchange,
)
from radishtally.gateway.topology import Site
from radishtally.links.kinds import Message

NAMES = ("g-1", "g-2")
REVOCATION_MS = 5000.0

names = st.sampled_from(NAMES)
numbers = st.integers(0, 1_000)


class Read(NamedTuple):
    """Hold a call to the store, carried out at any time until its answer."""

    name: str
    asked_at: float
    version: int | None = None


class Envelope(NamedTuple):
    """Hold a message on its way."""

    sender: str
    receiver: str
    message: Message


class Gateway:
    """Hold the view of one gateway, and act as its link hub."""

    def __init__(self, name: str, model: "FreshnessModel") -> None:
        self.name = name
        self.hosts = [other for other in NAMES if other != name]
        self.version = 0
        self._model = model
        self.view = ConfigurationView(lambda: model.now)
        self.view.limit_age(REVOCATION_MS)
        self.exchange = ViewExchange(name, self.view, self.get_state)
        self.exchange.attach(self)
        self.exchange.set_sites({other: Site("howrah", 1.0) for other in NAMES})

    def get_state(self) -> ConfigurationState:
        return ConfigurationState(1, self.version)

    def send(self, peer: str, message: Message) -> bool:
        self._model.messages.append(Envelope(self.name, peer, message))
        return True


class FreshnessModel(RuleBasedStateMachine):
    """Delay, reorder and lose calls and messages; suspend gateways by passing time.

    Guards against a gateway that accepts keys by a configuration which was replaced
    longer ago than a revoked key may be accepted.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0
        self.version = 0
        self.replaced_at: list[float] = []
        """Time at which each version was replaced."""
        self.reads: list[Read] = []
        self.messages: list[Envelope] = []
        self.gateways = {name: Gateway(name, self) for name in NAMES}

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.6, 4.6]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(seconds=st.sampled_from([0.0, 2.6, 5.1]))
    def replace_configuration(self, seconds: float) -> None:
        self.replaced_at.append(self.now)
        self.version += 1
        self.now += seconds

    @rule(name=names)
    def start_read(self, name: str) -> None:
        self.reads.append(Read(name, self.now))

    @precondition(lambda self: self.reads)
    @rule(number=numbers)
    def carry_out_read(self, number: int) -> None:
        index = number % len(self.reads)
        if self.reads[index].version is None:
            self.reads[index] = self.reads[index]._replace(version=self.version)

    @precondition(lambda self: any(read.version is not None for read in self.reads))
    @rule(number=numbers)
    def answer_read(self, number: int) -> None:
        answered = [read for read in self.reads if read.version is not None]
        read = answered[number % len(answered)]
        self.reads.remove(read)
        gateway = self.gateways[read.name]
        gateway.version = max(gateway.version, read.version)
        gateway.view.confirm(read.asked_at)

    @rule(name=names)
    def read_at_once(self, name: str) -> None:
        gateway = self.gateways[name]
        gateway.version = self.version
        gateway.view.confirm(self.now)

    @rule(name=names)
    def ask(self, name: str) -> None:
        (peer,) = self.gateways[name].hosts
        self.gateways[name].exchange.ask(peer)

    @rule(
        name=names,
        request_seconds=st.sampled_from([0.0, 0.0, 3.0]),
        answer_seconds=st.sampled_from([0.0, 0.0, 3.0]),
    )
    def confirm_by_peer(
        self, name: str, request_seconds: float, answer_seconds: float
    ) -> None:
        self.ask(name)
        request = self.messages.pop()
        self.now += request_seconds
        before = len(self.messages)
        self.gateways[request.receiver].exchange.handle_message(name, request.message)
        if len(self.messages) > before:
            answer = self.messages.pop()
            self.now += answer_seconds
            exchange = self.gateways[name].exchange
            exchange.handle_message(answer.sender, answer.message)

    @precondition(lambda self: self.messages)
    @rule(number=numbers, is_lost=st.booleans())
    def deliver(self, number: int, is_lost: bool) -> None:
        sent = self.messages.pop(number % len(self.messages))
        if not is_lost:
            exchange = self.gateways[sent.receiver].exchange
            exchange.handle_message(sent.sender, sent.message)

    @invariant()
    def no_key_is_accepted_for_too_long(self) -> None:
        for gateway in self.gateways.values():
            if gateway.version < self.version and gateway.view.is_fresh():
                replaced_at = self.replaced_at[gateway.version]
                assert self.now - replaced_at <= REVOCATION_MS / 1000, gateway.name


FreshnessModel.TestCase.settings = settings(
    max_examples=500, stateful_step_count=25, deadline=None
)
TestFreshness = FreshnessModel.TestCase
