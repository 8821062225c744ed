"""Model of billing: two requests answered by one host, with a peer as its backup.

The owner adds a bill to its open batch, copies the batch to the peer, and only then
sends the last byte of the answer. It seals the batch and writes it to the platform
under a name made of host, incarnation and batch number. When the owner seems dead, the
peer writes its copy under the same name. If the owner was only paused, it finds that
batch at the platform, takes the bills in it as settled, and carries the others over to
the batch with the next number.
"""

from typing import NamedTuple

from spec.model import Guards, Model, Steps

__all__ = ["BILLS"]

REQUESTS = (0, 1)
BATCH_NUMBERS = 3
OPEN, SEALED, UNCONFIRMED, DEAD = range(4)
EMPTY_BATCH: frozenset[int] = frozenset()
Batch = frozenset[int]


class State(NamedTuple):
    """State of the owner, its peer and the platform.

    Attributes
    ----------
    batch_state : int
        State of the owner's current batch, or DEAD for a dead owner.
    batch_number : int
        Number of the current batch.
    batch : frozenset of int
        Requests in the owner's current batch.
    next_batch : frozenset of int
        Requests whose bills came while the current batch was sealed.
    peer_copy_number : int
        Batch number of the peer's copy.
    peer_copy : frozenset of int
        Requests in the copy that the peer keeps for the owner.
    answered : frozenset of int
        Requests whose answer has been sent to its last byte.
    pending_write : tuple
        Write in flight to the platform: batch number (-1 for a name of the peer's own)
        and requests; empty for none.
    host_failed : bool
        Whether the owner has died or the peer has lost its memory. At most one of these
        faults happens.
    stored : tuple of frozenset or None
        Batches at the platform under the owner's names, by batch number.
    misnamed : tuple of frozenset
        Batches at the platform under other names.
    """

    batch_state: int = OPEN
    batch_number: int = 0
    batch: Batch = EMPTY_BATCH
    next_batch: Batch = EMPTY_BATCH
    peer_copy_number: int = 0
    peer_copy: Batch = EMPTY_BATCH
    answered: Batch = EMPTY_BATCH
    pending_write: tuple = ()
    host_failed: bool = False
    stored: tuple = (None,) * BATCH_NUMBERS
    misnamed: tuple = ()


def _billed(state: State) -> Batch:
    batches = [batch for batch in state.stored if batch] + list(state.misnamed)
    return frozenset().union(*batches)


def _steps(guards: Guards, state: State) -> Steps:
    yield from _answer_requests(guards, state)
    yield from _write_batch(guards, state)
    yield from _platform_steps(guards, state)
    yield from _peer_steps(guards, state)
    yield from _fault_steps(state)


def _answer_requests(guards: Guards, state: State) -> Steps:
    if state.batch_state == DEAD:
        return
    for req in REQUESTS:
        recorded = state.batch | state.next_batch | _billed(state)
        if req not in recorded and req not in state.answered:
            if state.batch_state == OPEN:
                yield (
                    f"the owner adds the bill of request {req} to its batch",
                    state._replace(batch=state.batch | {req}),
                )
            else:
                yield (
                    f"the owner keeps the bill of request {req} for its next batch",
                    state._replace(next_batch=state.next_batch | {req}),
                )
        if req in state.batch and req not in state.answered:
            copied = (
                req in state.peer_copy and state.peer_copy_number == state.batch_number
            )
            secured = copied or req in _billed(state)
            if guards.holds("copy-before-the-last-byte", secured):
                yield (
                    f"the owner sends the last byte of request {req}",
                    state._replace(answered=state.answered | {req}),
                )
    if state.batch and state.batch_state == OPEN:
        yield (
            "the owner copies its batch to the peer",
            state._replace(peer_copy=state.batch, peer_copy_number=state.batch_number),
        )


