"""Serve the HTTP API for operators."""

import asyncio
import hmac
import time
from typing import Any, Final, TypeVar

import msgspec
from sanic import Request, Sanic
from sanic.response import HTTPResponse

from radishtally.configuration.head import Head
from radishtally.configuration.store import ApplyError
from radishtally.decoding import DECODE_ERRORS
from radishtally.entry.core import Entry
from radishtally.entry.error_responses import respond_error, respond_fault
from radishtally.entry.host_descriptions import (
    describe_host,
    describe_load,
    find_state,
    gets_new_work,
)
from radishtally.entry.http import respond_json
from radishtally.links.messages import Hint
from radishtally.membership.core import UNREACHABLE
from radishtally.outcome import Error, Fault, Ok, Result

BOOTSTRAP: Final = "bootstrap"
"""Name of the operator who uses the peer key; valid until operators are configured."""
MAX_WAIT_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.02
DEFAULT_LIMIT: Final = 20
MAX_LIMIT: Final = 1_000
MAX_DIGITS: Final = 15


class ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Describe a change of the configuration folder."""

    base: int
    files: dict[str, str | None]
    cause: str


class DrainBody(msgspec.Struct, forbid_unknown_fields=True):
    """Describe a drain of a host, or its end."""

    drained: bool
    cause: str


B = TypeVar("B", ChangeBody, DrainBody)


def add_operator_routes(app: Sanic, entry: Entry) -> None:
    """Add the operators' routes and their authorization."""
    app.ctx.entry = entry
    base = "/operators/v1"
    app.add_route(_status, f"{base}/status")
    app.add_route(_read_configuration, f"{base}/configuration")
    app.add_route(_apply, f"{base}/configuration", methods=["POST"])
    app.add_route(_read_revision, f"{base}/configuration/revisions/<revision:int>")
    app.add_route(_confirm, f"{base}/configuration/confirmed")
    app.add_route(_history, f"{base}/configuration/history")
    app.add_route(_drain, f"{base}/hosts/<host:str>/drain", methods=["POST"])
    app.add_route(_audit, f"{base}/audit")
    app.add_route(_explain_request, f"{base}/explain/request/<request_id:str>")
    app.add_route(_explain_host, f"{base}/explain/host/<host:str>")
    app.add_route(_explain_place, f"{base}/explain/place/<place:str>")
    app.register_middleware(_authorize, "request")


async def _authorize(request: Request) -> HTTPResponse | None:
    if not request.path.startswith("/operators/"):
        return None
    request.ctx.operator = _find_operator(request)
    if request.ctx.operator is not None:
        return None
    if request.app.ctx.entry.directory is None:
        text = "no configuration is in force on this entry, so operators are unknown"
        return respond_error(503, text, kind="not_ready")
    return respond_error(401, "the operator's key is not known")


def _find_operator(request: Request) -> str | None:
    entry: Entry = request.app.ctx.entry
    directory = entry.directory
    # Without this, a first configuration that names no operators would lock out all.
    if directory is not None and directory.configuration.operators:
        return directory.find_operator(request.headers)
    key = request.headers.get("authorization", "").partition(" ")[2]
    given, expected = (
        text.encode(errors="surrogateescape") for text in (key, entry.settings.peer_key)
    )
    return BOOTSTRAP if hmac.compare_digest(given, expected) else None


async def _status(request: Request) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    replica = entry.process.replica
    now = time.monotonic()
    members = entry.members.membership.members
    return respond_json(
        {
            "entry": entry.settings.host,
            "place": entry.settings.place,
            "revision": replica.revision,
            "open_requests": len(entry.core.requests),
            "planner": entry.planners.describe(),
            "audit": {
                "waiting": entry.process.audit.waiting,
                "dropped": entry.process.audit.dropped,
            },
            "hosts": {
                name: describe_host(entry, name, now) for name in sorted(members)
            },
        }
    )


async def _read_configuration(request: Request) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    replica = entry.process.replica
    if replica.revision < _read_number(request, "at_least", 0):
        await entry.watcher.read_head()
    if replica.current is None:
        return respond_json({"revision": 0, "files": {}})
    current = replica.current
    return respond_json({"revision": current.revision, "files": current.files})


async def _read_revision(request: Request, revision: int) -> HTTPResponse:
    """Return the author and the hash of each file of a revision."""
    entry: Entry = request.app.ctx.entry
    read = await entry.configurations.read_revision(revision)
    if read.is_error():
        if isinstance(read.error, Fault):
            return respond_error(404, f"revision {revision} is not known")
        return respond_fault(read.error)
    head = read.ok
    files = {name: one._asdict() for name, one in head.files.items()}
    return respond_json({**_describe_head(head), "files": files})


async def _apply(request: Request) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    read = _read_body(request, ChangeBody)
    if read.is_error():
        return respond_error(400, read.error)
    change = read.ok
    operator = request.ctx.operator
    head = await entry.configurations.apply(
        change.files, change.base, operator, change.cause
    )
    if head.is_error():
        error: ApplyError = head.error
        return respond_fault(error)
    await entry.watcher.read_head()
    return respond_json({"revision": head.ok.revision, "changed": head.ok.changed})


