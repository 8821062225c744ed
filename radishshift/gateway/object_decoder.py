"""How a platform's objects are read; each adapter brings its own."""

from typing import Any

from radishshift.gateway.deployment import Deployment, Member, Rollout, RolloutState
from radishshift.objects import StoredObject

__all__ = ["ObjectDecoder"]


class ObjectDecoder:
    """Decodes objects of a platform into the product's types.

    All but `rollout_status` may raise `UnreadableObjectError`.
    """

    def deployment(self, item: StoredObject) -> Deployment:
        """Return the configuration that an object holds."""
        raise NotImplementedError

    def member(self, item: StoredObject) -> Member:
        """Return the endpoint that an object describes."""
        raise NotImplementedError

    def rollout(self, item: StoredObject) -> Rollout:
        """Return the order that an object holds, and how far it is."""
        raise NotImplementedError

    def rollout_status(self, rollout: Rollout, state: RolloutState) -> dict[str, Any]:
        """Return the status object that tells how far a roll-out is."""
        raise NotImplementedError
