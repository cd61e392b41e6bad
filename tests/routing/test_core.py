"""Tests of the entry's choice of a host."""

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
    hash_key,
    hash_prefix,
    needs_split,
    rank,
)

HOSTS = [f"gown-{number}" for number in range(9)]
WANTED = WorkSpec(WHOLE, 7, "gown", "", 200, 50, 30.0, "howrah")


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


def choose_all(policy, wanted, candidates):
    tried = []
    for _ in range(len(candidates) + 1):
        host = policy(wanted, candidates, tried)
        if host is None:
            break
        tried.append(host)
    return tried


@given(st.integers(0, 2**64 - 1), st.sampled_from(HOSTS))
def test_losing_a_host_moves_only_its_keys(key, lost):
    left = [host for host in HOSTS if host != lost]
    assert rank(left, key) == [host for host in rank(HOSTS, key) if host != lost]


def test_ranking_spreads_keys_and_ignores_the_order_of_hosts():
    firsts = Counter(rank(HOSTS, key)[0] for key in range(9_000))
    assert len(firsts) == 9
    assert max(firsts.values()) < 1_200
    assert rank(HOSTS, 5) == rank(HOSTS[::-1], 5)


def test_prefix_is_hashed_by_its_beginning():
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
def test_every_host_is_tried_once_before_giving_up(policy, stage, roles, slack):
    pool = []
    for host, role in zip(HOSTS, roles, strict=False):
        load = make_load(host=host, role=role) if role else None
        pool.append(Candidate(host, "howrah", load, 1.0, 0, 0))
    wanted = WANTED._replace(stage=stage, slack=slack)
    tried = choose_all(policy, wanted, pool)
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
    wanted = WANTED._replace(stage=stage)
    assert choose_all(choose_host, wanted, make_pool(**roles)) == expected


@pytest.mark.parametrize(
    ("more", "wanted", "taken"),
    [
        ({"draining": True}, WANTED, False),
        ({"model": "other"}, WANTED, False),
        ({}, WANTED._replace(adapter="lace"), True),
        ({}, WANTED._replace(adapter="silk"), False),
    ],
)
def test_hosts_that_cannot_serve_are_left_out(more, wanted, taken):
    found = choose_host(wanted, [make_candidate("a", **more)], ())
    assert found == ("a" if taken else None)


def test_an_unknown_load_may_have_the_adapter():
    candidate = Candidate("a", "howrah", None, 0.0, 0, 0)
    assert choose_host(WANTED._replace(adapter="silk"), [candidate], ()) == "a"


def test_a_prefix_stays_with_its_host():
    pool = [make_candidate(host) for host in HOSTS]
    chosen = {
        choose_host(WANTED, pool[number:] + pool[:number], ()) for number in range(9)
    }
    assert len(chosen) == 1


def test_a_hot_prefix_spills_over():
    """All callers send the same prefix, and reports don't come.

    Own requests are counted at once, so the first host of the ranking is passed over
    when it is well over the mean; without the bound it would get all of them.
    """
    counts = Counter()
    for _ in range(90):
        pool = [make_candidate(host, in_flight=counts[host]) for host in HOSTS]
        counts[choose_host(WANTED, pool, ())] += 1
    assert max(counts.values()) <= 20


