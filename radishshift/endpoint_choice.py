"""Choice of the endpoint for the next attempt, from this host's view of the load."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from radishshift.balance import BalancingContext, choose
from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.endpoints import Endpoint
from radishshift.kv_moves import KvMover
from radishshift.loads import EndpointLoads
from radishshift.prefix_caches import PrefixCaches
from radishshift.requests import ModelRequest, prefix_digest

__all__ = ["EndpointChooser"]


@dataclass(slots=True)
class EndpointChooser:
    """Chooses endpoints by their load and by the prompt prefixes that they cache.

    Parameters
    ----------
    data_centre : str
    host_name : str
    clock : Clock
    configuration : Configuration
    loads : EndpointLoads
    kv_mover : KvMover, optional
        Moves KV caches between endpoints; without it none is moved.
    """

    data_centre: str
    host_name: str
    clock: Clock
    configuration: Configuration
    loads: EndpointLoads
    kv_mover: KvMover | None = None
    prefix_caches: PrefixCaches = field(default_factory=PrefixCaches)

    def choose(self, served: str, prefix: bytes, tried: set[str]) -> Endpoint:
        """Return the endpoint for the next attempt.

        Parameters
        ----------
        served : str
            Name of the version or service.
        prefix : bytes
            Prompt, whose start identifies the cached prefix.
        tried : set of str
            Names of the endpoints to exclude.

        Raises
        ------
        NoEndpointError
            There are no candidates.
        """
        now = self.clock.now()
        digest = prefix_digest(prefix)
        catalogue = self.configuration.catalogue
        context = BalancingContext(
            served_name=served,
            data_centre=self.data_centre,
            prefix_digest=digest,
            now=now,
            host=self.host_name,
            prefix_seen=self.prefix_caches.seen(digest),
        )
        holders = self.prefix_caches.holders(digest)
        chosen = choose(
            catalogue.policies.balancer,
            context,
            self.loads.candidates(self._untried(served, tried), now, holders),
        )
        self.prefix_caches.record_sent(digest, chosen.name)
        return chosen

    def has_untried(self, served: str, tried: set[str]) -> bool:
        """Tell whether `choose` would find an endpoint now."""
        return any(self._untried(served, tried))

    def _untried(self, served: str, tried: set[str]) -> Iterator[Endpoint]:
        for endpoint in self.configuration.catalogue.endpoints_of(served):
            if endpoint.name not in tried:
                yield endpoint

    def kv_source(self, req: ModelRequest, served: str) -> Endpoint | None:
        """Return a leaving endpoint to fetch a session's KV cache from, if any.

        There is none while an endpoint that accepts attempts holds the cache.
        """
        if self.kv_mover is None or not req.session_token:
            return None
        holders = self.prefix_caches.holders(prefix_digest(req.body_bytes))
        return self.kv_mover.find_source(self.configuration.catalogue, served, holders)

    async def import_kv(
        self, req: ModelRequest, source: Endpoint, endpoint: Endpoint
    ) -> None:
        """Have `endpoint` import a session's KV cache if that saves time."""
        await self.kv_mover.transfer(
            source,
            endpoint,
            prefix_digest(req.body_bytes),
            req.prompt_tokens_estimate,
            self.configuration.catalogue.policies.parameters,
        )
