"""Commands on the fleet's status, drains, the audit trail and explanations."""

from typing import Any

from radishtally.command.answer import Answer, Failure
from radishtally.command.client import Client, join_path
from radishtally.command.replies import (
    AuditRecord,
    Drained,
    HostStatus,
    RequestSteps,
    Status,
    Step,
)
from radishtally.command.tables import format_pairs, format_table, format_time
from radishtally.outcome import Result

STATUS_TITLES = (
    "HOST",
    "PLACE",
    "UPSTREAM",
    "STATE",
    "REVISION",
    "ROLE",
    "MODEL",
    "RUNNING",
    "QUEUED",
    "WAIT",
    "DRAINING",
)


def read_status(client: Client) -> Result[Answer, Failure]:
    """Show the fleet as one entry sees it."""
    read = client.get(Status, "/status")
    return read.map(lambda status: Answer(status, tuple(_format_status(status))))


def drain(
    client: Client, host: str, drained: bool, cause: str
) -> Result[Answer, Failure]:
    """Drain a host or end its drain."""
    path = join_path("hosts", host, "drain")
    done = client.post(Drained, path, {"drained": drained, "cause": cause})
    text = "gets no new work" if drained else "may get work again"
    return done.map(lambda value: Answer(value, (f"{host} {text}",)))


def read_audit(
    client: Client, subject: str | None, limit: int
) -> Result[Answer, Failure]:
    """List the most recent entries of the audit trail."""
    query = (
        {"limit": limit} if subject is None else {"limit": limit, "subject": subject}
    )
    read = client.get(list[AuditRecord], "/audit", query)
    return read.map(lambda entries: Answer(entries, tuple(_format_audit(entries))))


def explain_request(client: Client, request: str) -> Result[Answer, Failure]:
    """List the steps of a request, from the entry that received it."""
    path = join_path("explain", "request", request)
    read = client.get(RequestSteps, path, everywhere=True)
    return read.map(lambda found: Answer(found, tuple(_format_steps(found["steps"]))))


def explain(client: Client, kind: str, name: str) -> Result[Answer, Failure]:
    """Show why a host or a place is used as it is."""
    read = client.get(dict[str, Any], join_path("explain", kind, name))
    return read.map(lambda found: Answer(found, tuple(format_pairs(found))))


def _format_status(status: Status) -> list[str]:
    planned = [place for place, one in status["planner"].items() if one["holds_lease"]]
    plans = f"plans for {', '.join(planned)}" if planned else "does not plan"
    lines = [
        f"{status['entry']} in {status['place']}: revision {status['revision']}, "
        f"{status['open_requests']} open requests, {plans}",
    ]
    if status["audit"]["dropped"]:
        lines.append(f"audit entries lost: {status['audit']['dropped']}")
    rows = [_list_cells(name, host) for name, host in status["hosts"].items()]
    return [*lines, "", *format_table(STATUS_TITLES, rows)]


def _list_cells(name: str, host: HostStatus) -> tuple[Any, ...]:
    running = f"{host['running']}/{host['slots']}" if "slots" in host else None
    return (
        name,
        host["place"],
        host["upstream"],
        host["state"],
        host["revision"],
        host.get("role") if host.get("model") else None,
        host.get("model"),
        running,
        host.get("queued"),
        host.get("wait"),
        host.get("draining"),
    )


def _format_audit(entries: list[AuditRecord]) -> list[str]:
    rows = [
        (
            format_time(one["at_ms"] / 1000),
            one["who"],
            one["what"],
            one["subject"],
            one["cause"],
        )
        for one in entries
    ]
    return format_table(("WHEN", "WHO", "WHAT", "SUBJECT", "CAUSE"), rows)


def _format_steps(steps: list[Step]) -> list[str]:
    first = steps[0]["at"]
    rows = [
        (format_time(one["at"]), f"+{one['at'] - first:.3f} s", one["text"])
        for one in steps
    ]
    return format_table(("WHEN", "AFTER", "STEP"), rows)
