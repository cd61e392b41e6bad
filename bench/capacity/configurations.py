"""Measure the cost of a full-size configuration and of a change to it."""

import time
from collections.abc import Callable, Iterator
from typing import Final

from bench.capacity.figures import Figure, time_calls
from bench.capacity.samples import make_full_size_folder
from bench.capacity.usage import read_resident
from radishtally.distribution.core import ConfigurationReplica, hash_files
from radishtally.entry.callers import Directory
from radishtally.links.codec import encode_frame
from radishtally.links.messages import ConfigurationFiles, ConfigurationRequest

CHANGED: Final = "40-teams-007.json"
REPEATS: Final = 3


def time_once(call: Callable[[], object]) -> float:
    """Measure the processor time of one call in milliseconds."""
    begin = time.process_time()
    call()
    return (time.process_time() - begin) * 1e3


def change_file(files: dict[str, str], number: int) -> dict[str, str]:
    """Return the files with the shares in one file of teams changed."""
    text = files[CHANGED].replace('"share": 1', f'"share": {number + 1}')
    return files | {CHANGED: text}


def measure_configuration() -> Iterator[Figure]:
    """Measure the first merge, the memory, and a change with its messages."""
    files = make_full_size_folder()
    total = sum(map(len, files.values()))
    at = {"files": len(files), "teams": 27_000}
    yield Figure("configuration, all files", total, "bytes", at)
    resident = read_resident()
    replica = ConfigurationReplica()
    update = ConfigurationFiles(1, hash_files(files), files)
    cost = time_once(lambda: replica.adopt(update))
    yield Figure("configuration, first taken", cost, "ms", at)
    resident_growth = read_resident() - resident
    yield Figure(
        "configuration, held", resident_growth * 1e3 / len(files), "kB/file", at
    )
    yield Figure("configuration, held", resident_growth, "MB", at)
    resident = read_resident()
    directories: list[Directory] = []

    def build() -> None:
        directories.append(Directory(replica.current.configuration))

    cost = time_once(build)
    yield Figure("directory of callers, built", cost, "ms", at)
    yield Figure("directory of callers, held", read_resident() - resident, "MB", at)
    yield from measure_change(replica, files)


def measure_change(
    replica: ConfigurationReplica, files: dict[str, str]
) -> Iterator[Figure]:
    """Measure the distribution of one changed file between two peers."""
    request = ConfigurationRequest(replica.revision, dict(replica.current.hashes))
    costs = []
    for number in range(REPEATS):
        changed = change_file(files, number + 1)
        hashes = hash_files(changed)
        update = ConfigurationFiles(2 + number, hashes, {CHANGED: changed[CHANGED]})
        costs.append(time_once(lambda update=update: replica.adopt(update)))
    at = {"files": len(files), "changed": 1}
    yield Figure("configuration, change taken", min(costs), "ms", at)
    cost = time_calls(lambda: encode_frame([replica.build_reply(request)])) / 1e3
    yield Figure("change, answered by a peer", cost, "ms", at)
    yield Figure("change, asked for", len(encode_frame([request])), "bytes", at)
    yield Figure("change, given", len(encode_frame([update])), "bytes", at)
