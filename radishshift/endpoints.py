"""Endpoints that run attempts, as the platform's list gives them."""

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
        Names of the versions or of the service that it runs.
    slots : int
        Requests it runs at once before they queue there.
    checks_fencing : bool
        Whether it refuses an order with an old fencing number.
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
        """Tell whether new attempts may be sent to it."""
        return self.state is EndpointState.LIVE
