"""Questions to endpoints whether they can be reached, asked in the background."""

import asyncio

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.placing import EndpointView
from radishshift.gateway.messages import EndpointClient, ProbeOutcome

__all__ = ["ConnectionProber"]

logger = logbook.Logger("knocks")


class ConnectionProber:
    """Opens connections to endpoints that are silent or were out of reach.

    Parameters
    ----------
    clock : Clock
    client : EndpointClient
    """

    def __init__(self, clock: Clock, client: EndpointClient) -> None:
        self._clock = clock
        self._client = client
        self._asked: dict[tuple[str, int], asyncio.Task[None]] = {}

    def probe(self, view: EndpointView) -> None:
        """Find out whether an endpoint can be reached, unless that is under way."""
        key = view.member.incarnation
        if key not in self._asked:
            task = asyncio.create_task(self._knock(view))
            self._asked[key] = task
            task.add_done_callback(lambda _: self._asked.pop(key))

    async def _knock(self, view: EndpointView) -> None:
        was_lost = view.unreachable
        came = await self._client.probe(view.member)
        now = self._clock.now()
        if came is ProbeOutcome.UNANSWERED:
            view.record_unreachable(now)
        else:
            view.record_reachable(now, came is ProbeOutcome.OPENED)
        if view.unreachable is not was_lost:
            logger.info("connection to {}: {}", view.member.name, came.value)
