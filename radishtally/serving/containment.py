"""End a request whose handling raises an unexpected error, and no other one."""

from collections.abc import Callable, Iterator
from typing import Final

from radishtally.containment import BrokenInvariant, contain
from radishtally.links.messages import Cancel
from radishtally.outcome import Ran, Refusal
from radishtally.serving.const import CODE_INTERNAL
from radishtally.serving.events import AbortAnswer, Command, Event, Refuse, Send
from radishtally.serving.refusals import refuse_without_retry_after
from radishtally.serving.replies import Replies
from radishtally.serving.state import DispatchCore

TEXT: Final = "the request met an unexpected error"
RAN_STATUS: Final = 502
NOT_RUN_STATUS: Final = 503


def find_request(event: Event | Command) -> str:
    """Return the id of the only request that it is about; empty if not one."""
    subject = getattr(event, "message", None) or getattr(event, "work", None) or event
    work = getattr(subject, "work", None) or subject
    return getattr(work, "request", "")


def contain_request(
    commands: Iterator[Command], request: str, core: DispatchCore
) -> Iterator[Command]:
    """Yield commands; after an exception end the request that they are about."""
    try:
        yield from commands
    except Exception as error:
        if core.on_error is None:
            raise
        core.on_error(error, request)
        if request:
            yield from end_request(request, core)


def execute_contained(
    command: Command,
    core: DispatchCore,
    execute: Callable[[Command], None],
    replies: Replies,
) -> None:
    """Execute a command; if that fails, end the request that it is about."""
    try:
        execute(command)
    except BrokenInvariant:
        raise
    except Exception as error:
        name = find_request(command)
        core.on_error(error, name)
        for more in end_request(name, core):
            if isinstance(more, Refuse | AbortAnswer):
                # What has failed may be what else is done with a reply.
                replies.put(more)
                continue
            with contain("request", request=name):
                execute(more)


def end_request(name: str, core: DispatchCore) -> Iterator[Command]:
    """Refuse a request in an unknown state as truthfully as can be."""
    request = core.requests.get(name)
    if request is None:
        # Its state is gone, and its caller may still wait.
        yield Refuse(name, Refusal(RAN_STATUS, CODE_INTERNAL, TEXT, Ran.UNKNOWN))
        return
    if request.host is not None:
        yield Send(request.host, Cancel(name, request.attempt))
    if request.attempt:
        request.maybe_ran = True
    status = RAN_STATUS if request.maybe_ran else NOT_RUN_STATUS
    try:
        commands = list(
            refuse_without_retry_after(request, status, CODE_INTERNAL, TEXT, core)
        )
    except Exception as error:
        core.on_error(error, name)
        core.requests.pop(name, None)
        ran = Ran.UNKNOWN if request.maybe_ran else Ran.NO
        commands = [Refuse(name, Refusal(status, CODE_INTERNAL, TEXT, ran))]
    yield from commands
