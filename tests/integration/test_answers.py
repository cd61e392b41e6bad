"""Test that each caller gets its own whole answer, once, whatever fails under it."""

import json
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPResponse

import pytest

from bench.fleet import Fleet, post_json
from tests.integration.callers import (
    Answer,
    Load,
    Reply,
    Stream,
    call,
    connect,
    expect_text,
    make_headers,
)
from tests.integration.common import (
    ENGINES,
    POLICY,
    POLICY_FILE,
    ROLES_FILE,
    STREAM_TOKENS,
    configure,
    find_busy_engine,
    find_revisions,
    has_role,
    make_roles,
    read_engine,
    set_fault,
    start_streams,
)

STREAMS = 8
CALLERS = 6
LOAD_TOKENS = 40
SHORT_DRAIN_SECONDS = 0.3

Fault = Callable[[Fleet, str], None]

FAULTS: dict[str, Fault] = {
    "agent killed": lambda fleet, host: fleet.kill(host),
    "agent paused": lambda fleet, host: fleet.pause(host),
    "links cut": lambda fleet, host: fleet.network.cut(far=host),
    "links cut towards the agent": lambda fleet, host: [
        fleet.network.cut_one_way(entry, host, "up") for entry in fleet.entries
    ],
    "links cut from the agent": lambda fleet, host: [
        fleet.network.cut_one_way(entry, host, "down") for entry in fleet.entries
    ],
    "links silent for good": lambda fleet, host: fleet.network.go_silent(far=host),
    "engine cut off": lambda fleet, host: fleet.network.cut(host, "upstream"),
    "engine connections silent for good": lambda fleet, host: fleet.network.go_silent(
        host, "upstream"
    ),
    "engine crashed": lambda fleet, host: set_fault(
        fleet.upstreams[host].url, crash=True
    ),
    "all links silent": lambda fleet, host: [
        fleet.network.go_silent(far=engine) for engine in ENGINES
    ],
    "agent killed, store away": lambda fleet, host: [
        set_fault(fleet.standins["table"].url, mode="down"),
        fleet.kill(host),
    ],
    "links silent and engine crashed": lambda fleet, host: [
        fleet.network.go_silent(far=host),
        set_fault(fleet.upstreams[host].url, crash=True),
    ],
}


@pytest.mark.parametrize("fault", FAULTS)
def test_answers_survive_a_fault(fleet: Fleet, fault: str) -> None:
    """Callers see their answers go on after a pause, without a gap or a repeat.

    Eight answers flow over both entries when the engine that runs most of them, its
    agent or the links to it fail. The entries find the link silent or closed, come back
    to the agent or go on at another engine from the last token they have.
    """
    streams = start_streams(fleet, STREAMS, fault)
    FAULTS[fault](fleet, find_busy_engine(fleet))
    check_all_whole([stream.wait() for stream in streams])


def test_a_paused_agent_that_wakes_adds_nothing(fleet: Fleet) -> None:
    """Callers see each token once, though two engines made some of them.

    The agent is paused until the entries have gone on elsewhere, and wakes while the
    answers still flow: it sends the tokens of its old attempts. Only the attempt that
    an entry listens to now may reach the caller.
    """
    streams = start_streams(fleet, STREAMS, "late")
    host = find_busy_engine(fleet)
    fleet.pause(host)
    half = [len(stream.answer.parts) for stream in streams]

    def went_on() -> bool:
        pairs = zip(streams, half, strict=True)
        return all(
            not one.is_alive() or len(one.answer.parts) > parts + 2
            for one, parts in pairs
        )

    fleet.wait_until(went_on, "the answers to go on elsewhere")
    fleet.resume(host)
    check_all_whole([stream.wait() for stream in streams])


def test_answers_of_a_killed_entry_are_never_taken_for_whole(fleet: Fleet) -> None:
    """Callers of the killed entry see their connections end early, and no [DONE].

    An entry is killed with answers half out; nobody can finish them, since the callers'
    connections died with it. Callers of the other entry notice nothing.
    """
    streams = start_streams(fleet, STREAMS, "entry killed")
    fleet.kill("entry-1")
    answers = [stream.wait() for stream in streams]
    for answer in answers:
        answer.check()
    lost = [s.answer for s in streams if s.url == fleet.entries["entry-1"].url]
    assert lost and not any(answer.is_whole for answer in lost)
    assert all(a.is_whole for a in answers if a not in lost)


