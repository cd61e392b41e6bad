"""HTTP server that stands in for an entry, with preset answers."""

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any


class FakeEntry:
    """Answer each path as set by the test, and record the requests."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, bytes] | None] = {}
        """Status and body by path; None closes the connection without an answer."""
        self.requests: list[tuple[str, str]] = []
        self.bodies: list[Any] = []
        self.url = ""

    def set_answer(self, path: str, value: Any, status: int = 200) -> None:
        """Set the JSON answer of a path."""
        self.answers[path] = (status, json.dumps(value).encode())

    def refuse(self, path: str, status: int, message: str = "refused") -> None:
        """Set an error answer of a path."""
        self.set_answer(path, {"error": {"message": message}}, status)


class RequestHandler(BaseHTTPRequestHandler):
    """Answer requests with the preset answers of the server's entry."""

    server: "FakeServer"

    def handle_request(self) -> None:
        """Answer a request of any method."""
        entry = self.server.entry
        path = self.path.partition("?")[0].removeprefix("/operators/v1")
        length = int(self.headers.get("Content-Length", 0))
        entry.bodies.append(json.loads(self.rfile.read(length) or b"null"))
        entry.requests.append((self.command, path))
        answer = entry.answers.get(path, (404, b'{"error": {"message": "none"}}'))
        if answer is None:
            self.close_connection = True
            return
        self.send_response(answer[0])
        self.send_header("Content-Length", str(len(answer[1])))
        self.end_headers()
        self.wfile.write(answer[1])

    do_GET = do_POST = handle_request  # noqa: N815

    def log_message(self, *_: Any) -> None:
        """Suppress the log of requests."""


class FakeServer(ThreadingHTTPServer):
    """Serve the answers of a fake entry."""

    entry: FakeEntry


@contextmanager
def fake_entry() -> Iterator[FakeEntry]:
    """Run a fake entry until the context exits."""
    entry = FakeEntry()
    with FakeServer(("127.0.0.1", 0), RequestHandler) as server:
        server.entry = entry
        entry.url = f"http://127.0.0.1:{server.server_address[1]}"
        thread = threading.Thread(target=server.serve_forever, args=(0.02,))
        thread.start()
        try:
            yield entry
        finally:
            server.shutdown()
            thread.join()
