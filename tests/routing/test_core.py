"""Tests of the routing policies."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from radishtally.links.messages import DECODE, MIXED, PREFILL, WHOLE, Load
from radishtally.routing.core import (
    POLICIES,
    Candidate,
    WorkSpec,
    choose_host,
    hash_affinity_key,
    hash_prefix,
    needs_split,
    rank,
)

HOSTS = [f"gown-{number}" for number in range(9)]
WORK = WorkSpec(WHOLE, 7, "gown", "", 200, 50, 30.0, "howrah")


def make_load(**more) -> Load:
    load = Load(
        "", 0, 0, 16, 0.0, 0.0, 7_000.0, 0.02, MIXED, "gown", "1", ("lace",), False
    )
    return load._replace(**more)


def make_candidate(host, load=None, age=0.5, in_flight=0, reported=0, **more):
    load = load or make_load(host=host, **more)
    return Candidate(host, "howrah", load, age, in_flight, reported)


def make_pool(**roles):
    return [make_candidate(host, role=role) for host, role in roles.items()]


def choose_all(policy, work, candidates):
    tried = []
    for _ in range(len(candidates) + 1):
        host = policy(work, candidates, tried)
        if host is None:
            break
        tried.append(host)
    return tried


@given(st.integers(0, 2**64 - 1), st.sampled_from(HOSTS))
def test_removing_a_host_moves_only_its_keys(key, removed):
    remaining = [host for host in HOSTS if host != removed]
    assert rank(remaining, key) == [
        host for host in rank(HOSTS, key) if host != removed
    ]


def test_ranking_spreads_keys_and_ignores_the_order_of_hosts():
    firsts = Counter(rank(HOSTS, key)[0] for key in range(9_000))
    assert len(firsts) == 9
    assert max(firsts.values()) < 1_200
    assert rank(HOSTS, 5) == rank(HOSTS[::-1], 5)


def test_prefix_hash_uses_the_beginning_of_a_prompt():
    assert hash_prefix("a" * 5_000) == hash_prefix("a" * 5_000 + "b")
    assert hash_prefix("gown") != hash_prefix("sari")
    assert hash_prefix("\ud800") >= 0


@pytest.mark.parametrize("policy", POLICIES.values(), ids=POLICIES.keys())
@pytest.mark.parametrize("stage", [WHOLE, PREFILL, DECODE])
@given(
    roles=st.lists(
        st.sampled_from([MIXED, PREFILL, DECODE, None]), min_size=1, max_size=9
    ),
    slack=st.sampled_from([0.0, 1.0, 30.0]),
)
def test_every_host_is_tried_exactly_once(policy, stage, roles, slack):
    pool = []
    for host, role in zip(HOSTS, roles, strict=False):
        load = make_load(host=host, role=role) if role else None
        pool.append(Candidate(host, "howrah", load, 1.0, 0, 0))
    work = WORK._replace(stage=stage, slack=slack)
    tried = choose_all(policy, work, pool)
    assert sorted(tried) == [item.host for item in pool]


@pytest.mark.parametrize(
    ("stage", "roles", "expected"),
    [
        (WHOLE, {"p": PREFILL, "d": DECODE, "m": MIXED}, ["m", "d", "p"]),
        (PREFILL, {"p": PREFILL, "d": DECODE, "m": MIXED}, ["p", "m", "d"]),
        (DECODE, {"p": PREFILL, "d": DECODE, "m": MIXED}, ["d", "m", "p"]),
        (WHOLE, {"p": PREFILL, "d": DECODE}, ["d", "p"]),
    ],
)
def test_roles_are_preferred_by_stage(stage, roles, expected):
    work = WORK._replace(stage=stage)
    assert choose_all(choose_host, work, make_pool(**roles)) == expected


@pytest.mark.parametrize(
    ("more", "work", "is_chosen"),
    [
        ({"draining": True}, WORK, False),
        ({"model": "other"}, WORK, False),
        ({}, WORK._replace(adapter="lace"), True),
        ({}, WORK._replace(adapter="silk"), False),
    ],
)
def test_hosts_that_cannot_serve_are_skipped(more, work, is_chosen):
    found = choose_host(work, [make_candidate("a", **more)], ())
    assert found == ("a" if is_chosen else None)


def test_host_without_report_may_have_the_adapter():
    candidate = Candidate("a", "howrah", None, 0.0, 0, 0)
    assert choose_host(WORK._replace(adapter="silk"), [candidate], ()) == "a"


def test_prefix_stays_with_its_host():
    pool = [make_candidate(host) for host in HOSTS]
    chosen = {
        choose_host(WORK, pool[number:] + pool[:number], ()) for number in range(9)
    }
    assert len(chosen) == 1


def test_hot_prefix_spills_over():
    """All callers send the same prefix, and no reports arrive.

    Own requests count immediately, so the first host of the ranking is skipped when it
    is well above the mean. Without the bound it would get all requests.
    """
    counts = Counter()
    for _ in range(90):
        pool = [make_candidate(host, in_flight=counts[host]) for host in HOSTS]
        counts[choose_host(WORK, pool, ())] += 1
    assert max(counts.values()) <= 20


def test_stale_report_does_not_attract_a_burst():
    """One host reported to be idle, and an entry then receives a burst.

    By the report alone, all 40 requests go there. Own requests sent since are added to
    the report, so that the burst spreads before the next report arrives.
    """
    idle = make_load(wait=0.0)
    busy = make_load(wait=0.1, running=4)
    shares = {}
    for name in ("rendezvous", "least_reported"):
        counts = Counter()
        for number in range(40):
            pool = [
                make_candidate(
                    host,
                    load=(idle if host == HOSTS[0] else busy)._replace(host=host),
                    in_flight=counts[host],
                )
                for host in HOSTS
            ]
            work = WORK._replace(prefix=number)
            counts[POLICIES[name](work, pool, ())] += 1
        shares[name] = counts[HOSTS[0]]
    assert shares["least_reported"] == 40
    assert shares["rendezvous"] <= 10


def test_own_requests_count_before_the_next_report():
    """No host can meet the deadline, and all but one reported a wait of 0.1 s.

    The idle one gets a few requests, until those sent since its report make it the
    slower choice. By the reports alone it would get requests until its slots are full.
    """
    counts = Counter()
    for _ in range(40):
        pool = [
            make_candidate(host, wait=0.1 * (host != HOSTS[0]), in_flight=counts[host])
            for host in HOSTS
        ]
        counts[choose_host(WORK._replace(slack=0.0), pool, ())] += 1
    assert counts[HOSTS[0]] <= 8


def test_work_late_everywhere_goes_where_it_waits_least():
    pool = [
        make_candidate(host, wait=float(number + 5))
        for number, host in enumerate(HOSTS)
    ]
    assert choose_host(WORK._replace(slack=1.0), pool, ()) == HOSTS[0]


def test_overloaded_role_spills_over_to_another_role():
    pool = [make_candidate("m", wait=60.0), make_candidate("d", role=DECODE)]
    assert choose_host(WORK, pool, ()) == "d"


def test_stale_wait_is_ignored():
    fresh = make_candidate("a", wait=60.0)
    stale = fresh._replace(host="b", load_age=60.0)
    assert choose_host(WORK, [fresh, stale], ()) == "b"


@pytest.mark.parametrize(
    ("roles", "prompt", "expected"),
    [
        ({"m": MIXED}, 8_000, False),
        ({"p": PREFILL, "d": DECODE}, 8_000, True),
        ({"p": PREFILL, "d": DECODE}, 100, False),
        ({"p": PREFILL}, 8_000, False),
        ({"d": DECODE}, 8_000, False),
        ({"p": PREFILL, "m": MIXED}, 8_000, False),
    ],
)
def test_split_depends_on_prompt_length_and_roles(roles, prompt, expected):
    work = WORK._replace(prompt_tokens=prompt)
    assert needs_split(make_pool(**roles), work) is expected


def test_split_if_mixed_hosts_are_busy():
    pool = [*make_pool(p=PREFILL, d=DECODE), make_candidate("m", wait=5.0)]
    work = WORK._replace(prompt_tokens=8_000)
    assert needs_split(pool, work)
    assert not needs_split(pool, work._replace(max_tokens=1))


def test_much_faster_role_is_preferred():
    """Mixed hosts are busy but meet the deadline; a decode host is idle.

    By role alone, requests would wait for seconds at the mixed hosts and leave the
    decode host idle until the deadlines are reached.
    """
    pool = [make_candidate("m", wait=5.0), make_candidate("d", role=DECODE)]
    assert choose_host(WORK, pool, ()) == "d"
    pool = [make_candidate("m", wait=0.1), make_candidate("d", role=DECODE)]
    assert choose_host(WORK, pool, ()) == "m"


def test_current_decode_pace_decides_between_roles():
    """Both hosts report no wait, but the mixed one currently decodes four times
    slower."""
    slow = make_candidate("m", token_seconds=0.08)
    pool = [slow, make_candidate("d", role=DECODE)]
    assert choose_host(WORK, pool, ()) == "d"
    stale = slow._replace(load_age=60.0)
    assert choose_host(WORK, [stale, pool[1]], ()) == "m"


@pytest.mark.parametrize(
    ("prompt", "output", "expected"), [(65, 80, "d"), (2_750, 130, "m"), (65, 1, "m")]
)
def test_work_goes_to_the_cheapest_role(prompt, output, expected):
    """Two hosts are idle; the decode host has three times the slots and slow prefill.

    With a fixed order of roles, long prompts would fill the mixed host, then spill over
    to the decode host and delay requests that decode twice as fast there.
    """
    decode = {"role": DECODE, "prefill_rate": 3_900.0, "slots": 48}
    pool = [make_candidate("m"), make_candidate("d", **decode)]
    work = WORK._replace(prompt_tokens=prompt, max_tokens=output)
    assert choose_host(work, pool, ()) == expected


def test_overflow_spreads_over_hosts():
    """The first hosts of 40 prefixes are full; the other six report no wait.

    With a tie-break by name, every entry would send the overflow to the same host until
    the next report.
    """
    counts = Counter()
    for number in range(40):
        work = WORK._replace(prefix=number)
        preferred = rank(HOSTS, hash_affinity_key(work))[:3]
        pool = [
            make_candidate(
                host,
                running=16 * (host in preferred),
                in_flight=counts[host],
                reported=counts[host],
            )
            for host in HOSTS
        ]
        counts[choose_host(work, pool, ())] += 1
    assert max(counts.values()) <= 8


@pytest.mark.parametrize("prompt", [70, 4_000])
def test_shorter_reported_wait_does_not_move_a_key(prompt):
    """The first host of the ranking reports 0.3 s more work than the others.

    It meets the deadline and is balanced. All entries see the same reports: if each
    moved its keys to the host that looks best, all bursts would go there at once.
    """
    work = WORK._replace(prompt_tokens=prompt)
    first = rank(HOSTS, hash_affinity_key(work))[0]
    pool = [make_candidate(host, wait=0.3 * (host == first)) for host in HOSTS]
    assert choose_host(work, pool, ()) == first
