"""Model of what stands behind the agents: engines and plain services."""

import hashlib
from typing import NamedTuple

from radishtally.agent import events
from radishtally.links.messages import CALL, PREFILL, KvRef, Offer, Work
from radishtally.outcome import Ran

CHARACTERS = "aé字🪡"


def answer_work(work: Work) -> list[bytes]:
    """Give the tokens of the one right answer to a request for text."""
    digest = hashlib.sha256(work.body).digest()
    return [f"{CHARACTERS[b % 4]}{b:x} ".encode() for b in digest[: 2 + digest[0] % 7]]


def answer_whole(work: Work) -> bytes:
    """Give the right answer, bounded as the caller asked."""
    return b"".join(answer_work(work)[: work.max_tokens])


class Ledger:
    """Record what began at any upstream, and what callers were told of it."""

    def __init__(self) -> None:
        self.begun: set[str] = set()
        self.not_run: set[str] = set()
        self.effects: dict[tuple[str, str], int] = {}
        self.runs: dict[str, list[bytes]] = {}
        """Bodies that the service made for a request."""
        self.answers: dict[tuple[str, str], bytes] = {}
        """Body of the one run that a key has had."""

    def begin(self, work: Work) -> None:
        """Take note that an upstream begins a request."""
        assert work.request not in self.not_run, "began after its refusal as not run"
        self.begun.add(work.request)
        if work.kind != CALL:
            return
        number = sum(map(len, self.runs.values()))
        self.runs.setdefault(work.request, []).append(b"run %d of the call;" % number)
        if work.idempotent:
            return
        key = work.team, work.key or work.request
        self.answers[key] = self.runs[work.request][-1]
        self.effects[key] = self.effects.get(key, 0) + 1
        assert self.effects[key] == 1, "a second effect under one key"

    def refuse_not_run(self, request: str) -> None:
        """Take note that a caller is told "not run"."""
        assert request not in self.begun, "told not run although it began"
        self.not_run.add(request)


class Run:
    """Follow one piece of work at an upstream."""

    def __init__(self, offer: Offer) -> None:
        self.offer = offer
        self.begun = False
        self.parts: list[bytes] = []
        self.reason = ""

    @property
    def name(self) -> tuple[str, int]:
        return self.offer.work.request, self.offer.attempt

    def begin(self, ledger: Ledger) -> None:
        """Begin, as the upstream does once it has read the request."""
        self.begun = True
        ledger.begin(self.offer.work)
        work = self.offer.work
        if work.kind == CALL:
            body = ledger.runs[work.request][-1]
            self.parts = [body[:6], body[6:]]
            return
        self.parts, self.reason = continue_answer(self.offer)


def continue_answer(offer: Offer) -> tuple[list[bytes], str]:
    """Give the tokens that an engine makes of an offer, and why it ends."""
    tokens = answer_work(offer.work)
    count = 0
    while b"".join(tokens[:count]) != offer.done:
        assert count < len(tokens), "done is not a beginning of the right answer"
        count += 1
    wanted = 1 if offer.stage == PREFILL else offer.work.max_tokens - offer.tokens_done
    # An engine gives at least one token, whatever is left.
    rest = tokens[count : count + max(1, wanted)]
    return rest, "stop" if count + len(rest) == len(tokens) else "length"


class Refusal(NamedTuple):
    """Say how an upstream ends a run early."""

    ran: str
    reason: str


class Upstream:
    """Run work for one agent."""

    def __init__(self, host: str, ledger: Ledger) -> None:
        self.host = host
        self.ledger = ledger
        self.runs: dict[tuple[str, int], Run] = {}
        self.ghosts: list[Run] = []
        """Work that was sent and that nobody waits for any more; it may yet begin."""
        self.exports: list[tuple[str, int]] = []

    def start(self, offer: Offer) -> None:
        """Take work, which begins a little later."""
        run = Run(offer)
        assert run.name not in self.runs
        self.runs[run.name] = run

    def abort(self, name: tuple[str, int]) -> None:
        """End work; what is only on its way may still begin."""
        run = self.runs.pop(name, None)
        if run is not None and not run.begun:
            self.ghosts.append(run)

    def forget(self) -> None:
        """Lose the agent; its work goes on unseen or is cancelled."""
        for name in list(self.runs):
            self.abort(name)
        self.exports.clear()

    def begin_ghosts(self) -> None:
        """Begin the work that is still on its way."""
        while self.ghosts:
            self.ghosts.pop().begin(self.ledger)

    def step(self, name: tuple[str, int]) -> events.Event | None:
        """Go on with one piece of work; give what the agent hears."""
        run = self.runs[name]
        if not run.begun:
            run.begin(self.ledger)
            return None
        if run.parts:
            tokens = 0 if run.offer.work.kind == CALL else 1
            return events.Produced(*name, run.parts.pop(0), tokens)
        del self.runs[name]
        return events.Completed(*name, 200, run.reason, 7, 0, (), 0.1)

    def fail(self, name: tuple[str, int]) -> events.Event:
        """Fail one piece of work, with "not run" where it surely did not begin."""
        run = self.runs.pop(name)
        ran = Ran.UNKNOWN if run.begun else Ran.NO
        return events.Failed(*name, ran, "the upstream failed")

    def export(self, name: tuple[str, int], whole: bool) -> events.Event:
        """End work in good order, with its KV cache or without."""
        self.exports.remove(name)
        self.runs.pop(name, None)
        kv = KvRef(self.host, "http://127.0.0.1", "handle", 1) if whole else None
        return events.Exported(*name, kv)
