"""Hand a request's answer from the core to the connection that waits for it."""

import asyncio

from radishtally.serving.events import FullReply, StreamReply

Reply = StreamReply | FullReply


class Replies:
    """Hold a queue for each caller that waits."""

    def __init__(self) -> None:
        self._queues: dict[str, asyncio.Queue[Reply]] = {}

    def __len__(self) -> int:
        """Count the callers that wait."""
        return len(self._queues)

    def __contains__(self, request: str) -> bool:
        """Tell whether somebody waits for a request's answer."""
        return request in self._queues

    def open(self, request: str) -> asyncio.Queue[Reply]:
        """Begin to wait for a request's answer."""
        queue: asyncio.Queue[Reply] = asyncio.Queue()
        self._queues[request] = queue
        return queue

    def close(self, request: str) -> None:
        """Wait no longer."""
        self._queues.pop(request, None)

    def put(self, reply: Reply) -> None:
        """Hand over an answer or a part of it, if somebody still waits for it."""
        queue = self._queues.get(reply.request)
        if queue is not None:
            queue.put_nowait(reply)
