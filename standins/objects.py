"""Stand-in for the object store: a subset of the S3 REST interface."""

from typing import Final

from aiohttp import web

from standins.common import (
    STORE_MODES,
    FaultGate,
    build_app,
    build_parser,
    reply_json,
    serve,
)

NO_SUCH_KEY: Final = (
    '<?xml version="1.0" encoding="UTF-8"?>\n'
    "<Error><Code>NoSuchKey</Code>"
    "<Message>The specified key does not exist.</Message></Error>"
)


class Server:
    """Serve the object store's HTTP interface."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}
        self._counts = {"puts": 0, "gets": 0}

    def build_app(self) -> web.Application:
        """Build the application with its routes."""
        app = build_app()
        app.router.add_get("/_counts", self._report_counts)
        app.router.add_put("/{bucket}/{key:.+}", self._put)
        app.router.add_get("/{bucket}/{key:.+}", self._get)
        FaultGate(STORE_MODES).install(app)
        return app

    async def _put(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._objects[request.path] = body
        self._counts["puts"] += 1
        return web.Response()

    async def _get(self, request: web.Request) -> web.Response:
        self._counts["gets"] += 1
        body = self._objects.get(request.path)
        if body is None:
            return web.Response(
                text=NO_SUCH_KEY, status=404, content_type="application/xml"
            )
        return web.Response(body=body)

    async def _report_counts(self, request: web.Request) -> web.Response:
        return reply_json(self._counts)


def main() -> None:
    """Run the object store."""
    args = build_parser("object store").parse_args()
    serve(Server().build_app(), args.address, args.port)


if __name__ == "__main__":
    main()
