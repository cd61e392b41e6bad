"""Put fault proxies between the processes of a fleet."""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final

from standins.proxy import Direction, FaultProxy

CALL_SECONDS: Final = 10.0


class Network:
    """Hold a proxy for each pair of ends, on a loop in a thread of its own."""

    def __init__(self) -> None:
        self._proxies: dict[tuple[str, str], FaultProxy] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, near: str, far: str, target: str) -> str:
        """Stand between two ends; give the address to use in place of the target."""
        proxy = self._wait(FaultProxy.start(target))
        self._proxies[near, far] = proxy
        return proxy.address

    def cut(self, near: str = "", far: str = "") -> None:
        """Reset and refuse connections between two ends; no name means all."""
        self._tell(near, far, FaultProxy.cut)

    def cut_one_way(self, near: str, far: str, direction: Direction) -> None:
        """Swallow the bytes that go up to the far end or down from it."""
        self._tell(near, far, lambda proxy: proxy.cut_one_way(direction))

    def go_silent(self, near: str = "", far: str = "") -> None:
        """Swallow all bytes of the open connections for good; new ones work."""
        self._tell(near, far, FaultProxy.go_silent)

    def drop_next_reply(self, near: str, far: str) -> None:
        """Lose the next reply of the far end after it was asked."""
        self._tell(near, far, FaultProxy.drop_next_reply)

    def delay(self, near: str, far: str, seconds: float) -> None:
        """Add a one-way delay."""
        self._tell(near, far, lambda proxy: proxy.delay(seconds))

    def heal(self) -> None:
        """End all cuts and delays."""
        self._tell("", "", FaultProxy.heal)
        self._tell("", "", lambda proxy: proxy.delay(0.0))

    def stop(self) -> None:
        """End all proxies and the thread."""
        for proxy in self._proxies.values():
            self._wait(proxy.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _find(self, near: str, far: str) -> Iterator[FaultProxy]:
        for (one, other), proxy in self._proxies.items():
            if near in ("", one) and far in ("", other):
                yield proxy

    def _tell(self, near: str, far: str, act: Callable[[FaultProxy], None]) -> None:
        async def tell_all() -> None:
            for proxy in found:
                act(proxy)

        found = list(self._find(near, far))
        assert found, f"no proxy between {near!r} and {far!r}"
        self._wait(tell_all())

    def _wait(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_SECONDS)
