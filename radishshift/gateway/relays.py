"""Connects the parts by which hosts relay attempts for each other."""

from collections.abc import Callable

from radishshift.clocks import Clock
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.host_view import HostView
from radishshift.gateway.monitor import Monitor
from radishshift.gateway.relay_client import RelayClient
from radishshift.gateway.relay_server import RelayServer

__all__ = ["Relays"]


class Relays:
    """A host's attempts at its peers, and those of its peers at it.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    host_view : HostView
    dispatcher : Dispatcher
    gossip : Gossip
    stopping : callable
        Tells whether this host is about to stop.

    Attributes
    ----------
    client : RelayClient
    server : RelayServer
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        host_view: HostView,
        dispatcher: Dispatcher,
        gossip: Gossip,
        stopping: Callable[[], bool],
    ) -> None:
        tracker = dispatcher.services.tracker
        self._tracker = tracker
        self.client = RelayClient(
            settings,
            clock,
            gossip.peers,
            dispatcher.services,
            lambda service: {member.name for member in host_view.members_of(service)},
        )
        self.server = RelayServer(clock, dispatcher, tracker, stopping)
        dispatcher.relays = self.client
        gossip.reached_ages_s = lambda now: (
            {} if stopping() else tracker.reached_ages_s(now)
        )
        gossip.relaying = lambda: self.server.in_flight
        gossip.seeks_helpers = lambda: bool(tracker.lost_services())

    def register_gauges(self, monitor: Monitor) -> None:
        """Expose the counts of relayed attempts."""
        register = monitor.add_gauge
        register("lost_services", lambda: len(self._tracker.lost_services()))
        register("relays_sent", lambda: self.client.sent)
        register("relays_rejected", lambda: self.client.rejected)
        register("relays_served", lambda: self.server.relayed)
        register("relays_declined", lambda: self.server.declined)
        register("relays_in_flight", lambda: self.server.in_flight)
