"""Refuse requests truthfully: whether they have run, and when to ask again."""

from collections.abc import Iterator

from radishtally.outcome import Ran, Refusal
from radishtally.serving import const
from radishtally.serving.conclusions import reply_with_refusal
from radishtally.serving.events import Command, DropKv, Release
from radishtally.serving.requests import CLAIMING, OpenRequest
from radishtally.serving.state import DispatchCore


def refuse_without_retry_after(
    request: OpenRequest, status: int, code: str, text: str, core: DispatchCore
) -> Iterator[Command]:
    """Refuse the request because of a failure, without a specific retry delay."""
    yield from refuse(request, status, code, text, None, core)


def refuse(
    request: OpenRequest,
    status: int,
    code: str,
    text: str,
    retry_after: float | None,
    core: DispatchCore,
) -> Iterator[Command]:
    """Close the request with a refusal."""
    if request.kv is not None:
        yield DropKv(request.kv)
        request.kv = None
    # "Not run" must be confirmed for every attempt; an attempt that is still open or
    # has sent a part of the answer may have run.
    if request.host is not None or request.received:
        request.maybe_ran = True
    core.detach_host(request)
    core.remove_request(request.work.request)
    ran = Ran.UNKNOWN if request.maybe_ran else Ran.NO
    if status in (429, 503):
        retry_after = _clamp_retry_after(retry_after)
    yield from reply_with_refusal(
        request, Refusal(status, code, text, ran, retry_after)
    )
    # A claim that is still pending is released when it is granted.
    if request.is_claimed and ran == Ran.NO and request.phase != CLAIMING:
        yield Release(request.work)


def _clamp_retry_after(retry_after: float | None) -> float:
    if retry_after is None:
        return const.DEFAULT_RETRY_AFTER
    return min(max(retry_after, const.MIN_RETRY_AFTER), const.MAX_RETRY_AFTER)
