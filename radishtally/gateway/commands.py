"""Execute the commands that the core issues for requests."""

from functools import singledispatch
from typing import Protocol

from eliot import log_message

from radishtally.direct.hosts import DirectHosts
from radishtally.gateway.meter import UsageMeter
from radishtally.gateway.metrics import (
    ANSWERED,
    BROKEN_OFF,
    FAILED,
    REFUSED,
    GatewayMetrics,
)
from radishtally.gateway.origins import OriginExchange
from radishtally.links.messages import Cancel, Offer
from radishtally.outcome import Ran, Refusal
from radishtally.serving import events
from radishtally.serving.const import MIN_FAILURE_STATUS
from radishtally.serving.replies import Replies
from radishtally.serving.state import DispatchCore


class CommandTargets(Protocol):
    """Give access to the parts of a gateway that commands act on."""

    core: DispatchCore
    hosts: DirectHosts
    metrics: GatewayMetrics
    replies: Replies
    meter: UsageMeter
    origin_exchange: OriginExchange

    def record_refusal(self, request: str, refusal: Refusal) -> None:
        """Log and count a refusal by the gateway itself."""


@singledispatch
def execute_command(command: events.Command, targets: CommandTargets) -> None:
    """Execute one command: send it to a host or deliver it to the caller."""
    raise TypeError(f"no handler for commands of type {type(command)}")


@execute_command.register
def _(command: events.Send, targets: CommandTargets) -> None:
    message = command.message
    if isinstance(message, Offer):
        terms = targets.core.requests[message.work.request].terms
        targets.metrics.count_offer(message.stage)
        targets.meter.record_offer(message.work.request)
        targets.hosts.run(command.host, message, terms)
    elif isinstance(message, Cancel):
        targets.hosts.cancel(message)


@execute_command.register
def _(command: events.FindOrigin, targets: CommandTargets) -> None:
    targets.origin_exchange.ask(command.stream)


@execute_command.register
def _(command: events.DropKv, targets: CommandTargets) -> None:
    targets.hosts.drop(command.kv)


@execute_command.register
def _(command: events.Begin, targets: CommandTargets) -> None:
    targets.metrics.observe_first_part(command.request)
    targets.meter.record_begin(command.request)
    targets.replies.put(command)


@execute_command.register
def _(command: events.Deliver, targets: CommandTargets) -> None:
    targets.replies.put(command)


@execute_command.register
def _(command: events.SendFullAnswer, targets: CommandTargets) -> None:
    is_good = command.end.status < MIN_FAILURE_STATUS
    targets.metrics.record_outcome(command.request, ANSWERED if is_good else FAILED)
    targets.meter.record_begin(command.request)
    targets.replies.put(command)


@execute_command.register
def _(command: events.EndStream, targets: CommandTargets) -> None:
    targets.metrics.record_outcome(command.request, ANSWERED)
    targets.replies.put(command)


@execute_command.register
def _(command: events.AbortAnswer, targets: CommandTargets) -> None:
    targets.record_refusal(command.request, command.refusal)
    targets.metrics.record_outcome(command.request, BROKEN_OFF)
    targets.replies.put(command)


@execute_command.register
def _(command: events.Refuse, targets: CommandTargets) -> None:
    targets.record_refusal(command.request, command.refusal)
    targets.metrics.record_outcome(command.request, REFUSED)
    if command.refusal.ran == Ran.UNKNOWN:
        targets.meter.record_unclear_end(command.request)
    targets.replies.put(command)


@execute_command.register
def _(command: events.RecordStep, targets: CommandTargets) -> None:
    log_message("request:step", request=command.request, text=command.text)
