"""Model of configuration: two hosts that receive revisions from platform and peer.

An operator writes revisions. A host reads them from the platform, where reads may be
stale, or receives them in messages of its peer, which may be delayed, lost, repeated or
reordered. A host may crash. It restarts without memory, requests the configuration once
from the platform or its peer, and serves nothing until the reply arrives. Operators are
told that a revision is in force everywhere once every host has confirmed it or is down.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["CONFIGURATION"]

HOSTS = (0, 1)
LAST_REVISION = 3
MAX_INCARNATIONS = 2
DOWN, STARTING, SERVING = range(3)


class HostState(NamedTuple):
    """State of one host.

    Attributes
    ----------
    phase : int
        DOWN, STARTING or SERVING.
    incarnation : int
        Number of restarts so far.
    revision : int
        Revision in force at the host; 0 for none.
    pending_reply : int
        Revision in the reply that is in flight to a starting host; 0 for none.
    pending_messages : frozenset of int
        Revisions in messages that are in flight to the host.
    last_confirmation : tuple of (int, int)
        Incarnation and revision of the last confirmation received from the host.
    """

    phase: int = SERVING
    incarnation: int = 0
    revision: int = 1
    pending_reply: int = 0
    pending_messages: frozenset[int] = frozenset()
    last_confirmation: tuple[int, int] = (0, 0)


class State(NamedTuple):
    """State of the platform, the hosts and the reports to operators.

    Attributes
    ----------
    latest_revision : int
        Latest revision that an operator has written to the platform.
    hosts : tuple of HostState
    reported_revision : int
        Highest revision that was reported as in force everywhere.
    reverted : bool
        Whether a host has gone back to an earlier revision without a restart.
    """

    latest_revision: int = 1
    hosts: tuple[HostState, ...] = (HostState(), HostState())
    reported_revision: int = 0
    reverted: bool = False


def _with_host(state: State, host: int, new_host: HostState, **fields) -> State:
    hosts = list(state.hosts)
    hosts[host] = new_host
    return state._replace(hosts=tuple(hosts), **fields)


def _steps(guards: Guards, state: State) -> Steps:
    if state.latest_revision < LAST_REVISION:
        yield (
            "an operator writes a revision",
            state._replace(latest_revision=state.latest_revision + 1),
        )
    for host in HOSTS:
        current = state.hosts[host]
        if current.phase == SERVING:
            yield from _exchange_revisions(guards, state, host)
            yield from _confirm(guards, state, host)
            down = current._replace(phase=DOWN, revision=0, pending_reply=0)
            yield f"host {host} crashes", _with_host(state, host, down)
        elif current.phase == DOWN and current.incarnation + 1 < MAX_INCARNATIONS:
            yield from _restart(state, host)
        elif current.phase == STARTING:
            yield from _begin_serving(guards, state, host)
    yield from _report_in_force(guards, state)


def _apply_revision(
    guards: Guards, state: State, host: int, revision: int
) -> State | None:
    current = state.hosts[host]
    if not guards.holds("highest-revision-wins", revision > current.revision):
        return None
    reverted = state.reverted or revision < current.revision
    return _with_host(
        state, host, current._replace(revision=revision), reverted=reverted
    )


def _exchange_revisions(guards: Guards, state: State, host: int) -> Steps:
    for revision in range(1, state.latest_revision + 1):
        applied = _apply_revision(guards, state, host, revision)
        if applied is not None:
            yield f"host {host} reads revision {revision} from the platform", applied
    # Messages stay in flight, so that they may arrive again.
    for revision in sorted(state.hosts[host].pending_messages):
        applied = _apply_revision(guards, state, host, revision)
        if applied is not None:
            yield f"host {host} receives revision {revision} from its peer", applied
    peer = state.hosts[1 - host]
    revision = state.hosts[host].revision
    if revision not in peer.pending_messages:
        messaged = peer._replace(pending_messages=peer.pending_messages | {revision})
        yield (
            f"host {host} sends revision {revision} to its peer",
            _with_host(state, 1 - host, messaged),
        )


def _confirm(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    revisions = {current.revision}
    if guards.lacks("confirm-what-is-in-force"):
        revisions |= set(current.pending_messages)
    for revision in sorted(revisions):
        confirmation = (current.incarnation, revision)
        if confirmation > current.last_confirmation:
            confirmed = current._replace(last_confirmation=confirmation)
            yield (
                f"host {host} confirms revision {revision}",
                _with_host(state, host, confirmed),
            )


def _restart(state: State, host: int) -> Steps:
    current = state.hosts[host]
    restarted = current._replace(phase=STARTING, incarnation=current.incarnation + 1)
    restarting = restarted._replace(pending_reply=state.latest_revision)
    yield (
        f"host {host} restarts and queries the platform",
        _with_host(state, host, restarting),
    )
    peer = state.hosts[1 - host]
    if peer.phase == SERVING:
        restarting = restarted._replace(pending_reply=peer.revision)
        yield (
            f"host {host} restarts and queries its peer",
            _with_host(state, host, restarting),
        )


def _begin_serving(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    serving = current._replace(
        phase=SERVING, revision=current.pending_reply, pending_reply=0
    )
    yield f"host {host} receives the reply and serves", _with_host(state, host, serving)
    if guards.lacks("start-only-from-an-answer-to-this-life"):
        for revision in sorted(current.pending_messages):
            serving = current._replace(
                phase=SERVING, revision=revision, pending_reply=0
            )
            yield (
                f"host {host} serves from an old message",
                _with_host(state, host, serving),
            )


def _report_in_force(guards: Guards, state: State) -> Steps:
    for revision in range(state.reported_revision + 1, state.latest_revision + 1):
        if all(_counts_as_confirmed(guards, host, revision) for host in state.hosts):
            yield (
                f"revision {revision} is reported as in force",
                state._replace(reported_revision=revision),
            )


def _counts_as_confirmed(guards: Guards, host: HostState, revision: int) -> bool:
    if host.phase == DOWN:
        return True
    if host.phase == STARTING and guards.lacks("starting-hosts-must-confirm"):
        return True
    incarnation, confirmed = host.last_confirmation
    is_current = guards.holds(
        "confirmations-of-this-life", incarnation == host.incarnation
    )
    return is_current and confirmed >= revision


def _reported_revision_is_in_force(state: State) -> bool:
    return all(
        host.revision >= state.reported_revision
        for host in state.hosts
        if host.phase == SERVING
    )


CONFIGURATION = Model(
    name="configuration",
    bounds="2 hosts, 2 lives each, 3 revisions, messages late and repeated at will",
    start=State(),
    steps=_steps,
    properties={
        "no host goes back": lambda state: not state.reverted,
        "what was reported in force is in force": _reported_revision_is_in_force,
    },
    guards=(
        "highest-revision-wins",
        "confirm-what-is-in-force",
        "confirmations-of-this-life",
        "start-only-from-an-answer-to-this-life",
        "starting-hosts-must-confirm",
    ),
)
