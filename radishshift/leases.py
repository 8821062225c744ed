"""Leases at the platform: the right of one host to act for a time.

A lease is an object that names its holder. Clocks of hosts are not compared: a
holder counts from just before it sent the write, and a contender from when it saw
the object change, by its own clock. The contender waits longer than the holder
trusts, so two never hold at once unless a holder was paused; for that case each
holding has a fencing number, the revision at which it was acquired, and every act
under the lease is a conditional write or carries the number.
"""

from dataclasses import dataclass
from typing import Any

from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.platform_writes import write_and_verify

__all__ = ["LEASE_DURATION_S", "RENEWAL_INTERVAL_S", "Lease"]

LEASE_DURATION_S = 9.0
RENEWAL_INTERVAL_S = 3.0
HOLDER_MARGIN_S = 2.0


@dataclass(slots=True)
class Lease:
    """A lease as one host sees it.

    Parameters
    ----------
    name : str
    holder : str
        Name and incarnation of this host.
    platform : Platform
    clock : Clock

    Attributes
    ----------
    fencing_number : int
        Revision at which this host acquired the lease; grows from holder to holder.
    held_until : float
        Instant until which this host may act.
    """

    name: str
    holder: str
    platform: Platform
    clock: Clock
    fencing_number: int = 0
    held_until: float = 0.0
    _seen: StoredObject | None = None
    _lapses_at: float = 0.0
    _renewals: int = 0

    def is_held(self, now: float) -> bool:
        """Tell whether this host may act under the lease."""
        return now < self.held_until

    async def acquire_or_renew(self) -> bool:
        """Acquire, renew, or look at the lease; return whether it is held.

        Raises
        ------
        PlatformUnavailableError
        """
        now = self.clock.now()
        try:
            if self._seen is None or self._others():
                await self._look()
            if self._others() and self.clock.now() < self._lapses_at:
                return False
            await self._write()
        except (AlreadyExistsError, ConflictError, NotFoundError):
            self._lose()
            return False
        except PlatformUnavailableError:
            if not self.is_held(now):
                self._seen = None
            raise
        return self.is_held(self.clock.now())

    async def release(self) -> None:
        """Give the lease up, so that another need not wait for it to lapse."""
        self.held_until = 0.0
        seen, self._seen = self._seen, None
        if seen is None or not self._mine(seen):
            return
        spec = {**seen.spec, "holder": ""}
        item = StoredObject(Kind.LEASE, self.name, spec, {}, seen.revision)
        try:
            await self.platform.update(item)
        except RadishshiftError:
            return

    def _others(self) -> bool:
        return self._seen is not None and not self._mine(self._seen)

    def _mine(self, item: StoredObject) -> bool:
        return item.spec.get("holder") == self.holder

    async def _look(self) -> None:
        try:
            item = await self.platform.get(Kind.LEASE, self.name)
        except NotFoundError:
            self._seen = None
            return
        now = self.clock.now()
        if not item.spec.get("holder"):
            self._lapses_at = now
        elif self._seen is None or item.revision != self._seen.revision:
            self._lapses_at = now + item.spec.get("durationS", LEASE_DURATION_S)
        self._seen = item

    async def _write(self) -> None:
        sent_at = self.clock.now()
        acquiring = self._seen is None or not self._mine(self._seen)
        self._renewals += 1
        item = StoredObject(Kind.LEASE, self.name, self._spec(), {}, self._revision())
        self._seen = await write_and_verify(self.platform, item)
        if acquiring or sent_at >= self.held_until:
            self.fencing_number = self._seen.revision
        self.held_until = sent_at + LEASE_DURATION_S - HOLDER_MARGIN_S

    def _revision(self) -> int:
        return 0 if self._seen is None else self._seen.revision

    def _spec(self) -> dict[str, Any]:
        return {
            "holder": self.holder,
            "durationS": LEASE_DURATION_S,
            "renewals": self._renewals,
        }

    def _lose(self) -> None:
        self.held_until = 0.0
        self._seen = None
