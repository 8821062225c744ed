"""What endpoints still hold of the prompts that were sent to them.

Load pattern: prompts share their beginnings, some with many others and most with a few.
An endpoint keeps the parts of the prompts that it ran last as far as its memory goes,
and what was not used for the longest time yields first. So a part that was sent there a
moment ago saves its prefill, and one that was sent before a burst of long prompts does
not.
"""

from collections import OrderedDict
from collections.abc import Sequence, Set
from dataclasses import dataclass, field

from radishshift.decisions.endpoint_limits import Incarnation

__all__ = ["MAX_AGE_S", "HeldPrefixes", "Part"]

MAX_AGE_S = 30.0

# Name of a part for one model, with the names of all parts before it implied, and its
# tokens.
Part = tuple[str, int]


@dataclass(slots=True)
class _Memory:
    """Parts at one endpoint, the least recently used first.

    Attributes
    ----------
    parts : dict of str to tuple
        Tokens of each part, and the instant of its last use.
    """

    parts: OrderedDict[str, tuple[int, float]] = field(default_factory=OrderedDict)
    tokens: int = 0


class HeldPrefixes:
    """Estimate of the parts that each endpoint holds, from what was sent there.

    A part that was not used for `MAX_AGE_S` is taken to have yielded to prompts that
    are not seen here.
    """

    def __init__(self) -> None:
        self._memories: dict[Incarnation, _Memory] = {}
        self._prompts = 0

    def record_sent(
        self,
        endpoint: Incarnation,
        parts: Sequence[Part],
        own_tokens: int,
        room_tokens: float,
        now: float,
    ) -> None:
        """Record that a prompt is sent to an endpoint.

        Parameters
        ----------
        endpoint : tuple
            Name and start of the endpoint; after a restart it holds nothing.
        parts : sequence of tuple
            Parts that other prompts may share, in the order of the prompt.
        own_tokens : int
            Tokens of the rest of the prompt, which takes memory as well.
        room_tokens : float
            Memory of the endpoint, in tokens.
        now : float
        """
        memory = self._memories.setdefault(endpoint, _Memory())
        self._prompts += 1
        for name, tokens in (*parts, (f"own part of {self._prompts}", own_tokens)):
            known = memory.parts.pop(name, (0, 0.0))
            memory.parts[name] = (tokens, now)
            memory.tokens += tokens - known[0]
        self._make_room(memory, room_tokens, now)

    def _make_room(self, memory: _Memory, room_tokens: float, now: float) -> None:
        while memory.parts:
            name, (tokens, used_at) = next(iter(memory.parts.items()))
            if memory.tokens <= room_tokens and now - used_at <= MAX_AGE_S:
                return
            del memory.parts[name]
            memory.tokens -= tokens

    def held_tokens(
        self, endpoint: Incarnation, parts: Sequence[Part], now: float
    ) -> int:
        """Return how many tokens of a prompt an endpoint need not read again.

        A part counts only if all parts before it are held, too.
        """
        memory = self._memories.get(endpoint)
        if memory is None:
            return 0
        held = 0
        for name, tokens in parts:
            known = memory.parts.get(name)
            if known is None or now - known[1] > MAX_AGE_S:
                break
            held += tokens
        return held

    def keep_only(self, endpoints: Set[Incarnation]) -> None:
        """Forget other endpoints."""
        for endpoint in self._memories.keys() - endpoints:
            del self._memories[endpoint]
