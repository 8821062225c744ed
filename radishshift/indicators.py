"""Service-level indicators of a host: counts of good and of all requests by window.

Counts are kept in two ring buffers of time slots, minutes for the short windows and
hours for the long ones, so memory use does not grow with traffic.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from radishshift.contracts import Objectives

__all__ = [
    "WINDOWS",
    "Aspect",
    "IndicatorReport",
    "Indicators",
    "Sample",
    "SeriesCounts",
    "Window",
]

MINUTE_S = 60.0
HOUR_S = 3600.0
MAX_SERIES_PER_SLOT = 10_000


class Aspect(enum.StrEnum):
    """Property of a request that an objective covers."""

    SUCCESS = "success"
    FIRST_TOKEN = "first-token"
    BETWEEN_TOKENS = "between-tokens"
    COMPLETE_ANSWER = "whole-answer"
    EXPOSURE = "exposure"


class Window(enum.StrEnum):
    """Length of a time window that ends now."""

    MINUTES_5 = "5m"
    MINUTES_30 = "30m"
    HOUR = "1h"
    HOURS_6 = "6h"
    DAYS_3 = "3d"


WINDOWS = {
    Window.MINUTES_5: 5 * MINUTE_S,
    Window.MINUTES_30: 30 * MINUTE_S,
    Window.HOUR: HOUR_S,
    Window.HOURS_6: 6 * HOUR_S,
    Window.DAYS_3: 72 * HOUR_S,
}


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one request that has ended.

    Attributes
    ----------
    customer, task_class : str
    version : str
        Version or service that answered; empty if none did.
    ok : bool
        Whether the caller received a complete answer.
    first_token_s, between_tokens_s : float or None
        None if the answer did not have such tokens.
    duration_s : float
    """

    customer: str
    task_class: str
    version: str
    ok: bool
    first_token_s: float | None
    between_tokens_s: float | None
    duration_s: float


Key = tuple[str, str, str]


@dataclass(slots=True)
class _Slot:
    number: int = -1
    counts: dict[Key, list[int]] = field(default_factory=dict)


class _SlotRing:
    """Ring buffer of `length` slots of `slot_s` seconds each."""

    def __init__(self, slot_s: float, length: int) -> None:
        self._slot_s = slot_s
        self._slots = [_Slot() for _ in range(length)]

    def add(self, key: Key, good: bool, now: float) -> None:
        number = int(now // self._slot_s)
        slot = self._slots[number % len(self._slots)]
        if slot.number != number:
            slot.number = number
            slot.counts = {}
        count = slot.counts.get(key)
        if count is None:
            if len(slot.counts) >= MAX_SERIES_PER_SLOT:
                return
            count = slot.counts[key] = [0, 0]
        count[0] += good
        count[1] += 1

    def sums(self, window_s: float, now: float) -> dict[Key, tuple[int, int]]:
        last_number = int(now // self._slot_s)
        first_number = last_number - int(window_s / self._slot_s) + 1
        sums: dict[Key, tuple[int, int]] = {}
        for slot in self._slots:
            if not first_number <= slot.number <= last_number:
                continue
            for key, (good, total) in slot.counts.items():
                previous = sums.get(key, (0, 0))
                sums[key] = (previous[0] + good, previous[1] + total)
        return sums


class SeriesCounts(msgspec.Struct, frozen=True, rename="camel"):
    """Counts of one customer, task class and aspect, by window.

    `subject` is the aspect; for exposure it includes the version that answered, as
    `exposure:VERSION`. `counts` holds the numbers of good and of all requests.
    """

    customer: str
    task_class: str
    subject: str
    counts: dict[Window, tuple[int, int]]


class IndicatorReport(msgspec.Struct, frozen=True, rename="camel"):
    """Counts of one host.

    `since` is the time at which counting started; a window that began earlier is only
    partly covered.
    """

    host: str
    since: float
    now: float
    series: list[SeriesCounts]


class Indicators:
    """Collects the counts of one host.

    Parameters
    ----------
    host : str
    now : float
        Time at which the host started.
    """

    def __init__(self, host: str, now: float) -> None:
        self._host = host
        self._since = now
        self._minutes = _SlotRing(MINUTE_S, 61)
        self._hours = _SlotRing(HOUR_S, 73)

    def record(self, sample: Sample, objectives: Objectives, now: float) -> None:
        """Count a request as good or bad by the objectives of its task class."""
        for subject, good in _evaluate(sample, objectives):
            key = (sample.customer, sample.task_class, subject)
            self._minutes.add(key, good, now)
            self._hours.add(key, good, now)

    def report(self, now: float) -> IndicatorReport:
        """Return the counts over each window."""
        merged: dict[Key, dict[Window, tuple[int, int]]] = {}
        for window, window_s in WINDOWS.items():
            ring = self._minutes if window_s <= HOUR_S else self._hours
            for key, counts in ring.sums(window_s, now).items():
                merged.setdefault(key, {})[window] = counts
        series = [SeriesCounts(*key, counts) for key, counts in sorted(merged.items())]
        return IndicatorReport(self._host, self._since, now, series)


def _evaluate(sample: Sample, objectives: Objectives) -> Iterator[tuple[str, bool]]:
    yield Aspect.SUCCESS.value, sample.ok
    if sample.version:
        yield f"{Aspect.EXPOSURE.value}:{sample.version}", sample.ok
    if not sample.ok:
        return
    if sample.first_token_s is not None:
        good = sample.first_token_s <= objectives.first_token_s
        yield Aspect.FIRST_TOKEN.value, good
    if sample.between_tokens_s is not None:
        good = sample.between_tokens_s <= objectives.between_tokens_s
        yield Aspect.BETWEEN_TOKENS.value, good
    yield (
        Aspect.COMPLETE_ANSWER.value,
        sample.duration_s <= objectives.complete_answer_s,
    )
