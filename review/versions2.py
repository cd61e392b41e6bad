"""Stand-in for a model server of some software version.

It is the server of handles2.py with a version, which its entry and its events name.
With `--unlisted`, it writes its entry with its first heartbeat and not at its start.
"""

import argparse
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from review.handles2 import EVENT_SECONDS, Engine  # noqa: E402


class VersionedEngine(Engine):
    """Serve requests at a version."""

    def __init__(self, version: str, unlisted: bool, *options: object) -> None:
        super().__init__(*options)
        self._version = version
        self._unlisted = unlisted

    async def _write_entry(self) -> None:
        if self._unlisted:
            # The first heartbeat comes after the first interval.
            self._unlisted = False
            return
        await super()._write_entry()

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], prompt: str
    ) -> None:
        self._streams += 1
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {headers['x-request-id']}",
            f"X-Server-Signature: {self._name}.{self._born}.{self._streams}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        events = int(headers["x-token-count"].partition(",")[2])
        begin = int(headers.get("last-event-id", "0")) + 1
        for number in range(begin, events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: by-{self._version} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--phase", required=True, choices=["prefill", "decode"])
    parser.add_argument("--store", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--unlisted", action="store_true")
    args = parser.parse_args()
    options = args.name, args.phase, args.store, args.port, 64
    asyncio.run(VersionedEngine(args.version, args.unlisted, *options).start())


if __name__ == "__main__":
    main()
