"""Model of leases: one duty, two hosts, and the orders that the lease holder sends.

Time advances in ticks. A holder may be paused between checking its lease and acting, so
its writes to the platform and its orders to an endpoint that checks fencing tokens may
be sent at any later time. An order to an endpoint that ignores fencing tokens is sent
only if the lease is still valid at that moment, and the transport drops it if it has
not arrived by its deadline.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["LEASES"]

HOSTS = (0, 1)
LEASE_TICKS = 3
ORDER_DEADLINE_TICKS = 2
LAST_TICK = 8


class HostState(NamedTuple):
    """State of one host.

    Attributes
    ----------
    fencing_token : int
        Fencing token of the last lease that the host acquired; 0 for none.
    lease_end : int
        Tick at which that lease expires.
    first_order_at : int
        Tick from which the host may send orders to the endpoint that ignores fencing
        tokens.
    pending_act : int
        Fencing token of an act that the host has decided on; 0 for none.
    pending_order : tuple of (int, int)
        Fencing token and deadline of the order in flight to the endpoint that ignores
        fencing tokens; empty for none.
    """

    fencing_token: int = 0
    lease_end: int = 0
    first_order_at: int = 0
    pending_act: int = 0
    pending_order: tuple = ()


class State(NamedTuple):
    """State of the lease, the hosts and the endpoints.

    Attributes
    ----------
    now : int
        Current tick.
    expires_at, fencing_token : int
        Expiry and fencing token of the lease at the platform.
    hosts : tuple of HostState
    platform_token, checking_token, ignoring_token : int
        Highest fencing token of the acts that took effect at the platform, at the
        endpoint that checks fencing tokens and at the endpoint that ignores them.
    stale_act : str
        Where an old holder's act took effect after a newer one's: "platform", "checked"
        or "unchecked" (the two endpoints); empty if nowhere.
    """

    now: int = 0
    expires_at: int = 0
    fencing_token: int = 0
    hosts: tuple[HostState, ...] = (HostState(), HostState())
    platform_token: int = 0
    checking_token: int = 0
    ignoring_token: int = 0
    stale_act: str = ""


def _with_host(state: State, host: int, new_host: HostState, **fields) -> State:
    hosts = list(state.hosts)
    hosts[host] = new_host
    return state._replace(hosts=tuple(hosts), **fields)


def _steps(guards: Guards, state: State) -> Steps:
    if state.now < LAST_TICK:
        yield "time passes", state._replace(now=state.now + 1)
    for host in HOSTS:
        yield from _acquire(guards, state, host)
        yield from _act_with_fencing(guards, state, host)
        yield from _send_order(guards, state, host)
        yield from _deliver_order(state, host)


def _acquire(guards: Guards, state: State, host: int) -> Steps:
    # Bounds the number of states: at most 3 leases, and none from the last tick on.
    if state.now >= LAST_TICK or state.fencing_token >= 3:
        return
    if guards.holds("take-over-only-after-expiry", state.now >= state.expires_at):
        fencing_token = state.fencing_token + 1
        wait_ticks = (
            0 if guards.lacks("wait-out-the-old-orders") else ORDER_DEADLINE_TICKS
        )
        lease_end = state.now + LEASE_TICKS
        current = state.hosts[host]._replace(
            fencing_token=fencing_token,
            lease_end=lease_end,
            first_order_at=state.now + wait_ticks,
        )
        acquired = _with_host(
            state, host, current, fencing_token=fencing_token, expires_at=lease_end
        )
        yield f"host {host} acquires the lease", acquired


def _act_with_fencing(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if (
        current.fencing_token
        and state.now < current.lease_end
        and not current.pending_act
    ):
        decided = current._replace(pending_act=current.fencing_token)
        yield (
            f"host {host} checks its lease and decides to act",
            _with_host(state, host, decided),
        )
    if not current.pending_act:
        return
    fencing_token = current.pending_act
    acted = current._replace(pending_act=0)
    if guards.holds("fence-at-the-platform", fencing_token == state.fencing_token):
        stale_act = (
            "platform" if fencing_token < state.platform_token else state.stale_act
        )
        platform_token = max(fencing_token, state.platform_token)
        done = _with_host(
            state, host, acted, platform_token=platform_token, stale_act=stale_act
        )
        yield f"host {host} writes to the platform", done
    if guards.holds("fence-at-the-endpoint", fencing_token >= state.checking_token):
        stale_act = (
            "checked" if fencing_token < state.checking_token else state.stale_act
        )
        checking_token = max(fencing_token, state.checking_token)
        done = _with_host(
            state, host, acted, checking_token=checking_token, stale_act=stale_act
        )
        yield (
            f"host {host} sends an order to the endpoint that checks fencing tokens",
            done,
        )


def _send_order(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if (
        current.pending_order
        or not current.fencing_token
        or state.now < current.first_order_at
    ):
        return
    if guards.holds("look-at-the-lease-when-sending", state.now < current.lease_end):
        ordered = current._replace(
            pending_order=(current.fencing_token, state.now + ORDER_DEADLINE_TICKS)
        )
        yield (
            f"host {host} sends an order to the endpoint that ignores fencing tokens",
            _with_host(state, host, ordered),
        )


def _deliver_order(state: State, host: int) -> Steps:
    current = state.hosts[host]
    if not current.pending_order:
        return
    fencing_token, deadline = current.pending_order
    ended = current._replace(pending_order=())
    yield f"the order of host {host} is lost", _with_host(state, host, ended)
    if state.now < deadline:
        stale_act = (
            "unchecked" if fencing_token < state.ignoring_token else state.stale_act
        )
        ignoring_token = max(fencing_token, state.ignoring_token)
        delivered = _with_host(
            state, host, ended, ignoring_token=ignoring_token, stale_act=stale_act
        )
        yield f"the order of host {host} arrives", delivered


LEASES = Model(
    name="leases",
    bounds=(
        f"2 hosts, 3 terms, {LAST_TICK} ticks, a lease of {LEASE_TICKS}, "
        f"an order of {ORDER_DEADLINE_TICKS}"
    ),
    start=State(),
    steps=_steps,
    properties={"no old holder's act follows a newer one's": lambda s: not s.stale_act},
    guards=(
        "take-over-only-after-expiry",
        "fence-at-the-platform",
        "fence-at-the-endpoint",
        "look-at-the-lease-when-sending",
        "wait-out-the-old-orders",
    ),
)
