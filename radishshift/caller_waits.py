"""The time for which an attempt runs: while a caller waits for its answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from radishshift.answers import Answer, AnswerSink
from radishshift.clocks import Clock
from radishshift.errors import CallerDisconnectedError, DeadlineError
from radishshift.periodic_checks import PeriodicChecks
from radishshift.verdicts import Verdict

__all__ = ["until_no_caller_waits"]


class _DisconnectWatch:
    """Cuts a timeout short when the caller and all who follow have disconnected."""

    def __init__(
        self, sink: AnswerSink, answer: Answer, timeout: asyncio.Timeout
    ) -> None:
        self._sink = sink
        self._answer = answer
        self._timeout = timeout
        self.disconnected = False

    def check(self, now: float) -> None:
        """Expire the timeout at once if no caller is left."""
        if (
            self._sink.caller_disconnected
            and not self._answer.is_followed(now)
            and not self.disconnected
        ):
            self.disconnected = True
            self._timeout.reschedule(asyncio.get_running_loop().time())


@asynccontextmanager
async def until_no_caller_waits(
    clock: Clock,
    deadline: float,
    sink: AnswerSink,
    answer: Answer,
    checks: PeriodicChecks | None,
) -> AsyncIterator[None]:
    """Cancel the block at the deadline, or when all callers have disconnected.

    Parameters
    ----------
    clock : Clock
    deadline : float
    sink : AnswerSink
        The caller that started the run.
    answer : Answer
    checks : PeriodicChecks or None
        Runs the check for disconnects; None to go on without callers.

    Raises
    ------
    CallerDisconnectedError, DeadlineError
    """
    remaining_s = deadline - clock.now()
    if remaining_s <= 0:
        raise DeadlineError("the deadline has passed", verdict=Verdict.NOT_RUN)
    timeout = asyncio.timeout(remaining_s)
    watch = _DisconnectWatch(sink, answer, timeout)
    if checks is not None:
        checks.add(watch)
    try:
        async with timeout:
            yield
    except TimeoutError as exc:
        if watch.disconnected:
            raise CallerDisconnectedError("the caller disconnected") from exc
        raise DeadlineError("the deadline has passed") from exc
    finally:
        if checks is not None:
            checks.discard(watch)
