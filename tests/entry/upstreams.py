"""Model of the upstreams behind the agents: engines and plain services.

No two runs give the same answer, so an answer mixed from two runs is detected.
"""

from radishtally.agent import events
from radishtally.links.messages import CALL, PREFILL, KvRef, Offer, Work
from radishtally.outcome import Ran

CHARACTERS = "aé字🪡"
Name = tuple[str, int]


def count_tokens(work: Work) -> int:
    """Return the number of tokens in the complete answer to a request for text."""
    return min(2 + sum(work.body) % 7, work.max_tokens)


def make_token(run: int, place: int) -> bytes:
    """Build a token that is unique to one run and position."""
    return f"{CHARACTERS[(run + place) % 4]}{run}.{place} ".encode()


class Ledger:
    """Record the work begun at all upstreams and the answers sent to callers."""

    def __init__(self) -> None:
        self.begun: set[str] = set()
        self.not_run: set[str] = set()
        self.effects: dict[tuple[str, str], int] = {}
        self.texts: dict[str, list[bytes]] = {}
        """Answers of all runs by owner, with the part that earlier runs produced."""
        self.runs = 0

    def record_begin(self, offer: Offer) -> list[bytes]:
        """Record that an upstream begins a request; return the parts of its answer."""
        work = offer.work
        assert work.request not in self.not_run, "began after a refusal as not run"
        self.begun.add(work.request)
        self.runs += 1
        parts = self._make_parts(offer)
        known = self.texts.setdefault(find_owner(work), [])
        assert not offer.done or any(text.startswith(offer.done) for text in known)
        known.append(offer.done + b"".join(parts))
        if not work.idempotent:
            key = find_owner(work)
            self.effects[key] = self.effects.get(key, 0) + 1
            assert self.effects[key] == 1, "a second effect under one key"
        return parts

    def _make_parts(self, offer: Offer) -> list[bytes]:
        if offer.work.kind == CALL:
            assert not offer.done
            return [b"run %d " % self.runs, b"of the call"]
        place = offer.done.count(b" ")
        assert place == offer.tokens_done, "tokens counted wrongly"
        wanted = 1 if offer.stage == PREFILL else offer.work.max_tokens - place
        left = count_tokens(offer.work) - place
        if left == 0 and place < offer.work.max_tokens:
            return []
        # An engine always produces at least one token.
        wanted = max(1, min(wanted, left))
        return [make_token(self.runs, place + n) for n in range(wanted)]

    def record_not_run(self, request: str) -> None:
        """Record that a caller is refused with "not run"."""
        assert request not in self.begun, "refused as not run although it began"
        self.not_run.add(request)

    def check_part(self, work: Work, data: bytes) -> None:
        """Check that the data is a prefix of one run's answer to this request."""
        texts = self.texts[find_owner(work)]
        assert any(text.startswith(data) for text in texts), "no run's answer"

    def check_whole(self, work: Work, data: bytes) -> None:
        """Check that an answer is complete and from one run of this request."""
        assert data in self.texts[find_owner(work)], "no run's answer"
        if work.kind != CALL:
            assert data.count(b" ") == count_tokens(work), "incomplete answer"


def find_owner(work: Work) -> str:
    """Return the owner of an answer: the idempotency key, else the request."""
    return f"key {work.key}" if work.key else work.request


class Run:
    """Track one attempt at an upstream."""

    def __init__(self, offer: Offer) -> None:
        self.offer = offer
        self.begun = False
        self.parts: list[bytes] = []

    @property
    def name(self) -> Name:
        return self.offer.work.request, self.offer.attempt

    @property
    def reason(self) -> str:
        """Return the finish reason for the end of all parts."""
        is_part = self.offer.stage == PREFILL and self.tokens < count_tokens(
            self.offer.work
        )
        return "length" if is_part or self.tokens >= self.max_tokens else "stop"

    @property
    def max_tokens(self) -> int:
        return self.offer.work.max_tokens

    def begin(self, ledger: Ledger) -> None:
        """Begin the run; the upstream has read the request."""
        self.begun = True
        self.parts = ledger.record_begin(self.offer)
        self.tokens = self.offer.tokens_done + len(self.parts)


class Upstream:
    """Run work for one agent."""

    def __init__(self, host: str, ledger: Ledger) -> None:
        self.host = host
        self.ledger = ledger
        self.runs: dict[Name, Run] = {}
        self.abandoned: list[Run] = []
        """Work whose request is in flight but no longer awaited; it may still begin."""
        self.exports: list[Name] = []

    def start(self, offer: Offer) -> None:
        """Accept work; it begins at the next step."""
        run = Run(offer)
        assert run.name not in self.runs
        self.runs[run.name] = run

    def abort(self, name: Name) -> None:
        """Abort work; if its request is still in flight it may begin later."""
        run = self.runs.pop(name, None)
        if run is not None and not run.begun:
            self.abandoned.append(run)

    def abandon_all(self) -> None:
        """Abort all work because the agent died."""
        for name in list(self.runs):
            self.abort(name)
        self.exports.clear()

    def begin_abandoned(self) -> None:
        """Begin the abandoned work whose requests are still in flight."""
        while self.abandoned:
            self.abandoned.pop().begin(self.ledger)

    def step(self, name: Name) -> events.Event | None:
        """Advance one attempt; return the agent's event, if any."""
        run = self.runs[name]
        if not run.begun:
            run.begin(self.ledger)
            return None
        if run.parts:
            tokens = 0 if run.offer.work.kind == CALL else 1
            return events.Produced(*name, run.parts.pop(0), tokens)
        del self.runs[name]
        return events.Completed(*name, 200, run.reason, 7, 0, (), 0.1)

    def fail(self, name: Name) -> events.Event:
        """Fail one attempt, with "not run" if it did not begin."""
        run = self.runs.pop(name)
        ran = Ran.UNKNOWN if run.begun else Ran.NO
        return events.Failed(*name, ran, "the upstream failed")

    def export(self, name: Name, whole: bool) -> events.Event:
        """Hand over one attempt, with or without its KV cache."""
        self.exports.remove(name)
        self.runs.pop(name, None)
        kv = KvRef(self.host, "http://127.0.0.1", "handle", 1) if whole else None
        return events.Exported(*name, kv)
