"""Keeps a host from being sent the same large table by several peers at once.

Peers send what a host lacks by the heads that it states. While one of them sends the
changes of a large table, the host states no head of it to the others, as a host of a
release without that kind.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from radishshift.clocks import Clock
from radishshift.gateway.host_view import LARGE_KINDS
from radishshift.object_table import Head

__all__ = ["LARGE_MESSAGE_BYTES", "MAX_ARRIVAL_S", "TableArrivals"]

LARGE_MESSAGE_BYTES = 8192  # more brings routes, or all objects of a table
MAX_AWAITED_S = 0.3
MAX_ARRIVAL_S = 1.0


class TableArrivals:
    """The large tables that peers are about to send, or send just now.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._awaited_until = 0.0
        self._began_at: list[float] = []

    @contextmanager
    def receiving(self, size: int) -> Iterator[None]:
        """Surround the arrival of a message of `size` bytes."""
        if size < LARGE_MESSAGE_BYTES:
            yield
            return
        began_at = self._clock.now()
        self._began_at.append(began_at)
        try:
            yield
        finally:
            self._began_at.remove(began_at)

    def end_wait(self) -> None:
        """Record that a large table has changed."""
        self._awaited_until = 0.0

    def heads_to_state(
        self, heads: Mapping[str, Head], requester: Mapping[str, Head] | None
    ) -> dict[str, Head]:
        """Return the heads to state, without those of tables that a peer sends.

        Parameters
        ----------
        heads : mapping of str to Head
            Heads of this host's tables, by kind.
        requester : mapping of str to Head or None
            Those of the peer to which they are stated in a reply. If it is ahead, it
            sends the changes next.
        """
        stated = dict(heads)
        now = self._clock.now()
        arriving = any(at > now - MAX_ARRIVAL_S for at in self._began_at)
        for kind in LARGE_KINDS:
            if arriving or now < self._awaited_until:
                stated.pop(kind.value, None)
            elif requester is not None and kind.value in requester:
                own, other = heads[kind.value], requester[kind.value]
                if other.complete > own.complete and other.digest != own.digest:
                    self._awaited_until = now + MAX_AWAITED_S
        return stated
