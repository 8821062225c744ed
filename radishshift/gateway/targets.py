"""Where an attempt goes: to an endpoint, or to a peer that relays it to one."""

from dataclasses import dataclass

from radishshift.gateway.deployment import Member

__all__ = ["Helper", "Target"]


@dataclass(frozen=True, slots=True)
class Helper:
    """A peer that is to relay an attempt.

    Attributes
    ----------
    member : Member
        The peer in the place of the endpoint, which is not known yet.
    """

    host: str
    member: Member


Target = Member | Helper
