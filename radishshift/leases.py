"""Leases at the platform: the exclusive right of one host to act for a limited time.

A lease is an object that names its holder. The clocks of hosts are never compared:
the holder counts from just before it sent its write, and a contender from when it saw
the object change, each by its own clock. A contender waits longer than the holder
relies on the lease, so two hosts never hold it at once unless the holder was paused.
For that case each acquisition has a fencing token, the revision at which the lease was
acquired, and every action under the lease is a conditional write or carries the token.
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
HOLDER_SAFETY_MARGIN_S = 2.0


@dataclass(slots=True)
class Lease:
    """One host's view of a lease.

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
        Fencing token: the revision at which this host acquired the lease; each new
        holder's is higher.
    held_until : float
        Instant until which this host may act under the lease.
    """

    name: str
    holder: str
    platform: Platform
    clock: Clock
    fencing_number: int = 0
    held_until: float = 0.0
    _last_seen: StoredObject | None = None
    _expires_at: float = 0.0
    _renewals: int = 0

    def is_held(self, now: float) -> bool:
        """Return whether this host may act under the lease."""
        return now < self.held_until

    async def acquire_or_renew(self) -> bool:
        """Acquire, renew or poll the lease; return whether this host holds it.

        Raises
        ------
        PlatformUnavailableError
        """
        now = self.clock.now()
        try:
            if self._last_seen is None or self._held_by_other():
                await self._poll()
            if self._held_by_other() and self.clock.now() < self._expires_at:
                return False
            await self._write()
        except (AlreadyExistsError, ConflictError, NotFoundError):
            self._mark_lost()
            return False
        except PlatformUnavailableError:
            if not self.is_held(now):
                self._last_seen = None
            raise
        return self.is_held(self.clock.now())

    async def release(self) -> None:
        """Release the lease, so that other hosts need not wait for it to expire."""
        self.held_until = 0.0
        last_seen, self._last_seen = self._last_seen, None
        if last_seen is None or not self._held_by_this_host(last_seen):
            return
        spec = {**last_seen.spec, "holder": ""}
        item = StoredObject(Kind.LEASE, self.name, spec, {}, last_seen.revision)
        try:
            await self.platform.update(item)
        except RadishshiftError:
            return

    def _held_by_other(self) -> bool:
        return self._last_seen is not None and not self._held_by_this_host(
            self._last_seen
        )

    def _held_by_this_host(self, item: StoredObject) -> bool:
        return item.spec.get("holder") == self.holder

    async def _poll(self) -> None:
        try:
            item = await self.platform.get(Kind.LEASE, self.name)
        except NotFoundError:
            self._last_seen = None
            return
        now = self.clock.now()
        if not item.spec.get("holder"):
            self._expires_at = now
        elif self._last_seen is None or item.revision != self._last_seen.revision:
            self._expires_at = now + item.spec.get("durationS", LEASE_DURATION_S)
        self._last_seen = item

    async def _write(self) -> None:
        sent_at = self.clock.now()
        acquiring = self._last_seen is None or not self._held_by_this_host(
            self._last_seen
        )
        self._renewals += 1
        item = StoredObject(Kind.LEASE, self.name, self._spec(), {}, self._revision())
        self._last_seen = await write_and_verify(self.platform, item)
        if acquiring or sent_at >= self.held_until:
            self.fencing_number = self._last_seen.revision
        self.held_until = sent_at + LEASE_DURATION_S - HOLDER_SAFETY_MARGIN_S

    def _revision(self) -> int:
        return 0 if self._last_seen is None else self._last_seen.revision

    def _spec(self) -> dict[str, Any]:
        return {
            "holder": self.holder,
            "durationS": LEASE_DURATION_S,
            "renewals": self._renewals,
        }

    def _mark_lost(self) -> None:
        self.held_until = 0.0
        self._last_seen = None
