"""Watches which services a host reaches, and probes those that it may have lost."""

import asyncio
from collections.abc import Callable

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.placing import EndpointView, Placer
from radishshift.decisions.service_reach import LOST_SAMPLE, ReachTracker
from radishshift.gateway.connection_prober import ConnectionProber
from radishshift.gateway.deployment import Member
from radishshift.gateway.host_view import HostView
from radishshift.gateway.messages import ProbeOutcome

__all__ = ["PROBE_LOST_INTERVAL_S", "ServiceMonitor"]

# Between probes of a lost service's endpoints, two of which are probed at a time.
PROBE_LOST_INTERVAL_S = 0.4
PROBES_AT_A_TIME = 2
PROBE_SUSPECTED_INTERVAL_S = 1.0  # between rounds of probes of one service

logger = logbook.Logger("reach")


class ServiceMonitor:
    """Records what attempts and probes show of a host's way to the services.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    host_view : HostView
    placer : Placer
    prober : ConnectionProber

    Attributes
    ----------
    tracker : ReachTracker
    on_change : callable
        Called after a service was lost or regained.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        host_view: HostView,
        placer: Placer,
        prober: ConnectionProber,
    ) -> None:
        self.tracker = ReachTracker()
        self.on_change: Callable[[], None] = lambda: None
        self._clock = clock
        self._data_centre = data_centre
        self._host_view = host_view
        self._placer = placer
        self._prober = prober
        self._suspected_probe_at: dict[str, float] = {}
        self._turn = 0
        prober.on_outcome = self._record_probe

    def record_answer(self, member: Member) -> None:
        """Record that a new attempt or connection reached an endpoint."""
        now = self._clock.now()
        service = member.service
        lost_at = self.tracker.lost_at(service)
        if not self.tracker.record_answer(service, now):
            return
        logger.warning(
            "service {} is regained",
            service,
            extra={"endpoint": member.name, "lost_s": round(now - lost_at, 3)},
        )
        self.on_change()

    def record_failure(self, member: Member) -> None:
        """Record that no connection to an endpoint could be opened."""
        now = self._clock.now()
        service = member.service
        listed = [each.name for each in self._host_view.members_of(service)]
        lost = self.tracker.record_failure(service, member.name, listed, now)
        if lost:
            answered_at = self.tracker.answered_at(service)
            logger.warning(
                "service {} is lost",
                service,
                extra={
                    "failed": sorted(self.tracker.failed(service)),
                    "listed": len(listed),
                    "answered_s_ago": round(now - answered_at, 3)
                    if answered_at
                    else None,
                },
            )
            self.on_change()
        elif self.tracker.suspected(service, now):
            self._probe_others(service, now)

    def _record_probe(self, view: EndpointView, outcome: ProbeOutcome) -> None:
        member = view.member
        if not member.service:
            return  # a peer
        if outcome is not ProbeOutcome.OPENED:
            self.record_failure(member)
            return
        self.record_answer(member)
        if self.tracker.lost(member.service):
            self._probe_next(member.service, 1)

    def _probe_others(self, service: str, now: float) -> None:
        """Probe the endpoints of a service that have not failed, nearest first."""
        if now < self._suspected_probe_at.get(service, 0.0):
            return
        self._suspected_probe_at[service] = now + PROBE_SUSPECTED_INTERVAL_S
        failed = self.tracker.failed(service)
        others = [
            member
            for member in self._host_view.members_of(service)
            if member.name not in failed
        ]
        others.sort(key=lambda member: member.data_centre != self._data_centre)
        for member in others[: LOST_SAMPLE - len(failed)]:
            self._prober.probe(self._placer.view(member))

    def _probe_next(self, service: str, count: int) -> None:
        """Probe the next endpoints of a service in turn."""
        members = list(self._host_view.members_of(service))
        for _ in range(min(count, len(members))):
            self._turn += 1
            member = members[self._turn % len(members)]
            self._prober.probe(self._placer.view(member))

    async def run(self) -> None:
        """Probe the services that are lost until cancelled."""
        while True:
            await asyncio.sleep(PROBE_LOST_INTERVAL_S)
            members = self._host_view.known_members()
            self.tracker.keep_only({member.service for member in members})
            for service in self.tracker.lost_services():
                self._probe_next(service, PROBES_AT_A_TIME)
