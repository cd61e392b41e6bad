"""Read the processor time and memory of a process from /proc."""

import gc
import os
from pathlib import Path
from typing import NamedTuple


class Usage(NamedTuple):
    """Hold the processor time and memory of one process."""

    seconds: float
    """Processor time since its start."""
    resident: float
    """Resident memory in MB, including pages shared with other processes."""


def read_usage(pid: int | None = None) -> Usage:
    """Read the usage of a process, by default the current one."""
    folder = Path("/proc") / str(pid or os.getpid())
    nanoseconds = int((folder / "schedstat").read_text().split()[0])
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(nanoseconds / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 1e6)


def read_resident() -> float:
    """Return the resident MB of the current process after a garbage collection."""
    gc.collect()
    return read_usage().resident
