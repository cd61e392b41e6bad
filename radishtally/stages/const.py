"""Constants of the engines' roles."""

from typing import Final

START_SHARE: Final = 0.65
"""Share of the engines' time that goes into prompts, until traffic tells."""
MIN_DECODE: Final = 2
"""Engines that make answers at least where there are MANY engines: with one alone its
crash would stop all answers until another one has changed its role."""
MANY: Final = 4
SHARE_MARGIN: Final = 0.35
"""Engines by which the wanted number must differ beyond rounding before roles change:
each change takes an engine away for seconds."""
SETTLE_SECONDS: Final = 1.0
"""Time for which the list of engines must stand before the first roles are set."""
LACK_SECONDS: Final = 2.0
"""Time for which too few engines of a role must be seen before one is moved over: an
engine that restarts is back sooner than another one has changed."""
SHIFT_SECONDS: Final = 5.0
"""Time for which demand must ask for other roles."""
REST_SECONDS: Final = 8.0
"""Least time between two changes for demand's sake."""
PENDING_SECONDS: Final = 4.0
"""Time for which an order that was given, or may have been, counts as carried out."""
RETRY_SECONDS: Final = 1.0
"""Time until an engine that could not be asked is asked again."""
TICK_SECONDS: Final = 0.5
DEMAND_SECONDS: Final = 12.0
"""Window of the demand: long enough for a burst to pass, short against a shift."""
ASSUMED_SECONDS: Final = 6.0
"""Engine-seconds of demand that the assumed share counts for: what one of a few
gateways sees in the window at a moderate load."""
DECODE_RATE: Final = 3_000.0
"""Tokens a second of an engine that makes answers in a quarter of its slots."""
ANSWER_SECONDS: Final = 0.02
"""Time of an engine that each answer takes beside its tokens: its KV cache is fetched
and held. Two engines for 68 short answers a second kept callers waiting for up to two
seconds, three did not."""
