"""Tests of prompt parts that runs had which were open at terminated hosts."""

import itertools

import pytest

from radishtally.links.gateway_messages import PartsDenied
from radishtally.serving.prompt_suspects import (
    ENDS_TO_DENY_SERVED,
    FIRST_DENIAL_SECONDS,
    MAX_DENIALS,
    MAX_ENDS,
    MAX_PARTS,
    OpenRun,
    PartKeys,
    PromptSuspects,
    hash_parts,
)
from radishtally.serving.suspects import (
    ENDS_TO_DENY,
    MAX_DENY_SECONDS,
    MIN_OUTLIVED_SECONDS,
    SUSPICION_SECONDS,
    TRIAL_SECONDS,
)
from radishtally.serving.terms import PromptPart

BAD, TEAM, OTHER = frozenset((1,)), frozenset((2,)), frozenset((3,))


class Hosts:
    """Terminate hosts, one each second, with runs that were offered just before."""

    def __init__(self) -> None:
        self.now = 100.0
        self._numbers = itertools.count()

    def end(
        self,
        suspects: PromptSuspects,
        *prompts: PartKeys,
        times: int = 1,
        seconds: float = 0.0,
    ) -> bool:
        """Terminate hosts with runs of these prompts; return if the last one denies."""
        is_new = False
        for _ in range(times):
            self.now += 1.0
            host = f"h{next(self._numbers)}"
            for parts in prompts:
                content = f"c{next(self._numbers)}"
                run = OpenRun(content, parts, self.now - 0.5, seconds)
                is_new = suspects.record_end(host, run, self.now)
        return is_new


@pytest.fixture
def suspects() -> PromptSuspects:
    """Return a gateway's empty tracker."""
    return PromptSuspects()


@pytest.fixture
def hosts() -> Hosts:
    """Return hosts that terminate."""
    return Hosts()


def is_denied(suspects: PromptSuspects, parts: PartKeys, now: float) -> bool:
    """Return whether requests with these parts are denied."""
    return suspects.find_denial_seconds(parts, now) > 0


def tell(sender: PromptSuspects, receiver: PromptSuspects, now: float) -> None:
    """Send a gateway what another one has not yet sent."""
    for message in sender.pop_messages(now):
        receiver.merge(message, now)


def test_last_part_and_other_upstreams_have_keys_of_their_own() -> None:
    parts = [PromptPart(name, 1) for name in ("team", "own")]
    assert len(hash_parts("llm", parts)) == 1
    assert hash_parts("llm", parts).isdisjoint(hash_parts("other", parts))
    assert not hash_parts("llm", parts[1:])


def test_part_is_denied_after_three_ends(suspects: PromptSuspects, hosts: Hosts):
    assert not hosts.end(suspects, BAD, times=ENDS_TO_DENY - 1)
    assert hosts.end(suspects, BAD)
    assert suspects.find_denial_seconds(BAD | OTHER, hosts.now) == FIRST_DENIAL_SECONDS
    assert not is_denied(suspects, OTHER, hosts.now)


# A single request that is sent to host after host is denied by its content, not by its
# parts.
def test_ends_under_a_single_request_do_not_deny_its_parts(
    suspects: PromptSuspects,
) -> None:
    for number in range(10):
        run = OpenRun("same", BAD, number, 0.0)
        assert not suspects.record_end(f"h{number}", run, number + 0.5)


# Guards against denial after an outage of racks, with runs open on many of their hosts.
def test_hosts_that_end_together_count_as_one(suspects: PromptSuspects) -> None:
    for number in range(20):
        run = OpenRun(f"c{number}", BAD, 1.0, 0.0)
        assert not suspects.record_end(f"h{number}", run, 2.0 + number / 1000)
    assert not suspects.list_isolated(BAD)


def test_complete_answer_clears_a_part(suspects: PromptSuspects, hosts: Hosts) -> None:
    hosts.end(suspects, BAD, times=ENDS_TO_DENY - 1)
    suspects.record_served(BAD, hosts.now)
    assert not hosts.end(suspects, BAD)
    assert not suspects.list_isolated(BAD)


# Guards against denial of long answers that other requests' crashes cut off.
def test_long_answer_clears_a_part(suspects: PromptSuspects, hosts: Hosts) -> None:
    hosts.end(suspects, BAD, times=ENDS_TO_DENY - 1)
    suspects.record_survival(BAD, MIN_OUTLIVED_SECONDS)
    assert suspects.list_isolated(BAD)
    suspects.record_survival(BAD, MIN_OUTLIVED_SECONDS + 0.1)
    assert not suspects.list_isolated(BAD)


