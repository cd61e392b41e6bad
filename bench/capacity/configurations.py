"""Cost of a configuration of the letter's size, and of one change of it."""

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
    """Give the milliseconds of processor time of one call."""
    begin = time.process_time()
    call()
    return (time.process_time() - begin) * 1e3


def change_file(files: dict[str, str], number: int) -> dict[str, str]:
    """Change one file of teams."""
    text = files[CHANGED].replace('"share": 1', f'"share": {number + 1}')
    return files | {CHANGED: text}


def measure_configuration() -> Iterator[Figure]:
    """Measure the first merge, one change, and what moves for it."""
    files = make_full_size_folder()
    total = sum(map(len, files.values()))
    at = {"files": len(files), "teams": 27_000}
    yield Figure("configuration, all files", total, "bytes", at)
    resident = read_resident()
    keeper = ConfigurationReplica()
    given = ConfigurationFiles(1, hash_files(files), files)
    cost = time_once(lambda: keeper.adopt(given))
    yield Figure("configuration, first taken", cost, "ms", at)
    held = read_resident() - resident
    yield Figure("configuration, held", held * 1e3 / len(files), "kB/file", at)
    yield Figure("configuration, held", held, "MB", at)
    resident = read_resident()
    directories: list[Directory] = []

    def build() -> None:
        directories.append(Directory(keeper.current.configuration))

    cost = time_once(build)
    yield Figure("directory of callers, built", cost, "ms", at)
    yield Figure("directory of callers, held", read_resident() - resident, "MB", at)
    yield from measure_change(keeper, files)


def measure_change(
    keeper: ConfigurationReplica, files: dict[str, str]
) -> Iterator[Figure]:
    """Measure one changed file, as it goes from a peer to a peer."""
    ask = ConfigurationRequest(keeper.revision, dict(keeper.current.hashes))
    costs = []
    for number in range(REPEATS):
        changed = change_file(files, number + 1)
        hashes = hash_files(changed)
        given = ConfigurationFiles(2 + number, hashes, {CHANGED: changed[CHANGED]})
        costs.append(time_once(lambda given=given: keeper.adopt(given)))
    at = {"files": len(files), "changed": 1}
    yield Figure("configuration, change taken", min(costs), "ms", at)
    cost = time_calls(lambda: encode_frame([keeper.build_reply(ask)])) / 1e3
    yield Figure("change, answered by a peer", cost, "ms", at)
    yield Figure("change, asked for", len(encode_frame([ask])), "bytes", at)
    yield Figure("change, given", len(encode_frame([given])), "bytes", at)
