"""Model of restores: the platform comes back from an older copy of itself.

Operators write versions of one entry, at revisions that the platform gives out. A
restore takes the platform back to an earlier state, and revisions are given out again
in the next era. Operators write the latest version again, or a later one. Two hosts
read changes, list, and tell each other what they know, in messages that may be delayed,
repeated or lost.

In a second model a host writes the entry's status on the condition that the entry is at
the revision that it read, and does not know of a restore until it is told.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["RESTORED_STATUSES", "RESTORES"]

HOSTS = (0, 1)
LAST_VERSION = 3
MAX_REVISION = 3
MAX_ERA = 1
MAX_LIVES = 2


class Known(NamedTuple):
    """What a host, a message or a listing knows of the entry.

    Attributes
    ----------
    version : int
        Of the entry; 0 for none.
    at : tuple of (int, int)
        Era and revision of the entry.
    complete : tuple of (int, int)
        Era and revision up to which all changes are known.
    """

    version: int = 0
    at: tuple[int, int] = (0, 0)
    complete: tuple[int, int] = (0, 0)


class HostState(NamedTuple):
    """State of one host.

    Attributes
    ----------
    known : Known
    lives : int
        Number of starts so far.
    up_to_date : bool
        Whether it has read the platform since its last change.
    """

    known: Known = Known()
    lives: int = 1
    up_to_date: bool = False


class Status(NamedTuple):
    """A status, in the platform or on its way there.

    Attributes
    ----------
    decided_on : int
        Version that the host had read.
    revision : int
        Revision of the entry that the write requires; 0 for none on its way.
    """

    decided_on: int = 0
    revision: int = 0


class State(NamedTuple):
    """State of the platform, the hosts and the messages.

    Attributes
    ----------
    era : int
    writes : tuple of int
        What was written at each revision: a version of the entry, or 0 for another
        object.
    latest_version : int
        Highest version that an operator has written.
    hosts : tuple of HostState
    message : Known
        Table of a host in flight, which may arrive at any time and more than once.
    status, pending_status : Status
        In the platform, and on its way there.
    reverted : bool
        Whether a host has gone back to an earlier version within one life.
    """

    era: int = 0
    writes: tuple[int, ...] = (1,)
    latest_version: int = 1
    hosts: tuple[HostState, ...] = (HostState(), HostState())
    message: Known = Known()
    status: Status = Status()
    pending_status: Status = Status()
    reverted: bool = False


def _entry(state: State) -> Known:
    """Return the entry as a listing states it."""
    version, revision = max(
        (version, number)
        for number, version in enumerate(state.writes, start=1)
        if version
    )
    return Known(version, (state.era, revision), (state.era, len(state.writes)))


def _with_host(state: State, host: int, new_host: HostState, **fields) -> State:
    hosts = list(state.hosts)
    hosts[host] = new_host
    return state._replace(hosts=tuple(hosts), **fields)


def _changed(state: State, **fields) -> State:
    """Return a state in which the platform has changed since any host read it."""
    hosts = tuple(host._replace(up_to_date=False) for host in state.hosts)
    return state._replace(hosts=hosts, **fields)


def _order(guards: Guards, known: Known) -> tuple:
    if guards.lacks("versions-go-before-revisions"):
        return known.at
    return known.version, known.at


def _merge(guards: Guards, state: State, host: int, news: Known, **fields) -> State:
    current = state.hosts[host]
    known = current.known
    complete = max(known.complete, news.complete)
    if _order(guards, news) > _order(guards, known):
        known = known._replace(version=news.version, at=news.at)
    return _with_host(
        state,
        host,
        current._replace(known=known._replace(complete=complete), **fields),
        reverted=state.reverted or known.version < current.known.version,
    )


def _steps(guards: Guards, state: State) -> Steps:
    yield from _write(state)
    yield from _restore(state)
    for host in HOSTS:
        yield from _read(guards, state, host)
        yield from _exchange(guards, state, host)
        current = state.hosts[host]
        if current.lives < MAX_LIVES:
            restarted = HostState(lives=current.lives + 1)
            yield f"host {host} restarts", _with_host(state, host, restarted)


def _write(state: State) -> Steps:
    if len(state.writes) == MAX_REVISION:
        return
    version = _entry(state).version
    if version < state.latest_version:
        writes = (*state.writes, state.latest_version)
        yield "an operator writes the version again", _changed(state, writes=writes)
    if state.latest_version < LAST_VERSION:
        later = state.latest_version + 1
        writes = (*state.writes, later)
        yield (
            "an operator writes a version",
            _changed(state, writes=writes, latest_version=later),
        )
    writes = (*state.writes, 0)
    yield "another object is written", _changed(state, writes=writes)


def _restore(state: State) -> Steps:
    if state.era == MAX_ERA:
        return
    for length in range(1, len(state.writes) + 1):
        restored = _changed(
            state, era=state.era + 1, writes=state.writes[:length], status=Status()
        )
        yield f"the platform comes back as of revision {length}", restored


def _read(guards: Guards, state: State, host: int) -> Steps:
    """Read the changes after those known, or list if they are of another era."""
    known = state.hosts[host].known
    entry = _entry(state)
    same_era = guards.holds(
        "changes-are-read-within-an-era", known.complete[0] == state.era
    )
    if known.complete[1] and same_era and entry.at[1] <= known.complete[1]:
        entry = Known(complete=entry.complete)  # no change of the entry
    read = _merge(guards, state, host, entry, up_to_date=True)
    yield f"host {host} reads the platform", read


def _exchange(guards: Guards, state: State, host: int) -> Steps:
    known = state.hosts[host].known
    if known.version and known != state.message:
        yield f"host {host} sends its table", state._replace(message=known)
    if state.message.version:
        yield (
            f"host {host} receives version {state.message.version} from a peer",
            _merge(guards, state, host, state.message),
        )


def _status_steps(guards: Guards, state: State) -> Steps:
    yield from _write(state)
    yield from _restore(state)
    read = HostState(_entry(state))
    yield "host 0 reads the entry", _with_host(state, 0, read)
    known = state.hosts[0].known
    pending = state.pending_status
    if known.version and not pending.revision:
        sent = Status(known.version, known.at[1])
        yield "host 0 sends a status", state._replace(pending_status=sent)
    if not pending.revision:
        return
    entry = _entry(state)
    arrived = state._replace(pending_status=Status())
    # The status carries the version that it was decided on; readers compare it.
    names_it = guards.holds(
        "a-status-names-its-version", pending.decided_on == entry.version
    )
    if pending.revision == entry.at[1] and names_it:
        arrived = arrived._replace(status=pending)
    yield "the status arrives", arrived


def _status_is_of_the_entry(state: State) -> bool:
    status = state.status
    entry = _entry(state)
    return status.revision != entry.at[1] or status.decided_on == entry.version


RESTORES = Model(
    name="restores",
    bounds="2 hosts, 2 lives each, 3 versions at 3 revisions, one restore, a message "
    "late and repeated at will",
    start=State(),
    steps=_steps,
    properties={
        "no host goes back": lambda state: not state.reverted,
        "who has read the platform has its version": lambda state: all(
            host.known.version >= _entry(state).version
            for host in state.hosts
            if host.up_to_date
        ),
    },
    guards=("versions-go-before-revisions", "changes-are-read-within-an-era"),
)

RESTORED_STATUSES = Model(
    name="restored statuses",
    bounds="1 host, 3 versions at 3 revisions, one restore",
    start=State(),
    steps=_status_steps,
    properties={"a status is of the version that it names": _status_is_of_the_entry},
    guards=("a-status-names-its-version",),
)
