"""Model of claims: a non-idempotent call under one key, sent through two hosts.

Each host tries twice, each time with a new token. In a try the host writes the claim,
reads it back if the reply to the write is lost, dispatches the call and records the
result. Writes and dispatches are messages that may be delayed or lost; a write may also
be delivered more than once. A host may crash at any point. A paused host is one that
takes no step while others do.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["CLAIMS"]

HOSTS = (0, 1)
TRIES_PER_HOST = 2
IDLE, CLAIMING, READING_BACK, CLAIMED, DISPATCHED, ENDED = range(6)
NO_REPLY, CREATED, ALREADY_EXISTS = range(3)


class HostState(NamedTuple):
    """State of one host and its current try.

    Attributes
    ----------
    phase : int
        Phase of the try, from IDLE to ENDED.
    token : int
        Token of the try; 0 before the first.
    write_token : int
        Token in the claim write that is in flight; 0 for none.
    reply : int
        Reply to the claim write, in flight to the host; NO_REPLY for none.
    dispatched_token : int
        Token of the call that is in flight to the endpoint; 0 for none.
    executed_token : int
        Token of the last call that the endpoint executed for the host.
    refused_token : int
        Token of the last try that the host refused as not run.
    """

    phase: int = IDLE
    token: int = 0
    write_token: int = 0
    reply: int = NO_REPLY
    dispatched_token: int = 0
    executed_token: int = 0
    refused_token: int = 0


class State(NamedTuple):
    """State of the platform, the endpoint and the hosts.

    Attributes
    ----------
    owner : int
        Token of the claim that is stored at the platform; 0 for none.
    recorded : bool
        Whether the stored claim contains a result.
    runs : int
        How often the endpoint has run the call; 2 stands for twice or more.
    hosts : tuple of HostState
    """

    owner: int = 0
    recorded: bool = False
    runs: int = 0
    hosts: tuple[HostState, ...] = (HostState(), HostState())


def _with_host(
    state: State, host: int, new_host: HostState, **platform_fields
) -> State:
    hosts = list(state.hosts)
    hosts[host] = new_host
    return state._replace(hosts=tuple(hosts), **platform_fields)


def _steps(guards: Guards, state: State) -> Steps:
    for host in HOSTS:
        yield from _write_claim(guards, state, host)
        yield from _receive_reply(guards, state, host)
        yield from _dispatch_call(guards, state, host)
        yield from _finish_try(guards, state, host)
        yield from _fault_steps(state, host)


def _write_claim(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    tries_so_far = max(0, current.token - host * TRIES_PER_HOST)
    if current.phase == IDLE and tries_so_far < TRIES_PER_HOST:
        token = host * TRIES_PER_HOST + tries_so_far + 1
        started = current._replace(
            phase=CLAIMING, token=token, write_token=token, reply=NO_REPLY
        )
        yield f"host {host} writes its claim", _with_host(state, host, started)
    if not current.write_token:
        return
    if guards.holds("create-if-absent", state.owner == 0):
        reply = CREATED if current.write_token == current.token else current.reply
        stored = current._replace(write_token=0, reply=reply)
        yield (
            f"the platform stores the claim of host {host}",
            _with_host(state, host, stored, owner=current.write_token, recorded=False),
        )
        # The write stays in flight, so that it may be delivered again.
        yield (
            f"the platform stores the claim of host {host}; its write is duplicated",
            _with_host(
                state,
                host,
                current._replace(reply=reply),
                owner=current.write_token,
                recorded=False,
            ),
        )
    else:
        reply = (
            ALREADY_EXISTS if current.write_token == current.token else current.reply
        )
        refused = current._replace(write_token=0, reply=reply)
        yield (
            f"the platform refuses the claim of host {host}",
            _with_host(state, host, refused),
        )


def _receive_reply(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    if current.phase == CLAIMING:
        if current.reply == CREATED:
            yield (
                f"host {host} learns that its claim is stored",
                _with_host(state, host, current._replace(phase=CLAIMED)),
            )
        if current.reply == ALREADY_EXISTS:
            ended = current._replace(phase=IDLE)
            yield f"host {host} answers `in progress`", _with_host(state, host, ended)
        reading_back = current._replace(phase=READING_BACK)
        yield (
            f"host {host} times out waiting for the reply to its write",
            _with_host(state, host, reading_back),
        )
    if current.phase == READING_BACK:
        owns_claim = state.owner == current.token
        if state.owner and guards.holds("read-back-own-token", owns_claim):
            claimed = current._replace(phase=CLAIMED)
            yield f"host {host} reads back its claim", _with_host(state, host, claimed)
        if not owns_claim:
            refused = current._replace(phase=IDLE, refused_token=current.token)
            yield (
                f"host {host} refuses the call as not run",
                _with_host(state, host, refused),
            )


def _dispatch_call(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    may_dispatch = guards.holds("claim-before-dispatch", current.phase == CLAIMED)
    if current.phase in (CLAIMING, CLAIMED) and may_dispatch:
        dispatched = current._replace(phase=DISPATCHED, dispatched_token=current.token)
        yield f"host {host} dispatches the call", _with_host(state, host, dispatched)
    if current.dispatched_token:
        executed = current._replace(
            dispatched_token=0, executed_token=current.dispatched_token
        )
        runs = min(2, state.runs + 1)
        yield (
            f"the endpoint runs the call of host {host}",
            _with_host(state, host, executed, runs=runs),
        )
    if current.phase == DISPATCHED:
        # No reply came from the endpoint, so the call may have run.
        ended = current._replace(phase=ENDED)
        yield f"host {host} answers `may have run`", _with_host(state, host, ended)
        if guards.lacks("no-repeat-if-it-may-have-run"):
            redispatched = current._replace(dispatched_token=current.token)
            yield f"host {host} repeats the call", _with_host(state, host, redispatched)


def _finish_try(guards: Guards, state: State, host: int) -> Steps:
    current = state.hosts[host]
    owns_claim = state.owner == current.token
    if current.phase == DISPATCHED:
        if current.executed_token == current.token and owns_claim:
            ended = current._replace(phase=ENDED)
            yield (
                f"host {host} records the result",
                _with_host(state, host, ended, recorded=True),
            )
        # The endpoint refused the connection, so no part of the call is in flight.
        not_run = (
            current.dispatched_token == 0 and current.executed_token != current.token
        )
        if owns_claim and guards.holds("release-only-if-not-run", not_run):
            ended = current._replace(phase=IDLE, refused_token=current.token)
            yield (
                f"host {host} releases its claim and refuses the call as not run",
                _with_host(state, host, ended, owner=0, recorded=False),
            )
    open_claim = state.owner and not state.recorded and not owns_claim
    may_take_over = guards.lacks("no-take-over-of-an-open-claim")
    if current.phase == READING_BACK and open_claim and may_take_over:
        claimed = current._replace(phase=CLAIMED)
        yield (
            f"host {host} takes over an open claim",
            _with_host(state, host, claimed, owner=current.token),
        )
    if state.recorded and guards.lacks("keep-the-record-for-resends"):
        yield "the platform drops the record", state._replace(owner=0, recorded=False)


def _fault_steps(state: State, host: int) -> Steps:
    current = state.hosts[host]
    if current.write_token:
        yield (
            f"the claim write of host {host} is lost",
            _with_host(state, host, current._replace(write_token=0)),
        )
    if current.reply:
        lost = current._replace(reply=NO_REPLY)
        yield f"the reply to host {host} is lost", _with_host(state, host, lost)
    if current.dispatched_token:
        yield (
            f"the call of host {host} is lost",
            _with_host(state, host, current._replace(dispatched_token=0)),
        )
    if current.phase not in (IDLE, ENDED):
        yield (
            f"host {host} crashes",
            _with_host(state, host, current._replace(phase=IDLE)),
        )


def _refusals_are_true(state: State) -> bool:
    return all(
        not host.refused_token
        or (host.refused_token not in (host.dispatched_token, host.executed_token))
        for host in state.hosts
    )


CLAIMS = Model(
    name="claims",
    bounds="one key, 2 hosts, 2 tries each, any number of repeats of a write",
    start=State(),
    steps=_steps,
    properties={
        "the call runs at most once": lambda state: state.runs <= 1,
        "a refusal as not run is true": _refusals_are_true,
        "a recorded call has run": lambda state: not state.recorded or state.runs >= 1,
    },
    guards=(
        "create-if-absent",
        "read-back-own-token",
        "claim-before-dispatch",
        "release-only-if-not-run",
        "no-repeat-if-it-may-have-run",
        "no-take-over-of-an-open-claim",
        "keep-the-record-for-resends",
    ),
)
