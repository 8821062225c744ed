"""Model of roll-outs: two hosts write the status of a roll-out to the platform.

A host reads the stored object at any time. It detects by itself that the version is bad
or learns it from the other host, may lose the reply to a write, and may restart without
memory.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["ROLLOUTS"]

HOSTS = (0, 1)
IN_PROGRESS, COMPLETED, ROLLED_BACK = 0, 2, 3
MAX_REVISIONS = 4
MAX_RESTARTS = 2


class HostState(NamedTuple):
    """State of one host.

    Attributes
    ----------
    revision, status : int
        Revision and status of the object as last read; revision 0 if never read.
    knows_bad : bool
        Whether the host knows that the version is bad.
    pending_write : tuple of (int, int)
        Revision that the write in flight replaces, and its status; empty for none.
    routes_to_new : bool
        Whether the host routes requests to the new version.
    """

    revision: int = 0
    status: int = IN_PROGRESS
    knows_bad: bool = False
    pending_write: tuple = ()
    routes_to_new: bool = False


class State(NamedTuple):
    """State of the platform and the hosts.

    Attributes
    ----------
    revision, status : int
        Revision and status of the stored object.
    version_is_bad : bool
    restarts : int
        Restarts of hosts so far.
    hosts : tuple of HostState
    changed_after_end : bool
        Whether the status has changed after the roll-out ended.
    """

    revision: int = 1
    status: int = IN_PROGRESS
    version_is_bad: bool = False
    restarts: int = 0
    hosts: tuple[HostState, ...] = (HostState(), HostState())
    changed_after_end: bool = False


def _with_host(state: State, host: int, new_host: HostState, **fields) -> State:
    hosts = list(state.hosts)
    hosts[host] = new_host
    return state._replace(hosts=tuple(hosts), **fields)


def _steps(guards: Guards, state: State) -> Steps:
    if not state.version_is_bad:
        yield "the version turns bad", state._replace(version_is_bad=True)
    for host in HOSTS:
        yield from _learn(guards, state, host)
        yield from _decide(guards, state, host)
        yield from _deliver_write(guards, state, host)
        if state.restarts < MAX_RESTARTS:
            restarted = _with_host(
                state, host, HostState(), restarts=state.restarts + 1
            )
            yield f"host {host} restarts", restarted


def _learn(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if current.revision != state.revision:
        rolled_back = state.status == ROLLED_BACK and not guards.lacks(
            "stop-when-rolled-back"
        )
        read = current._replace(
            revision=state.revision,
            status=state.status,
            routes_to_new=current.routes_to_new and not rolled_back,
        )
        yield f"host {host} reads the object", _with_host(state, host, read)
    if current.revision and current.status == IN_PROGRESS and not current.knows_bad:
        yield (
            f"host {host} routes requests to the new version",
            _with_host(state, host, current._replace(routes_to_new=True)),
        )
    peer_knows_bad = state.hosts[1 - host].knows_bad
    if (state.version_is_bad or peer_knows_bad) and not current.knows_bad:
        informed = current._replace(knows_bad=True, routes_to_new=False)
        yield (
            f"host {host} learns that the version is bad",
            _with_host(state, host, informed),
        )


def _decide(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if not current.revision or current.pending_write:
        return
    if not guards.holds("nothing-after-the-end", current.status == IN_PROGRESS):
        return
    new_status = ROLLED_BACK if current.knows_bad else COMPLETED
    decided = current._replace(pending_write=(current.revision, new_status))
    yield (
        f"host {host} decides to write status {new_status}",
        _with_host(state, host, decided),
    )


def _deliver_write(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if not current.pending_write:
        return
    revision, new_status = current.pending_write
    without_write = current._replace(pending_write=())
    yield f"the write of host {host} is lost", _with_host(state, host, without_write)
    if state.revision >= MAX_REVISIONS:
        return
    if guards.holds("write-over-the-revision-read", revision == state.revision):
        changes_final_status = (
            state.status != IN_PROGRESS and new_status != state.status
        )
        new_revision = state.revision + 1
        written = _with_host(
            state,
            host,
            without_write,
            revision=new_revision,
            status=new_status,
            changed_after_end=state.changed_after_end or changes_final_status,
        )
        yield f"the write of host {host} is stored and its reply is lost", written
        routes_to_new = current.routes_to_new and new_status != ROLLED_BACK
        known = without_write._replace(
            revision=new_revision, status=new_status, routes_to_new=routes_to_new
        )
        yield (
            f"the write of host {host} is stored",
            _with_host(written, host, known),
        )


def _no_host_routes_to_a_rolled_back_version(state: State) -> bool:
    return not any(
        host.routes_to_new and host.status == ROLLED_BACK for host in state.hosts
    )


ROLLOUTS = Model(
    name="rollouts",
    bounds=f"2 hosts, {MAX_REVISIONS} revisions, {MAX_RESTARTS} restarts",
    start=State(),
    steps=_steps,
    properties={
        "a roll-out that has ended does not change": lambda s: not s.changed_after_end,
        "no host uses a version that it knows to be rolled back": (
            _no_host_routes_to_a_rolled_back_version
        ),
    },
    guards=(
        "write-over-the-revision-read",
        "nothing-after-the-end",
        "stop-when-rolled-back",
    ),
)
