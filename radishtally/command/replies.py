"""Types of the entries' answers, limited to the fields that the tool reads."""

from typing import NotRequired, TypedDict


class Lease(TypedDict):
    """Describe whether the entry holds a place's planner lease."""

    holds_lease: bool


class AuditState(TypedDict):
    """Count the entry's buffered and dropped audit entries."""

    waiting: int
    dropped: int


class HostStatus(TypedDict):
    """Describe a host as the entry sees it."""

    place: str
    upstream: str
    state: str
    revision: int | None
    role: NotRequired[str]
    model: NotRequired[str]
    running: NotRequired[int]
    slots: NotRequired[int]
    queued: NotRequired[int]
    wait: NotRequired[float]
    draining: NotRequired[bool]


class Status(TypedDict):
    """Describe the fleet as the entry sees it."""

    entry: str
    place: str
    revision: int
    open_requests: int
    planner: dict[str, Lease]
    audit: AuditState
    hosts: dict[str, HostStatus]


class ConfigurationInForce(TypedDict):
    """Hold the configuration in force."""

    revision: int
    files: dict[str, str]


class FileRecord(TypedDict):
    """Describe a file and its last change."""

    sha256: str
    author: str
    revision: int


class RevisionRecord(TypedDict):
    """Describe the files of one revision."""

    revision: int
    files: dict[str, FileRecord]


class Change(TypedDict):
    """Describe one revision of the history."""

    revision: int
    author: str
    cause: str
    at_ms: int
    changed: list[str]


class Accepted(TypedDict):
    """Describe an accepted change."""

    revision: int


class Confirmed(TypedDict):
    """List the hosts that have not confirmed a revision."""

    behind: list[str]
    seconds: float


class Drained(TypedDict):
    """Describe the result of a drain or undrain."""

    host: str
    drained: bool


class AuditRecord(TypedDict):
    """Describe one entry of the audit trail."""

    at_ms: int
    who: str
    what: str
    subject: str
    cause: str


class Step(TypedDict):
    """Describe one step of a request."""

    at: float
    text: str


class RequestSteps(TypedDict):
    """List the steps of a request."""

    steps: list[Step]
