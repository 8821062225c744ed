"""Limits on what a caller may send and how long it may take."""

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits that a configuration states; the defaults hold where it states none.

    Attributes
    ----------
    head_bytes, body_bytes : int
        Longest head, without the request line, and longest body.
    head_timeout_s : float
        Longest time from the first byte of a head to its last.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    """

    head_bytes: int = 65_536
    body_bytes: int = 1 << 23
    head_timeout_s: float = 30.0
    idle_timeout_s: float = 15.0
