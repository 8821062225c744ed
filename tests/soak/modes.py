"""Modes of a soak test: its faults, and how hosts, endpoints and callers behave."""

from dataclasses import dataclass, field, replace

__all__ = ["MODES", "Mode"]

DEADLINE_S = 4.0


@dataclass(frozen=True)
class Mode:
    """Faults of a soak test, and the behaviour of hosts, endpoints and callers.

    Attributes
    ----------
    name : str
        The faults that are registered for this mode are injected.
    fault_gap_s : pair of float
        Shortest and longest time between the starts of two faults.
    grace_s : float
        Time from SIGTERM until a host is killed.
    work_s : pair of float
        Shortest and longest time that an endpoint works before its answer begins; most
        are near the shortest.
    event_gap_s : float
        Time between the events of a stream.
    caller_count : int
        Callers that send to any host, with hardly a pause.
    callers_per_host : int
        Callers that send to one host, for each host, and begin one after the other.
    callers_in_turn : int
        Callers that stay with one host, for each host. One after the other sends a
        request, so that the host has none in flight for an instant between two.
    kinds : tuple of str
        Kinds of requests to choose from.
    deadlines_s : dict of str to tuple of float
        Deadlines to choose from during the faults, by kind of request.
    callers_outlast_stops : bool
        Whether callers go on until all hosts that are stopping have ended.
    recovery_s : float
        Time without requests between the last fault and the check that all is served.
    caller_pause_s : float
        Longest pause of a caller of `caller_count` between two requests.
    impatient_share : float
        Share of the requests whose callers don't obey `Retry-After`.
    links : bool
        Whether callers reach the hosts, and hosts the endpoints, over links.
    evacuation_s : float
        Time from the order to empty a data centre until its endpoints may get nothing;
        0 where there are no such orders.
    endpoint_counts : dict of str to tuple of int
        Numbers of endpoints to choose from, by service, where not the usual one.
    unsafe_attempts : int
        Endpoints that one unsafe request may be sent to.
    answers_before_crash : bool
        Whether requests that crash endpoints are answered until then.
    own_links : bool
        Whether single hosts can be cut off from the endpoints.
    stream_timeout_s : float
        Time that the routes of streams allow.
    small_confidence : float
        Confidence that the small model states; at 30 its streams are escalated.
    changes_timeouts : bool
        Whether changes of the configuration change timeouts, too.
    lead_s : float
        Time for which callers send before the first fault.
    """

    name: str
    fault_gap_s: tuple[float, float]
    grace_s: float
    work_s: tuple[float, float] = (0.0, 0.0)
    event_gap_s: float = 0.02
    caller_count: int = 12
    callers_per_host: int = 0
    callers_in_turn: int = 0
    kinds: tuple[str, ...] = ("check", "book", "plan", "plan")
    deadlines_s: dict[str, tuple[float, ...]] = field(default_factory=dict)
    callers_outlast_stops: bool = False
    # Covers the longest open time of a circuit breaker and the refill of retry budgets.
    recovery_s: float = 6.0
    caller_pause_s: float = 0.05
    impatient_share: float = 0.0
    links: bool = True
    evacuation_s: float = 0.0
    endpoint_counts: dict[str, tuple[int, ...]] = field(default_factory=dict)
    unsafe_attempts: int = 1
    own_links: bool = False
    answers_before_crash: bool = False
    stream_timeout_s: float = 4.0
    small_confidence: float = 30.0
    changes_timeouts: bool = False
    lead_s: float = 0.0


MODES = {
    mode.name: mode
    for mode in (
        Mode("all", fault_gap_s=(0.05, 0.8), grace_s=2.0),
        # Hosts are only stopped. Callers in turn use connections that were open at the
        # signal until the end of the grace time.
        Mode(
            "stops",
            fault_gap_s=(0.1, 1.5),
            grace_s=8.0,
            work_s=(0.02, 0.3),
            event_gap_s=0.0,
            caller_count=2,
            callers_in_turn=120,
            kinds=("check", "check", "book", "book", "plan"),
            deadlines_s={"check": (1.0,), "book": (1.0,), "plan": (1.0, 4.0)},
            callers_outlast_stops=True,
            recovery_s=0.5,
            links=False,
        ),
        # Endpoints limit the requests of all hosts together, for long enough that hosts
        # have to know.
        Mode("limits", fault_gap_s=(0.1, 1.5), grace_s=2.0, event_gap_s=0.0),
        # The store comes back from older copies and lists what can't be read; endpoints
        # lose answers and send heads that belong to no request.
        Mode("copies", fault_gap_s=(0.2, 1.5), grace_s=2.0, recovery_s=8.0),
        # Services fail for seconds while hosts come and go. Requests are few, so that
        # the part of the retry budget that doesn't depend on them weighs most.
        Mode(
            "brownouts",
            fault_gap_s=(0.3, 2.0),
            grace_s=2.0,
            caller_count=24,
            recovery_s=12.0,
            caller_pause_s=3.0,
            impatient_share=0.3,
        ),
        # Data centres are emptied, for long enough that hosts have to keep to it.
        Mode(
            "evacuations",
            fault_gap_s=(0.5, 4.0),
            grace_s=2.0,
            event_gap_s=0.0,
            evacuation_s=3.0,
        ),
        # Endpoints refuse, and repeat refusals where the next answer is due. They are
        # few, so that a refused request comes back over the connection of its refusal.
        Mode(
            "refusals",
            fault_gap_s=(0.2, 1.0),
            grace_s=2.0,
            work_s=(0.01, 0.3),
            caller_count=20,
            kinds=("check", "book", "book", "plan"),
            caller_pause_s=0.2,
            endpoint_counts={"desk": (1, 2), "advice": (2, 3)},
            unsafe_attempts=3,
            own_links=True,
        ),
        # Single requests crash each endpoint that runs them, before their answers
        # begin, and are sent again and again among streams that are being answered.
        Mode(
            "deadly",
            fault_gap_s=(0.5, 4.0),
            grace_s=4.0,
            work_s=(0.02, 0.4),
            event_gap_s=0.05,
            caller_count=40,
            kinds=("plan", "plan", "plan", "check"),
            caller_pause_s=0.8,
            links=False,
            endpoint_counts={"advice": (5, 7), "desk": (4,)},
        ),
        # Engines stand still for about a second, under long streams. Other requests are
        # few, so that retry budgets are small.
        Mode(
            "standstills",
            fault_gap_s=(0.5, 2.0),
            grace_s=2.0,
            event_gap_s=0.5,
            caller_count=0,
            callers_per_host=20,
            kinds=("plan",) * 9 + ("check",),
            deadlines_s={"plan": (30.0,)},
            links=False,
            endpoint_counts={"advice": (4,)},
            stream_timeout_s=30.0,
            small_confidence=90.0,
            changes_timeouts=True,
            lead_s=4.0,
        ),
    )
}
MODES["deadly-answers"] = replace(
    MODES["deadly"], name="deadly-answers", answers_before_crash=True
)
# Hosts are cut off from all endpoints in turn, so that peers relay for them.
MODES["deadly-relays"] = replace(MODES["deadly"], name="deadly-relays", own_links=True)
