"""What endpoints say of themselves, as a host records it and tells its peers."""

from collections.abc import Callable

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.endpoint_limits import EndpointLimits
from radishshift.decisions.endpoint_pauses import EndpointPauses
from radishshift.gateway.deployment import Member
from radishshift.gateway.host_view import HostView
from radishshift.gateway.messages import EndpointNotices

__all__ = ["EndpointStatements"]

logger = logbook.Logger("endpoints")


class EndpointStatements(EndpointNotices):
    """Records the statements in answers that this host receives.

    Parameters
    ----------
    clock : Clock
    limits : EndpointLimits
    host_view : HostView
    pauses : EndpointPauses

    Attributes
    ----------
    on_change : callable
        Called after a statement of which peers should hear at once.
    """

    def __init__(
        self,
        clock: Clock,
        limits: EndpointLimits,
        host_view: HostView,
        pauses: EndpointPauses,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._host_view = host_view
        self._pauses = pauses
        self.on_change: Callable[[], None] = lambda: None

    def limits(
        self, member: Member, per_s: float | None, refusals_per_s: int | None
    ) -> None:
        """Record the limits that an answer states, or that it states none."""
        if self._limits.record(
            member.incarnation, per_s, self._clock.now(), refusals_per_s
        ):
            logger.info(
                "endpoint limit changed",
                extra={
                    "endpoint": member.name,
                    "per_s": per_s,
                    "refusals_per_s": refusals_per_s,
                    "source": "answer",
                },
            )
            self.on_change()

    def pauses(self, member: Member, pause_s: float) -> None:
        """Record a pause, which concerns this host alone."""
        now = self._clock.now()
        if self._pauses.until(member.incarnation) <= now:
            logger.info(
                "endpoint pauses",
                extra={"endpoint": member.name, "pause_s": round(pause_s, 3)},
            )
        self._pauses.record(member.incarnation, pause_s, now)

    def leaves(self, member: Member) -> None:
        """Take an endpoint out of rotation that says it leaves."""
        if self._host_view.record_leaving(member):
            self.on_change()
