"""Tests of the table's client and of the outcomes that it reports."""

import asyncio
import json

import pytest

from radishtally.outcome import Error, Ok
from radishtally.store.core import (
    ABSENT,
    Check,
    Conflict,
    Delete,
    Key,
    Put,
    Row,
)
from radishtally.store.table import HttpTable, compute_revision
from tests.common import allocate_address, run
from tests.store import common
from tests.store.common import SERVICE_FAULTS, TIMEOUT, name_outcome
from tests.store.scripted import build_reply, serve_replies

SILENCE_TIMEOUT = 1.5


@pytest.fixture(scope="module")
def service(start_shared_standin):
    return start_shared_standin("table")


@pytest.fixture
def name(request, service):
    service.set_fault("up")
    return request.node.name


def run_with_client(url, name, work, timeout=5.0):
    return common.run_with_client(lambda: HttpTable(url, name, timeout=timeout), work)


def test_rows_and_conditions(service, name):
    key = Key("a", "1")

    async def work(table):
        assert await table.get(key) == Ok(None)
        assert await table.transact([Put(key, {"n": "ü"}, ABSENT)], "w1") == Ok(None)
        assert await table.get(key) == Ok(Row(key, 1, "w1", {"n": "ü"}))
        again = await table.transact([Put(key, {}, ABSENT)], "w2")
        assert again == Error(Conflict((0,)))
        assert await table.transact([Put(key, {}, 1)], "w3") == Ok(None)
        other = Put(Key("b", "1"), {}, ABSENT)
        checked = await table.transact([other, Check(key, 1)], "w4")
        assert checked == Error(Conflict((1,)))
        assert await table.get(other.key) == Ok(None)
        assert await table.transact([Delete(key, 2)], "w5") == Ok(None)
        assert await table.get(key) == Ok(None)

    run_with_client(service.url, name, work)


def test_unconditional_write_never_reuses_a_revision(service, name):
    # A reader has seen revision 1, and another writer writes without condition. If the
    # row were at revision 1 again, the reader's conditional write would succeed and
    # undo the other one.
    key = Key("a", "1")

    async def work(table):
        await table.transact([Put(key, {}, ABSENT)], "w1")
        await table.transact([Put(key, {"n": 1}, None)], "w2")
        assert name_outcome(await table.transact([Put(key, {}, 1)], "w3")) == "Conflict"
        row = (await table.get(key)).ok
        assert row.rev == compute_revision(Put(key, {}, None), "w2")

    run_with_client(service.url, name, work)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ({}, ["a1", "a2", "a3", "b1"]),
        ({"limit": 2}, ["a1", "a2"]),
        ({"after": "a2"}, ["a3", "b1"]),
        ({"prefix": "a"}, ["a1", "a2", "a3"]),
        ({"prefix": "a", "after": "a1"}, ["a2", "a3"]),
        ({"newest_first": True, "limit": 2}, ["b1", "a3"]),
        ({"newest_first": True, "after": "a3"}, ["a2", "a1"]),
    ],
)
def test_query(service, name, arguments, expected):
    async def work(table):
        keys = [Key("p", sk) for sk in ("b1", "a3", "a2", "a1")]
        await table.transact([Put(key, {}, ABSENT) for key in keys], "w")
        rows = await table.query("p", **arguments)
        assert [row.key.sk for row in rows.ok] == expected

    run_with_client(service.url, name, work)


def test_query_continues_after_a_short_page(service, name):
    async def work(table):
        for n in range(5):
            put = Put(Key("p", str(n)), {"text": "x" * 300_000}, ABSENT)
            assert (await table.transact([put], f"w{n}")).is_ok()
        assert len((await table.query("p")).ok) == 5

    run_with_client(service.url, name, work)


# The service fails. A caller may retry a write, or reject its request as "not run",
# only after Unavailable; after Unclear it must determine the outcome first.
@pytest.mark.parametrize("fault", SERVICE_FAULTS)
def test_faults(service, name, fault):
    async def work(table):
        put = Put(Key("a", "1"), {}, ABSENT)
        service.set_fault(**fault)
        assert name_outcome(await table.transact([put], "w")) == "Unclear"
        assert name_outcome(await table.get(put.key)) == "Unavailable"

    run_with_client(service.url, name, work, TIMEOUT)


