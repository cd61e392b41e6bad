"""Stand-in for a plain service that counts the runs per idempotency key."""

import asyncio
import hashlib
from collections import Counter

from aiohttp import web

from standins.common import (
    SERVICE_MODES,
    FaultGate,
    build_app,
    build_parser,
    reply_json,
    serve,
)


class Server:
    """Answer any call with a description of it, after an optional delay."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._runs: Counter[str] = Counter()

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_get("/_counts", self._report_counts)
        FaultGate(SERVICE_MODES).install(app)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self._runs[key] += 1
        run = self._runs[key]
        if self._seconds:
            await asyncio.sleep(self._seconds)
        answer = {
            "method": request.method,
            "path": request.path_qs,
            "idempotency_key": key,
            "request_id": request.headers.get("X-Request-Id", ""),
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "run": run,
        }
        return reply_json(answer)

    async def _report_counts(self, request: web.Request) -> web.Response:
        return reply_json(self._runs)


def main() -> None:
    """Run the service."""
    parser = build_parser("plain service")
    parser.add_argument("--seconds", type=float, default=0.0)
    args = parser.parse_args()
    serve(Server(args.seconds).build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