def _write_batch(guards: Guards, state: State) -> Steps:
    if state.batch_state == OPEN and state.batch:
        yield (
            "the owner seals and writes the batch",
            state._replace(
                batch_state=SEALED, pending_write=(state.batch_number, state.batch)
            ),
        )
    if state.batch_state == SEALED:
        yield (
            "the owner times out waiting for the reply to its write",
            state._replace(batch_state=UNCONFIRMED),
        )
    if state.batch_state == UNCONFIRMED:
        stored_batch = state.stored[state.batch_number]
        if stored_batch is not None:
            yield from _adopt_stored_batch(guards, state, stored_batch)
        else:
            if not state.pending_write:
                yield (
                    "the owner repeats its write",
                    state._replace(pending_write=(state.batch_number, state.batch)),
                )
            may_skip = guards.lacks("read-back-before-the-next-number")
            if may_skip and state.batch_number + 1 < BATCH_NUMBERS:
                yield (
                    "the owner writes under the next number",
                    state._replace(
                        batch_number=state.batch_number + 1,
                        pending_write=(state.batch_number + 1, state.batch),
                        batch_state=SEALED,
                    ),
                )


def _adopt_stored_batch(guards: Guards, state: State, stored_batch: Batch) -> Steps:
    if state.batch_number + 1 >= BATCH_NUMBERS:
        return
    missing = state.batch - stored_batch
    if guards.lacks("carry-over-what-is-missing"):
        missing = EMPTY_BATCH
    yield (
        "the owner finds its batch stored and opens the next",
        state._replace(
            batch_state=OPEN,
            batch_number=state.batch_number + 1,
            batch=missing | state.next_batch,
            next_batch=EMPTY_BATCH,
        ),
    )


def _platform_steps(guards: Guards, state: State) -> Steps:
    if not state.pending_write:
        return
    name, batch = state.pending_write
    if name < 0:
        yield (
            "the platform stores a batch under another name",
            state._replace(pending_write=(), misnamed=(*state.misnamed, batch)[:2]),
        )
        return
    absent = state.stored[name] is None
    if guards.holds("create-if-absent", absent):
        stored = list(state.stored)
        stored[name] = batch
        for redelivered in (False, True):
            yield (
                "the platform stores the batch",
                state._replace(
                    pending_write=state.pending_write if redelivered else (),
                    stored=tuple(stored),
                ),
            )
    else:
        yield "the platform refuses the batch", state._replace(pending_write=())


def _peer_steps(guards: Guards, state: State) -> Steps:
    if not state.peer_copy or state.pending_write:
        return
    stored_batch = state.stored[state.peer_copy_number]
    if stored_batch is not None:
        # The copy may contain bills that were added after the batch was written.
        unsettled = state.peer_copy - stored_batch
        if guards.lacks("rest-under-the-next-number"):
            unsettled = EMPTY_BATCH
        if not unsettled:
            yield "the peer drops its copy", state._replace(peer_copy=EMPTY_BATCH)
        elif state.peer_copy_number + 1 < BATCH_NUMBERS:
            yield (
                "the peer keeps the unsettled bills under the next number",
                state._replace(
                    peer_copy=unsettled, peer_copy_number=state.peer_copy_number + 1
                ),
            )
        return
    if guards.lacks("same-name-for-the-peer"):
        if not state.misnamed:
            yield (
                "the peer writes under its own name",
                state._replace(pending_write=(-1, state.peer_copy)),
            )
        return
    yield (
        "the peer writes the batch for the owner",
        state._replace(pending_write=(state.peer_copy_number, state.peer_copy)),
    )


def _fault_steps(state: State) -> Steps:
    if state.pending_write:
        yield "the write is lost", state._replace(pending_write=())
    if not state.host_failed:
        yield (
            "the owner dies",
            state._replace(
                batch_state=DEAD,
                batch=EMPTY_BATCH,
                next_batch=EMPTY_BATCH,
                host_failed=True,
            ),
        )
        yield (
            "the peer loses its memory",
            state._replace(peer_copy=EMPTY_BATCH, host_failed=True),
        )


def _no_bill_is_lost(state: State) -> bool:
    in_flight = state.pending_write[1] if state.pending_write else EMPTY_BATCH
    secured = _billed(state) | state.peer_copy | in_flight
    if state.batch_state != DEAD:
        secured |= state.batch | state.next_batch
    return state.answered <= secured


def _billed_once(state: State) -> bool:
    batches = [batch for batch in state.stored if batch] + list(state.misnamed)
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
