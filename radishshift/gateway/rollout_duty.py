"""Writes the status of roll-outs to the platform.

Any host may write. Hosts take turns in the order of their names, and the object's
revision resolves concurrent writes.
"""

import asyncio

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.versions import VersionGuard
from radishshift.errors import NotFoundError, RadishshiftError
from radishshift.gateway.deployment import RolloutState
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_view import HostView
from radishshift.gateway.object_decoder import ObjectDecoder
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform

__all__ = ["RolloutDuty"]

CHECK_INTERVAL_S = 0.2
WRITE_TURN_S = 0.7  # time for the write of one host before the next one tries

logger = logbook.Logger("rollouts")


class RolloutDuty:
    """Follows the roll-outs and writes their status.

    Parameters
    ----------
    host : str
    platform : Platform
    decoder : ObjectDecoder
    clock : Clock
    host_view : HostView
    versions : VersionGuard
    gossip : Gossip
    """

    def __init__(
        self,
        host: str,
        platform: Platform,
        decoder: ObjectDecoder,
        clock: Clock,
        host_view: HostView,
        versions: VersionGuard,
        gossip: Gossip,
    ) -> None:
        self._host = host
        self._platform = platform
        self._decoder = decoder
        self._clock = clock
        self._host_view = host_view
        self._versions = versions
        self._gossip = gossip
        self._due_since: dict[tuple[str, str, RolloutState], float] = {}

    async def run(self) -> None:
        """Handle all roll-outs until cancelled."""
        while True:
            now = self._clock.now()
            self._versions.update_rollouts(self._host_view.rollouts.values(), now)
            for service in list(self._versions.canaries):
                await self._advance(service)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _advance(self, service: str) -> None:
        canary = self._versions.canaries.get(service)
        if canary is None:  # removed during the write for another service
            return
        target = canary.rollout.target
        now = self._clock.now()
        old_in_flight = self._gossip.own_old_in_flight(service, target)
        old_in_flight += self._gossip.old_in_flight(service)
        state = self._versions.due_state(service, now, old_is_idle=old_in_flight == 0)
        state = state or self._host_view.lost_statuses.get(service)
        if state is None:
            if canary.rollout.state.ended:
                self._due_since.pop((service, target, canary.rollout.state), None)
            return
        since = self._due_since.setdefault((service, target, state), now)
        turn = self._gossip.duty_turn()
        if now < since + turn * WRITE_TURN_S:
            return
        await self._write(service, state)

    async def _write(self, service: str, state: RolloutState) -> None:
        canary = self._versions.canaries[service]
        try:
            stored = self._host_view.stored_rollout(service)
        except NotFoundError:
            return  # the order holds, but a restored store lacks it as yet
        status = self._decoder.rollout_status(canary.rollout, state)
        item = StoredObject(
            Kind.ROLLOUT, stored.name, stored.spec, status, stored.revision
        )
        totals = {
            f"{'new' if new else 'old'} {route}": [
                counts.answers,
                counts.bad,
                round(counts.slowness, 1),
            ]
            for (new, route), counts in canary.totals().items()
        }
        extra = {"service": service, "target": canary.rollout.target, "counts": totals}
        try:
            stored = await self._platform.update_status(item)
        except RadishshiftError as exc:
            logger.warning("writing status {} failed: {}", state, exc.code, extra=extra)
            await self._reread(service)
            return
        logger.info("status {} written", state, extra=extra)
        self._apply(stored)

    def _apply(self, stored: StoredObject) -> None:
        """Apply a written state at once: old endpoints stop on completion."""
        self._host_view.merge_written(stored)
        self._versions.update_rollouts(
            self._host_view.rollouts.values(), self._clock.now()
        )

    async def _reread(self, service: str) -> None:
        """Read the result of a write that was rejected or got no reply."""
        try:
            stored = await self._platform.get(Kind.ROLLOUT, service)
        except RadishshiftError as exc:
            logger.warning("reading the roll-out of {} failed: {}", service, exc.code)
            return
        self._apply(stored)
