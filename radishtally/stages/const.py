"""Constants of the engines' roles."""

from typing import Final

START_SHARE: Final = 0.6
"""Share of the engines' time that goes into prompts, until traffic tells."""
MIN_DECODE: Final = 2
"""Engines that make answers at least where there are MANY engines: with one alone its
crash would stop all answers until another one has changed its role."""
MANY: Final = 4
ROUNDING_MARGIN: Final = 0.35
"""Engines beyond rounding by which roles may differ from their shares and stay: an
engine that moves serves nobody for seconds."""
SHARE_MARGIN: Final = 0.6
"""Engines by which the wanted number must differ beyond rounding before roles change:
each change takes an engine away for seconds, and one that made answers for as long as
its longest answer lasts besides."""
FEW_ANSWERS: Final = 24.0
"""Answers at once that each other engine may have when one is taken away from them: at
a third more, a thousand tokens of 7 ms come near a deadline of 8 s (worked out)."""
SHORT_WAIT: Final = 0.15
"""Mean time until a prompt is begun, in seconds, up to which one of the engines for
prompts can be taken away: half of the shortest objective seen."""
SETTLE_SECONDS: Final = 1.0
"""Time for which the list of engines must stand before the first roles are set."""
LACK_SECONDS: Final = 2.0
"""Time for which too few engines of a role must be seen before one is moved over: an
engine that restarts is back sooner than another one has changed."""
SHIFT_SECONDS: Final = 5.0
"""Time for which demand must ask for other roles. With 2.5 s and less of a margin roles
followed each burst, and came back wrong for the next one."""
REST_SECONDS: Final = 12.0
"""Least time between two changes for demand's sake."""
PENDING_SECONDS: Final = 4.0
"""Time for which an order that was given, or may have been, counts as carried out."""
RETRY_SECONDS: Final = 1.0
"""Time for which others are chosen before an engine that could not be ordered."""
TICK_SECONDS: Final = 0.5
DEMAND_SECONDS: Final = 6.0
"""Window of the demand: long enough for a burst to pass, short against a shift."""
ASSUMED_SECONDS: Final = 10.0
"""Engine-seconds of demand that the assumed share counts for: a fifth of what all
gateways together see in the window at a moderate load."""
TELL_SECONDS: Final = 1.0
"""Time between two reports of demand to the other gateways."""
STALE_SECONDS: Final = 5.0
"""Age from which another gateway's report counts no more."""
DECODE_RATE: Final = 3_700.0
"""Tokens a second of an engine that makes 20 answers at once: with more of them each
answer slows down, and long ones don't end before their deadline."""
PREFILL_RESERVE: Final = 2.0
"""Engine-seconds kept for each one of prompts: their lengths differ by a hundredfold,
and at half use what comes behind a long one still waits less than its objective."""
