"""Tests of gateways whose shared secret another writer has replaced in the store."""

import pytest

from radishtally.gateway import peers
from radishtally.gateway.registry import PEER_SECRET_KEY
from standins.rows import RowId
from tests.common import run
from tests.gateway.common import deployment, run_gateway, wait_until
from tests.gateway.test_peers_restore import (
    TABLE,
    encode_value,
    read_value,
    wait_for_row,
)
from tests.gateway.test_stream_versions import wait_for_links


@pytest.fixture
def frequent_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let gateways read the store often."""
    monkeypatch.setattr(peers, "JOIN_POLL_SECONDS", 0.1)
    monkeypatch.setattr(peers, "PEER_READ_SECONDS", 0.1)
    monkeypatch.setattr(peers, "SECRET_CHECK_SECONDS", 0.2)


# Guards against gateways that never link to those that started before.
@pytest.mark.parametrize(
    "replaced",
    [None, "eA==", encode_value({"secret": 7})],
    ids=["removed", "other bytes", "other value"],
)
@pytest.mark.usefixtures("frequent_reads")
def test_gateways_link_although_their_secret_was_replaced(replaced: str | None) -> None:
    async def scenario() -> None:
        async with deployment() as env:
            await wait_for_row(env, *PEER_SECRET_KEY)
            await wait_until(lambda: env.gateway.peers._hub is not None)
            env.rows.write(RowId(TABLE, *PEER_SECRET_KEY), replaced)
            async with run_gateway(env.store, "gateway-2") as second:
                await wait_for_links(env.gateway, second)
                assert read_value(env, *PEER_SECRET_KEY) != replaced

    run(scenario())
