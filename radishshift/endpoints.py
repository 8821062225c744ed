"""Endpoints that run attempts, as listed by the platform."""

import enum
from dataclasses import dataclass

__all__ = ["Endpoint", "EndpointState"]


class EndpointState(enum.StrEnum):
    """State of an endpoint in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine or a replica of a plain service.

    Attributes
    ----------
    name : str
    address : str
        Base URL with an IP number and a port.
    data_centre : str
    serves : frozenset of str
        Names of the versions or of the service that it provides.
    slots : int
        Requests that it runs concurrently; further ones queue there.
    checks_fencing : bool
        Whether it rejects requests with an outdated fencing token.
    state : EndpointState
    """

    name: str
    address: str
    data_centre: str
    serves: frozenset[str]
    slots: int
    checks_fencing: bool
    state: EndpointState = EndpointState.LIVE

    def accepts_attempts(self) -> bool:
        """Return whether new attempts may be sent to it."""
        return self.state is EndpointState.LIVE
