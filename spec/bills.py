"""Bills: two requests answered by one host, whose peer may settle for it.

The owner puts a bill into its open batch, copies the batch to the peer, and only then
lets the answer's last byte leave. It seals the batch and writes it under the name
that host, incarnation and number make. When the owner seems dead the peer writes its
copy under the same name. The owner may only have been paused; it then finds the batch
there, adopts what it holds, and goes on with the next number.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["BILLS"]

REQUESTS = (0, 1)
NUMBERS = 3
OPEN, SEALED, UNSURE, DEAD = range(4)
NOTHING: frozenset[int] = frozenset()
Batch = frozenset[int]


class State(NamedTuple):
    """Owner, peer and platform.

    Attributes
    ----------
    at : int
        State of the owner's present batch.
    number : int
        Number of the present batch.
    batch : frozenset of int
        Requests on the owner's present batch.
    later : frozenset of int
        Requests whose bills came while the batch was sealed.
    copy_number : int
    copy : frozenset of int
        What the peer holds for the owner.
    answered : frozenset of int
        Requests whose last byte has left.
    write : tuple
        A write under way: name and requests; empty for none.
    failed : bool
        Whether a host has died or lost its memory; one of the two may.
    stored : tuple of frozenset or None
        Batches at the platform under the owner's names.
    strays : tuple of frozenset
        Batches at the platform under other names.
    """

    at: int = OPEN
    number: int = 0
    batch: Batch = NOTHING
    later: Batch = NOTHING
    copy_number: int = 0
    copy: Batch = NOTHING
    answered: Batch = NOTHING
    write: tuple = ()
    failed: bool = False
    stored: tuple = (None,) * NUMBERS
    strays: tuple = ()


def _billed(state: State) -> Batch:
    batches = [batch for batch in state.stored if batch] + list(state.strays)
    return frozenset().union(*batches)


def _steps(guards: Guards, state: State) -> Steps:
    yield from _answer(guards, state)
    yield from _settle(guards, state)
    yield from _platform(guards, state)
    yield from _peer(guards, state)
    yield from _faults(state)


def _answer(guards: Guards, state: State) -> Steps:
    if state.at == DEAD:
        return
    for req in REQUESTS:
        known = state.batch | state.later | _billed(state)
        if req not in known and req not in state.answered:
            if state.at == OPEN:
                yield (
                    f"bill {req} is put down",
                    state._replace(batch=state.batch | {req}),
                )
            else:
                yield (
                    f"bill {req} is put down for later",
                    state._replace(later=state.later | {req}),
                )
        if req in state.batch and req not in state.answered:
            copied = req in state.copy and state.copy_number == state.number
            safe = copied or req in _billed(state)
            if guards.holds("copy-before-the-last-byte", safe):
                yield (
                    f"the last byte of {req} leaves",
                    state._replace(answered=state.answered | {req}),
                )
    if state.batch and state.at == OPEN:
        yield (
            "the batch is copied to the peer",
            state._replace(copy=state.batch, copy_number=state.number),
        )


def _settle(guards: Guards, state: State) -> Steps:
    if state.at == OPEN and state.batch:
        yield (
            "the owner seals and writes the batch",
            state._replace(at=SEALED, write=(state.number, state.batch)),
        )
    if state.at == SEALED:
        yield "the owner hears nothing in time", state._replace(at=UNSURE)
    if state.at == UNSURE:
        held = state.stored[state.number]
        if held is not None:
            yield from _go_on(guards, state, held)
        else:
            if not state.write:
                yield (
                    "the owner writes again",
                    state._replace(write=(state.number, state.batch)),
                )
            skips = guards.lacks("read-back-before-the-next-number")
            if skips and state.number + 1 < NUMBERS:
                yield (
                    "the owner writes under the next number",
                    state._replace(
                        number=state.number + 1,
                        write=(state.number + 1, state.batch),
                        at=SEALED,
                    ),
                )


def _go_on(guards: Guards, state: State, held: Batch) -> Steps:
    if state.number + 1 >= NUMBERS:
        return
    missing = state.batch - held
    if guards.lacks("carry-over-what-is-missing"):
        missing = NOTHING
    yield (
        "the owner finds its batch and goes on",
        state._replace(
            at=OPEN, number=state.number + 1, batch=missing | state.later, later=NOTHING
        ),
    )


def _platform(guards: Guards, state: State) -> Steps:
    if not state.write:
        return
    name, batch = state.write
    if name < 0:
        yield (
            "the platform stores a batch under another name",
            state._replace(write=(), strays=(*state.strays, batch)[:2]),
        )
        return
    absent = state.stored[name] is None
    if guards.holds("create-if-absent", absent):
        stored = list(state.stored)
        stored[name] = batch
        for again in (False, True):
            yield (
                "the platform stores the batch",
                state._replace(
                    write=state.write if again else (), stored=tuple(stored)
                ),
            )
    else:
        yield "the platform refuses the batch", state._replace(write=())


def _peer(guards: Guards, state: State) -> Steps:
    if not state.copy or state.write:
        return
    held = state.stored[state.copy_number]
    if held is not None:
        # A copy may hold bills that came after the batch was written.
        rest = state.copy - held
        if guards.lacks("rest-under-the-next-number"):
            rest = NOTHING
        if not rest:
            yield "the peer drops its copy", state._replace(copy=NOTHING)
        elif state.copy_number + 1 < NUMBERS:
            yield (
                "the peer keeps the rest under the next number",
                state._replace(copy=rest, copy_number=state.copy_number + 1),
            )
        return
    if guards.lacks("same-name-for-the-peer"):
        if not state.strays:
            yield (
                "the peer writes under its own name",
                state._replace(write=(-1, state.copy)),
            )
        return
    yield (
        "the peer writes the batch for the owner",
        state._replace(write=(state.copy_number, state.copy)),
    )


def _faults(state: State) -> Steps:
    if state.write:
        yield "the write is lost", state._replace(write=())
    if not state.failed:
        yield (
            "the owner dies",
            state._replace(at=DEAD, batch=NOTHING, later=NOTHING, failed=True),
        )
        yield "the peer loses its memory", state._replace(copy=NOTHING, failed=True)


def _no_bill_is_lost(state: State) -> bool:
    under_way = state.write[1] if state.write else NOTHING
    safe = _billed(state) | state.copy | under_way
    if state.at != DEAD:
        safe |= state.batch | state.later
    return state.answered <= safe


def _billed_once(state: State) -> bool:
    batches = [batch for batch in state.stored if batch] + list(state.strays)
    return all(sum(req in batch for batch in batches) <= 1 for req in REQUESTS)


BILLS = Model(
    name="bills",
    bounds="one owner, one peer, 2 requests, 3 batch numbers, one host lost",
    start=State(),
    steps=_steps,
    properties={
        "no bill of a whole answer is lost": _no_bill_is_lost,
        "each request is billed at most once": _billed_once,
    },
    guards=(
        "copy-before-the-last-byte",
        "create-if-absent",
        "read-back-before-the-next-number",
        "carry-over-what-is-missing",
        "same-name-for-the-peer",
        "rest-under-the-next-number",
    ),
)
