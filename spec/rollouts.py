"""Status of a roll-out that two hosts write to the platform's store.

Hosts read the object at any time, learn that the version is bad each for itself or
from the other, may lose the reply to a write, and may start anew without memory.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["ROLLOUTS"]

HOSTS = (0, 1)
ORDERED, COMPLETED, ROLLED_BACK = 0, 2, 3
REVISIONS_MOST = 4
STARTS_MOST = 2


class Host(NamedTuple):
    """One host.

    Attributes
    ----------
    revision, state : int
        Object as it was last read; revision 0 for never.
    knows_bad : bool
    writing : tuple of (int, int)
        Revision and state of its write under way; empty for none.
    uses_new : bool
        Whether it sends work to the new version.
    """

    revision: int = 0
    state: int = ORDERED
    knows_bad: bool = False
    writing: tuple = ()
    uses_new: bool = False


class State(NamedTuple):
    """Store, hosts, and what must not have happened.

    Attributes
    ----------
    revision, progress : int
        Of the object.
    bad : bool
        Whether the version is bad.
    changed_after_end : bool
    """

    revision: int = 1
    progress: int = ORDERED
    bad: bool = False
    starts: int = 0
    hosts: tuple[Host, ...] = (Host(), Host())
    changed_after_end: bool = False


def _put(state: State, number: int, changed: Host, **others) -> State:
    hosts = list(state.hosts)
    hosts[number] = changed
    return state._replace(hosts=tuple(hosts), **others)


def _steps(guards: Guards, state: State) -> Steps:
    if not state.bad:
        yield "the version turns bad", state._replace(bad=True)
    for number in HOSTS:
        yield from _learn(guards, state, number)
        yield from _decide(guards, state, number)
        yield from _arrive(guards, state, number)
        if state.starts < STARTS_MOST:
            started = _put(state, number, Host(), starts=state.starts + 1)
            yield f"{number} starts anew", started


def _learn(guards: Guards, state: State, number: int) -> Steps:
    host = state.hosts[number]
    if host.revision != state.revision:
        ended = state.progress == ROLLED_BACK and not guards.lacks(
            "stop-when-rolled-back"
        )
        read = host._replace(
            revision=state.revision,
            state=state.progress,
            uses_new=host.uses_new and not ended,
        )
        yield f"{number} reads the object", _put(state, number, read)
    if host.revision and host.state == ORDERED and not host.knows_bad:
        yield (
            f"{number} sends work to the new version",
            _put(state, number, host._replace(uses_new=True)),
        )
    told = state.hosts[1 - number].knows_bad
    if (state.bad or told) and not host.knows_bad:
        learnt = host._replace(knows_bad=True, uses_new=False)
        yield f"{number} learns that it is bad", _put(state, number, learnt)


def _decide(guards: Guards, state: State, number: int) -> Steps:
    host = state.hosts[number]
    if not host.revision or host.writing:
        return
    if not guards.holds("nothing-after-the-end", host.state == ORDERED):
        return
    wanted = ROLLED_BACK if host.knows_bad else COMPLETED
    writing = host._replace(writing=(host.revision, wanted))
    yield f"{number} decides to write {wanted}", _put(state, number, writing)


def _arrive(guards: Guards, state: State, number: int) -> Steps:
    host = state.hosts[number]
    if not host.writing:
        return
    revision, wanted = host.writing
    ended = host._replace(writing=())
    yield f"the write of {number} is lost", _put(state, number, ended)
    if state.revision >= REVISIONS_MOST:
        return
    if guards.holds("write-over-the-revision-read", revision == state.revision):
        broken = state.progress != ORDERED and wanted != state.progress
        done = state.revision + 1
        written = _put(
            state,
            number,
            ended,
            revision=done,
            progress=wanted,
            changed_after_end=state.changed_after_end or broken,
        )
        yield f"the write of {number} is done and its reply lost", written
        uses_new = host.uses_new and wanted != ROLLED_BACK
        known = ended._replace(revision=done, state=wanted, uses_new=uses_new)
        yield (
            f"the write of {number} is done",
            _put(written, number, known),
        )


def _none_uses_what_it_knows_to_be_withdrawn(state: State) -> bool:
    return not any(host.uses_new and host.state == ROLLED_BACK for host in state.hosts)


ROLLOUTS = Model(
    name="rollouts",
    bounds=f"2 hosts, {REVISIONS_MOST} revisions, {STARTS_MOST} restarts",
    start=State(),
    steps=_steps,
    properties={
        "a roll-out that has ended does not change": lambda s: not s.changed_after_end,
        "no host uses a version that it knows to be rolled back": (
            _none_uses_what_it_knows_to_be_withdrawn
        ),
    },
    guards=(
        "write-over-the-revision-read",
        "nothing-after-the-end",
        "stop-when-rolled-back",
    ),
)
