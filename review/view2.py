"""The store as one machine reaches it, for the second review's scripts.

A relay in front of the project's store that names other addresses in the servers'
entries, and another one in the machine's own row, so that all of its connections can be
cut off. Nothing else is changed.
"""

import base64
import json
from typing import Any

import aiohttp
from aiohttp import web

SECONDS = 40.0
"""Longer than the store holds any call."""


class StoreView:
    """Relay the calls of one machine."""

    def __init__(self, store: str, shown: dict[str, str], own: tuple[str, str]) -> None:
        self._store = store
        self._shown = shown
        """Addresses to name in place of the servers' own."""
        self._own, self._told = own
        """The machine's address for its peers, and the one that they are told."""

    async def start(self, ip: str) -> str:
        """Listen on a free port, and return the address."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=SECONDS)
        )
        runner = web.ServerRunner(web.Server(self._relay))
        await runner.setup()
        site = web.TCPSite(runner, ip, 0)
        await site.start()
        ip, port = site._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the connections to the store."""
        await self._session.close()

    async def _relay(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        if request.path == "/api/rows-tx":
            body = self._tell(body)
        async with self._session.request(
            request.method,
            f"http://{self._store}{request.raw_path}",
            data=body,
            headers={"Content-Type": "application/json"},
        ) as answer:
            data = await answer.read()
            if answer.status == 200 and request.path.startswith("/api/rows-"):
                data = self._show(data)
            return web.Response(
                status=answer.status, body=data, content_type="application/json"
            )

    def _tell(self, body: bytes) -> bytes:
        """Replace the machine's own address in what it writes."""
        call = json.loads(body)
        for row in call.get("writes", []):
            if row.get("part") == "gateways":
                _change(row, {self._own: self._told}, "value")
        return json.dumps(call).encode()

    def _show(self, data: bytes) -> bytes:
        """Replace addresses in what the machine reads."""
        answer = json.loads(data)
        for row in answer.get("rows", []):
            if row.get("table") == "servers":
                _change(row, self._shown)
            elif row.get("part") == "gateways":
                _change(row, {self._told: self._own}, "value")
        return json.dumps(answer).encode()


def _change(row: dict[str, Any], addresses: dict[str, str], *path: str) -> None:
    """Replace the address in a row's value."""
    if not row.get("value"):
        return
    value = json.loads(base64.b64decode(row["value"]))
    place = value
    for name in path:
        place = place[name]
    place["address"] = addresses.get(place["address"], place["address"])
    row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
