"""Choice of the endpoint for the next attempt, by what this host knows of them."""

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
    """Chooses endpoints by their loads and by the prompts that they have read.

    Parameters
    ----------
    data_centre : str
    host_name : str
    clock : Clock
    configuration : Configuration
    loads : EndpointLoads
    kv_mover : KvMover, optional
        Without it no KV cache is moved.
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

        Raises
        ------
        NoEndpointError
        """
        now = self.clock.now()
        digest = prefix_digest(prefix)
        catalogue = self.configuration.catalogue
        context = BalancingContext(
            served=served,
            data_centre=self.data_centre,
            prefix_digest=digest,
            now=now,
            host=self.host_name,
            prefix_seen=self.prefix_caches.seen(digest),
        )
        endpoints = [
            endpoint
            for endpoint in catalogue.endpoints_of(served)
            if endpoint.name not in tried
        ]
        holders = self.prefix_caches.holders(digest)
        chosen = choose(
            catalogue.policies.balancer,
            context,
            self.loads.candidates(endpoints, now, holders),
        )
        self.prefix_caches.record_sent(digest, chosen.name)
        return chosen

    def kv_source(self, req: ModelRequest, served: str) -> Endpoint | None:
        """Return the leaving endpoint that alone holds a session's KV cache, if any."""
        if self.kv_mover is None or not req.session_token:
            return None
        holders = self.prefix_caches.holders(prefix_digest(req.body_bytes))
        return self.kv_mover.find_source(self.configuration.catalogue, served, holders)

    async def import_kv(
        self, req: ModelRequest, source: Endpoint, endpoint: Endpoint
    ) -> None:
        """Have an endpoint fetch a session's KV cache, if that is worth it."""
        await self.kv_mover.transfer(
            source,
            endpoint,
            prefix_digest(req.body_bytes),
            req.prompt_tokens_estimate,
            self.configuration.catalogue.policies.parameters,
        )
