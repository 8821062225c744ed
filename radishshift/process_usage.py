"""Memory and descriptors that this process uses, as the kernel counts them."""

import os
from pathlib import Path

__all__ = ["open_descriptors", "resident_bytes"]

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory in bytes, 0 if the kernel doesn't tell it."""
    try:
        pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    except (OSError, IndexError):
        return 0
    return PAGE_BYTES * int(pages)


def open_descriptors() -> int:
    """Return the number of open descriptors, 0 if the kernel doesn't tell it."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0
