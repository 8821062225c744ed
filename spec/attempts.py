"""Attempts of one request that may run at most once, at two endpoints.

A sent attempt may never arrive, be refused, or run; what runs may run late, and its
answer may be lost. The host learns a refusal or an answer, or gives up on silence. It
ends with an answer, with a promise that nothing has run and nothing will, or with an
error that promises nothing.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["ATTEMPTS"]

ENDPOINTS = (0, 1)
ATTEMPTS_MOST = 3


class State(NamedTuple):
    """The request as host and endpoints see it.

    Attributes
    ----------
    at : int
        Endpoint of the present attempt, -1 for none.
    arrived : tuple of int
        Attempts under way or at each endpoint that may yet run.
    runs : int
    reply : str
        What the endpoint of the present attempt has sent: "", "refused" or "answer".
    doubtful : bool
        Whether an attempt that was given up may have run.
    sent : int
    outcome : str
        "", "answer", "promise" or "error".
    """

    at: int = -1
    arrived: tuple[int, ...] = (0, 0)
    runs: int = 0
    reply: str = ""
    doubtful: bool = False
    sent: int = 0
    outcome: str = ""


def _arrived(state: State, endpoint: int, change: int) -> tuple[int, ...]:
    held = list(state.arrived)
    held[endpoint] += change
    return tuple(held)


def _steps(guards: Guards, state: State) -> Steps:
    yield from _endpoint_steps(state)
    if state.outcome:
        return
    if state.at < 0:
        yield from _next_attempt(guards, state)
        yield from _end(guards, state)
    else:
        yield from _wait(guards, state)


def _endpoint_steps(state: State) -> Steps:
    for endpoint in ENDPOINTS:
        if not state.arrived[endpoint]:
            continue
        rest = state._replace(arrived=_arrived(state, endpoint, -1))
        awaited = endpoint == state.at and not state.reply
        yield f"the attempt to {endpoint} is lost", rest
        if awaited:
            yield f"{endpoint} refuses", rest._replace(reply="refused")
        ran = rest._replace(runs=state.runs + 1)
        yield f"{endpoint} runs it and the answer is lost", ran
        if awaited:
            yield f"{endpoint} runs it and answers", ran._replace(reply="answer")


def _next_attempt(guards: Guards, state: State) -> Steps:
    allowed = guards.holds("repeat-only-what-was-not-run", not state.doubtful)
    if state.sent < ATTEMPTS_MOST and allowed:
        for endpoint in ENDPOINTS:
            sent = state._replace(
                at=endpoint,
                arrived=_arrived(state, endpoint, 1),
                sent=state.sent + 1,
                reply="",
            )
            yield f"an attempt is sent to {endpoint}", sent


def _end(guards: Guards, state: State) -> Steps:
    if guards.holds("promise-only-what-was-not-run", not state.doubtful):
        yield "the host promises that it has not run", state._replace(outcome="promise")
    yield "the host answers with an error", state._replace(outcome="error")


def _wait(guards: Guards, state: State) -> Steps:
    if state.reply == "answer":
        yield "the answer is passed on", state._replace(at=-1, outcome="answer")
    elif state.reply == "refused":
        yield "the host learns the refusal", state._replace(at=-1, reply="")
    else:
        doubtful = not guards.lacks("silence-may-have-run")
        given_up = state._replace(at=-1, doubtful=state.doubtful or doubtful)
        yield "the host gives up on silence", given_up


ATTEMPTS = Model(
    name="attempts",
    bounds=f"2 endpoints, {ATTEMPTS_MOST} attempts",
    start=State(),
    steps=_steps,
    properties={
        "it runs once at the most": lambda s: s.runs <= 1,
        "what was promised not to run never does": lambda s: (
            not (s.outcome == "promise" and s.runs)
        ),
    },
    guards=(
        "repeat-only-what-was-not-run",
        "promise-only-what-was-not-run",
        "silence-may-have-run",
    ),
)
