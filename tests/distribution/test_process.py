"""Tests that a broken invariant ends the process, and that other errors do not."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

import pytest

from radishtally import runtime
from radishtally.containment import BrokenInvariant, contain_call
from radishtally.links.hub import LinkCallbacks
from radishtally.links.messages import Hello
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


class UnexpectedError(Exception):
    """Error: a fault in a program that nobody knows of."""


def make_fail(error: type[Exception]) -> Callable[..., None]:
    def fail(*_: object) -> None:
        raise error

    return fail


def fail_in_task(process: Process, fail: Callable[..., None]) -> None:
    """Raise an error in a task of the process."""

    async def work() -> None:
        fail()

    process.spawn(work())


def fail_in_loop(process: Process, fail: Callable[..., None]) -> None:
    """Raise an error in a task that is to go on."""

    async def work() -> None:
        fail()

    process.keep_running("work", work)


def fail_in_link(process: Process, fail: Callable[..., None]) -> None:
    """Raise an error in a message handler; the link would suppress it."""
    process.hub._callbacks = LinkCallbacks(fail, fail, fail, fail)
    link = SimpleNamespace(
        peer=Hello("entry-1", "", "", "i", 0), close=lambda reason: None
    )
    process.hub._links["entry-1"] = link
    process.hub._handle(link, None)
    del process.hub._links["entry-1"]


def fail_in_timer(process: Process, fail: Callable[..., None]) -> None:
    """Raise an error in a timer's callback."""
    Waker(fail).wake_at(0.0)


def fail_in_callback(process: Process, fail: Callable[..., None]) -> None:
    """Raise an error where a library would respond with an error page."""
    contain_call("host", fail)()


PLACES = pytest.mark.parametrize(
    "raise_error",
    [fail_in_task, fail_in_loop, fail_in_link, fail_in_timer, fail_in_callback],
)
Place = Callable[[Process, Callable[..., None]], None]


# Guards against one error that ends all requests of a process.
@PLACES
def test_an_unexpected_error_is_contained(raise_error: Place) -> None:
    async def main() -> None:
        process = make_process()
        raise_error(process, make_fail(UnexpectedError))
        async with asyncio.timeout(WAIT_SECONDS):
            while not process.contained_errors:
                await asyncio.sleep(0.001)
        assert not process.stopping.is_set()
        await process.unload()

    run(main())


# Guards against a process that acts on although another one may act as well.
@PLACES
def test_a_broken_invariant_ends_the_process(
    raise_error: Place, monkeypatch: pytest.MonkeyPatch
):
    logged = []
    monkeypatch.setattr(
        runtime, "log_message", lambda name, **more: logged.append((name, more))
    )

    async def main() -> None:
        process = make_process()
        raise_error(process, make_fail(BrokenInvariant))
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
    ignore = lambda *_: None  # noqa: E731
    process.make_hub(LinkCallbacks(ignore, ignore, ignore, ignore))
    process.install_handlers()
    return process
