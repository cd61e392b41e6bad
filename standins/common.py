"""Provide the start-up, JSON helpers and fault modes of the stand-ins."""

import argparse
import asyncio
import ipaddress
import signal
from collections.abc import Callable
from typing import Any, Final, NotRequired, TypedDict, TypeVar

import msgspec
import uvloop
from aiohttp import web
from aiohttp.typedefs import Handler

MAX_BODY_BYTES: Final = 256 * 1024 * 1024
SHUTDOWN_SECONDS: Final = 0.5
T = TypeVar("T")
STORE_MODES: Final = frozenset({"up", "down", "slow", "lose_reply"})
TABLE_MODES: Final = STORE_MODES | {"lose_write"}
SERVICE_MODES: Final = frozenset({"up", "error", "slow", "lose_reply"})


class Fault(TypedDict):
    """Describe an injected fault; `count` limits the requests that it affects."""

    mode: str
    seconds: NotRequired[float]
    count: NotRequired[int]


class FaultGate:
    """Apply a fault mode to the requests of an application."""

    def __init__(
        self,
        modes: frozenset[str],
        is_write: Callable[[web.Request], bool] = lambda _: False,
    ) -> None:
        self._modes = modes
        self._is_write = is_write
        self._fault: Fault = {"mode": "up"}

    def install(self, app: web.Application) -> None:
        """Add the fault route and the middleware."""
        app.router.add_post("/_fault", self._set_fault)
        app.middlewares.append(self._apply)

    async def _set_fault(self, request: web.Request) -> web.Response:
        fault = await read_json(request, Fault)
        if fault["mode"] not in self._modes:
            raise bad_request(f"mode is one of {sorted(self._modes)}")
        self._fault = fault
        return reply_json({})

    @web.middleware
    async def _apply(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        if self._fault["mode"] == "lose_write" and not self._is_write(request):
            return await handler(request)
        fault = self._consume()
        if fault["mode"] in ("down", "lose_write"):
            return _close(request)
        if fault["mode"] == "error":
            return reply_json({"error": "fault"}, status=500)
        if fault["mode"] == "slow":
            await asyncio.sleep(fault.get("seconds", 1.0))
        response = await handler(request)
        return _close(request) if fault["mode"] == "lose_reply" else response

    def _consume(self) -> Fault:
        fault = self._fault
        if "count" not in fault:
            return fault
        left = fault["count"] - 1
        self._fault = {**fault, "count": left} if left > 0 else {"mode": "up"}
        return fault


def _close(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def bad_request(message: str) -> web.HTTPBadRequest:
    """Build the answer to an invalid request."""
    body = msgspec.json.encode({"error": {"code": "bad_request", "message": message}})
    return web.HTTPBadRequest(body=body, content_type="application/json")


async def read_json(request: web.Request, kind: type[T]) -> T:
    """Decode the body as the given type; raise a 400 answer if it is invalid."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise bad_request(str(error)) from error


def reply_json(data: Any, status: int = 200) -> web.Response:
    """Encode the data as a JSON answer."""
    body = msgspec.json.encode(data)
    return web.Response(body=body, status=status, content_type="application/json")


def build_parser(description: str) -> argparse.ArgumentParser:
    """Build a parser with the arguments common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1", type=_parse_loopback)
    parser.add_argument("--port", default=0, type=int)
    return parser


def _parse_loopback(text: str) -> str:
    if not ipaddress.ip_address(text).is_loopback:
        raise argparse.ArgumentTypeError("stand-ins listen on loopback addresses only")
    return text


def parse_bool(text: str) -> bool:
    """Parse `true` or `false`."""
    if text not in ("true", "false"):
        raise argparse.ArgumentTypeError("must be true or false")
    return text == "true"


def build_app() -> web.Application:
    """Build an application that accepts large bodies."""
    return web.Application(client_max_size=MAX_BODY_BYTES)


def serve(
    app: web.Application, address: str, port: int, *, cancel_on_disconnect: bool = False
) -> None:
    """Serve until SIGTERM or SIGINT."""
    uvloop.run(_serve(app, address, port, cancel_on_disconnect))


async def _serve(
    app: web.Application, address: str, port: int, cancel_on_disconnect: bool
) -> None:
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_on_disconnect,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    await web.TCPSite(runner, address, port, backlog=1024).start()
    host, bound_port = runner.addresses[0][:2]
    print_ready(f"{host}:{bound_port}")
    await wait_for_stop()
    await runner.cleanup()


def print_ready(address: str, **more: str) -> None:
    """Print the ready line with the address that the stand-in listens on."""
    line = msgspec.json.encode({"ready": True, "address": address, **more})
    print(line.decode(), flush=True)


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
