"""Stand in for an entry with answers that are set beforehand."""

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class FakeEntry:
    """Answer each path with what the test set, and note what was asked."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, bytes] | None] = {}
        """Status and body by path; none closes the connection without a word."""
        self.asked: list[tuple[str, str]] = []
        self.bodies: list[Any] = []
        self.url = ""

    def set(self, path: str, value: Any, status: int = 200) -> None:
        """Answer a path with JSON."""
        self.answers[path] = (status, json.dumps(value).encode())

    def refuse(self, path: str, status: int, message: str = "refused") -> None:
        """Refuse a path."""
        self.set(path, {"error": {"message": message}}, status)


class Handler(BaseHTTPRequestHandler):
    """Answer one request."""

    server: "Server"

    def handle_any(self) -> None:
        """Answer whatever the method is."""
        entry = self.server.entry
        path = self.path.partition("?")[0].removeprefix("/operators/v1")
        length = int(self.headers.get("Content-Length", 0))
        entry.bodies.append(json.loads(self.rfile.read(length) or b"null"))
        entry.asked.append((self.command, path))
        answer = entry.answers.get(path, (404, b'{"error": {"message": "none"}}'))
        if answer is None:
            self.close_connection = True
            return
        self.send_response(answer[0])
        self.send_header("Content-Length", str(len(answer[1])))
        self.end_headers()
        self.wfile.write(answer[1])

    do_GET = do_POST = handle_any  # noqa: N815

    def log_message(self, *_: Any) -> None:
        """Keep quiet."""


class Server(ThreadingHTTPServer):
    """Hold the entry that a server stands in for."""

    entry: FakeEntry


@contextmanager
def fake_entry() -> Iterator[FakeEntry]:
    """Run a fake entry and end it at the exit."""
    entry = FakeEntry()
    with Server(("127.0.0.1", 0), Handler) as server:
        server.entry = entry
        entry.url = f"http://127.0.0.1:{server.server_address[1]}"
        thread = threading.Thread(target=server.serve_forever, args=(0.02,))
        thread.start()
        try:
            yield entry
        finally:
            server.shutdown()
            thread.join()