def test_answers_that_are_not_streamed_survive_a_fault(fleet: Fleet) -> None:
    """Callers who wait for whole answers get them a little later, complete.

    The answers are half made when the agent of the busiest engine is killed; another
    engine goes on from the tokens that the entries have.
    """
    with ThreadPoolExecutor(STREAMS) as callers:
        urls = [entry.url for entry in fleet.entries.values()]
        asked = [
            callers.submit(ask_whole, urls[number % 2], f"whole {number}")
            for number in range(STREAMS)
        ]
        fleet.wait_until(lambda: count_open(fleet) == STREAMS, "the engines to begin")
        fleet.kill(find_busy_engine(fleet))
        replies = [one.result() for one in asked]
    for number, reply in enumerate(replies):
        assert reply.status == 200, reply
        [choice] = reply.body["choices"]
        assert choice["finish_reason"] == "length"
        assert choice["text"] == expect_text(f"whole {number}", STREAM_TOKENS)


@pytest.mark.parametrize("host", ["busy agent", "entry-1"])
def test_a_planned_stop_cuts_nothing(fleet: Fleet, host: str) -> None:
    """Callers notice nothing of a planned stop; the process ends by itself with code 0.

    SIGTERM comes with answers half out. An agent tells its entries, gives back what has
    not begun and lets the rest finish; an entry takes no new connections and ends when
    the last byte of its last answer is out. No engine begins anything a second time.
    """
    streams = start_streams(fleet, STREAMS, f"stop of {host}")
    begun = list_begun(fleet)
    chosen = find_busy_engine(fleet) if host == "busy agent" else host
    process = fleet.terminate(chosen).process
    check_all_whole([stream.wait() for stream in streams])
    assert list_begun(fleet) == begun
    assert process.wait(30) == 0


def test_a_short_drain_moves_answers_and_cuts_nothing(fleet: Fleet) -> None:
    """Callers notice nothing, though their engine's agent stops before they are done.

    The policy gives running answers less time than they need. The agent has the engine
    export their KV cache and hands them over; other engines go on from there.
    """
    short = {"policy": {**POLICY["policy"], "drain_seconds": SHORT_DRAIN_SECONDS}}
    revision = configure(fleet, {POLICY_FILE: short})
    fleet.wait_until(lambda: is_in_force(fleet, revision), "the policy to be in force")
    streams = start_streams(fleet, STREAMS, "short drain")
    begun = list_begun(fleet)
    host = find_busy_engine(fleet)
    process = fleet.terminate(host).process
    check_all_whole([stream.wait() for stream in streams])
    assert process.wait(30) == 0
    assert list_begun(fleet) > begun
    configure(fleet, {POLICY_FILE: POLICY})


def test_a_drain_by_an_operator_cuts_nothing(fleet: Fleet) -> None:
    """Callers notice nothing of a drain and of its end.

    An operator drains the busiest engine with answers half out; they finish there, and
    new work goes to the others until the drain is taken back.
    """
    streams = start_streams(fleet, STREAMS, "drain")
    host = find_busy_engine(fleet)
    order_drain(fleet, host, True)
    fleet.wait_until(lambda: is_draining(fleet, host), "the drain to be seen")
    before = set(read_engine(fleet, host)["requests"])
    later = [
        Stream(entry.url, f"after {number}", LOAD_TOKENS)
        for number in range(6)
        for entry in fleet.entries.values()
    ]
    check_all_whole([stream.wait() for stream in (*streams, *later)])
    assert set(read_engine(fleet, host)["requests"]) == before
    order_drain(fleet, host, False)


def test_role_changes_under_load_cut_nothing(fleet: Fleet) -> None:
    """Callers notice nothing while an engine changes its role and back.

    Operators configure another role for one engine while both entries are under load.
    The planner writes a plan, the agent drains the engine, orders the change and takes
    work again; meanwhile the other engines answer.
    """
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, LOAD_TOKENS)
    for role in ("decode", "mixed"):
        configure(fleet, {ROLES_FILE: make_roles(gown_1=role)})
        fleet.wait_until(
            lambda wanted=role: has_role(fleet, "gown-1", wanted), f"the role {role}"
        )
    answered = len(load.answers)
    fleet.wait_until(lambda: len(load.answers) > answered + CALLERS, "more answers")
    check_all_whole(load.stop())
    engine = read_engine(fleet, "gown-1")
    assert engine["cut"] == 0
    assert [order["role"] for order in engine["orders"]] == ["decode", "mixed"]


