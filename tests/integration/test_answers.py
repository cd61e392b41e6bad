"""Tests that each caller gets its own complete answer once, despite faults."""

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
    """Answers continue after a pause, without gaps or repeated tokens.

    Eight answers stream through both entries when the engine that runs most of them,
    its agent or the links to it fail. The entries detect the silent or closed link and
    attach to the agent again or continue at another engine from the last token.
    """
    streams = start_streams(fleet, STREAMS, fault)
    FAULTS[fault](fleet, find_busy_engine(fleet))
    check_all_complete([stream.wait() for stream in streams])


def test_tokens_of_a_resumed_agent_are_ignored(fleet: Fleet) -> None:
    """Callers get each token once although two engines produced some of them.

    An agent is paused until the entries have continued at other hosts. It resumes
    while the answers still stream and sends the tokens of its old attempts. Only
    tokens of the current attempt may reach the caller.
    """
    streams = start_streams(fleet, STREAMS, "late")
    host = find_busy_engine(fleet)
    fleet.pause(host)
    parts_before = [len(stream.answer.parts) for stream in streams]

    def have_continued() -> bool:
        pairs = zip(streams, parts_before, strict=True)
        return all(
            not one.is_alive() or len(one.answer.parts) > parts + 2
            for one, parts in pairs
        )

    fleet.wait_until(have_continued, "the answers to go on elsewhere")
    fleet.resume(host)
    check_all_complete([stream.wait() for stream in streams])


def test_answers_of_a_killed_entry_never_look_complete(fleet: Fleet) -> None:
    """Streams of a killed entry end early and without [DONE].

    An entry is killed in the middle of answers. They can't be completed because the
    callers' connections ended with it. Answers of the other entry are not affected.
    """
    streams = start_streams(fleet, STREAMS, "entry killed")
    fleet.kill("entry-1")
    answers = [stream.wait() for stream in streams]
    for answer in answers:
        answer.check()
    lost = [s.answer for s in streams if s.url == fleet.entries["entry-1"].url]
    assert lost and not any(answer.is_complete for answer in lost)
    assert all(a.is_complete for a in answers if a not in lost)


def test_answers_that_are_not_streamed_survive_a_fault(fleet: Fleet) -> None:
    """Answers that are not streamed arrive complete, with a delay.

    The agent of the busiest engine is killed in the middle of the answers. Another
    engine continues from the tokens that the entries have received.
    """
    with ThreadPoolExecutor(STREAMS) as callers:
        urls = [entry.url for entry in fleet.entries.values()]
        asked = [
            callers.submit(request_completion, urls[number % 2], f"whole {number}")
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
def test_planned_stop_interrupts_no_answer(fleet: Fleet, host: str) -> None:
    """A planned stop interrupts no answer, and the process exits with code 0.

    SIGTERM arrives in the middle of answers. An agent notifies its entries, refuses
    queued work and lets the rest finish. An entry accepts no new connections and exits
    after the last byte of its last answer is sent. No engine begins any work twice.
    """
    streams = start_streams(fleet, STREAMS, f"stop of {host}")
    begun = list_begun_attempts(fleet)
    chosen = find_busy_engine(fleet) if host == "busy agent" else host
    process = fleet.terminate(chosen).process
    check_all_complete([stream.wait() for stream in streams])
    assert list_begun_attempts(fleet) == begun
    assert process.wait(30) == 0


def test_short_drain_hands_over_all_answers(fleet: Fleet) -> None:
    """A drain that is shorter than the running answers interrupts none of them.

    The policy gives running answers less time than they need. The agent has the engine
    export their KV cache and hands them over, and other engines continue them.
    """
    short = {"policy": {**POLICY["policy"], "drain_seconds": SHORT_DRAIN_SECONDS}}
    revision = configure(fleet, {POLICY_FILE: short})
    fleet.wait_until(lambda: is_in_force(fleet, revision), "the policy to be in force")
    streams = start_streams(fleet, STREAMS, "short drain")
    begun = list_begun_attempts(fleet)
    host = find_busy_engine(fleet)
    process = fleet.terminate(host).process
    check_all_complete([stream.wait() for stream in streams])
    assert process.wait(30) == 0
    assert list_begun_attempts(fleet) > begun
    configure(fleet, {POLICY_FILE: POLICY})


def test_drain_by_an_operator_interrupts_no_answer(fleet: Fleet) -> None:
    """A drain by an operator and its end interrupt no answer.

    An operator drains the busiest engine in the middle of answers. They finish there,
    and new work goes to the other engines until the drain ends.
    """
    streams = start_streams(fleet, STREAMS, "drain")
    host = find_busy_engine(fleet)
    set_drain(fleet, host, True)
    fleet.wait_until(lambda: is_draining(fleet, host), "the drain to be seen")
    before = set(read_engine(fleet, host)["requests"])
    later = [
        Stream(entry.url, f"after {number}", LOAD_TOKENS)
        for number in range(6)
        for entry in fleet.entries.values()
    ]
    check_all_complete([stream.wait() for stream in (*streams, *later)])
    assert set(read_engine(fleet, host)["requests"]) == before
    set_drain(fleet, host, False)


def test_role_changes_under_load_interrupt_no_answer(fleet: Fleet) -> None:
    """A change of an engine's role and back interrupts no answer.

    Operators configure another role for one engine while both entries are under load.
    The planner writes a plan, the agent drains the engine, orders the change and then
    accepts work again. Meanwhile the other engines serve the load.
    """
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, LOAD_TOKENS)
    for role in ("decode", "mixed"):
        configure(fleet, {ROLES_FILE: make_roles(gown_1=role)})
        fleet.wait_until(
            lambda wanted=role: has_role(fleet, "gown-1", wanted), f"the role {role}"
        )
    answered = len(load.answers)
    fleet.wait_until(lambda: len(load.answers) > answered + CALLERS, "more answers")
    check_all_complete(load.stop())
    engine = read_engine(fleet, "gown-1")
    assert engine["cut"] == 0
    assert [order["role"] for order in engine["orders"]] == ["decode", "mixed"]


