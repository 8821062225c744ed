"""Gives up attempts that have stalled, where another one can take their place."""

import asyncio
from collections.abc import Callable

from radishshift.clocks import Clock
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.errors import StreamStalledError
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.replacements import HeldTarget, Replacements
from radishshift.gateway.silence import SilenceWatch, Stall

__all__ = ["StalledAttempts"]

# Turns of the event loop after which input that had arrived before has been handled.
INPUT_TURNS = 3


class StalledAttempts:
    """Gives up attempts that have stalled.

    Parameters
    ----------
    clock : Clock
    silence : SilenceWatch
    replacements : Replacements
    budget : callable
        Returns the retry budget of a service.
    """

    def __init__(
        self,
        clock: Clock,
        silence: SilenceWatch,
        replacements: Replacements,
        budget: Callable[[str], HostRetryBudget],
    ) -> None:
        self._clock = clock
        self._silence = silence
        self._replacements = replacements
        self._budget = budget

    async def check_stream(self, attempt: Attempt) -> bytes:
        """Give up a silent stream if another attempt can take its place.

        Returns
        -------
        bytes
            What was received meanwhile.

        Raises
        ------
        StreamStalledError
        """
        stall = self._stall(attempt) if attempt.may_retry else None
        if stall is None:
            return b""
        held = await self._hold_replacement(attempt)
        data = attempt.answer.buffered_bytes()
        if held is not None:
            self._give_up(attempt, stall, held, went_on=bool(data))
        return data

    async def check_head(self, attempt: Attempt, sending: asyncio.Future) -> None:
        """Give up an attempt without a head if another one can take its place.

        Raises
        ------
        StreamStalledError
        """
        stall = self._stall(attempt)
        if stall is None:
            return
        held = await self._hold_replacement(attempt)
        if held is not None:
            self._give_up(attempt, stall, held, went_on=sending.done())

    async def replace_incomplete(self, attempt: Attempt, reason: str) -> None:
        """Give up a stream that makes no progress if another attempt can follow.

        Raises
        ------
        StreamStalledError
        """
        budget = self._budget(attempt.job.service)
        if not attempt.may_retry or budget.available(self._clock.now()) < 1:
            return
        held = await self._hold_replacement(attempt)
        if held is not None:
            self._give_up(attempt, Stall(reason), held)

    def _stall(self, attempt: Attempt) -> Stall | None:
        """Return why an attempt is to be replaced, None if it isn't.

        Raises
        ------
        StreamStalledError
            If the endpoint of an attempt that is made for a peer is lost. The peer sees
            for itself that a sound one is silent, and knows what could follow.
        """
        if not attempt.for_peer:
            return self._silence.stall(attempt)
        if self._silence.endpoint_lost(attempt):
            raise StreamStalledError("the endpoint is silent and can't be reached")
        return None

    async def _hold_replacement(self, attempt: Attempt) -> HeldTarget | None:
        """Hold the target of the attempt that is to replace a stalled one."""
        # After a pause of this process, timers fire before its input is handled.
        for _ in range(INPUT_TURNS):
            await asyncio.sleep(0)
        return await self._replacements.hold(attempt)

    def _give_up(
        self, attempt: Attempt, stall: Stall, held: HeldTarget, went_on: bool = False
    ) -> None:
        """Give up a stalled attempt for the one whose target is held, if allowed.

        Raises
        ------
        StreamStalledError
        """
        if went_on or not self._silence.allow(stall):
            self._replacements.release(held)
        elif self._replacements.commit(held):
            self._silence.record_given_up(attempt)
            raise StreamStalledError(stall.reason)
