"""Model of retries: the attempts of one at-most-once request at two endpoints.

A sent attempt may be lost, refused or executed. Execution may come late, and its answer
may be lost. The host receives a refusal or an answer, or times out. The request ends
with an answer, with an error which promises that it has not run and never will, or with
an error which leaves open whether it has run.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["ATTEMPTS"]

ENDPOINTS = (0, 1)
MAX_ATTEMPTS = 3


class State(NamedTuple):
    """State of the request at the host and the endpoints.

    Attributes
    ----------
    current_endpoint : int
        Endpoint of the current attempt; -1 for none.
    in_flight : tuple of int
        For each endpoint, the number of attempts that may still be executed.
    executions : int
        How often an endpoint has executed the request.
    reply : str
        Reply of the endpoint to the current attempt: "", "refused" or "answer".
    may_have_run : bool
        Whether an attempt that timed out may have been executed.
    attempts_sent : int
    outcome : str
        How the host has ended the request: "answer"; "promise" for an error which
        states that the request has not run and will not; "error" for one which states
        that it may have run; "" while it is open.
    """

    current_endpoint: int = -1
    in_flight: tuple[int, ...] = (0, 0)
    executions: int = 0
    reply: str = ""
    may_have_run: bool = False
    attempts_sent: int = 0
    outcome: str = ""


def _with_in_flight(state: State, endpoint: int, change: int) -> tuple[int, ...]:
    counts = list(state.in_flight)
    counts[endpoint] += change
    return tuple(counts)


def _steps(guards: Guards, state: State) -> Steps:
    yield from _endpoint_steps(state)
    if state.outcome:
        return
    if state.current_endpoint < 0:
        yield from _send_attempt(guards, state)
        yield from _finish_without_answer(guards, state)
    else:
        yield from _wait_for_reply(guards, state)


def _endpoint_steps(state: State) -> Steps:
    for endpoint in ENDPOINTS:
        if not state.in_flight[endpoint]:
            continue
        without_attempt = state._replace(in_flight=_with_in_flight(state, endpoint, -1))
        host_is_waiting = endpoint == state.current_endpoint and not state.reply
        yield f"the attempt at endpoint {endpoint} is lost", without_attempt
        if host_is_waiting:
            yield (
                f"endpoint {endpoint} refuses the attempt",
                without_attempt._replace(reply="refused"),
            )
        executed = without_attempt._replace(executions=state.executions + 1)
        yield f"endpoint {endpoint} runs the request and its answer is lost", executed
        if host_is_waiting:
            yield (
                f"endpoint {endpoint} runs the request and answers",
                executed._replace(reply="answer"),
            )


def _send_attempt(guards: Guards, state: State) -> Steps:
    may_retry = guards.holds("repeat-only-what-was-not-run", not state.may_have_run)
    if state.attempts_sent < MAX_ATTEMPTS and may_retry:
        for endpoint in ENDPOINTS:
            after_send = state._replace(
                current_endpoint=endpoint,
                in_flight=_with_in_flight(state, endpoint, 1),
                attempts_sent=state.attempts_sent + 1,
                reply="",
            )
            yield f"the host sends an attempt to endpoint {endpoint}", after_send


def _finish_without_answer(guards: Guards, state: State) -> Steps:
    if guards.holds("promise-only-what-was-not-run", not state.may_have_run):
        yield (
            "the host answers that the request has not run",
            state._replace(outcome="promise"),
        )
    yield (
        "the host answers that the request may have run",
        state._replace(outcome="error"),
    )


def _wait_for_reply(guards: Guards, state: State) -> Steps:
    if state.reply == "answer":
        yield (
            "the host passes on the answer",
            state._replace(current_endpoint=-1, outcome="answer"),
        )
    elif state.reply == "refused":
        yield (
            "the host receives the refusal",
            state._replace(current_endpoint=-1, reply=""),
        )
    else:
        may_have_run = not guards.lacks("silence-may-have-run")
        timed_out = state._replace(
            current_endpoint=-1, may_have_run=state.may_have_run or may_have_run
        )
        yield "the host times out waiting for a reply", timed_out


ATTEMPTS = Model(
    name="attempts",
    bounds=f"2 endpoints, {MAX_ATTEMPTS} attempts",
    start=State(),
    steps=_steps,
    properties={
        "it runs once at the most": lambda s: s.executions <= 1,
        "what was promised not to run never does": lambda s: (
            not (s.outcome == "promise" and s.executions)
        ),
    },
    guards=(
        "repeat-only-what-was-not-run",
        "promise-only-what-was-not-run",
        "silence-may-have-run",
    ),
)
