"""Matching of requests to routes, and weighted choice of a service.

Load pattern: a configuration change adds hundreds of routes at once, and every
request needs a route lookup.
"""

from collections.abc import Iterable, Iterator

import xxhash

from radishshift.gateway.deployment import Route, ServiceShare

__all__ = ["RouteTable", "choose_service", "uniform"]


class RouteTable:
    """Routes indexed by host name and path prefix."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host header; a port is ignored.
        path : str
            Request target; a query is ignored.
        """
        routes = self._hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        for prefix in _prefixes(path.partition("?")[0]):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end in a slash, longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


def uniform(text: str) -> float:
    """Hash `text` to a number in [0, 1), the same on every host."""
    return xxhash.xxh64_intdigest(text.encode()) / 2**64


def choose_service(shares: tuple[ServiceShare, ...], key: str) -> str:
    """Choose a service by weight; every host chooses the same one for a `key`."""
    if len(shares) == 1:
        return shares[0].service
    point = uniform("service" + key) * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
