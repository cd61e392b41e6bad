"""Tests of hosts that leave, are cut off or are missing in the host list."""

from bench.fleet import Fleet
from tests.integration.callers import Stream
from tests.integration.common import (
    find_busy_engine,
    read_engine,
    read_log,
    set_fault,
    start_streams,
)

TOKENS = 20
QUESTIONS_PER_ENTRY = 8
MAX_ROUNDS = 10


def test_leaving_host_that_is_still_listed_gets_no_new_work(fleet: Fleet) -> None:
    """A host that announces its leave gets no new work, and no answer is interrupted.

    SIGTERM reaches an agent with answers in flight while the host list still shows its
    host as live. The agent's announcement has precedence: it finishes its work, gets
    no more offers, and ends.
    """
    streams = start_streams(fleet, 8, "leaving")
    host = find_busy_engine(fleet)
    process = fleet.terminate(host).process
    fleet.wait_until(lambda: find_states(fleet, host) == {"leaving"}, "its leave")
    before = set(read_engine(fleet, host)["requests"])
    ask_both(fleet, "while it leaves")
    assert process.wait(30) == 0
    ask_both(fleet, "after it left")
    assert set(read_engine(fleet, host)["requests"]) == before
    for stream in streams:
        answer = stream.wait()
        answer.check()
        assert answer.is_complete


def test_host_cut_off_from_one_entry_serves_the_other(fleet: Fleet) -> None:
    """A host that one entry can't reach still serves the other entry.

    The path between one entry and one engine's agent is cut. That entry stops using
    the host. The other one continues to use it, whatever state its peer reports.
    """
    fleet.network.cut("entry-1", "gown-1")

    def is_left_out() -> bool:
        return fleet.status("entry-1")["hosts"]["gown-1"]["state"] != "live"

    fleet.wait_until(is_left_out, "the cut to be seen")
    assert fleet.status("entry-2")["hosts"]["gown-1"]["state"] == "live"
    before = len(read_engine(fleet, "gown-1")["requests"])
    rounds = 0
    while len(read_engine(fleet, "gown-1")["requests"]) == before:
        rounds += 1
        assert rounds < MAX_ROUNDS, "the other entry no longer uses the host"
        ask_one(fleet, "entry-2", f"from the other side {rounds}")
    ask_one(fleet, "entry-1", "past the cut")


def test_empty_host_list_removes_no_host(fleet: Fleet) -> None:
    """An empty or unreadable host list doesn't affect callers.

    If an empty list were applied, it would remove all engines at once. The links still
    show which hosts are alive.
    """
    for host, settings in fleet.settings.items():
        upstream = settings.get("upstream", {"name": "entry"})["name"]
        address = settings["address"]
        fleet.list_host(host, settings["place"], upstream, address, "gone")
    wait_for_list_read(fleet, "list:empty")
    ask_both(fleet, "empty")
    for host, settings in fleet.settings.items():
        upstream = settings.get("upstream", {"name": "entry"})["name"]
        fleet.list_host(host, settings["place"], upstream, settings["address"])
    set_fault(fleet.standins["hosts"].url, mode="down")
    wait_for_list_read(fleet, "list:unread")
    ask_both(fleet, "unreadable")


def test_host_restarts_while_the_list_is_unavailable(fleet: Fleet) -> None:
    """A killed agent rejoins without the host list, and callers are not affected.

    The list can't be read when the agent is killed and restarted. The entries still
    know its address and dial it again.
    """
    set_fault(fleet.standins["hosts"].url, mode="down")
    wait_for_list_read(fleet, "list:unread")
    fleet.kill("gown-1")
    ask_both(fleet, "without it")
    fleet.restart("gown-1")
    fleet.wait_until(lambda: find_states(fleet, "gown-1") == {"live"}, "its return")


def find_states(fleet: Fleet, host: str) -> set[str]:
    """Return the states of a host in the views of all entries."""
    statuses = [fleet.status(entry) for entry in fleet.entries]
    return {status["hosts"][host]["state"] for status in statuses}


def ask_both(fleet: Fleet, name: str) -> None:
    """Send requests to both entries and check that the answers are complete."""
    for entry in fleet.entries:
        ask_one(fleet, entry, name)


def ask_one(fleet: Fleet, entry: str, name: str) -> None:
    """Send concurrent requests to one entry; check that the answers are complete."""
    url = fleet.entries[entry].url
    streams = [
        Stream(url, f"{name} {number}", TOKENS) for number in range(QUESTIONS_PER_ENTRY)
    ]
    for stream in streams:
        answer = stream.wait()
        answer.check()
        assert answer.is_complete, answer


def wait_for_list_read(fleet: Fleet, message: str) -> None:
    """Wait until every entry has logged a new message of this kind about the list."""

    def count(entry: str) -> int:
        log = read_log(fleet, entry)
        return sum(line["message_type"] == message for line in log)

    before = {entry: count(entry) for entry in fleet.entries}
    fleet.wait_until(
        lambda: all(count(entry) > known for entry, known in before.items()), message
    )
