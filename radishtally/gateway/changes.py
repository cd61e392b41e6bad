"""Carry out what became of the upstreams' hosts."""

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
    Members,
)
from radishtally.gateway.starts import HostRestarted
from radishtally.links.messages import Cancel, Hello
from radishtally.serving import events
from radishtally.serving.state import DispatchCore
from radishtally.stages.role_controller import RoleController


class Parts(Protocol):
    """Be what knows of hosts in a gateway."""

    members: Members
    hosts: DirectHosts
    placement: EnginePlacement
    core: DispatchCore
    stages: RoleController

    def handle(self, event: events.Event) -> None:
        """Give the core an event and carry out its commands."""


@singledispatch
def carry_out(change: HostChange, parts: Parts) -> None:
    """Bring one change to all parts."""
    raise TypeError(f"no way to carry out {type(change)}")


@carry_out.register
def _(change: HostUpdated, parts: Parts) -> None:
    instance = change.instance
    host = instance.host
    log_message(
        "upstream:seen",
        upstream_host=host,
        upstream=instance.upstream,
        address=instance.address,
        data_centre=instance.data_centre,
        role=instance.role,
        is_draining=instance.is_draining,
    )
    parts.hosts.set_instance(instance)
    parts.placement.set_instance(instance)
    live = not instance.is_draining
    parts.core.set_host(host, instance.data_centre, instance.upstream, live)
    parts.core.hosts[host].reports_start = instance.started_ms > 0
    if host not in parts.core.links:
        _link(instance, parts)


@carry_out.register
def _(change: HostMissing, parts: Parts) -> None:
    log_message(
        "upstream:missing",
        upstream_host=change.host,
        reason=change.reason,
        seconds=MISSING_GRACE_SECONDS,
    )


@carry_out.register
def _(change: HostReturned, parts: Parts) -> None:
    log_message("upstream:returned", upstream_host=change.host)


@carry_out.register
def _(change: HostRestarted, parts: Parts) -> None:
    host = change.host
    log_message(
        "upstream:restarted",
        upstream_host=host,
        before=change.before,
        after=change.after,
        source=change.source.value,
    )
    parts.placement.reset_engine(host)
    parts.stages.reset_engine(host)
    parts.core.restart_host(host)
    parts.core.links.pop(host, None)


@carry_out.register
def _(change: HostRemoved, parts: Parts) -> None:
    host = change.host
    log_message("upstream:gone", upstream_host=host)
    parts.hosts.forget(host)
    parts.placement.forget(host)
    parts.core.forget_host(host)
    parts.core.links.pop(host, None)


def _link(instance: Instance, parts: Parts) -> None:
    """Let a host get work; what is open at an earlier start of it is lost."""
    host = instance.host
    incarnation = parts.members.starts.name(host)
    for request in parts.core.list_outdated(host, incarnation):
        parts.hosts.cancel(Cancel(request.work.request, request.attempt))
    hello = Hello(host, instance.data_centre, "", incarnation, 0)
    parts.handle(events.LinkUp(hello))
