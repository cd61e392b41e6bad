"""Inject network faults between the processes of a fleet through proxies."""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final

from standins.proxy import Direction, FaultProxy

CALL_TIMEOUT_SECONDS: Final = 10.0


class Network:
    """Manage one proxy per pair of endpoints, on an event loop in its own thread."""

    def __init__(self) -> None:
        self._proxies: dict[tuple[str, str], FaultProxy] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, near: str, far: str, target: str) -> str:
        """Start a proxy to a target and return the address to dial instead."""
        proxy = self._wait(FaultProxy.start(target))
        self._proxies[near, far] = proxy
        return proxy.address

    def cut(self, near: str = "", far: str = "") -> None:
        """Reset and refuse connections between two endpoints; an empty name is any."""
        self._apply(near, far, FaultProxy.cut)

    def cut_one_way(self, near: str, far: str, direction: Direction) -> None:
        """Discard the bytes of one direction: up to the far end or down from it."""
        self._apply(near, far, lambda proxy: proxy.cut_one_way(direction))

    def go_silent(self, near: str = "", far: str = "") -> None:
        """Discard all further bytes of open connections; new connections work."""
        self._apply(near, far, FaultProxy.go_silent)

    def drop_next_reply(self, near: str, far: str) -> None:
        """Drop the far end's next reply after the request has reached it."""
        self._apply(near, far, FaultProxy.drop_next_reply)

    def delay(self, near: str, far: str, seconds: float) -> None:
        """Add latency to each direction."""
        self._apply(near, far, lambda proxy: proxy.delay(seconds))

    def heal(self) -> None:
        """Remove all cuts and delays."""
        self._apply("", "", FaultProxy.heal)
        self._apply("", "", lambda proxy: proxy.delay(0.0))

    def stop(self) -> None:
        """Stop all proxies, the event loop and the thread."""
        for proxy in self._proxies.values():
            self._wait(proxy.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _find_proxies(self, near: str, far: str) -> Iterator[FaultProxy]:
        for (one, other), proxy in self._proxies.items():
            if near in ("", one) and far in ("", other):
                yield proxy

    def _apply(self, near: str, far: str, action: Callable[[FaultProxy], None]) -> None:
        async def apply_all() -> None:
            for proxy in found:
                action(proxy)

        found = list(self._find_proxies(near, far))
        assert found, f"no proxy between {near!r} and {far!r}"
        self._wait(apply_all())

    def _wait(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_SECONDS)
