"""Pass a request's answer from the core to the waiting connection."""

import asyncio

from radishtally.serving.events import FullReply, StreamReply

Reply = StreamReply | FullReply


class Replies:
    """Keep a reply queue for each waiting caller."""

    def __init__(self) -> None:
        self._queues: dict[str, asyncio.Queue[Reply]] = {}

    def __len__(self) -> int:
        """Return the number of waiting callers."""
        return len(self._queues)

    def __contains__(self, request: str) -> bool:
        """Return whether a caller is waiting for a request's answer."""
        return request in self._queues

    def open(self, request: str) -> asyncio.Queue[Reply]:
        """Create the queue on which a request's replies arrive."""
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        self._queues[request] = queue
        return queue

    def close(self, request: str) -> None:
        """Remove a request's queue; later replies are dropped."""
        self._queues.pop(request, None)

    def put(self, reply: Reply) -> None:
        """Queue a reply if its caller is still waiting."""
        queue = self._queues.get(reply.request)
        if queue is not None:
            queue.put_nowait(reply)
