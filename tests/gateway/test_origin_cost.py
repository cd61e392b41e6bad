"""Tests of what the origins of streams cost the store, by the number of gateways."""

import msgspec
import pytest

from radishtally.gateway.origin_store import PARTITION, OriginStore
from radishtally.gateway.topology import list_data_centres
from radishtally.outcome import Result
from radishtally.serving.origins import hash_stream
from radishtally.store.core import ReadError, Row
from tests.common import MemoryTable, run
from tests.gateway.test_origins import NOW, V1, Network, make_sites

STREAMS_PER_GATEWAY = 20
LIFE_SECONDS = 40.0
MAX_STREAM_BYTES = 30


class CountingTable(MemoryTable):
    """Count the reads of several rows."""

    queries = 0

    async def query(self, pk: str, **more: object) -> Result[list[Row], ReadError]:
        self.queries += 1
        return await super().query(pk, **more)


def make_stores(network: Network, table: MemoryTable) -> list[OriginStore]:
    """Give each gateway its store of origins during a release."""
    stores = []
    for name, node in network.nodes.items():
        store = OriginStore(
            table,
            lambda name=name: f"{name}-1",
            lambda upstream: True,
            node.exchange.is_first_of_data_centre,
            clock=lambda: NOW,
        )
        node.exchange.on_begun = store.add
        stores.append(store)
    return stores


def begin_streams(network: Network) -> list[bytes]:
    """Let streams begin at all gateways within one interval of the writes."""
    streams = []
    for name, node in network.nodes.items():
        for number in range(STREAMS_PER_GATEWAY):
            streams.append(hash_stream(f"{name}-{number}"))
            node.origins.record(streams[-1], V1, NOW + LIFE_SECONDS, NOW)
    for _ in range(2):
        for node in network.nodes.values():
            node.exchange.send_changes(NOW)
    return streams


# Guards against calls to the store that grow with the gateways; it takes only several
# hundred writes a second.
@pytest.mark.parametrize(
    "size", [(5, 1), (10, 3), (66, 5)], ids=["5", "30", "330 gateways"]
)
def test_origins_cost_a_write_for_each_data_centre_and_a_read_for_each_gateway(
    size: tuple[int, int],
) -> None:
    async def scenario() -> None:
        network, table = Network(make_sites(*size)), CountingTable()
        stores = make_stores(network, table)
        streams = begin_streams(network)
        for store in stores:
            assert await store.write()
        assert table.transactions == len(list_data_centres(network.sites))
        rows = table.rows.query(PARTITION, "", "", 1_000, False)
        stored = sum(len(msgspec.json.encode(row.value)) for row in rows)
        assert stored <= MAX_STREAM_BYTES * len(streams)
        for store in make_stores(Network(network.sites), table):
            found = [await store.find(stream) for stream in streams[::100]]
            assert None not in found
        assert table.queries == len(network.sites)

    run(scenario())
