"""Tests of the host list's client."""

import json

import pytest

from radishtally.store.core import LEAVING, LIVE, ListedHost
from radishtally.store.hostlist import HttpHostList
from tests.common import run
from tests.store.common import SERVICE_FAULTS, TIMEOUT, run_with_client
from tests.store.scripted import build_reply, serve_replies

GOWN = ListedHost("gown-1", "howrah", "gown-llm", "127.0.0.9:7000", LIVE)


@pytest.fixture(scope="module")
def service(start_shared_standin):
    return start_shared_standin("hosts", "--lag", "0")


def read(url, timeout=5.0):
    return run_with_client(
        lambda: HttpHostList(url, timeout=timeout), HttpHostList.read
    )


def list_host(service, host, state):
    more = {"target": host.address, "state": state}
    service.post("/_hosts", {**host._asdict(), **more})


def test_hosts_are_listed_as_live_leaving_and_gone(service):
    service.set_fault("up")
    list_host(service, GOWN, LIVE)
    assert read(service.url).ok == [GOWN]
    list_host(service, GOWN, LEAVING)
    assert read(service.url).ok == [GOWN._replace(state=LEAVING)]
    list_host(service, GOWN, "gone")
    assert read(service.url).ok == []


@pytest.mark.parametrize("fault", SERVICE_FAULTS)
def test_faults(service, fault):
    service.set_fault(**fault)
    assert read(service.url, TIMEOUT).is_error()


def build_list(**labels):
    base = {"host": "gown-1", "place": "howrah", "upstream": "gown-llm", "state": LIVE}
    merged = {name: text for name, text in {**base, **labels}.items() if text}
    return json.dumps([{"targets": [GOWN.address], "labels": merged}])


# The list is malformed or has unknown content. A malformed list must not look like an
# empty fleet, and a host in an unknown state must get no new work.
@pytest.mark.parametrize(
    ("reply", "hosts"),
    [
        (build_reply(200, build_list()), [GOWN]),
        (build_reply(200, build_list(state="odd")), [GOWN._replace(state=LEAVING)]),
        (build_reply(200, build_list(upstream=None)), []),
        (build_reply(200, "[]"), []),
        (build_reply(200, "{}"), None),
        (build_reply(200, '[{"targets": 3}]'), None),
        (build_reply(200, "[]")[:-1], None),
        (build_reply(404, "[]"), None),
    ],
)
def test_replies(reply, hosts):
    async def body():
        async with serve_replies(lambda number: reply) as url:
            client = HttpHostList(url)
            result = await client.read()
            await client.close()
            return result

    assert run(body()).default_value(None) == hosts
