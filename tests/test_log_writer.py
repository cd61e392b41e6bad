"""Tests of writing logs without waiting for their reader."""

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
    """Stand still until it is moved."""

    now = 0.0

    def __call__(self) -> float:
        return self.now


def make_writer() -> tuple[LogWriter, int, Clock]:
    """Make a writer, the end of the pipe to read from, and its clock."""
    reader, descriptor = os.pipe()
    clock = Clock()
    return LogWriter(descriptor, clock), reader, clock


def read_lines(reader: int) -> list[dict]:
    """Read the lines that are there."""
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


# On-call finds no line of the decisive seconds: what keeps the logs keeps so many
# bytes, and a third of these placed each message in a task that held nothing else.
def test_message_that_stands_alone_has_no_task() -> None:
    writer, reader, _ = make_writer()
    writer({"message_type": "a", "task_uuid": "u", "task_level": [1]})
    writer({"message_type": "b", "task_uuid": "u", "task_level": [2, 1]})
    alone, within = read_lines(reader)
    assert alone == {"message_type": "a"}
    assert within == {"message_type": "b", "task_uuid": "u", "task_level": [2, 1]}


# Every request stands still: whoever reads the log has stopped, the pipe is full, and
# the next write waits for room with the whole loop behind it.
def test_reader_that_stops_costs_lines_and_no_time() -> None:
    writer, reader, _ = make_writer()
    text = "x" * 1000
    for number in range(3 * MAX_BUFFER_BYTES // len(text)):
        writer({"message_type": "process:state", "number": number, "text": text})
    lines = read_lines(reader)
    while batch := (writer.flush(), read_lines(reader))[1]:
        lines += batch
    writer({"message_type": "process:state", "number": -1})
    lines += read_lines(reader)
    said = [line["lines"] for line in lines if line["message_type"] == "log:left_out"]
    kept = [line for line in lines if line["message_type"] != "log:left_out"]
    assert len(said) == 1
    assert len(kept) + said[0] == 3 * MAX_BUFFER_BYTES // len(text) + 1


def test_flood_of_requests_is_cut_and_counted() -> None:
    writer, reader, clock = make_writer()
    taken = []
    flood = int(BURST_LINES) + 500
    for number in range(flood):
        writer({"message_type": "request:step", "number": number})
        if number % 100 == 0:
            taken += read_lines(reader)
    clock.now += 1.0
    writer({"message_type": "stage:ordered"})
    taken += read_lines(reader)
    said = [line["lines"] for line in taken if line["message_type"] == "log:left_out"]
    assert said == [500]
    assert taken[-1]["message_type"] == "stage:ordered"
    for number in range(int(LINES_PER_SECOND) + 100):
        writer({"message_type": "request:step", "number": number})
        if number % 100 == 0:
            taken += read_lines(reader)
    assert writer._left_out == 100


# The log fills up with requests that were turned away: each costs its sender nothing,
# and one caller's flood of bad requests leaves no room for anybody's lines.
def test_flood_of_refusals_is_cut_and_leaves_room_for_the_rest() -> None:
    writer, reader, _ = make_writer()
    taken = []
    for number in range(int(BURST_REFUSALS) + 300):
        writer({"message_type": "request:refused", "number": number})
        if number % 100 == 0:
            taken += read_lines(reader)
    writer({"message_type": "request:step"})
    taken += read_lines(reader)
    said = [line["lines"] for line in taken if line["message_type"] == "log:left_out"]
    assert said == [300]
    assert taken[-1]["message_type"] == "request:step"


def test_closed_reader_ends_nothing() -> None:
    writer, reader, _ = make_writer()
    os.close(reader)
    writer({"message_type": "a"})


# On-call sees a log that ends minutes ago: its reader stood still for a while, and what
# waited for it, and the count of what was left out, wait on for the next line. Where
# little happens that is a long time.
def test_reader_that_goes_on_gets_all_without_another_line() -> None:
    writer, reader, _ = make_writer()
    text = "x" * 1000
    lines = 2 * MAX_BUFFER_BYTES // len(text)
    for number in range(lines):
        writer({"message_type": "process:state", "number": number, "text": text})
    taken = read_lines(reader)
    while batch := (writer.flush(), read_lines(reader))[1]:
        taken += batch
    assert taken[-1]["message_type"] == "log:left_out"
    assert len(taken) - 1 + taken[-1]["lines"] == lines


# The same of a process: while it works, and logs nothing, its reader goes on.
def test_process_flushes_beside_its_work(monkeypatch: pytest.MonkeyPatch) -> None:
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
