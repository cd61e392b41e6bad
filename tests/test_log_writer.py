"""Tests of writing logs without blocking on their reader."""

import asyncio
import json
import os

import pytest

from radishtally import logs
from radishtally.logs import (
    BURST_LINES,
    BURST_REFUSALS,
    LINES_PER_SECOND,
    MAX_BUFFER_BYTES,
    LogWriter,
)
from tests.common import run


class Clock:
    """Return a time that only the test advances."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_writer() -> tuple[LogWriter, int, Clock]:
    """Create a writer, the read end of its pipe, and its clock."""
    reader, descriptor = os.pipe()
    clock = Clock()
    return LogWriter(descriptor, clock), reader, clock


def read_lines(reader: int) -> list[dict]:
    """Read all lines that the pipe holds."""
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]


def test_lines_are_json() -> None:
    writer, reader, _ = make_writer()
    writer({"message_type": "a", "error": OSError("x")})
    assert read_lines(reader) == [{"message_type": "a", "error": "OSError('x')"}]


# Guards against losing log lines to the collector's limit on bytes: a third of the
# bytes were the fields that place a message in a task of which it is the only one.
def test_message_that_is_the_only_one_of_its_task_has_no_task_fields() -> None:
    writer, reader, _ = make_writer()
    writer({"message_type": "a", "task_uuid": "u", "task_level": [1]})
    writer({"message_type": "b", "task_uuid": "u", "task_level": [2, 1]})
    alone, within = read_lines(reader)
    assert alone == {"message_type": "a"}
    assert within == {"message_type": "b", "task_uuid": "u", "task_level": [2, 1]}


# Guards against a blocked event loop. The log's reader has stopped, the pipe is full,
# and a blocking write would wait for room.
def test_stopped_reader_costs_lines_but_does_not_block() -> None:
    writer, reader, _ = make_writer()
    text = "x" * 1000
    for number in range(3 * MAX_BUFFER_BYTES // len(text)):
        writer({"message_type": "process:state", "number": number, "text": text})
    lines = read_lines(reader)
    while batch := (writer.flush(), read_lines(reader))[1]:
        lines += batch
    writer({"message_type": "process:state", "number": -1})
    lines += read_lines(reader)
    dropped = [
        line["lines"] for line in lines if line["message_type"] == "log:left_out"
    ]
    kept = [line for line in lines if line["message_type"] != "log:left_out"]
    assert len(dropped) == 1
    assert len(kept) + dropped[0] == 3 * MAX_BUFFER_BYTES // len(text) + 1


def test_flood_of_request_lines_is_limited_and_counted() -> None:
    writer, reader, clock = make_writer()
    lines = []
    flood = int(BURST_LINES) + 500
    for number in range(flood):
        writer({"message_type": "request:step", "number": number})
        if number % 100 == 0:
            lines += read_lines(reader)
    clock.now += 1.0
    writer({"message_type": "stage:ordered"})
    lines += read_lines(reader)
    dropped = [
        line["lines"] for line in lines if line["message_type"] == "log:left_out"
    ]
    assert dropped == [500]
    assert lines[-1]["message_type"] == "stage:ordered"
    for number in range(int(LINES_PER_SECOND) + 100):
        writer({"message_type": "request:step", "number": number})
        if number % 100 == 0:
            lines += read_lines(reader)
    assert writer._dropped == 100


# Guards against a log full of refusals: invalid requests cost their sender nothing, and
# one caller's flood of them would suppress all other lines.
def test_flood_of_refusals_is_limited_and_does_not_suppress_other_lines() -> None:
    writer, reader, _ = make_writer()
    lines = []
    for number in range(int(BURST_REFUSALS) + 300):
        writer({"message_type": "request:refused", "number": number})
        if number % 100 == 0:
            lines += read_lines(reader)
    writer({"message_type": "request:step"})
    lines += read_lines(reader)
    dropped = [
        line["lines"] for line in lines if line["message_type"] == "log:left_out"
    ]
    assert dropped == [300]
    assert lines[-1]["message_type"] == "request:step"


def test_closed_reader_raises_no_error() -> None:
    writer, reader, _ = make_writer()
    os.close(reader)
    writer({"message_type": "a"})


# Guards against a log that seems to end minutes ago. Its reader had stopped for a
# while, and the buffered lines and the count of dropped ones would stay in the buffer
# until the next line, which on a quiet process takes long.
def test_resumed_reader_gets_pending_lines_without_a_new_one() -> None:
    writer, reader, _ = make_writer()
    text = "x" * 1000
    total = 2 * MAX_BUFFER_BYTES // len(text)
    for number in range(total):
        writer({"message_type": "process:state", "number": number, "text": text})
    lines = read_lines(reader)
    while batch := (writer.flush(), read_lines(reader))[1]:
        lines += batch
    assert lines[-1]["message_type"] == "log:left_out"
    assert len(lines) - 1 + lines[-1]["lines"] == total


# The same for a process that logs nothing while its reader resumes.
def test_process_flushes_while_it_works(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs, "FLUSH_SECONDS", 0.01)
    writer, reader, _ = make_writer()
    text = "x" * 1000
    for number in range(2 * MAX_BUFFER_BYTES // len(text)):
        writer({"message_type": "process:state", "number": number, "text": text})

    async def read_all() -> str:
        while True:
            await asyncio.sleep(0.01)
            for line in read_lines(reader):
                if line["message_type"] == "log:left_out":
                    return "read"

    assert run(writer.run_with_flushing(read_all())) == "read"
