"""A broken invariant ends the process with its code, wherever it shows."""

import asyncio
from collections.abc import Callable

import pytest

from radishtally import runtime as module
from radishtally.links.hub import LinkCallbacks
from radishtally.process import Process
from radishtally.runtime import EXIT_BROKEN, Waker
from radishtally.settings.core import parse_settings
from tests.common import run

SETTINGS = """{
  "role": "agent", "host": "gown-1", "place": "howrah", "peer_key": "k",
  "address": "127.0.0.1:0",
  "table": {"url": "http://127.0.0.1:1"}, "objects": {"url": "http://127.0.0.1:1"},
  "host_list": {"url": "http://127.0.0.1:1"},
  "upstream": {"name": "gown-llm", "kind": "engine", "url": "http://127.0.0.1:1"},
}"""
WAIT_SECONDS = 10.0


class Broken(Exception):
    """Stand for a state that was held to be impossible."""


def fail(*_: object) -> None:
    """Break an invariant."""
    raise Broken


def fail_in_task(process: Process) -> None:
    """Break it in a task of the process."""

    async def work() -> None:
        fail()

    process.spawn(work())


def fail_in_link(process: Process) -> None:
    """Break it where a link hands a message over; the link swallows exceptions."""
    with pytest.raises(Broken):
        process.hub._callbacks.receive("entry-1", None)


def fail_in_timer(process: Process) -> None:
    """Break it when a timer calls back."""
    Waker(fail).wake_at(0.0)


def fail_in_guard(process: Process) -> None:
    """Break it where a library would answer with an error page."""
    with pytest.raises(Broken), process.guard():
        fail()


@pytest.mark.parametrize(
    "break_it", [fail_in_task, fail_in_link, fail_in_timer, fail_in_guard]
)
def test_a_broken_invariant_ends_the_process(
    break_it: Callable[[Process], None], monkeypatch: pytest.MonkeyPatch
):
    logged = []
    monkeypatch.setattr(
        module, "log_message", lambda name, **more: logged.append((name, more))
    )

    async def live() -> None:
        process = make_process()
        break_it(process)
        async with asyncio.timeout(WAIT_SECONDS):
            await process.stopping.wait()
        with pytest.raises(SystemExit) as end:
            await process.unload()
        assert end.value.code == EXIT_BROKEN

    run(live())
    [(name, more)] = [one for one in logged if one[0] == "process:broken"]
    assert "Broken" in more["error"] and "Traceback" in more["traceback"]


def test_an_error_of_a_library_ends_nothing():
    async def live() -> None:
        process = make_process()
        loop = asyncio.get_running_loop()
        error = ConnectionResetError()
        loop.call_exception_handler({"message": "lost", "exception": error})
        await asyncio.sleep(0)
        assert not process.stopping.is_set()
        await process.unload()

    run(live())


def make_process() -> Process:
    """Make a process that listens nowhere."""
    process = Process(parse_settings(SETTINGS, "s.json").ok)
    process.make_hub(LinkCallbacks(fail, fail, fail, fail))
    process.install_handlers()
    return process
