"""Connection probes that test in the background whether endpoints are reachable."""

import asyncio
from collections.abc import Callable

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.placing import EndpointView
from radishshift.gateway.messages import EndpointClient, ProbeOutcome

__all__ = ["ConnectionProber"]

logger = logbook.Logger("knocks")


class ConnectionProber:
    """Opens test connections to endpoints that are silent or were unreachable.

    Parameters
    ----------
    clock : Clock
    client : EndpointClient

    Attributes
    ----------
    on_outcome : callable
        Called with the view and the outcome after each probe.
    """

    def __init__(self, clock: Clock, client: EndpointClient) -> None:
        self._clock = clock
        self._client = client
        self.on_outcome: Callable[[EndpointView, ProbeOutcome], None] = (
            lambda view, outcome: None
        )
        self._running_probes: dict[tuple[str, int], asyncio.Task[None]] = {}

    def probe(self, view: EndpointView) -> None:
        """Probe an endpoint unless a probe of it is already running."""
        key = view.member.incarnation
        if key not in self._running_probes:
            task = asyncio.create_task(self._probe(view))
            self._running_probes[key] = task
            task.add_done_callback(lambda _: self._running_probes.pop(key))

    async def _probe(self, view: EndpointView) -> None:
        """Probe an endpoint and record whether its host responded.

        A refused connection counts as a response.
        """
        was_unreachable = view.unreachable
        outcome = await self._client.probe(view.member)
        now = self._clock.now()
        if outcome is ProbeOutcome.UNANSWERED:
            view.record_unreachable(now)
        else:
            view.record_reachable(now, outcome is ProbeOutcome.OPENED)
        if view.unreachable is not was_unreachable:
            logger.info("connection to {}: {}", view.member.name, outcome.value)
        self.on_outcome(view, outcome)