def test_a_lagging_report_does_not_draw_a_burst():
    """A host reported idle a second ago, and an entry sends it a burst.

    Trusting the report sends all forty there; own requests sent since the report are
    added to it, so that the burst spreads before the next report comes.
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
            wanted = WANTED._replace(prefix=number)
            counts[POLICIES[name](wanted, pool, ())] += 1
        shares[name] = counts[HOSTS[0]]
    assert shares["least_reported"] == 40
    assert shares["rendezvous"] <= 10


def test_own_requests_count_before_the_next_report():
    """No host fits the slack, and all but one reported a wait of 0.1 s.

    The idle one gets a few requests, until what was sent since its report makes it the
    slower choice; by the reports alone it would get all of them up to its slots.
    """
    counts = Counter()
    for _ in range(40):
        pool = [
            make_candidate(host, wait=0.1 * (host != HOSTS[0]), in_flight=counts[host])
            for host in HOSTS
        ]
        counts[choose_host(WANTED._replace(slack=0.0), pool, ())] += 1
    assert counts[HOSTS[0]] <= 8


def test_work_that_fits_nowhere_goes_where_it_waits_least():
    pool = [
        make_candidate(host, wait=float(number + 5))
        for number, host in enumerate(HOSTS)
    ]
    assert choose_host(WANTED._replace(slack=1.0), pool, ()) == HOSTS[0]


def test_an_overloaded_role_spills_to_another_that_fits():
    pool = [make_candidate("m", wait=60.0), make_candidate("d", role=DECODE)]
    assert choose_host(WANTED, pool, ()) == "d"


def test_a_stale_report_says_nothing_about_the_wait():
    fresh = make_candidate("a", wait=60.0)
    stale = fresh._replace(host="b", load_age=60.0)
    assert choose_host(WANTED, [fresh, stale], ()) == "b"


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
def test_splits_where_handing_over_pays(roles, prompt, expected):
    wanted = WANTED._replace(prompt_tokens=prompt)
    assert needs_split(make_pool(**roles), wanted) is expected


def test_splits_when_mixed_hosts_are_busy():
    pool = [*make_pool(p=PREFILL, d=DECODE), make_candidate("m", wait=5.0)]
    wanted = WANTED._replace(prompt_tokens=8_000)
    assert needs_split(pool, wanted)
    assert not needs_split(pool, wanted._replace(max_tokens=1))


def test_a_role_that_answers_far_sooner_goes_first():
    """Mixed hosts are busy, though not beyond the deadline; a decode host is idle.

    By role alone each request would wait seconds there until the deadlines are reached,
    with the decode host left idle until then.
    """
    pool = [make_candidate("m", wait=5.0), make_candidate("d", role=DECODE)]
    assert choose_host(WANTED, pool, ()) == "d"
    pool = [make_candidate("m", wait=0.1), make_candidate("d", role=DECODE)]
    assert choose_host(WANTED, pool, ()) == "m"


def test_the_present_pace_tells_which_role_is_sooner():
    """Both report no wait, but the mixed host decodes four times slower at present."""
    slow = make_candidate("m", token_seconds=0.08)
    pool = [slow, make_candidate("d", role=DECODE)]
    assert choose_host(WANTED, pool, ()) == "d"
    stale = slow._replace(load_age=60.0)
    assert choose_host(WANTED, [stale, pool[1]], ()) == "m"


@pytest.mark.parametrize(
    ("prompt", "output", "expected"), [(65, 80, "d"), (2_750, 130, "m"), (65, 1, "m")]
)
def test_work_goes_to_the_role_that_it_costs_least(prompt, output, expected):
    """Two idle hosts: the decode one has three times the places and slow prefill.

    By a fixed order of roles, long prompts fill the mixed host up, then spill to the
    decode host and hold up there what decodes twice as fast as anywhere else.
    """
    decode = {"role": DECODE, "prefill_rate": 3_900.0, "slots": 48}
    pool = [make_candidate("m"), make_candidate("d", **decode)]
    wanted = WANTED._replace(prompt_tokens=prompt, max_tokens=output)
    assert choose_host(wanted, pool, ()) == expected


def test_what_spills_over_spreads():
    """Forty prefixes whose first hosts are full; the other six report no wait.

    By name, every entry sent all of these to the same host until the next report.
    """
    counts = Counter()
    for number in range(40):
        wanted = WANTED._replace(prefix=number)
        few = rank(HOSTS, hash_key(wanted))[:3]
        pool = [
            make_candidate(
                host,
                running=16 * (host in few),
                in_flight=counts[host],
                reported=counts[host],
            )
            for host in HOSTS
        ]
        counts[choose_host(wanted, pool, ())] += 1
    assert max(counts.values()) <= 8


@pytest.mark.parametrize("prompt", [70, 4_000])
def test_a_shorter_reported_wait_does_not_move_a_key(prompt):
    """The first host of the ranking reports 0.3 s of work more than the others.

    It fits and is balanced. All entries see the same reports: if each moved its keys to
    the host that looks best, all bursts went there at once.
    """
    wanted = WANTED._replace(prompt_tokens=prompt)
    first = rank(HOSTS, hash_key(wanted))[0]
    pool = [make_candidate(host, wait=0.3 * (host == first)) for host in HOSTS]
    assert choose_host(wanted, pool, ()) == first
