"""Apply changes of the upstreams' hosts to the parts of the gateway."""

from functools import singledispatch
from typing import Protocol

from eliot import log_message

from radishtally.direct.core import Instance
from radishtally.direct.hosts import DirectHosts
from radishtally.engines.placement import EnginePlacement
from radishtally.gateway.members import (
    MISSING_GRACE_SECONDS,
    HostChange,
    HostMissing,
    HostRemoved,
    HostReturned,
    HostUpdated,
    HostVersionChanged,
    Members,
)
from radishtally.gateway.source_recorder import SourceRecorder
from radishtally.gateway.starts import HostRestarted
from radishtally.links.messages import Cancel, Hello
from radishtally.serving import events
from radishtally.serving.state import DispatchCore
from radishtally.stages.role_controller import RoleController


class ChangeTargets(Protocol):
    """Give access to the parts of a gateway that hold state about hosts."""

    members: Members
    hosts: DirectHosts
    placement: EnginePlacement
    core: DispatchCore
    stages: RoleController
    source_recorder: SourceRecorder

    def handle(self, event: events.Event) -> None:
        """Handle an event and execute the resulting commands."""


@singledispatch
def apply_change(change: HostChange, targets: ChangeTargets) -> None:
    """Apply one change to all parts that hold state about the host."""
    raise TypeError(f"no handler for host changes of type {type(change)}")


@apply_change.register
def _(change: HostUpdated, targets: ChangeTargets) -> None:
    instance = change.instance
    host = instance.host
    log_message(
        "upstream:seen",
        upstream_host=host,
        upstream=instance.upstream,
        address=instance.address,
        data_centre=instance.data_centre,
        role=instance.role,
        version=instance.version,
        is_draining=instance.is_draining,
    )
    targets.source_recorder.note_host(instance.upstream, instance.version)
    targets.hosts.set_instance(instance)
    targets.placement.set_instance(instance)
    live = not instance.is_draining
    targets.core.set_host(
        host, instance.data_centre, instance.upstream, live, instance.version
    )
    targets.core.hosts[host].slots = 0 if instance.role else instance.slots
    targets.core.hosts[host].reports_start = instance.started_ms > 0
    if host not in targets.core.links:
        _start_dispatch(instance, targets)


@apply_change.register
def _(change: HostVersionChanged, targets: ChangeTargets) -> None:
    log_message(
        "upstream:version_changed",
        upstream_host=change.host,
        before=change.before,
        after=change.after,
    )
    changed = events.VersionChanged(change.host, change.after, change.is_recent)
    targets.handle(changed)


@apply_change.register
def _(change: HostMissing, targets: ChangeTargets) -> None:
    log_message(
        "upstream:missing",
        upstream_host=change.host,
        reason=change.reason,
        seconds=MISSING_GRACE_SECONDS,
    )


@apply_change.register
def _(change: HostReturned, targets: ChangeTargets) -> None:
    log_message("upstream:returned", upstream_host=change.host)


@apply_change.register
def _(change: HostRestarted, targets: ChangeTargets) -> None:
    host = change.host
    log_message(
        "upstream:restarted",
        upstream_host=host,
        before=change.before,
        after=change.after,
        source=change.source.value,
    )
    targets.placement.reset_engine(host)
    targets.stages.reset_engine(host)
    targets.core.restart_host(host)
    targets.core.links.pop(host, None)


@apply_change.register
def _(change: HostRemoved, targets: ChangeTargets) -> None:
    host = change.host
    log_message("upstream:gone", upstream_host=host)
    # The last answers of a host that has left are taken as whole.
    if change.is_unreadable:
        # The entry may be that of a new start at another version.
        targets.handle(events.VersionChanged(host, "", change.is_recent))
    else:
        targets.hosts.forget(host)
    targets.placement.forget(host)
    targets.core.forget_host(host)
    targets.core.links.pop(host, None)


def _start_dispatch(instance: Instance, targets: ChangeTargets) -> None:
    """Allow dispatch to a host, and cancel requests open at its earlier start."""
    host = instance.host
    incarnation = targets.members.starts.name_incarnation(host)
    for request in targets.core.list_outdated(host, incarnation):
        targets.hosts.cancel(Cancel(request.work.request, request.attempt))
    hello = Hello(host, instance.data_centre, "", incarnation, 0)
    targets.handle(events.LinkUp(hello))
