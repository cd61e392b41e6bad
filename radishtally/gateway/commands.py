"""Carry out what the core decides about requests."""

from functools import singledispatch
from typing import Protocol

from eliot import log_message

from radishtally.direct.hosts import DirectHosts
from radishtally.gateway.metrics import (
    ANSWERED,
    BROKEN_OFF,
    FAILED,
    REFUSED,
    GatewayMetrics,
)
from radishtally.links.messages import Cancel, Offer
from radishtally.outcome import Refusal
from radishtally.serving import events
from radishtally.serving.const import MIN_FAILURE_STATUS
from radishtally.serving.replies import Replies
from radishtally.serving.state import DispatchCore


class Parts(Protocol):
    """Be what answers requests in a gateway."""

    core: DispatchCore
    hosts: DirectHosts
    metrics: GatewayMetrics
    replies: Replies

    def note_refusal(self, request: str, refusal: Refusal) -> None:
        """Take note of an answer of the gateway's own."""


@singledispatch
def carry_out_command(command: events.Command, parts: Parts) -> None:
    """Bring one decision about to hosts or to its caller."""
    raise TypeError(f"no way to carry out {type(command)}")


@carry_out_command.register
def _(command: events.Send, parts: Parts) -> None:
    message = command.message
    if isinstance(message, Offer):
        terms = parts.core.requests[message.work.request].terms
        parts.metrics.offered(message.stage)
        parts.hosts.run(command.host, message, terms)
    elif isinstance(message, Cancel):
        parts.hosts.cancel(message)


@carry_out_command.register
def _(command: events.DropKv, parts: Parts) -> None:
    parts.hosts.drop(command.kv)


@carry_out_command.register
def _(command: events.Begin, parts: Parts) -> None:
    parts.metrics.begun(command.request)
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.Deliver, parts: Parts) -> None:
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.Finish, parts: Parts) -> None:
    is_good = command.end.status < MIN_FAILURE_STATUS
    parts.metrics.ended(command.request, ANSWERED if is_good else FAILED)
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.End, parts: Parts) -> None:
    parts.metrics.ended(command.request, ANSWERED)
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.AbortAnswer, parts: Parts) -> None:
    parts.note_refusal(command.request, command.refusal)
    parts.metrics.ended(command.request, BROKEN_OFF)
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.Refuse, parts: Parts) -> None:
    parts.note_refusal(command.request, command.refusal)
    parts.metrics.ended(command.request, REFUSED)
    parts.replies.put(command)


@carry_out_command.register
def _(command: events.RecordStep, parts: Parts) -> None:
    log_message("request:step", request=command.request, text=command.text)
