"""Leases: one duty, two hosts, and the orders that its holder gives.

Time moves in steps. A holder may be paused between looking at its lease and acting:
its writes to the platform and its orders to an endpoint that checks fencing numbers
may leave at any later time. Orders to an endpoint that ignores fencing numbers leave
only if the lease still holds at the moment of sending; transport drops such an order
if it has not arrived within its deadline.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["LEASES"]

HOSTS = (0, 1)
LEASE = 3
ORDER = 2
END = 8


class Holder(NamedTuple):
    """One host.

    Attributes
    ----------
    fence : int
        Fencing number of the lease it believes to hold; 0 for none.
    until : int
        When that lease ends.
    quiet_until : int
        When it may give its first order to an endpoint that checks nothing.
    decided : int
        Fencing number of an act that it is about to do; 0 for none.
    order : tuple of (int, int)
        Fencing number and deadline of its order under way to the endpoint that
        checks nothing; empty for none.
    """

    fence: int = 0
    until: int = 0
    quiet_until: int = 0
    decided: int = 0
    order: tuple = ()


class State(NamedTuple):
    """Lease, hosts and endpoints.

    Attributes
    ----------
    now, expires, fence : int
        Time, end and fencing number of the lease at the platform.
    holders : tuple of Holder
    written, checked, unchecked : int
        Highest fencing number that the platform's object, the endpoint that checks
        and the endpoint that does not have acted on.
    stale : str
        Where an old holder's act took effect after a newer one's; empty if nowhere.
    """

    now: int = 0
    expires: int = 0
    fence: int = 0
    holders: tuple[Holder, ...] = (Holder(), Holder())
    written: int = 0
    checked: int = 0
    unchecked: int = 0
    stale: str = ""


def _put(state: State, host: int, changed: Holder, **others) -> State:
    holders = list(state.holders)
    holders[host] = changed
    return state._replace(holders=tuple(holders), **others)


def _steps(guards: Guards, state: State) -> Steps:
    if state.now < END:
        yield "time passes", state._replace(now=state.now + 1)
    for host in HOSTS:
        yield from _acquire(guards, state, host)
        yield from _act(guards, state, host)
        yield from _order(guards, state, host)
        yield from _arrive(state, host)


def _acquire(guards: Guards, state: State, host: int) -> Steps:
    if state.now >= END or state.fence >= 3:
        return
    if guards.holds("take-over-only-after-expiry", state.now >= state.expires):
        fence = state.fence + 1
        waits = 0 if guards.lacks("wait-out-the-old-orders") else ORDER
        until = state.now + LEASE
        holder = state.holders[host]._replace(
            fence=fence, until=until, quiet_until=state.now + waits
        )
        taken = _put(state, host, holder, fence=fence, expires=until)
        yield f"{host} takes the lease", taken


def _act(guards: Guards, state: State, host: int) -> Steps:
    holder = state.holders[host]
    if holder.fence and state.now < holder.until and not holder.decided:
        decided = holder._replace(decided=holder.fence)
        yield (
            f"{host} looks at its lease and decides to act",
            _put(state, host, decided),
        )
    if not holder.decided:
        return
    fence = holder.decided
    acted = holder._replace(decided=0)
    if guards.holds("fence-at-the-platform", fence == state.fence):
        stale = "platform" if fence < state.written else state.stale
        written = max(fence, state.written)
        done = _put(state, host, acted, written=written, stale=stale)
        yield f"{host} writes to the platform", done
    if guards.holds("fence-at-the-endpoint", fence >= state.checked):
        stale = "checked" if fence < state.checked else state.stale
        checked = max(fence, state.checked)
        done = _put(state, host, acted, checked=checked, stale=stale)
        yield f"{host} orders the endpoint that checks", done


def _order(guards: Guards, state: State, host: int) -> Steps:
    holder = state.holders[host]
    if holder.order or not holder.fence or state.now < holder.quiet_until:
        return
    if guards.holds("look-at-the-lease-when-sending", state.now < holder.until):
        sent = holder._replace(order=(holder.fence, state.now + ORDER))
        yield f"{host} orders the endpoint that checks nothing", _put(state, host, sent)


def _arrive(state: State, host: int) -> Steps:
    holder = state.holders[host]
    if not holder.order:
        return
    fence, deadline = holder.order
    ended = holder._replace(order=())
    yield f"the order of {host} is lost", _put(state, host, ended)
    if state.now < deadline:
        stale = "unchecked" if fence < state.unchecked else state.stale
        unchecked = max(fence, state.unchecked)
        arrived = _put(state, host, ended, unchecked=unchecked, stale=stale)
        yield f"the order of {host} arrives", arrived


LEASES = Model(
    name="leases",
    bounds=f"2 hosts, 3 terms, {END} ticks, a lease of {LEASE}, an order of {ORDER}",
    start=State(),
    steps=_steps,
    properties={"no old holder's act follows a newer one's": lambda s: not s.stale},
    guards=(
        "take-over-only-after-expiry",
        "fence-at-the-platform",
        "fence-at-the-endpoint",
        "look-at-the-lease-when-sending",
        "wait-out-the-old-orders",
    ),
)