def test_write_with_a_lost_reply_is_unclear_and_takes_effect(service, name):
    async def work(table):
        key = Key("a", "1")
        service.set_fault("lose_reply", count=1)
        result = await table.transact([Put(key, {}, ABSENT)], "w")
        assert name_outcome(result) == "Unclear"
        assert (await table.get(key)).ok.write_id == "w"

    run_with_client(service.url, name, work)


def test_refused_connection_means_that_nothing_was_run(start_standin):
    service = start_standin("table", "--address", allocate_address())
    service.process.kill()
    service.process.wait()

    async def work(table):
        write = await table.transact([Put(Key("a", "1"), {}, None)], "w")
        return name_outcome(write), name_outcome(await table.get(Key("a", "1")))

    assert run_with_client(service.url, "t", work) == ("Unavailable", "Unavailable")


def test_throttled_write_means_that_nothing_was_run(start_standin):
    service = start_standin("table", "--writes-per-second", "1")

    async def work(table):
        puts = [Put(Key("a", str(n)), {}, None) for n in range(5)]
        write = await table.transact(puts, "w")
        return name_outcome(write), await table.get(puts[0].key)

    assert run_with_client(service.url, "t", work) == ("Unavailable", Ok(None))


def build_error(kind, **more):
    return build_reply(400, json.dumps({"__type": f"x#{kind}", **more}))


def build_cancellation(*codes):
    reasons = [{"Code": code} for code in codes]
    return build_error("TransactionCanceledException", CancellationReasons=reasons)


# The reply is malformed, truncated or not from the service at all. Only a reply in the
# service's own format may count as a known outcome of a write.
@pytest.mark.parametrize(
    ("reply", "write", "read"),
    [
        (build_reply(200, "{}"), "Ok", "Ok"),
        (build_reply(200, "<html>"), "Unclear", "Unavailable"),
        (build_reply(200, "[]"), "Unclear", "Unavailable"),
        (build_reply(200, "{}")[:-1], "Unclear", "Unavailable"),
        (build_reply(200, '{"Item": {}}'), "Ok", "Unavailable"),
        (build_reply(302, "{}"), "Unclear", "Unavailable"),
        (build_reply(400, "{}"), "Unclear", "Unavailable"),
        (build_reply(403, "{}"), "Unclear", "Unavailable"),
        (build_reply(500, "{}"), "Unclear", "Unavailable"),
        (build_reply(503, "{}"), "Unclear", "Unavailable"),
        (b"garbage\r\n\r\n", "Unclear", "Unavailable"),
        (b"", "Unclear", "Unavailable"),
        (None, "Unclear", "Unavailable"),
        (build_error("ValidationException"), "Invalid", "Invalid"),
        (build_error("ThrottlingException"), "Unavailable", "Unavailable"),
        (build_cancellation("None", "ConditionalCheckFailed"), "Conflict", "Invalid"),
        (build_cancellation("ThrottlingError"), "Unavailable", "Invalid"),
        (build_cancellation(), "Unavailable", "Invalid"),
    ],
)
def test_replies(reply, write, read):
    async def body():
        async with serve_replies(lambda number: reply) as url:
            table = HttpTable(url, "t", timeout=5.0 if reply else TIMEOUT)
            key = Key("a", "1")
            written = await table.transact([Put(key, {}, None)], "w")
            found = await table.get(key)
            await table.close()
            return name_outcome(written), name_outcome(found)

    assert run(body()) == (write, read)


def test_silent_connections_cause_a_single_timeout():
    # A device on the network path drops its state of the open connections, which then
    # stay silent, while new connections work. Four idle connections are pooled. The
    # caller must see one timeout and then replies again, not one timeout for each.
    async def body():
        async with serve_replies(
            lambda n: None if n else build_reply(200, "{}")
        ) as url:
            table = HttpTable(url, "t", timeout=SILENCE_TIMEOUT)
            key = Key("a", "1")
            first = await asyncio.gather(*(table.get(key) for _ in range(4)))
            later = [name_outcome(await table.get(key)) for _ in range(2)]
            await table.close()
            return [name_outcome(result) for result in first], later

    assert run(body()) == (["Ok"] * 4, ["Unavailable", "Ok"])
