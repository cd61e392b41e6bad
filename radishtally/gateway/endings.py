"""Say how answers ended towards their callers."""

from dataclasses import dataclass
from enum import StrEnum


class Ending(StrEnum):
    """Name an end as a caller sees it."""

    WHOLE = "whole"
    """A host's answer with its length."""
    STREAM_END = "stream_end"
    """The regular end of an answer that was passed on as it came."""
    BROKEN_OFF = "broken_off"
    """The connection was broken within an answer."""
    REFUSED = "refused"
    """An answer of the gateway's own."""
    CALLER_LEFT = "caller_left"


@dataclass(slots=True)
class Delivery:
    """Follow what a caller is given."""

    ending: Ending = Ending.CALLER_LEFT
    """Holds until the answer has another end."""
    status: int = 0
    """Status of the answer's head, 0 before it."""
    sent: int = 0
    """Bytes of the answer's body."""
    last_event: int = 0
    """Id of the last event of a stream, 0 where events have none."""

    @property
    def is_done(self) -> bool:
        """Tell whether the answer was brought to an end."""
        return self.ending != Ending.CALLER_LEFT
