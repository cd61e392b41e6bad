"""Proxy on loopback that can lose answers of the store, as the pages say it may."""

import asyncio
from collections.abc import Callable


class StoreProxy:
    """Pass calls on to the store; lose the answer of a call when told to."""

    def __init__(self, target: str, note: Callable[[str], None]) -> None:
        self.target = target
        self.address = ""
        self._note = note
        self._losing = b""
        """Part of the call whose next answer is lost; empty for none."""
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self._server = server

    def lose_next_answer(self, part: bytes) -> None:
        """Lose the next answer to a call that contains a text, and what follows it."""
        self._losing = part

    async def _serve(self, reader, writer) -> None:  # noqa: ANN001
        ip, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        last_call = [b""]
        back = asyncio.create_task(self._pass_back(up_reader, writer, last_call))
        self._tasks.add(back)
        back.add_done_callback(self._tasks.discard)
        try:
            while data := await reader.read(65536):
                last_call[0] = data
                up_writer.write(data)
        except ConnectionError:
            pass
        finally:
            up_writer.close()
            back.cancel()
            writer.close()

    async def _pass_back(self, reader, writer, last_call) -> None:  # noqa: ANN001
        is_lost = False
        try:
            while data := await reader.read(65536):
                if self._losing and self._losing in last_call[0]:
                    self._losing, is_lost = b"", True
                    line = last_call[0].split(b"\r\n", 1)[0].decode()
                    self._note(f"the answer of the store is lost: {line}")
                if not is_lost:
                    writer.write(data)
        except ConnectionError:
            pass
        if not is_lost:
            writer.close()
