"""Interface to decode the objects of a platform; each adapter implements it."""

from typing import Any

from radishshift.gateway.deployment import Deployment, Member, Rollout, RolloutState
from radishshift.objects import StoredObject

__all__ = ["ObjectDecoder"]


class ObjectDecoder:
    """Decodes objects of a platform into the types of `deployment`.

    All methods but `rollout_status` and `version_of` may raise
    `UnreadableObjectError`.
    """

    def version_of(self, item: StoredObject) -> int:
        """Return the version of a configuration, which operators never lower.

        It is 0 if that can't be read.
        """
        raise NotImplementedError

    def deployment(self, item: StoredObject) -> Deployment:
        """Decode a configuration."""
        raise NotImplementedError

    def member(self, item: StoredObject) -> Member:
        """Decode an endpoint."""
        raise NotImplementedError

    def rollout(self, item: StoredObject) -> Rollout:
        """Decode a roll-out order and its state."""
        raise NotImplementedError

    def rollout_status(self, rollout: Rollout, state: RolloutState) -> dict[str, Any]:
        """Return the status to store for a roll-out in the given state."""
        raise NotImplementedError
