"""Tests of the object store's client."""

import pytest

from radishtally.outcome import Ok
from radishtally.store.objects import HttpObjects
from tests.common import run
from tests.store import common
from tests.store.common import SERVICE_FAULTS, TIMEOUT, name_outcome
from tests.store.scripted import build_reply, serve_replies


@pytest.fixture(scope="module")
def service(start_shared_standin):
    return start_shared_standin("objects")


def run_with_client(url, work, timeout=5.0):
    return common.run_with_client(
        lambda: HttpObjects(url, "bucket", timeout=timeout), work
    )


def test_stored_objects_are_read_back(service):
    service.set_fault("up")
    body = bytes(range(256)) * 1000

    async def work(objects):
        assert await objects.get("config/none") == Ok(None)
        assert await objects.put("config/some", body) == Ok(None)
        assert await objects.get("config/some") == Ok(body)

    run_with_client(service.url, work)


@pytest.mark.parametrize("fault", SERVICE_FAULTS)
def test_faults(service, fault):
    service.set_fault(**fault)

    async def work(objects):
        assert name_outcome(await objects.put("config/a", b"x")) == "Unavailable"
        assert name_outcome(await objects.get("config/a")) == "Unavailable"

    run_with_client(service.url, work, TIMEOUT)


# A proxy in front of the store answers. Only the store's own "NoSuchKey" means that an
# object is absent; any other 404 would make configuration files seem to be gone.
@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (build_reply(404, "<Code>NoSuchKey</Code>"), Ok(None)),
        (build_reply(404, "<html>not here</html>"), None),
        (build_reply(200, "abc")[:-1], None),
        (build_reply(500, "{}"), None),
    ],
)
def test_replies(reply, outcome):
    async def body():
        async with serve_replies(lambda number: reply) as url:
            objects = HttpObjects(url, "bucket")
            result = await objects.get("config/a")
            await objects.close()
            return result

    result = run(body())
    assert result == outcome if outcome else name_outcome(result) == "Unavailable"


def test_silent_connection_causes_a_retry_and_no_failure():
    # A device on the network path drops its state of the open connection, which then
    # stays silent, while new connections work. An operator's change must go on after
    # one timeout instead of being refused as if the store were down.
    async def body():
        async with serve_replies(
            lambda n: None if n else build_reply(200, "{}")
        ) as url:
            objects = HttpObjects(url, "bucket", timeout=TIMEOUT)
            outcomes = [await objects.get("config/a") for _ in range(2)]
            await objects.close()
            return outcomes

    assert run(body()) == [Ok(b"{}"), Ok(b"{}")]