def test_an_engine_that_crashes_in_its_change_cuts_nothing(fleet: Fleet) -> None:
    """Callers notice nothing when the engine dies halfway through a change of role.

    The engine was drained before the order, so that nothing runs there when it crashes.
    It comes back with its old role; the agent sees that and orders the change again.
    """
    set_fault(fleet.upstreams["gown-2"].url, crash_in_change=True)
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, LOAD_TOKENS)
    configure(fleet, {ROLES_FILE: make_roles(gown_2="decode")})
    engine = fleet.upstreams["gown-2"].process
    fleet.wait_until(lambda: engine.poll() is not None, "the engine to crash")
    fleet.restart_upstream("gown-2")
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "decode"), "the second change")
    check_all_whole(load.stop())
    configure(fleet, {ROLES_FILE: None})
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "mixed"), "the way back")


def test_a_stopping_entry_ends_its_idle_connections(fleet: Fleet) -> None:
    """A caller's next request is answered, and it is told to connect anew after it.

    Two connections are idle at SIGTERM. Left open they would be cut just as a next
    request goes out. While the balancer still sends requests here, each is answered
    and closes its connection; what is idle after that is closed, and the entry ends.
    """
    url = fleet.entries["entry-2"].url
    used, idle = connect(url), connect(url)
    for connection in (used, idle):
        assert ask_models(connection).getheader("Connection") == "keep-alive"
    process = fleet.terminate("entry-2").process
    fleet.wait_until(lambda: not is_ready(url), "its readiness to go red")
    reply = ask_models(used)
    assert (reply.status, reply.getheader("Connection")) == (200, "close")
    assert idle.sock.recv(1) == b""
    assert process.wait(20) == 0


def ask_models(connection: HTTPConnection) -> HTTPResponse:
    """Ask for the models on a connection that is kept open."""
    connection.request("GET", "/v1/models", headers=make_headers())
    response = connection.getresponse()
    response.read()
    return response


def is_ready(url: str) -> bool:
    """Tell what an entry says to the balancer."""
    return call(url, "GET", "/readyz").status == 200


def is_in_force(fleet: Fleet, revision: int) -> bool:
    """Tell whether a revision is in force everywhere."""
    known = [find_revisions(fleet, entry).values() for entry in fleet.entries]
    return all(set(revisions) == {revision} for revisions in known)


def list_begun(fleet: Fleet) -> set[str]:
    """List all attempts that the engines have begun."""
    return {name for host in ENGINES for name in read_engine(fleet, host)["requests"]}


def ask_whole(url: str, prompt: str) -> Reply:
    """Ask for an answer in one piece."""
    body = {"model": "gown-llm", "prompt": prompt, "max_tokens": STREAM_TOKENS}
    return call(url, "POST", "/v1/completions", json.dumps(body))


def count_open(fleet: Fleet) -> int:
    """Count the requests that are under way at the engines."""
    hosts = [fleet.status(entry)["hosts"] for entry in fleet.entries]
    return sum(
        one[engine]["in_flight_from_here"] for one in hosts for engine in ENGINES
    )


def order_drain(fleet: Fleet, host: str, drained: bool) -> None:
    """Drain a host or take the drain back."""
    url = f"{fleet.entries['entry-1'].url}/operators/v1/hosts/{host}/drain"
    post_json(url, {"drained": drained, "cause": "test"}, fleet.operator_key)


def is_draining(fleet: Fleet, host: str) -> bool:
    """Tell whether both entries know that a host is drained."""
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(status["hosts"][host].get("draining") for status in statuses)


def check_all_whole(answers: list[Answer]) -> None:
    """Hold every answer to be whole and its own."""
    assert answers
    for answer in answers:
        answer.check()
    cut = [answer for answer in answers if not answer.is_whole]
    assert not cut, f"{len(cut)} of {len(answers)} cut: {cut[0]}"
