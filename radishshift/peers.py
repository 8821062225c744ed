"""Calls and shared state between entry hosts.

Hosts communicate in two ways. A call is one message with one reply, sent to a named
host, such as the copy of a bill or a request for a stored answer. A section is a small
piece of state that is piggybacked on the heartbeats, such as usage of limits, evidence
of quality or requests that crashed endpoints.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, Protocol

from radishshift.errors import RadishshiftError
from radishshift.hosts import Host, HostState
from radishshift.objects import StoredObject
from radishshift.verdicts import Verdict

__all__ = ["Handler", "MemoryPeers", "PeerUnavailableError", "Peers", "Section"]

Handler = Callable[[str, bytes], Awaitable[bytes]]


class PeerUnavailableError(RadishshiftError):
    """A peer did not reply; it may have processed the message."""

    code = "peer-unavailable"
    status = 503
    default_verdict = Verdict.MAY_HAVE_RUN


class Section(Protocol):
    """State that is piggybacked on heartbeats.

    Attributes
    ----------
    name : str
        Should be short, as it is sent with each heartbeat that contains the section.
    """

    name: str

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return JSON values to send to a peer, or None if there is nothing new."""

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Merge values that a peer has sent.

        Values may arrive more than once and in any order.
        """


class Peers:
    """The other entry hosts, as seen by this one.

    Parameters
    ----------
    me : Host
    """

    def __init__(self, me: Host) -> None:
        self.me = me
        self.handlers: dict[str, Handler] = {}
        self.sections: dict[str, Section] = {}

    def handle(self, topic: str, handler: Handler) -> None:
        """Register the handler for calls of a topic."""
        self.handlers[topic] = handler

    def add_section(self, section: Section) -> None:
        """Register a section to be sent with the heartbeats."""
        self.sections[section.name] = section

    def hosts(self) -> list[Host]:
        """Return all known hosts except this one, sorted by name."""
        raise NotImplementedError

    def live(self, data_centre: str | None = None) -> list[Host]:
        """Return the live hosts, of one data centre if given."""
        return [
            host
            for host in self.hosts()
            if host.state is HostState.LIVE
            and (data_centre is None or host.data_centre == data_centre)
        ]

    def merge_host_list(self, items: list[StoredObject], now: float) -> None:
        """Merge the platform's list of hosts with what is known."""

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats early, to spread an update."""

    async def leave(self) -> None:
        """Announce to the peers that this host is leaving."""

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Send a message to a host and return its reply.

        Raises
        ------
        PeerUnavailableError
        """
        raise NotImplementedError


class MemoryPeers(Peers):
    """Hosts that run in one process and call each other directly.

    Parameters
    ----------
    me : Host
    network : dict of str to MemoryPeers
        Shared by all hosts; each adds itself under its name.

    Attributes
    ----------
    cut : set of str
        Names of the hosts to which the link is down, in both directions.
    """

    def __init__(self, me: Host, network: dict[str, "MemoryPeers"]) -> None:
        super().__init__(me)
        self.network = network
        self.cut: set[str] = set()
        network[me.name] = self

    def hosts(self) -> list[Host]:
        """Return all hosts of the process except this one, sorted by name."""
        return [
            self.network[name].me
            for name in sorted(self.network)
            if name != self.me.name
        ]

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Pass a message to the handler of a host."""
        other = self.network.get(host)
        if other is None or host in self.cut or self.me.name in other.cut:
            raise PeerUnavailableError(f"host {host} is unreachable")
        handler = other.handlers.get(topic)
        if handler is None:
            raise PeerUnavailableError(f"host {host} has no handler for {topic}")
        return await handler(self.me.name, message)

    def send_sections(self, now: float, names: Iterable[str] | None = None) -> None:
        """Send every section once to all hosts, or to those named, if reachable."""
        for name in list(self.network) if names is None else names:
            other = self.network[name]
            if other is self or other.me.name in self.cut or self.me.name in other.cut:
                continue
            for name, section in self.sections.items():
                value = section.outgoing(other.me, now)
                if value is not None and name in other.sections:
                    other.sections[name].incoming(self.me, value, now)
