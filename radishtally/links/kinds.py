"""Kinds of messages between radishtally's own processes.

A frame on the wire is a MessagePack list of pairs: the kind's number and the message.
"""

from typing import Final

from radishtally.links.gateway_messages import (
    Backlog,
    BacklogV1,
    BacklogV2,
    CallersRefused,
    CallLoad,
    ConfigurationRead,
    DemandReport,
    DemandReportV1,
    HostLimited,
    HostsRead,
    HostTerminated,
    OriginQuery,
    OriginReply,
    PartsCleared,
    PartsDenied,
    PartsRead,
    PartsServed,
    PermitsGranted,
    PermitsWanted,
    RoleOrdered,
    StreamsBegun,
    Suspicions,
    UsageCounts,
    ViewConfirmation,
    ViewRequest,
)
from radishtally.links.messages import (
    Accepted,
    Ack,
    Attach,
    Begun,
    Cancel,
    Cancelled,
    Chunk,
    ConfigurationFiles,
    ConfigurationRequest,
    Finished,
    Handover,
    Hello,
    Hint,
    Interval,
    Leaving,
    Load,
    Lost,
    Offer,
    Ping,
    Pong,
    Refused,
)

Message = (
    Hello
    | Ping
    | Pong
    | Offer
    | Load
    | Accepted
    | Refused
    | Begun
    | Chunk
    | Finished
    | Handover
    | Lost
    | Ack
    | Attach
    | Cancel
    | Cancelled
    | Leaving
    | Hint
    | ConfigurationRequest
    | ConfigurationFiles
    | Interval
    | BacklogV1
    | DemandReportV1
    | BacklogV2
    | Backlog
    | DemandReport
    | PartsRead
    | Suspicions
    | UsageCounts
    | ViewRequest
    | ViewConfirmation
    | RoleOrdered
    | StreamsBegun
    | OriginQuery
    | OriginReply
    | HostTerminated
    | PartsCleared
    | PartsDenied
    | PartsServed
    | HostsRead
    | HostLimited
    | PermitsWanted
    | PermitsGranted
    | CallLoad
    | CallersRefused
    | ConfigurationRead
)

KINDS: Final[tuple[type, ...]] = (
    Hello,
    Ping,
    Pong,
    Offer,
    Load,
    Accepted,
    Refused,
    Chunk,
    Finished,
    Handover,
    Lost,
    Ack,
    Attach,
    Cancel,
    Cancelled,
    Leaving,
    Hint,
    ConfigurationRequest,
    ConfigurationFiles,
    Interval,
    BacklogV1,
    DemandReportV1,
    BacklogV2,
    DemandReport,
    PartsRead,
    Backlog,
    Suspicions,
    UsageCounts,
    ViewRequest,
    ViewConfirmation,
    RoleOrdered,
    StreamsBegun,
    OriginQuery,
    OriginReply,
    HostTerminated,
    PartsCleared,
    PartsDenied,
    PartsServed,
    HostsRead,
    HostLimited,
    PermitsWanted,
    PermitsGranted,
    CallLoad,
    CallersRefused,
    ConfigurationRead,
)
"""A kind's number is its index here: append new kinds and never reorder them. A message
whose fields change needs a new kind, since older releases reject any other number of
fields."""