def test_engine_crash_during_a_change_interrupts_no_answer(fleet: Fleet) -> None:
    """An engine that crashes during a role change interrupts no answer.

    The engine was drained before the order, so nothing runs there when it crashes. It
    restarts with its old role; the agent detects that and orders the change again.
    """
    set_fault(fleet.upstreams["gown-2"].url, crash_in_change=True)
    load = Load([entry.url for entry in fleet.entries.values()], CALLERS, LOAD_TOKENS)
    configure(fleet, {ROLES_FILE: make_roles(gown_2="decode")})
    engine = fleet.upstreams["gown-2"].process
    fleet.wait_until(lambda: engine.poll() is not None, "the engine to crash")
    fleet.restart_upstream("gown-2")
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "decode"), "the second change")
    check_all_complete(load.stop())
    configure(fleet, {ROLES_FILE: None})
    fleet.wait_until(lambda: has_role(fleet, "gown-2", "mixed"), "the change back")


def test_stopping_entry_closes_its_idle_connections(fleet: Fleet) -> None:
    """A stopping entry answers requests on idle connections and then closes them.

    Two connections are idle at SIGTERM. If they stayed open they would break just as a
    caller sends its next request. While the load balancer still sends requests here,
    each is answered and its connection closed. Connections that are idle after that
    are closed, and the entry ends.
    """
    url = fleet.entries["entry-2"].url
    used, idle = connect(url), connect(url)
    for connection in (used, idle):
        assert ask_models(connection).getheader("Connection") == "keep-alive"
    process = fleet.terminate("entry-2").process
    fleet.wait_until(lambda: not is_ready(url), "it to report not ready")
    reply = ask_models(used)
    assert (reply.status, reply.getheader("Connection")) == (200, "close")
    assert idle.sock.recv(1) == b""
    assert process.wait(20) == 0


def ask_models(connection: HTTPConnection) -> HTTPResponse:
    """Request the list of models on a persistent connection."""
    connection.request("GET", "/v1/models", headers=make_headers())
    response = connection.getresponse()
    response.read()
    return response


def is_ready(url: str) -> bool:
    """Return whether an entry reports to be ready."""
    return call(url, "GET", "/readyz").status == 200


def is_in_force(fleet: Fleet, revision: int) -> bool:
    """Return whether a revision is in force at all hosts."""
    known = [find_revisions(fleet, entry).values() for entry in fleet.entries]
    return all(set(revisions) == {revision} for revisions in known)


def list_begun_attempts(fleet: Fleet) -> set[str]:
    """Return all attempts that the engines have begun."""
    return {name for host in ENGINES for name in read_engine(fleet, host)["requests"]}


def request_completion(url: str, prompt: str) -> Reply:
    """Request an answer that is not streamed."""
    body = {"model": "gown-llm", "prompt": prompt, "max_tokens": STREAM_TOKENS}
    return call(url, "POST", "/v1/completions", json.dumps(body))


def count_open(fleet: Fleet) -> int:
    """Count the requests in flight at the engines."""
    hosts = [fleet.status(entry)["hosts"] for entry in fleet.entries]
    return sum(
        one[engine]["in_flight_from_here"] for one in hosts for engine in ENGINES
    )


def set_drain(fleet: Fleet, host: str, drained: bool) -> None:
    """Drain a host or end its drain."""
    url = f"{fleet.entries['entry-1'].url}/operators/v1/hosts/{host}/drain"
    post_json(url, {"drained": drained, "cause": "test"}, fleet.operator_key)


def is_draining(fleet: Fleet, host: str) -> bool:
    """Return whether both entries know that a host is drained."""
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return all(status["hosts"][host].get("draining") for status in statuses)


def check_all_complete(answers: list[Answer]) -> None:
    """Check that every answer is correct and complete."""
    assert answers
    for answer in answers:
        answer.check()
    cut = [answer for answer in answers if not answer.is_complete]
    assert not cut, f"{len(cut)} of {len(answers)} incomplete: {cut[0]}"
