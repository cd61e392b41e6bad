"""Tests that calls that are not idempotent run at most once, despite faults."""

import time
from collections import Counter
from collections.abc import Callable

import pytest

from bench.fleet import Fleet
from tests.integration.callers import Reminder, Reply, send_reminder
from tests.integration.common import SERVICES, count_runs, restore, set_fault

KEYS = 12
TRIES = 4
PATH = "/services/booking-app/reminders"
IMMEDIATE_SECONDS = 1.5
"""Time limit for an immediate refusal; less than a claim waits for the store."""

Fault = Callable[[Fleet], object]


def lose_service_replies(fleet: Fleet) -> None:
    """Let both services run some calls and lose the replies."""
    for host in SERVICES:
        set_fault(fleet.upstreams[host].url, mode="lose_reply", count=3)


def lose_table_replies(fleet: Fleet) -> None:
    """Let the table lose the replies to some reads and writes."""
    set_fault(fleet.standins["table"].url, mode="lose_reply", count=6)


def take_table_down(fleet: Fleet) -> None:
    """Let the table refuse everything."""
    set_fault(fleet.standins["table"].url, mode="down")


def slow_table(fleet: Fleet) -> None:
    """Let the table answer more slowly than a claim may take."""
    set_fault(fleet.standins["table"].url, mode="slow", seconds=3)


def kill_entry(fleet: Fleet) -> None:
    """Kill one of the two entries."""
    fleet.kill("entry-1")


def kill_agent(fleet: Fleet) -> None:
    """Kill the agent of one of the two services."""
    fleet.kill("booking-1")


def stop_agent(fleet: Fleet) -> None:
    """Start a planned stop of one of the two agents."""
    fleet.terminate("booking-1")


def stop_entry(fleet: Fleet) -> None:
    """Start a planned stop of one of the two entries."""
    fleet.terminate("entry-1")


def pause_entry(fleet: Fleet) -> None:
    """Pause an entry that has claims and calls in flight."""
    fleet.pause("entry-1")


def silence_links(fleet: Fleet) -> None:
    """Let all links to the services go silent permanently."""
    for host in SERVICES:
        fleet.network.go_silent(far=host)


def cut_links(fleet: Fleet) -> None:
    """Cut one agent off from both entries."""
    fleet.network.cut(far="booking-1")


def lose_answers(fleet: Fleet) -> None:
    """Lose all messages that one agent sends."""
    for entry in fleet.entries:
        fleet.network.cut_one_way(entry, "booking-1", "down")


def cut_service(fleet: Fleet) -> None:
    """Cut the connections between one agent and its service."""
    fleet.network.cut("booking-1", "upstream")


def silence_table(fleet: Fleet) -> None:
    """Let the open connections to the table go silent permanently."""
    fleet.network.go_silent(far="table")


def silence_service(fleet: Fleet) -> None:
    """Let the open connections of agents to services go silent permanently."""
    fleet.network.go_silent("booking-1", "upstream")
    fleet.network.go_silent("booking-2", "upstream")


FAULTS: dict[str, tuple[Fault, ...]] = {
    "none": (),
    "service replies lost": (lose_service_replies,),
    "table replies lost": (lose_table_replies,),
    "table down": (take_table_down,),
    "table slow": (slow_table,),
    "table connections silent": (silence_table,),
    "service connections silent": (silence_service,),
    "entry killed": (kill_entry,),
    "entry stopped": (stop_entry,),
    "entry paused": (pause_entry,),
    "agent killed": (kill_agent,),
    "agent stopped": (stop_agent,),
    "links silent": (silence_links,),
    "links cut": (cut_links,),
    "links cut from the agent": (lose_answers,),
    "service cut off": (cut_service,),
    "entry killed, table replies lost": (lose_table_replies, kill_entry),
    "agent killed, service replies lost": (lose_service_replies, kill_agent),
    "links silent, table down": (silence_links, take_table_down),
    "entry paused, agent killed": (pause_entry, kill_agent),
}