async def _confirm(request: Request) -> HTTPResponse:
    """Wait until a revision is in force on all hosts, and return those behind."""
    entry: Entry = request.app.ctx.entry
    try:
        revision = int(request.args.get("revision", "0"))
        seconds = min(float(request.args.get("seconds", "6")), MAX_WAIT_SECONDS)
    except ValueError:
        return respond_error(400, "revision, seconds: expected numbers")
    started = time.monotonic()
    behind = _find_behind(entry, revision)
    while behind and time.monotonic() - started < seconds:
        await asyncio.sleep(POLL_SECONDS)
        behind = _find_behind(entry, revision)
    taken = round(time.monotonic() - started, 3)
    return respond_json({"revision": revision, "behind": behind, "seconds": taken})


def _find_behind(entry: Entry, revision: int) -> list[str]:
    """Return the hosts that have not confirmed a revision or are unreachable."""
    replica = entry.process.replica
    behind = set(replica.list_lagging_peers(revision))
    behind |= set(entry.members.membership.members) - set(replica.peer_revisions)
    behind.discard(entry.settings.host)
    if replica.revision < revision:
        behind.add(entry.settings.host)
    return sorted(behind)


async def _history(request: Request) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    heads = await entry.configurations.read_history(_read_limit(request))
    if heads.is_error():
        return respond_fault(heads.error)
    return respond_json([_describe_head(head) for head in heads.ok])


def _describe_head(head: Head) -> dict[str, Any]:
    return {
        "revision": head.revision,
        "author": head.author,
        "cause": head.cause,
        "at_ms": head.at_ms,
        "changed": head.changed,
    }


async def _drain(request: Request, host: str) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    read = _read_body(request, DrainBody)
    if read.is_error():
        return respond_error(400, read.error)
    body = read.ok
    if not _is_known_host(entry, host):
        return respond_error(404, f"host {host!r} is not known")
    drain = await entry.plans.write_drain(
        host, body.drained, request.ctx.operator, body.cause
    )
    if drain.is_error():
        return respond_fault(drain.error)
    # The row decides. The hint only spares the agent the wait for its next poll.
    entry.process.hub.send(host, Hint("drain", host))
    return respond_json({"host": host, "drained": body.drained})


def _is_known_host(entry: Entry, host: str) -> bool:
    """Return whether a host is listed, or configured even if currently absent."""
    if host in entry.members.membership.members:
        return True
    current = entry.process.replica.current
    upstreams = current.configuration.upstreams.values() if current else ()
    return any(host in upstream.servers for upstream in upstreams)


def _read_body(request: Request, kind: type[B]) -> Result[B, str]:
    try:
        body = msgspec.json.decode(request.body, type=kind)
    except DECODE_ERRORS as error:
        return Error(f"body: {error}")
    if not body.cause.strip():
        return Error("cause: expected a reason for the change")
    return Ok(body)


async def _audit(request: Request) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    subject = request.args.get("subject")
    entries = await entry.process.audit.read(_read_limit(request), subject)
    if entries.is_error():
        return respond_fault(entries.error)
    return respond_json([one._asdict() for one in entries.ok])


def _read_limit(request: Request) -> int:
    return max(1, min(_read_number(request, "limit", DEFAULT_LIMIT), MAX_LIMIT))


def _read_number(request: Request, name: str, default: int) -> int:
    text = request.args.get(name, "")
    fits = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if fits else default


async def _explain_request(request: Request, request_id: str) -> HTTPResponse:
    steps = request.app.ctx.entry.steps.read(request_id)
    if not steps:
        text = f"request {request_id!r} is not remembered at this entry"
        return respond_error(404, text)
    return respond_json(
        {"request": request_id, "steps": [step._asdict() for step in steps]}
    )


async def _explain_host(request: Request, host: str) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    if host not in entry.members.membership.members:
        return respond_error(404, f"host {host!r} is not known")
    now = time.monotonic()
    known = entry.core.hosts.get(host)
    state = find_state(entry, host, now)
    fault_location = entry.members.membership.locate_fault(host, now)
    return respond_json(
        {
            "host": host,
            "state": state,
            "gets_new_work": gets_new_work(known, now),
            "left_out_after_failures": known is not None
            and not known.breaker.allows(now),
            "whose_fault": fault_location if state == UNREACHABLE else None,
            "drain": await _describe_drain(entry, host),
            "plan": entry.planners.describe_host(host),
            **describe_load(entry, host),
        }
    )


async def _describe_drain(entry: Entry, host: str) -> dict[str, Any]:
    drains = await entry.plans.read_drains()
    if drains.is_error():
        return {"drained": None, "cause": "the platform's store is away"}
    drain = drains.ok.get(host)
    return {"drained": False} if drain is None else drain._asdict()


async def _explain_place(request: Request, place: str) -> HTTPResponse:
    entry: Entry = request.app.ctx.entry
    current = entry.process.replica.current
    if current is None or place not in current.configuration.places:
        return respond_error(404, f"place {place!r} is not known")
    return respond_json(await entry.planners.describe_place(place))
