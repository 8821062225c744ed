"""Configuration: two hosts that follow the platform's revisions and each other.

An operator writes revisions. A host takes them from the platform, whose reads may be
stale, or from messages of its peer, which may be late, lost, repeated or out of order.
A host may crash; it starts with no memory, asks the platform or its peer once, and
serves nothing until the reply is in. An operator is told that a revision is in force
everywhere once every host has confirmed it or is down.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["CONFIGURATION"]

HOSTS = (0, 1)
LAST_REVISION = 3
LIVES = 2
DOWN, STARTING, SERVING = range(3)


class Member(NamedTuple):
    """One host.

    Attributes
    ----------
    at : int
    life : int
        Incarnation, from 0.
    revision : int
        Revision in force; 0 for none.
    asked : int
        Reply that is under way to a starting host; 0 for none.
    told : frozenset of int
        Revisions in messages that are under way to the host.
    confirmed : tuple of (int, int)
        Life and revision that the operators' side has last heard of.
    """

    at: int = SERVING
    life: int = 0
    revision: int = 1
    asked: int = 0
    told: frozenset[int] = frozenset()
    confirmed: tuple[int, int] = (0, 0)


class State(NamedTuple):
    """Platform, hosts and what operators were told.

    Attributes
    ----------
    latest : int
    members : tuple of Member
    in_force : int
        Highest revision that was reported in force everywhere.
    reverted : bool
        Whether a host has gone back within one life.
    """

    latest: int = 1
    members: tuple[Member, ...] = (Member(), Member())
    in_force: int = 0
    reverted: bool = False


def _put(state: State, host: int, changed: Member, **others) -> State:
    members = list(state.members)
    members[host] = changed
    return state._replace(members=tuple(members), **others)


def _steps(guards: Guards, state: State) -> Steps:
    if state.latest < LAST_REVISION:
        yield "an operator writes", state._replace(latest=state.latest + 1)
    for host in HOSTS:
        member = state.members[host]
        if member.at == SERVING:
            yield from _follow(guards, state, host)
            yield from _confirm(guards, state, host)
            down = member._replace(at=DOWN, revision=0, asked=0)
            yield f"{host} crashes", _put(state, host, down)
        elif member.at == DOWN and member.life + 1 < LIVES:
            yield from _ask(state, host)
        elif member.at == STARTING:
            yield from _start(guards, state, host)
    yield from _report(guards, state)


def _take(guards: Guards, state: State, host: int, revision: int) -> State | None:
    member = state.members[host]
    if not guards.holds("highest-revision-wins", revision > member.revision):
        return None
    reverted = state.reverted or revision < member.revision
    return _put(state, host, member._replace(revision=revision), reverted=reverted)


def _follow(guards: Guards, state: State, host: int) -> Steps:
    for revision in range(1, state.latest + 1):
        taken = _take(guards, state, host, revision)
        if taken is not None:
            yield f"{host} reads revision {revision} from the platform", taken
    for revision in sorted(state.members[host].told):
        taken = _take(guards, state, host, revision)
        if taken is not None:
            yield f"{host} takes revision {revision} from its peer", taken
    peer = state.members[1 - host]
    revision = state.members[host].revision
    if revision not in peer.told:
        told = peer._replace(told=peer.told | {revision})
        yield f"{host} tells its peer of {revision}", _put(state, 1 - host, told)


def _confirm(guards: Guards, state: State, host: int) -> Steps:
    member = state.members[host]
    revisions = {member.revision}
    if guards.lacks("confirm-what-is-in-force"):
        revisions |= set(member.told)
    for revision in sorted(revisions):
        heard = (member.life, revision)
        if heard > member.confirmed:
            confirmed = member._replace(confirmed=heard)
            yield f"{host} confirms {revision}", _put(state, host, confirmed)


def _ask(state: State, host: int) -> Steps:
    member = state.members[host]
    born = member._replace(at=STARTING, life=member.life + 1)
    asked = born._replace(asked=state.latest)
    yield f"{host} starts and asks the platform", _put(state, host, asked)
    peer = state.members[1 - host]
    if peer.at == SERVING:
        asked = born._replace(asked=peer.revision)
        yield f"{host} starts and asks its peer", _put(state, host, asked)


def _start(guards: Guards, state: State, host: int) -> Steps:
    member = state.members[host]
    serving = member._replace(at=SERVING, revision=member.asked, asked=0)
    yield f"{host} has its reply and serves", _put(state, host, serving)
    if guards.lacks("start-only-from-an-answer-to-this-life"):
        for revision in sorted(member.told):
            serving = member._replace(at=SERVING, revision=revision, asked=0)
            yield f"{host} starts from an old message", _put(state, host, serving)


def _report(guards: Guards, state: State) -> Steps:
    for revision in range(state.in_force + 1, state.latest + 1):
        if all(_has_it(guards, member, revision) for member in state.members):
            yield (
                f"revision {revision} is reported in force",
                state._replace(in_force=revision),
            )


def _has_it(guards: Guards, member: Member, revision: int) -> bool:
    if member.at == DOWN:
        return True
    if member.at == STARTING and guards.lacks("starting-hosts-must-confirm"):
        return True
    life, confirmed = member.confirmed
    present = guards.holds("confirmations-of-this-life", life == member.life)
    return present and confirmed >= revision


def _all_have_what_was_reported(state: State) -> bool:
    return all(
        member.revision >= state.in_force
        for member in state.members
        if member.at == SERVING
    )


CONFIGURATION = Model(
    name="configuration",
    bounds="2 hosts, 2 lives each, 3 revisions, messages late and repeated at will",
    start=State(),
    steps=_steps,
    properties={
        "no host goes back": lambda state: not state.reverted,
        "what was reported in force is in force": _all_have_what_was_reported,
    },
    guards=(
        "highest-revision-wins",
        "confirm-what-is-in-force",
        "confirmations-of-this-life",
        "start-only-from-an-answer-to-this-life",
        "starting-hosts-must-confirm",
    ),
)