@pytest.mark.parametrize("faults", FAULTS)
def test_reminders_run_at_most_once(fleet: Fleet, faults: str) -> None:
    """No reminder runs twice, and "not run" is true, although callers repeat.

    Callers send reminders under keys and repeat each at both entries in turn until it
    succeeds. The faults are injected while the first calls run, and more calls follow.
    Each claim is stored in the table before its call is sent, and a call whose outcome
    is unknown is never run again.
    """
    wait_for_claims(fleet)
    names = [f"{faults} {number}" for number in range(KEYS)]
    reminders = send_reminders(fleet, names[: KEYS // 2])
    fleet.wait_until(lambda: count_runs_of(fleet, names) > 0, "the first call to run")
    for fault in FAULTS[faults]:
        fault(fleet)
    reminders += send_reminders(fleet, names[KEYS // 2 :])
    if pause_entry in FAULTS[faults]:
        wait_for_other_callers(fleet, reminders)
        fleet.resume("entry-1")
    replies = {one.key: one.wait() for one in reminders}
    if silence_service in FAULTS[faults]:
        # The agent waits for such a call for as long as its connection is open.
        fleet.network.cut(far="upstream")
    restore(fleet)
    runs = wait_until_idle(fleet)
    for key, key_replies in replies.items():
        check_reminder(runs[key], key_replies)
    if not FAULTS[faults]:
        assert all(key_replies[-1].status == 200 for key_replies in replies.values())


def test_concurrent_repeats_at_both_entries_run_once(fleet: Fleet) -> None:
    """A reminder sent to both entries at once runs once and is answered by both.

    Both entries claim the key at the same time, and the table grants one claim. The
    other entry waits for the outcome.
    """
    wait_for_claims(fleet)
    urls = [entry.url for entry in fleet.entries.values()]
    pairs = [
        [Reminder([url], f"twice {number}", TRIES, PATH) for url in urls]
        for number in range(KEYS)
    ]
    replies = [[one.wait()[-1] for one in pair] for pair in pairs]
    runs = count_runs(fleet)
    for number, (one, two) in enumerate(replies):
        assert runs[f"twice {number}"] == 1
        assert one.status == two.status == 200
        assert one.body == two.body


def test_reminder_is_refused_at_once_while_the_store_is_unavailable(
    fleet: Fleet,
) -> None:
    """Without the store a reminder is refused at once as not run, with a retry time.

    No claim can be made without the table, so the call is not begun. Once the table is
    back, the same key runs, because the refusal left no state.
    """
    urls = [entry.url for entry in fleet.entries.values()]
    take_table_down(fleet)
    response_times = []
    for number, url in enumerate(urls):
        # The first refusal takes as long as a claim may take. Then the outage is known.
        assert send_reminder(url, f"first {number}").ran == "no"
        started = time.monotonic()
        reply = send_reminder(url, f"away {number}")
        response_times.append(time.monotonic() - started)
        assert (reply.status, reply.ran) == (503, "no")
        assert int(reply.headers["Retry-After"]) >= 1
    assert max(response_times) < IMMEDIATE_SECONDS
    set_fault(fleet.standins["table"].url, mode="up")
    for number, url in enumerate(urls):
        reply = Reminder([url], f"away {number}", TRIES, PATH).wait()[-1]
        assert reply.status == 200
        assert count_runs(fleet)[f"away {number}"] == 1


def test_repeat_after_an_entry_died_runs_no_second_time(fleet: Fleet) -> None:
    """A repeat after the entry died gets the first answer or "unknown".

    The entry is killed while the call runs. The agent still knows the key and the
    outcome. Whatever the other entry answers, the reminder must not run a second time.
    """
    wait_for_claims(fleet)
    first = Reminder([fleet.entries["entry-1"].url], "orphan", 1, PATH)
    fleet.wait_until(lambda: count_runs(fleet)["orphan"] > 0, "the call to run")
    fleet.kill("entry-1")
    assert first.wait()[-1].status != 200
    reply = Reminder([fleet.entries["entry-2"].url], "orphan", TRIES, PATH).wait()[-1]
    assert reply.status == 200 or reply.ran == "unknown"
    assert count_runs(fleet)["orphan"] == 1


def wait_for_claims(fleet: Fleet) -> None:
    """Wait until both entries grant claims after the faults of earlier tests."""

    def is_granted(url: str) -> bool:
        return send_reminder(url, f"before {time.monotonic()}").status == 200

    for entry in fleet.entries.values():
        fleet.wait_until(lambda url=entry.url: is_granted(url), "claims to be granted")


def send_reminders(fleet: Fleet, names: list[str]) -> list[Reminder]:
    """Send a reminder under each key, alternating between the entries."""
    urls = [entry.url for entry in fleet.entries.values()]
    return [
        Reminder(urls[number % 2 :] + urls[: number % 2], name, TRIES, PATH)
        for number, name in enumerate(names)
    ]


def count_runs_of(fleet: Fleet, keys: list[str]) -> int:
    """Count the runs of the given keys."""
    runs = count_runs(fleet)
    return sum(runs[key] for key in keys)


def wait_for_other_callers(fleet: Fleet, reminders: list[Reminder]) -> None:
    """Wait until the callers of the entry that is not paused have a reply."""
    paused = fleet.entries["entry-1"].url

    def have_replies() -> bool:
        others = [one for one in reminders if one._urls[0] != paused]
        return all(one.replies for one in others)

    fleet.wait_until(have_replies, "the other entry's callers to be answered")


def wait_until_idle(fleet: Fleet) -> Counter[str]:
    """Wait until no entry has work left, so that no further call can run."""

    def is_idle() -> bool:
        statuses = [fleet.status(entry) for entry in fleet.entries]
        return all(
            host.get("running", 0) == host.get("queued", 0) == 0
            for status in statuses
            for host in status["hosts"].values()
        )

    fleet.wait_until(is_idle, "all calls to end")
    return count_runs(fleet)


def check_reminder(runs: int, replies: list[Reply]) -> None:
    """Check a caller's replies against the number of runs."""
    assert runs <= 1, replies
    if any(reply.status == 200 for reply in replies):
        assert runs == 1
    if replies and all(reply.ran == "no" for reply in replies):
        assert runs == 0, replies
