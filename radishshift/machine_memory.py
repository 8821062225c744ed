"""The memory that the machine, or the process's control group, has."""

import os
from contextlib import suppress
from pathlib import Path

__all__ = ["machine_memory_mb"]

CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")


def machine_memory_mb(cgroup_limit: Path = CGROUP_LIMIT) -> float:
    """Return the memory that this process can have at most, in MB.

    Parameters
    ----------
    cgroup_limit : Path, optional
        File with the limit of the control group, in bytes, or `max`.
    """
    size = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    with suppress(OSError, ValueError):  # no control group, or one without a limit
        size = min(size, int(cgroup_limit.read_text(encoding="ascii")))
    return size / 1e6
