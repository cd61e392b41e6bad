"""What a process has used, by the kernel's count."""

import gc
import os
from pathlib import Path
from typing import NamedTuple


class Usage(NamedTuple):
    """Hold what one process has used."""

    seconds: float
    """Processor time since its start."""
    resident: float
    """MB, pages shared with other processes included."""


def read_usage(pid: int | None = None) -> Usage:
    """Read the usage of a process, by default this one."""
    folder = Path("/proc") / str(pid or os.getpid())
    nanoseconds = int((folder / "schedstat").read_text().split()[0])
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(nanoseconds / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 1e6)


def read_resident() -> float:
    """Give this process's resident MB after a garbage collection."""
    gc.collect()
    return read_usage().resident
