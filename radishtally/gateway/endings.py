"""Record how the delivery of answers to callers ended."""

from dataclasses import dataclass
from enum import StrEnum


class Ending(StrEnum):
    """Name how an answer ended from the caller's point of view."""

    WHOLE = "whole"
    """Complete answer of a host, sent with its length."""
    STREAM_END = "stream_end"
    """Regular end of an answer that was streamed."""
    BROKEN_OFF = "broken_off"
    """Connection aborted within the answer."""
    REFUSED = "refused"
    """Refusal by the gateway itself."""
    CALLER_LEFT = "caller_left"


@dataclass(slots=True)
class Delivery:
    """Track what has been sent to a caller in answer to one request."""

    ending: Ending = Ending.CALLER_LEFT
    """CALLER_LEFT until the answer has ended in another way."""
    status: int = 0
    """Status of the answer's head; 0 until it is sent."""
    sent: int = 0
    """Bytes sent of the answer's body."""
    last_event: int = 0
    """Id of the last event sent of a stream; 0 if its events have no id."""
    read_at: float = 0.0
    """Time at which the caller last had room for a piece of a large answer."""

    @property
    def is_done(self) -> bool:
        """Return whether the answer has ended."""
        return self.ending != Ending.CALLER_LEFT
