"""Tests that a broken invariant ends the process with its exit code."""

import asyncio
from collections.abc import Callable

import pytest

from radishtally import runtime
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


class BrokenInvariant(Exception):
    """Error: the process is in a state that was assumed to be impossible."""


def fail(*_: object) -> None:
    """Break an invariant."""
    raise BrokenInvariant


def fail_in_task(process: Process) -> None:
    """Break an invariant in a task of the process."""

    async def work() -> None:
        fail()

    process.spawn(work())


def fail_in_link(process: Process) -> None:
    """Break an invariant in a message handler; the link swallows exceptions."""
    with pytest.raises(BrokenInvariant):
        process.hub._callbacks.receive("entry-1", None)


def fail_in_timer(process: Process) -> None:
    """Break an invariant in a timer's callback."""
    Waker(fail).wake_at(0.0)


def fail_in_guard(process: Process) -> None:
    """Break an invariant where a library would respond with an error page."""
    with pytest.raises(BrokenInvariant), process.guard():
        fail()


@pytest.mark.parametrize(
    "break_invariant", [fail_in_task, fail_in_link, fail_in_timer, fail_in_guard]
)
def test_a_broken_invariant_ends_the_process(
    break_invariant: Callable[[Process], None], monkeypatch: pytest.MonkeyPatch
):
    logged = []
    monkeypatch.setattr(
        runtime, "log_message", lambda name, **more: logged.append((name, more))
    )

    async def main() -> None:
        process = make_process()
        break_invariant(process)
        async with asyncio.timeout(WAIT_SECONDS):
            await process.stopping.wait()
        with pytest.raises(SystemExit) as end:
            await process.unload()
        assert end.value.code == EXIT_BROKEN

    run(main())
    [(name, more)] = [entry for entry in logged if entry[0] == "process:broken"]
    assert "BrokenInvariant" in more["error"] and "Traceback" in more["traceback"]


def test_an_error_of_a_library_does_not_end_the_process():
    async def main() -> None:
        process = make_process()
        loop = asyncio.get_running_loop()
        error = ConnectionResetError()
        loop.call_exception_handler({"message": "lost", "exception": error})
        await asyncio.sleep(0)
        assert not process.stopping.is_set()
        await process.unload()

    run(main())


def make_process() -> Process:
    """Return a process that does not listen."""
    process = Process(parse_settings(SETTINGS, "s.json").ok)
    process.make_hub(LinkCallbacks(fail, fail, fail, fail))
    process.install_handlers()
    return process
