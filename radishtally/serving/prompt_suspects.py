"""Find prompt parts whose requests make one host after another terminate."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Final, NamedTuple

from xxhash import xxh3_64_intdigest

from radishtally.links.gateway_messages import (
    CutRun,
    HostTerminated,
    PartsCleared,
    PartsDenied,
    PartsServed,
)
from radishtally.serving.suspects import (
    ENDS_TO_DENY,
    ENDS_TO_ISOLATE,
    MAX_DENY_SECONDS,
    MIN_OUTLIVED_SECONDS,
    OUTLIVED_FACTOR,
    SUSPICION_SECONDS,
    TRIAL_SECONDS,
)
from radishtally.serving.terms import PromptPart

ENDS_TO_DENY_SERVED: Final = 5
"""Number of hosts in a row that must terminate under a part of which answers have been
completed before. With two bad parts at once, one of them has reached the limit of its
own by then and accounts for the ends of the parts that both have in common."""
ENDS_TO_ISOLATE_SERVED: Final = 3
FIRST_DENIAL_SECONDS: Final = 10.0
"""Length of a denial after the fewest ends, which may be a coincidence while hosts
terminate for other reasons; a part that is at fault is found out by its next run."""
MIN_REQUESTS_TO_DENY: Final = 2
"""Different requests under which hosts must have terminated before a part is denied. A
single one is denied by its content."""
MAX_PARTS: Final = 8_192
"""Suspected parts that are remembered, and as many that were served."""
MAX_ENDS: Final = 64
"""Terminated hosts that are remembered."""
MAX_RUNS_PER_END: Final = 512
"""Requests remembered of one terminated host: twice what an engine runs and queues."""
MAX_DENIALS: Final = 256
SAME_END_SECONDS: Final = 1.0
"""Longest time between the reports of two gateways about the end of one host."""
NEWS_SECONDS: Final = 1.0
"""Time by which a denial that is told must last longer to be news: reports of the same
one take different ways."""

PartKeys = frozenset[int]
PartsMessage = HostTerminated | PartsCleared | PartsDenied | PartsServed
"""Messages about prompt parts between the gateways of a deployment."""


def hash_parts(upstream: str, parts: Collection[PromptPart]) -> PartKeys:
    """Return the keys of the parts that requests to an upstream may have in common."""
    return frozenset(
        xxh3_64_intdigest(f"{upstream}\0{part.name}".encode())
        for part in tuple(parts)[:-1]
    )


class Merged(NamedTuple):
    """Tell what a peer's message has changed."""

    is_news: bool
    """Whether anything in it was unknown; only then is it worth relaying."""
    denies_parts: bool = False
    """Whether parts are denied since."""


class OpenRun(NamedTuple):
    """Describe a run that was open at a host when it terminated."""

    content: str
    """Digest of the request's content."""
    parts: PartKeys
    offered_at: float
    seconds: float
    """Time since the first data of the answer; 0 if there was none."""


@dataclass(slots=True, eq=False)
class _HostEnd:
    host: str
    at: float
    runs: dict[str, OpenRun] = field(default_factory=dict)
    """By content: several gateways may report the same run."""


@dataclass(slots=True)
class _PartEnd:
    """Hold what is known of one part at the end of one host."""

    end: _HostEnd
    offered_at: float
    """Latest offer of a run with the part that was open there."""
    contents: set[str]


@dataclass(slots=True)
class _Suspect:
    ends: list[_PartEnd] = field(default_factory=list)
    seconds: float = float("inf")
    """Shortest time for which a run with the part had been answered at an end."""

    @property
    def outlived_seconds(self) -> float:
        """Length of an answer after which a run shows that the part is sound."""
        return max(MIN_OUTLIVED_SECONDS, OUTLIVED_FACTOR * self.seconds)


@dataclass(slots=True, eq=False)
class _Denial:
    parts: PartKeys
    """Parts that the evidence doesn't tell apart: one of them is at fault."""
    ends: int
    ended_at: float
    """Time of the last of these ends."""
    until: float


