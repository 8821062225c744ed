"""Claims: a non-idempotent call under one key, sent through two hosts.

Each host tries twice, each try with a token of its own. A try writes the claim, reads
back when the reply is lost, dispatches the call, and records the result. Writes and
dispatches are messages that may be late, lost or, for writes, delivered again; a host
may crash at any point, and a pause is any number of steps by the others.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["CLAIMS"]

HOSTS = (0, 1)
TRIES = 2
IDLE, CLAIMING, UNSURE, HOLDING, DISPATCHED, ENDED = range(6)
NO_REPLY, WON, TAKEN = range(3)


class Try(NamedTuple):
    """One host and its present try.

    Attributes
    ----------
    at : int
        What the host is doing.
    token : int
        Token of the try; 0 before the first.
    write : int
        Token in a write that is under way; 0 for none.
    reply : int
        Reply to the write that is under way to the host.
    sent : int
        Token of a call that is under way to the endpoint; 0 for none.
    ran : int
        Token of the last call that the endpoint ran for the host.
    refused : int
        Token of the last try that was refused as not run.
    """

    at: int = IDLE
    token: int = 0
    write: int = 0
    reply: int = NO_REPLY
    sent: int = 0
    ran: int = 0
    refused: int = 0


class State(NamedTuple):
    """Platform, endpoint and hosts.

    Attributes
    ----------
    owner : int
        Token of the claim that the platform holds; 0 for none.
    recorded : bool
        Whether the claim holds a result.
    runs : int
        How often the endpoint has run the call.
    tries : tuple of Try
    """

    owner: int = 0
    recorded: bool = False
    runs: int = 0
    tries: tuple[Try, ...] = (Try(), Try())


def _put(state: State, host: int, changed: Try, **platform) -> State:
    tries = list(state.tries)
    tries[host] = changed
    return state._replace(tries=tuple(tries), **platform)


def _steps(guards: Guards, state: State) -> Steps:
    for host in HOSTS:
        yield from _write_claim(guards, state, host)
        yield from _hear_reply(guards, state, host)
        yield from _run_call(guards, state, host)
        yield from _end_try(guards, state, host)
        yield from _faults(state, host)


def _write_claim(guards: Guards, state: State, host: int) -> Steps:
    mine = state.tries[host]
    tries_so_far = max(0, mine.token - host * TRIES)
    if mine.at == IDLE and tries_so_far < TRIES:
        token = host * TRIES + tries_so_far + 1
        begun = mine._replace(at=CLAIMING, token=token, write=token, reply=NO_REPLY)
        yield f"{host} writes its claim", _put(state, host, begun)
    if not mine.write:
        return
    if guards.holds("create-if-absent", state.owner == 0):
        reply = WON if mine.write == mine.token else mine.reply
        stored = mine._replace(write=0, reply=reply)
        yield (
            f"the platform stores the claim of {host}",
            _put(state, host, stored, owner=mine.write, recorded=False),
        )
        # The same write arrives once more later on.
        yield (
            f"the platform stores the claim of {host}, to be delivered again",
            _put(
                state,
                host,
                mine._replace(reply=reply),
                owner=mine.write,
                recorded=False,
            ),
        )
    else:
        reply = TAKEN if mine.write == mine.token else mine.reply
        refused = mine._replace(write=0, reply=reply)
        yield f"the platform refuses the claim of {host}", _put(state, host, refused)


def _hear_reply(guards: Guards, state: State, host: int) -> Steps:
    mine = state.tries[host]
    if mine.at == CLAIMING:
        if mine.reply == WON:
            yield f"{host} hears it won", _put(state, host, mine._replace(at=HOLDING))
        if mine.reply == TAKEN:
            ended = mine._replace(at=IDLE)
            yield f"{host} answers `in progress`", _put(state, host, ended)
        unsure = mine._replace(at=UNSURE)
        yield f"{host} hears nothing in time", _put(state, host, unsure)
    if mine.at == UNSURE:
        own = state.owner == mine.token
        if state.owner and guards.holds("read-back-own-token", own):
            holding = mine._replace(at=HOLDING)
            yield f"{host} reads back its claim", _put(state, host, holding)
        if not own:
            refused = mine._replace(at=IDLE, refused=mine.token)
            yield f"{host} refuses as not run", _put(state, host, refused)


def _run_call(guards: Guards, state: State, host: int) -> Steps:
    mine = state.tries[host]
    may_dispatch = guards.holds("claim-before-dispatch", mine.at == HOLDING)
    if mine.at in (CLAIMING, HOLDING) and may_dispatch:
        sent = mine._replace(at=DISPATCHED, sent=mine.token)
        yield f"{host} dispatches the call", _put(state, host, sent)
    if mine.sent:
        ran = mine._replace(sent=0, ran=mine.sent)
        runs = min(2, state.runs + 1)
        yield f"the endpoint runs the call of {host}", _put(state, host, ran, runs=runs)
    if mine.at == DISPATCHED:
        # Nothing came back: the call may have run.
        ended = mine._replace(at=ENDED)
        yield f"{host} answers `may have run`", _put(state, host, ended)
        if guards.lacks("no-repeat-if-it-may-have-run"):
            again = mine._replace(sent=mine.token)
            yield f"{host} repeats the call", _put(state, host, again)


def _end_try(guards: Guards, state: State, host: int) -> Steps:
    mine = state.tries[host]
    own = state.owner == mine.token
    if mine.at == DISPATCHED:
        if mine.ran == mine.token and own:
            ended = mine._replace(at=ENDED)
            yield (
                f"{host} records the result",
                _put(state, host, ended, recorded=True),
            )
        # The endpoint refused the connection: nothing of the call is under way.
        not_run = mine.sent == 0 and mine.ran != mine.token
        if own and guards.holds("release-only-if-not-run", not_run):
            ended = mine._replace(at=IDLE, refused=mine.token)
            yield (
                f"{host} gives its claim back and refuses as not run",
                _put(state, host, ended, owner=0, recorded=False),
            )
    open_claim = state.owner and not state.recorded and not own
    may_take_over = guards.lacks("no-take-over-of-an-open-claim")
    if mine.at == UNSURE and open_claim and may_take_over:
        holding = mine._replace(at=HOLDING)
        yield (
            f"{host} takes over an open claim",
            _put(state, host, holding, owner=mine.token),
        )
    if state.recorded and guards.lacks("keep-the-record-for-resends"):
        yield "the platform drops the record", state._replace(owner=0, recorded=False)


def _faults(state: State, host: int) -> Steps:
    mine = state.tries[host]
    if mine.write:
        yield f"the write of {host} is lost", _put(state, host, mine._replace(write=0))
    if mine.reply:
        lost = mine._replace(reply=NO_REPLY)
        yield f"the reply to {host} is lost", _put(state, host, lost)
    if mine.sent:
        yield (
            f"the dispatch of {host} is lost",
            _put(state, host, mine._replace(sent=0)),
        )
    if mine.at not in (IDLE, ENDED):
        yield f"{host} crashes", _put(state, host, mine._replace(at=IDLE))


def _refusals_are_true(state: State) -> bool:
    return all(
        not mine.refused or (mine.refused not in (mine.sent, mine.ran))
        for mine in state.tries
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
