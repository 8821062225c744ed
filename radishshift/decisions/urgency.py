"""Urgency of attempts, by the ranks that operators give to customers and routes.

Load pattern: a burst of long prompts of low rank fills endpoints, while callers wait
for short answers of a high rank. An endpoint starts what it has queued in the order of
arrival, unless the attempts say which of them are more urgent.
"""

from collections.abc import Iterable

from radishshift.gateway.deployment import Customer, Route, RouteKind

__all__ = ["UrgencyScale"]

Rank = tuple[int, int]


class UrgencyScale:
    """Orders the requests of a deployment by urgency.

    The rank of the customer comes first, then that of the route. If a deployment ranks
    all requests alike, there is no scale.

    Parameters
    ----------
    routes : iterable of Route
    customers : iterable of Customer
    """

    def __init__(self, routes: Iterable[Route], customers: Iterable[Customer]) -> None:
        of_routes = {
            route.priority for route in routes if route.kind is RouteKind.STREAM
        }
        of_customers = {customer.priority for customer in customers} or {None}
        self._ranks = sorted(
            {_rank(route, customer) for route in of_routes for customer in of_customers}
        )

    def steps(self, route: Route, customer: Customer | None) -> int | None:
        """Return how far a request is from the middle of all ranks.

        Returns
        -------
        int or None
            Negative for one that is more urgent than the middle; None if the deployment
            ranks all alike.
        """
        if len(self._ranks) < 2:
            return None
        rank = _rank(route.priority, None if customer is None else customer.priority)
        place = sum(other < rank for other in self._ranks)
        return place - len(self._ranks) // 2


def _rank(of_route: int, of_customer: int | None) -> Rank:
    """Return a tuple that sorts before those of less urgent requests."""
    return (of_route if of_customer is None else of_customer, of_route)