class PromptSuspects:
    """Tell which prompt parts make hosts terminate, from the runs open there.

    A host terminates with all its runs, so each end casts suspicion on all parts of
    them. A part is cleared by each complete answer. It is denied once several hosts in
    a row have terminated under it: an end counts if the run was offered after the end
    before, so that hosts lost together count once. The parts that account for the most
    ends are denied first, and those that remain with too few ends of their own are not.
    Parts that account for the same ends are denied only together; a request with some
    of them is tried, alone, and tells them apart.
    """

    def __init__(self) -> None:
        self._ends: list[_HostEnd] = []
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()
        self._served: OrderedDict[int, float] = OrderedDict()
        """Parts of complete answers, and the time of the last one known here."""
        self._at_limit: set[int] = set()
        """Suspected parts with enough ends to be denied, if nothing else accounts for
        these."""
        self._denials: list[_Denial] = []
        self._unsent: list[tuple[_HostEnd, OpenRun | None]] = []
        """Runs that peers were not told of; None for an end that was retracted."""
        self._unsent_cleared: set[int] = set()
        self._unsent_served: set[int] = set()
        self._unsent_denials: list[_Denial] = []

    @property
    def is_active(self) -> bool:
        """Return whether any part is suspected or denied."""
        return bool(self._suspects or self._denials)

    def count_denied(self, now: float) -> int:
        """Return the number of denials in force."""
        return sum(now < denial.until for denial in self._denials)

    def find_denial_seconds(self, parts: PartKeys, now: float) -> float:
        """Return the seconds for which requests with these parts are denied."""
        untils = (denial.until for denial in self._denials if denial.parts <= parts)
        return max(0.0, max(untils, default=0.0) - now)

    def list_isolated(self, parts: PartKeys) -> PartKeys:
        """List the parts whose runs are to be tried one at a time, on a host alone."""
        if not self.is_active:
            return frozenset()
        denied = frozenset().union(*(denial.parts for denial in self._denials))
        return frozenset(
            part for part in parts if part in denied or self._is_isolated(part)
        )

    def record_offer(self, parts: PartKeys, now: float) -> None:
        """Record an offer, which is a trial run if a denial has expired."""
        for denial in self._denials:
            if denial.parts <= parts and denial.until <= now:
                denial.until = now + TRIAL_SECONDS
                self._unsent_denials.append(denial)

    def record_end(self, host: str, run: OpenRun, now: float) -> bool:
        """Record a run that was open at a terminated host; return if it denies parts.

        Each run that was open there is recorded by itself.
        """
        end = self._find_end(host, now)
        if not self._add_run(end, run, now):
            return False
        self._unsent.append((end, run))
        return self._evaluate(now)

    def retract_end(self, host: str) -> None:
        """Drop the ends of a host that turned out to be alive."""
        for end in [end for end in self._ends if end.host == host]:
            self._drop_end(end)
            self._unsent.append((end, None))

    def record_served(self, parts: PartKeys, now: float) -> None:
        """Clear the parts of a complete answer."""
        for part in parts:
            self._set_served(part, now)
            if self._clear(part):
                self._unsent_cleared.add(part)

    def record_survival(self, parts: PartKeys, seconds: float) -> None:
        """Clear parts whose run has outlived those that were cut off by far."""
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is not None and seconds > suspect.outlived_seconds:
                self._clear(part)
                self._unsent_cleared.add(part)

    def merge(self, message: PartsMessage, now: float) -> Merged:
        """Merge what a peer reports."""
        return _merge(message, self, now)

    def merge_end(self, message: HostTerminated, now: float) -> Merged:
        """Merge a peer's report of a terminated host."""
        at = now - message.age
        if not message.runs:
            ends = [end for end in self._ends if end.host == message.host]
            for end in ends:
                self._drop_end(end)
            return Merged(bool(ends))
        for part in message.served:
            self._served.setdefault(part, float("-inf"))
            _trim(self._served)
        end = self._find_end(message.host, at)
        is_news = False
        for cut in message.runs:
            run = OpenRun(cut.content, frozenset(cut.parts), at - cut.age, cut.seconds)
            is_news |= self._add_run(end, run, now)
            self._unsent_served.update(
                part
                for part in run.parts.difference(message.served)
                if part in self._served and self._is_newly_suspected(part)
            )
        return Merged(is_news, self._evaluate(now))

    def _is_newly_suspected(self, part: int) -> bool:
        suspect = self._suspects.get(part)
        return suspect is not None and len(suspect.ends) == 1

    def merge_served(self, message: PartsServed) -> Merged:
        """Merge the parts that a peer has served."""
        unknown = [part for part in message.parts if part not in self._served]
        for part in unknown:
            self._served[part] = float("-inf")
            _trim(self._served)
            if part in self._suspects:
                self._update_limit(part)
        return Merged(bool(unknown))

    def merge_cleared(self, message: PartsCleared, now: float) -> Merged:
        """Clear parts of which a peer has given a complete answer."""
        is_news = False
        for part in message.parts:
            is_news |= part not in self._served
            self._set_served(part, now)
            if any(part in denial.parts for denial in self._denials):
                # Other peers may have been told of this denial by this gateway only.
                self._unsent_cleared.add(part)
            is_news |= self._clear(part)
        return Merged(is_news)

    def merge_denied(self, message: PartsDenied, now: float) -> Merged:
        """Merge a peer's denial."""
        ended_at, until = now - message.age, now + message.left
        parts = frozenset(
            part
            for part in message.parts
            if self._served.get(part, float("-inf")) < ended_at
        )
        if not parts:
            return Merged(False)
        for denial in self._denials:
            if denial.parts <= parts:
                is_news = until > denial.until + NEWS_SECONDS
                denial.ends = max(denial.ends, message.ends)
                denial.until = max(denial.until, until)
                return Merged(is_news)
        self._add_denial(_Denial(parts, message.ends, ended_at, until))
        return Merged(True, True)

    def pop_messages(self, now: float) -> list[PartsMessage]:
        """Remove and return what the peers have not been told of."""
        unsent, self._unsent = self._unsent, []
        runs: dict[int, tuple[_HostEnd, list[OpenRun]]] = {}
        for end, run in unsent:
            _, listed = runs.setdefault(id(end), (end, []))
            if run is None:
                # A report without runs retracts what was reported before.
                listed.clear()
            else:
                listed.append(run)
        messages = [self._describe_end(end, cut, now) for end, cut in runs.values()]
        denials, self._unsent_denials = self._unsent_denials, []
        messages += [
            _describe_denial(denial, now)
            for denial in denials
            if denial in self._denials
        ]
        if self._unsent_served:
            messages.append(PartsServed(tuple(self._unsent_served)))
            self._unsent_served.clear()
        if self._unsent_cleared:
            messages.append(PartsCleared(tuple(self._unsent_cleared)))
            self._unsent_cleared.clear()
        return messages

    def list_all(self, now: float) -> list[PartsMessage]:
        """List all that is known, for a peer that may know nothing of it."""
        ends = [
            self._describe_end(end, end.runs.values(), now)
            for end in self._ends
            if end.runs
        ]
        return ends + [_describe_denial(denial, now) for denial in self._denials]

    def _describe_end(
        self, end: _HostEnd, runs: Iterable[OpenRun], now: float
    ) -> HostTerminated:
        cuts = tuple(
            CutRun(run.content, tuple(run.parts), end.at - run.offered_at, run.seconds)
            for run in runs
        )
        named = frozenset().union(*(cut.parts for cut in cuts))
        served = tuple(part for part in named if part in self._served)
        return HostTerminated(end.host, now - end.at, cuts, served)

    def _find_end(self, host: str, at: float) -> _HostEnd:
        """Return the record of a host's end, a new one if there is none."""
        for end in reversed(self._ends):
            if end.host == host and abs(end.at - at) <= SAME_END_SECONDS:
                end.at = min(end.at, at)
                return end
        while self._ends and (
            len(self._ends) >= MAX_ENDS or self._ends[0].at < at - SUSPICION_SECONDS
        ):
            self._drop_end(self._ends[0])
        end = _HostEnd(host, at)
        self._ends.append(end)
        return end

    def _drop_end(self, end: _HostEnd) -> None:
        self._ends.remove(end)
        for part in {part for run in end.runs.values() for part in run.parts}:
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            suspect.ends = [known for known in suspect.ends if known.end is not end]
            if suspect.ends:
                self._update_limit(part)
            else:
                self._forget(part)

    def _add_run(self, end: _HostEnd, run: OpenRun, now: float) -> bool:
        """Add a run that was open at a host's end; return whether it is new."""
        is_full = len(end.runs) >= MAX_RUNS_PER_END
        if not run.parts or run.content in end.runs or is_full:
            return False
        end.runs[run.content] = run
        for part in run.parts:
            if self._served.get(part, float("-inf")) < end.at:
                self._add_part_end(part, end, run)
        for denial in self._denials:
            if denial.parts <= run.parts and run.offered_at >= denial.ended_at:
                denial.ended_at = end.at
                self._extend(denial, denial.ends + 1, now)
        return True

    def _add_part_end(self, part: int, end: _HostEnd, run: OpenRun) -> None:
        suspect = self._suspects.setdefault(part, _Suspect())
        if run.seconds > suspect.outlived_seconds:
            # Its host has terminated for another reason.
            self._forget(part)
            return
        suspect.seconds = min(suspect.seconds, run.seconds)
        known = next((known for known in suspect.ends if known.end is end), None)
        if known is None:
            suspect.ends.append(_PartEnd(end, run.offered_at, {run.content}))
            suspect.ends.sort(key=lambda known: known.end.at)
        else:
            known.offered_at = max(known.offered_at, run.offered_at)
            known.contents.add(run.content)
        self._suspects.move_to_end(part)
        self._update_limit(part)
        while len(self._suspects) > MAX_PARTS:
            self._forget(self._find_eviction())

    def _find_eviction(self) -> int:
        """Choose the suspect to evict: the oldest of those with a single end."""
        few = (part for part, known in self._suspects.items() if len(known.ends) < 2)
        return next(few, None) or next(iter(self._suspects))

    def _update_limit(self, part: int) -> None:
        chain = _find_chain(self._suspects[part].ends)
        contents = set().union(*(known.contents for known in chain))
        is_at_limit = (
            len(chain) >= self._find_limit(part)
            and len(contents) >= MIN_REQUESTS_TO_DENY
        )
        if is_at_limit:
            self._at_limit.add(part)
        else:
            self._at_limit.discard(part)

    def _find_limit(self, part: int) -> int:
        return ENDS_TO_DENY_SERVED if part in self._served else ENDS_TO_DENY

    def _is_isolated(self, part: int) -> bool:
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        limit = ENDS_TO_ISOLATE_SERVED if part in self._served else ENDS_TO_ISOLATE
        return len(_find_chain(suspect.ends)) >= limit

    def _evaluate(self, now: float) -> bool:
        """Update the denials from the ends; return whether there is a new one."""
        if not self._at_limit:
            return False
        groups = self._group_culprits()
        culprits = frozenset().union(*groups)
        # Other parts now account for the ends of these.
        self._denials = [
            denial
            for denial in self._denials
            if denial.parts & culprits or not denial.parts <= self._at_limit
        ]
        is_new = False
        for parts, ends in groups.items():
            known = [denial for denial in self._denials if denial.parts & parts]
            for denial in known[1:]:
                self._denials.remove(denial)
            if not known:
                until = now + _find_denied_seconds(ends)
                denial = _Denial(parts, ends, self._find_last_end(parts), until)
                self._add_denial(denial)
                self._unsent_denials.append(denial)
                is_new = True
                continue
            known[0].parts = parts
            if ends > known[0].ends:
                self._extend(known[0], ends, now)
        return is_new

    def _group_culprits(self) -> dict[PartKeys, int]:
        """Group the parts at their limit that account for the same ends.

        Return the number of ends of each group. Those that account for the most ends
        come first, parts that were never served before others.
        """
        left = {part: list(self._suspects[part].ends) for part in self._at_limit}
        groups: dict[PartKeys, int] = {}
        while left:
            chains = {part: _find_chain(ends) for part, ends in left.items()}
            best = max(
                chains, key=lambda part: (part not in self._served, len(chains[part]))
            )
            ends = {id(known.end) for known in left[best]}
            same = frozenset(
                part
                for part in left
                if {id(known.end) for known in left[part]} == ends
                and (part in self._served) == (best in self._served)
            )
            groups[same] = len(self._suspects[best].ends)
            left = {
                part: [known for known in known_ends if id(known.end) not in ends]
                for part, known_ends in left.items()
                if part not in same
            }
            left = {
                part: rest
                for part, rest in left.items()
                if len(_find_chain(rest)) >= self._find_limit(part)
            }
        return groups

    def _find_last_end(self, parts: PartKeys) -> float:
        return max(self._suspects[part].ends[-1].end.at for part in parts)

    def _extend(self, denial: _Denial, ends: int, now: float) -> None:
        denial.ends = ends
        denial.until = max(denial.until, now + _find_denied_seconds(ends))

    def _add_denial(self, denial: _Denial) -> None:
        self._denials.append(denial)
        if len(self._denials) > MAX_DENIALS:
            self._denials.remove(min(self._denials, key=lambda known: known.until))

    def _set_served(self, part: int, now: float) -> None:
        self._served[part] = now
        self._served.move_to_end(part)
        _trim(self._served)

    def _clear(self, part: int) -> bool:
        """Clear a part; return whether it was suspected or denied."""
        was_suspected = part in self._suspects
        self._forget(part)
        affected = [denial for denial in self._denials if part in denial.parts]
        for denial in affected:
            denial.parts -= {part}
            if not denial.parts:
                self._denials.remove(denial)
        return was_suspected or bool(affected)

    def _forget(self, part: int) -> None:
        self._suspects.pop(part, None)
        self._at_limit.discard(part)


