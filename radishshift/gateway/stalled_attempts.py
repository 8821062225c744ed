"""Gives up attempts that have stalled, where another one can take their place."""

import asyncio

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
    silence : SilenceWatch
    replacements : Replacements
    """

    def __init__(self, silence: SilenceWatch, replacements: Replacements) -> None:
        self._silence = silence
        self._replacements = replacements

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
        # A peer can't know what its sender may still spend, and sees no more than it.
        if not attempt.may_retry or attempt.for_peer:
            return b""
        stall = self._silence.stall(attempt)
        if stall is None:
            return b""
        held = await self._hold_replacement(attempt, stall)
        data = attempt.answer.buffered_bytes()
        if held is not None:
            self._give_up(attempt, stall, held, went_on=bool(data))
        return data

    async def check_head(self, attempt: Attempt, sending: asyncio.Future) -> None:
        """Give up an attempt without a head if another one can take its place.

        A peer is told at once, as it doesn't know at which endpoint the attempt is.

        Raises
        ------
        StreamStalledError
        """
        stall = self._silence.stall(attempt)
        if stall is None:
            return
        if attempt.for_peer:
            raise StreamStalledError(stall.reason)
        held = await self._hold_replacement(attempt, stall)
        if held is not None:
            self._give_up(attempt, stall, held, went_on=sending.done())

    async def replace_incomplete(self, attempt: Attempt, reason: str) -> None:
        """Give up a stream that makes no progress if another attempt can follow.

        Raises
        ------
        StreamStalledError
        """
        if not attempt.may_retry:
            return
        stall = Stall(reason)
        held = await self._hold_replacement(attempt, stall)
        if held is not None:
            self._give_up(attempt, stall, held)

    async def _hold_replacement(
        self, attempt: Attempt, stall: Stall
    ) -> HeldTarget | None:
        """Hold the target of the attempt that is to replace a stalled one."""
        # After a pause of this process, timers fire before its input is handled.
        for _ in range(INPUT_TURNS):
            await asyncio.sleep(0)
        return await self._replacements.hold(attempt, stall.elsewhere)

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