def test_end_after_a_long_answer_clears_a_part(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, BAD, times=ENDS_TO_DENY - 1)
    assert not hosts.end(suspects, BAD, seconds=MIN_OUTLIVED_SECONDS + 0.1)
    assert not suspects.list_isolated(BAD)


# A part that crashes its hosts late must not be cleared by the time that it takes.
def test_part_that_crashes_late_is_denied(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    seconds = 2 * MIN_OUTLIVED_SECONDS
    for _ in range(ENDS_TO_DENY):
        suspects.record_survival(BAD, seconds)
        hosts.end(suspects, BAD, seconds=seconds)
    assert is_denied(suspects, BAD, hosts.now)


def test_part_that_was_served_needs_more_ends(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    suspects.record_served(TEAM, hosts.now)
    hosts.end(suspects, TEAM, times=ENDS_TO_DENY_SERVED - 1)
    assert not is_denied(suspects, TEAM, hosts.now)
    hosts.end(suspects, TEAM)
    assert is_denied(suspects, TEAM, hosts.now)


# Guards against denial of what two bad parts have in common, with the most ends.
def test_common_part_of_two_bad_ones_is_not_denied(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    suspects.record_served(TEAM, hosts.now)
    for _ in range(ENDS_TO_DENY):
        hosts.end(suspects, BAD | TEAM)
        hosts.end(suspects, OTHER | TEAM)
    assert is_denied(suspects, BAD, hosts.now)
    assert is_denied(suspects, OTHER, hosts.now)
    assert not is_denied(suspects, TEAM, hosts.now)


# Guards against denial of a part that happened to be open at some of the hosts.
def test_part_that_accounts_for_fewer_ends_is_let_in_again(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, TEAM, BAD, times=ENDS_TO_DENY)
    assert is_denied(suspects, TEAM | BAD, hosts.now)
    hosts.end(suspects, BAD)
    assert is_denied(suspects, BAD, hosts.now)
    assert not is_denied(suspects, TEAM, hosts.now)
    assert not suspects.list_isolated(OTHER)


# Parts that account for the same ends are told apart by a run with one of them.
def test_parts_of_the_same_ends_are_denied_together_only(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, TEAM | BAD, times=ENDS_TO_DENY)
    assert is_denied(suspects, TEAM | BAD, hosts.now)
    for part in (TEAM, BAD):
        assert not is_denied(suspects, part | OTHER, hosts.now)
        assert suspects.list_isolated(part | OTHER) == part
    suspects.record_served(TEAM | OTHER, hosts.now)
    assert is_denied(suspects, BAD, hosts.now)
    assert not suspects.list_isolated(TEAM | OTHER)


def test_run_that_crashes_tells_parts_of_the_same_ends_apart(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, TEAM | BAD, times=ENDS_TO_DENY)
    hosts.end(suspects, OTHER | BAD)
    assert is_denied(suspects, BAD, hosts.now)
    assert not is_denied(suspects, TEAM, hosts.now)


def test_expired_denial_allows_one_trial_run(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, BAD, times=ENDS_TO_DENY)
    hosts.now += FIRST_DENIAL_SECONDS
    assert not is_denied(suspects, BAD, hosts.now)
    suspects.record_offer(BAD, hosts.now)
    assert suspects.find_denial_seconds(BAD, hosts.now) == TRIAL_SECONDS
    hosts.end(suspects, BAD)
    assert suspects.find_denial_seconds(BAD, hosts.now) == SUSPICION_SECONDS


def test_denial_time_grows_and_is_bounded(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    lengths = []
    for _ in range(40):
        hosts.end(suspects, BAD)
        left = suspects.find_denial_seconds(BAD, hosts.now)
        lengths.append(left)
        hosts.now += left
        suspects.record_offer(BAD, hosts.now)
    assert lengths[-1] == MAX_DENY_SECONDS
    assert all(b >= a for a, b in itertools.pairwise(lengths))


def test_answer_in_a_trial_run_lets_the_part_in(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    hosts.end(suspects, BAD, times=ENDS_TO_DENY)
    hosts.now += FIRST_DENIAL_SECONDS
    suspects.record_offer(BAD, hosts.now)
    suspects.record_served(BAD, hosts.now)
    assert not suspects.is_active


def test_ends_seen_by_different_gateways_add_up(hosts: Hosts) -> None:
    gateways = [PromptSuspects() for _ in range(3)]
    for gateway in gateways:
        hosts.end(gateway, BAD)
        for other in gateways:
            if other is not gateway:
                for message in gateway.list_all(hosts.now):
                    other.merge(message, hosts.now)
    assert all(is_denied(gateway, BAD, hosts.now) for gateway in gateways)


# Each gateway reports its own runs at a host, and a new one is told by all of them.
def test_reports_of_the_same_end_count_once(hosts: Hosts) -> None:
    gateways = [PromptSuspects(), PromptSuspects()]
    for number, gateway in enumerate(gateways):
        run = OpenRun(f"c{number}", BAD, 1.0, 0.0)
        gateway.record_end("h", run, 2.0 + number / 100)
    messages = [gateway.list_all(3.0) for gateway in gateways]
    for _ in range(3):
        for gateway, told in zip(gateways, reversed(messages), strict=True):
            for message in told:
                gateway.merge(message, 3.0)
    for gateway in gateways:
        assert len(gateway._ends) == 1
        assert len(gateway._ends[0].runs) == 2
        assert not gateway.list_isolated(BAD)


# Guards against a denial that stays where its gateway spread it before it was cleared.
def test_clearing_reaches_gateways_that_were_told_of_the_denial(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    second, third = PromptSuspects(), PromptSuspects()
    hosts.end(suspects, BAD, times=ENDS_TO_DENY)
    tell(suspects, second, hosts.now)
    third.merge(PartsDenied(tuple(BAD), ENDS_TO_DENY, 0.0, 10.0), hosts.now)
    second.record_served(BAD, hosts.now + 0.1)
    tell(second, suspects, hosts.now + 0.1)
    tell(suspects, third, hosts.now + 0.1)
    assert not any(g.is_active for g in (suspects, second, third))


def test_denial_is_not_taken_if_the_part_was_served_since(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    suspects.record_served(BAD, hosts.now)
    told = PartsDenied(tuple(BAD), ENDS_TO_DENY, 1.0, 300.0)
    assert not suspects.merge(told, hosts.now).denies_parts
    assert not is_denied(suspects, BAD, hosts.now)


# A part that one gateway has served for long must not be new to the others.
def test_gateways_tell_each_other_what_was_served(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    second, third = PromptSuspects(), PromptSuspects()
    third.record_served(TEAM, hosts.now)
    hosts.end(suspects, TEAM)
    messages = suspects.pop_messages(hosts.now)
    for gateway in (second, third):
        for message in messages:
            gateway.merge(message, hosts.now)
    for gateway in (suspects, second):
        for message in third.list_all(hosts.now):
            gateway.merge(message, hosts.now)
        hosts.end(gateway, TEAM, times=ENDS_TO_DENY)
        assert not is_denied(gateway, TEAM, hosts.now)


def test_end_of_a_living_host_is_retracted_everywhere(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    other = PromptSuspects()
    hosts.end(suspects, BAD)
    tell(suspects, other, hosts.now)
    assert other.is_active
    suspects.retract_end("h0")
    tell(suspects, other, hosts.now)
    assert not suspects.is_active and not other.is_active


# Guards against a retraction that is lost because it comes before the report was sent.
def test_end_that_is_retracted_at_once_reaches_nobody(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    other = PromptSuspects()
    hosts.end(suspects, BAD)
    suspects.retract_end("h0")
    tell(suspects, other, hosts.now)
    assert not other.is_active


# Guards against memory that grows with the number of different parts.
def test_memory_is_bounded_against_endless_parts(
    suspects: PromptSuspects, hosts: Hosts
) -> None:
    numbers = itertools.count(1_000)
    hosts.end(suspects, BAD, times=ENDS_TO_DENY)
    for _ in range(MAX_ENDS + 6):
        prompts = [frozenset(next(numbers) for _ in range(63)) for _ in range(20)]
        hosts.end(suspects, *prompts)
    for _ in range(2 * MAX_PARTS):
        suspects.record_served(frozenset((next(numbers),)), hosts.now)
    for _ in range(2 * MAX_DENIALS):
        told = PartsDenied((next(numbers),), ENDS_TO_DENY, 0.0, 5.0)
        suspects.merge(told, hosts.now)
    assert len(suspects._ends) <= MAX_ENDS
    assert len(suspects._suspects) <= MAX_PARTS
    assert len(suspects._served) <= MAX_PARTS
    assert len(suspects._denials) <= MAX_DENIALS