@singledispatch
def _merge(message: PartsMessage, suspects: PromptSuspects, now: float) -> Merged:
    raise TypeError(f"no handler for {type(message)}")


@_merge.register
def _(message: HostTerminated, suspects: PromptSuspects, now: float) -> Merged:
    return suspects.merge_end(message, now)


@_merge.register
def _(message: PartsCleared, suspects: PromptSuspects, now: float) -> Merged:
    return suspects.merge_cleared(message, now)


@_merge.register
def _(message: PartsServed, suspects: PromptSuspects, now: float) -> Merged:
    return suspects.merge_served(message)


@_merge.register
def _(message: PartsDenied, suspects: PromptSuspects, now: float) -> Merged:
    return suspects.merge_denied(message, now)


def _trim(served: OrderedDict[int, float]) -> None:
    while len(served) > MAX_PARTS:
        served.popitem(last=False)


def _find_chain(ends: Iterable[_PartEnd]) -> list[_PartEnd]:
    """Return the ends in a row: each under a run offered after the end before."""
    chain: list[_PartEnd] = []
    for known in ends:
        if not chain or known.offered_at >= chain[-1].end.at:
            chain.append(known)
    return chain


def _find_denied_seconds(ends: int) -> float:
    """Return how long parts are denied; doubles with each end past the fifth."""
    if ends <= ENDS_TO_DENY:
        return FIRST_DENIAL_SECONDS
    doublings = min(16, max(0, ends - ENDS_TO_DENY_SERVED))
    return min(MAX_DENY_SECONDS, SUSPICION_SECONDS * 2**doublings)


def _describe_denial(denial: _Denial, now: float) -> PartsDenied:
    age, left = max(0.0, now - denial.ended_at), max(0.0, denial.until - now)
    return PartsDenied(tuple(denial.parts), denial.ends, age, left)
