"""Calls and exchanged state between entry hosts.

Two things pass between hosts. A call is one message with one reply, sent to a
named host: the copy of a bill, a question for an answer. A section is a small
piece of state that rides on the heartbeats: limits, evidence, hints, poison.
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
    """A peer gave no answer; it may have acted on the message."""

    code = "peer-unavailable"
    status = 503
    usual_verdict = Verdict.MAY_HAVE_RUN


class Section(Protocol):
    """State that rides on heartbeats.

    Attributes
    ----------
    name : str
        Short: it is sent with each heartbeat that carries the section.
    """

    name: str

    def outgoing(self, peer: Host, now: float) -> Any | None:
        """Return JSON values for a peer, or None if there is nothing new."""

    def incoming(self, peer: Host, value: Any, now: float) -> None:
        """Take what a peer has sent; must bear repeats and any order."""


class Peers:
    """The other entry hosts, as this one sees them.

    Parameters
    ----------
    me : Host
    """

    def __init__(self, me: Host) -> None:
        self.me = me
        self.handlers: dict[str, Handler] = {}
        self.sections: dict[str, Section] = {}

    def handle(self, topic: str, handler: Handler) -> None:
        """Register what answers calls of a topic."""
        self.handlers[topic] = handler

    def add_section(self, section: Section) -> None:
        """Register a section to ride on the heartbeats."""
        self.sections[section.name] = section

    def hosts(self) -> list[Host]:
        """Return all hosts known, this one left out, in order of name."""
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
        """Take the platform's list of hosts."""

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats soon, because there is news."""

    async def leave(self) -> None:
        """Tell the others that this host is leaving."""

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
    """Hosts of one process, joined directly; links can be cut.

    Parameters
    ----------
    me : Host
    network : dict of str to MemoryPeers
        Shared by all hosts; this one adds itself.
    """

    def __init__(self, me: Host, network: dict[str, "MemoryPeers"]) -> None:
        super().__init__(me)
        self.network = network
        self.cut: set[str] = set()
        network[me.name] = self

    def hosts(self) -> list[Host]:
        """Return all hosts of the process but this one."""
        return [
            self.network[name].me
            for name in sorted(self.network)
            if name != self.me.name
        ]

    async def call(
        self, host: str, topic: str, message: bytes, deadline: float
    ) -> bytes:
        """Hand a message to a host's handler."""
        other = self.network.get(host)
        if other is None or host in self.cut or self.me.name in other.cut:
            raise PeerUnavailableError(f"{host} is not in reach")
        handler = other.handlers.get(topic)
        if handler is None:
            raise PeerUnavailableError(f"{host} takes no {topic}")
        return await handler(self.me.name, message)

    def send_sections(self, now: float, names: Iterable[str] | None = None) -> None:
        """Carry every section to every host in reach, or those named, once."""
        for name in list(self.network) if names is None else names:
            other = self.network[name]
            if other is self or other.me.name in self.cut or self.me.name in other.cut:
                continue
            for name, section in self.sections.items():
                value = section.outgoing(other.me, now)
                if value is not None and name in other.sections:
                    other.sections[name].incoming(self.me, value, now)
