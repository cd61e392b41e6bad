"""Hand a request's answer from the core to the connection that waits for it."""

import asyncio

from radishtally.serving.events import Begin, Deliver, Finish, Refuse

Part = Begin | Deliver | Finish | Refuse


class Replies:
    """Hold a queue for each caller that waits."""

    def __init__(self) -> None:
        self._queues: dict[str, asyncio.Queue[Part]] = {}

    def __len__(self) -> int:
        """Count the callers that wait."""
        return len(self._queues)

    def __contains__(self, request: str) -> bool:
        """Tell whether somebody waits for a request's answer."""
        return request in self._queues

    def open(self, request: str) -> asyncio.Queue[Part]:
        """Begin to wait for a request's answer."""
        queue: asyncio.Queue[Part] = asyncio.Queue()
        self._queues[request] = queue
        return queue

    def close(self, request: str) -> None:
        """Wait no longer."""
        self._queues.pop(request, None)

    def put(self, part: Part) -> None:
        """Hand over a part, if somebody still waits for it."""
        queue = self._queues.get(part.request)
        if queue is not None:
            queue.put_nowait(part)
