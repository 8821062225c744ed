"""Writes what crashes endpoints to the platform, and deletes it there.

These are parts of prompts and, by their hashes, whole requests. Hosts that start, also
all at once, and data centres that hear from no other, learn of them there. Any
host may write. Hosts take turns in the order of their names, as for roll-outs.
"""

import asyncio
from collections.abc import Callable

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.crashes import CrashSuspects, is_request
from radishshift.errors import AlreadyExistsError, NotFoundError, RadishshiftError
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_view import HostView
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.platform_writes import write_and_verify

__all__ = ["BlockedPartDuty"]

CHECK_INTERVAL_S = 0.2
SETTLE_S = 1.0  # by then other hosts have reported suspects and sound answers
# By then crashes of endpoints that live have been taken back. A whole request is blamed
# after fewer crashes than a part.
REQUEST_SETTLE_S = 2.5
WRITE_TURN_S = 0.7  # time for the write of one host before the next one tries
MAX_BLOCKED_PARTS = 100  # stored at a time, whole requests included
MAX_BLOCKED_REQUESTS = 50  # of these; a part stands for many requests

logger = logbook.Logger("blocked_parts")


class BlockedPartDuty:
    """Keeps the stored blocked parts and those of this host the same.

    Parameters
    ----------
    host : str
    platform : Platform
    clock : Clock
    host_view : HostView
    suspects : CrashSuspects
    gossip : Gossip
    changed : callable
        Called after a write has changed the view.
    """

    def __init__(
        self,
        host: str,
        platform: Platform,
        clock: Clock,
        host_view: HostView,
        suspects: CrashSuspects,
        gossip: Gossip,
        changed: Callable[[], None],
    ) -> None:
        self._host = host
        self._platform = platform
        self._clock = clock
        self._host_view = host_view
        self._suspects = suspects
        self._gossip = gossip
        self._changed = changed
        self._due_since: dict[str, float] = {}

    async def run(self) -> None:
        """Write what is due, until cancelled."""
        while True:
            await self._write_due()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _write_due(self) -> None:
        if self._gossip.store_lost():
            return
        now = self._clock.now()
        stored = self._host_view.blocked_parts
        due = {
            part: count
            for part, count in self._suspects.attributed(now).items()
            if part not in stored
        }
        obsolete = self._suspects.obsolete_stored(now)
        lost = self._host_view.lost_parts
        due |= {part: 0 for part in lost if part not in {*due, *obsolete}}
        for part in [part for part in self._due_since if part not in {*due, *obsolete}]:
            del self._due_since[part]
        for part, count in due.items():
            if self._is_turn(part, now) and (part in lost or self._has_room(part)):
                await self._create(part, count)
        for part in obsolete:
            if self._is_turn(part, now):
                await self._delete(part)

    def _has_room(self, part: str) -> bool:
        stored = self._host_view.blocked_parts
        if len(stored) >= MAX_BLOCKED_PARTS:
            return False
        requests = sum(map(is_request, stored))
        return not is_request(part) or requests < MAX_BLOCKED_REQUESTS

    def _is_turn(self, part: str, now: float) -> bool:
        """Return whether this host is to write a part's change now."""
        since = self._due_since.setdefault(part, now)
        settle_s = REQUEST_SETTLE_S if is_request(part) else SETTLE_S
        return now >= since + settle_s + self._gossip.duty_turn() * WRITE_TURN_S

    async def _create(self, part: str, crashes: int) -> None:
        self._due_since[part] = now = self._clock.now()
        blocked_at = self._host_view.lost_parts.get(part, now)
        spec = {
            "blocked_at": round(blocked_at, 3),
            "crashes": crashes,
            "host": self._host,
        }
        item = StoredObject(Kind.BLOCKED_PART, part, spec)
        try:
            try:
                stored = await write_and_verify(self._platform, item)
            except AlreadyExistsError:
                stored = await self._platform.get(Kind.BLOCKED_PART, part)
        except RadishshiftError as exc:
            logger.warning("storing blocked part {} failed: {}", part, exc.code)
            return
        logger.info("blocked part {} stored", part, extra={"crashes": crashes})
        if self._host_view.merge_written(stored):
            self._changed()

    async def _delete(self, part: str) -> None:
        self._due_since[part] = self._clock.now()
        stored = self._host_view.tables[Kind.BLOCKED_PART].items.get(part)
        if stored is None:  # removed during the write of another part
            return
        try:
            await self._platform.delete(Kind.BLOCKED_PART, part, stored.revision)
        except NotFoundError:
            # Another host has deleted it; the watch will say at which revision.
            return
        except RadishshiftError as exc:
            logger.warning("deleting blocked part {} failed: {}", part, exc.code)
            return
        logger.info("blocked part {} deleted", part)
