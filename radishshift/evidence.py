"""What is known of versions from the attempts, scores and ratings seen so far.

Counts are kept by origin, epoch and cell. An origin is one life of a host; only it
adds to its counts, so they never fall, and taking in a copy twice or late changes
nothing. An epoch is a span of `EPOCH_S`; old ones are dropped, which bounds the
state and forgets what has changed. A cell is a version in a task class; for answers
that came second in a cascade it also names the version that was tried before.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

__all__ = [
    "Cell",
    "CellCounts",
    "Duration",
    "Evidence",
    "Outcome",
    "QualityEstimate",
    "score_bin",
]

PRIOR_VARIANCE = 0.0045
PRIOR_VARIANCE_AFTER_CHANGE = 0.02
RATING_VARIANCE = 0.09
SCORE_VARIANCE = 0.09
OFFSET_VARIANCE = 0.0009
DIFFERENCE_VARIANCE = 0.035
DRIFT_VARIANCE_PER_S = 0.0002 / 3600
SCORES_MIN = 15
OFFSET_PRIOR_WEIGHT = 5.0
EPOCH_S = 600.0
EPOCHS_KEPT = 36
CELLS_MAX = 1024
SCORE_BINS = 10
CHANGE_Z = 3.5
CHANGE_SAMPLES_MIN = 8

(
    ATTEMPTS,
    FAILURES,
    SLOW,
    RATINGS,
    RATING_SUM,
    RATING_SQUARES,
    SCORES,
    SCORE_SUM,
    SCORE_SQUARES,
    PAIRED_SCORE_SUM,
) = range(10)
TOTALS = 10
SCORED = slice(TOTALS, TOTALS + SCORE_BINS)
PAIRED = slice(TOTALS + SCORE_BINS, TOTALS + 2 * SCORE_BINS)
PAIRED_RATING_SUM = slice(TOTALS + 2 * SCORE_BINS, TOTALS + 3 * SCORE_BINS)
COUNTS = TOTALS + 3 * SCORE_BINS


class Cell(NamedTuple):
    """What counts are kept for.

    Attributes
    ----------
    version, task_class : str
    after : str
        Version whose answer was rejected before; empty for a first answer.
    """

    version: str
    task_class: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt went.

    Attributes
    ----------
    version, endpoint, customer, task_class : str
    ok : bool
    first_token_s, duration_s : float
        Seconds from the start of the attempt.
    between_tokens_s : float
        Mean time between events, in seconds.
    cost : int
        In billionths of the currency unit.
    slow : bool
        Whether it missed an objective of its class.
    """

    version: str
    endpoint: str
    customer: str
    task_class: str
    ok: bool
    first_token_s: float
    between_tokens_s: float
    duration_s: float
    cost: int
    slow: bool = False


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Expected quality of a version in a task class.

    Attributes
    ----------
    mean : float
        From 0 to 1.
    ratings : float
        Number of ratings behind it.
    error : float
        Standard error of the mean.
    """

    mean: float
    ratings: float
    error: float = 0.0


@dataclass(slots=True)
class Duration:
    """Time that whole answers take: a moving mean and spread, in seconds."""

    mean_s: float = 0.0
    variance: float = 0.0
    seen: int = 0

    def add(self, duration_s: float) -> None:
        """Take in one answer's time."""
        self.seen += 1
        weight = max(1.0 / self.seen, 0.02)
        change = duration_s - self.mean_s
        self.mean_s += weight * change
        self.variance = (1 - weight) * (self.variance + weight * change * change)

    def bound_s(self, deviations: float) -> float:
        """Return the mean and that many standard deviations on top."""
        return self.mean_s + deviations * math.sqrt(self.variance)


@dataclass(frozen=True, slots=True)
class CellCounts:
    """Counts of a cell since its level last changed.

    Attributes
    ----------
    counts : ndarray
    changed : bool
        Whether older counts were left out.
    age_s : float
        Mean age of the scores and ratings, in seconds.
    """

    counts: np.ndarray
    changed: bool
    age_s: float


def score_bin(score: float) -> int:
    """Return the number of the bin that a score from 0 to 1 falls into."""
    return min(SCORE_BINS - 1, max(0, int(score * SCORE_BINS)))


@dataclass(slots=True)
class Evidence:
    """Outcomes, scores and ratings of all hosts in reach.

    Parameters
    ----------
    origin : str
        This life of this host, such as `mbeya-entry-1/1764800000000`.
    """

    origin: str = "local"
    changes: int = 0
    scores: int = 0
    totals: dict[str, np.ndarray] = field(default_factory=dict)
    durations: dict[tuple[str, str], Duration] = field(default_factory=dict)
    _own: dict[tuple[Cell, int], np.ndarray] = field(default_factory=dict)
    _others: dict[tuple[str, Cell, int], np.ndarray] = field(default_factory=dict)
    _pooled: dict[Cell, dict[int, np.ndarray]] = field(default_factory=dict)
    _offsets: dict[str, tuple[int, float]] = field(default_factory=dict)
    epoch: int = 0

    def record(self, outcome: Outcome, now: float = 0.0) -> None:
        """Take in how an attempt went."""
        added = np.zeros(COUNTS)
        added[ATTEMPTS] = 1
        added[FAILURES] = not outcome.ok
        added[SLOW] = outcome.slow
        self._add(Cell(outcome.version, outcome.task_class), added, now)
        if outcome.ok:
            key = (outcome.version, outcome.task_class)
            self.durations.setdefault(key, Duration()).add(outcome.duration_s)

    def record_score(self, cell: Cell, score: float, now: float = 0.0) -> None:
        """Take in the score that a judge gave an answer at once."""
        added = np.zeros(COUNTS)
        added[SCORES] = 1
        added[SCORE_SUM] = score
        added[SCORE_SQUARES] = score * score
        added[SCORED][score_bin(score)] = 1
        self._add(cell, added, now)
        self.scores += 1

    def record_rating(
        self, cell: Cell, rating: float, score: float | None = None, now: float = 0.0
    ) -> None:
        """Take in a rating from 0 to 1, with the score the answer had."""
        if not 0 <= rating <= 1:
            return
        added = np.zeros(COUNTS)
        added[RATINGS] = 1
        added[RATING_SUM] = rating
        added[RATING_SQUARES] = rating * rating
        if score is not None:
            added[PAIRED_SCORE_SUM] = score
            added[PAIRED][score_bin(score)] = 1
            added[PAIRED_RATING_SUM][score_bin(score)] = rating
        self._add(cell, added, now)
        self.changes += 1

    def _add(self, cell: Cell, added: np.ndarray, now: float) -> None:
        self.drop_old_epochs(now)
        key = (cell, self.epoch)
        held = self._own.get(key)
        if held is None:
            if len(self._own) >= CELLS_MAX:
                return
            held = self._own[key] = np.zeros(COUNTS)
        held += added
        self._pool(cell, self.epoch, added)

    def _pool(self, cell: Cell, epoch: int, added: np.ndarray) -> None:
        epochs = self._pooled.setdefault(cell, {})
        if epoch in epochs:
            epochs[epoch] += added
        else:
            epochs[epoch] = added.copy()
        if not cell.after:
            total = self.totals.get(cell.version)
            if total is None:
                total = self.totals[cell.version] = np.zeros(TOTALS)
            total += added[:TOTALS]

    def drop_old_epochs(self, now: float) -> None:
        """Drop epochs that are too old at `now`; a step back drops nothing."""
        epoch = int(now // EPOCH_S)
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        oldest = epoch - EPOCHS_KEPT
        for key in [key for key in self._own if key[1] <= oldest]:
            del self._own[key]
        for key in [key for key in self._others if key[2] <= oldest]:
            del self._others[key]
        for cell, epochs in list(self._pooled.items()):
            for old in [old for old in epochs if old <= oldest]:
                del epochs[old]
            if not epochs:
                del self._pooled[cell]
        self.changes += 1

    def merge(self, origin: str, cell: Cell, epoch: int, counts: np.ndarray) -> bool:
        """Take in the counts of another origin; return whether they were news."""
        if origin == self.origin or epoch <= self.epoch - EPOCHS_KEPT:
            return False
        if epoch > self.epoch + 1:
            return False
        key = (origin, cell, epoch)
        held = self._others.get(key)
        if held is None:
            if len(self._others) >= CELLS_MAX * EPOCHS_KEPT:
                return False
            held = np.zeros(COUNTS)
        added = np.maximum(counts, held) - held
        if not added.any():
            return False
        self._others[key] = held + added
        self._pool(cell, epoch, added)
        self.changes += 1
        return True

    def own_counts(self) -> Iterator[tuple[str, Cell, int, np.ndarray]]:
        """Yield this origin's counts, for others to merge."""
        for (cell, epoch), counts in self._own.items():
            yield self.origin, cell, epoch, counts

    def recent_counts(self, cell: Cell) -> CellCounts:
        """Return a cell's counts since its ratings or scores last changed level."""
        epochs = self._pooled.get(cell)
        if not epochs:
            return CellCounts(np.zeros(COUNTS), False, 0.0)
        numbers = sorted(epochs)
        rows = np.array([epochs[number] for number in numbers])
        start = change_point(rows)
        samples = rows[start:, SCORES] + rows[start:, RATINGS]
        age = 0.0
        if samples.any():
            ages = self.epoch - np.array(numbers[start:])
            age = float(samples @ ages / samples.sum()) * EPOCH_S
        return CellCounts(rows[start:].sum(axis=0), start > 0, age)

    def quality(self, version: str, task_class: str, prior: float) -> QualityEstimate:
        """Return the expected quality, from a prior, scores and ratings."""
        known = self.recent_counts(Cell(version, task_class))
        return estimate_quality(known, prior, self.score_offset(task_class))

    def score_offset(self, task_class: str) -> float:
        """Return by how much ratings of a class exceed the judge's scores."""
        held = self._offsets.get(task_class)
        if held is not None and held[0] == self.changes:
            return held[1]
        paired, difference = 0.0, 0.0
        for cell, epochs in self._pooled.items():
            if cell.task_class != task_class or cell.after:
                continue
            counts = sum(epochs.values())
            paired += counts[PAIRED].sum()
            difference += counts[PAIRED_RATING_SUM].sum() - counts[PAIRED_SCORE_SUM]
        offset = float(difference / (paired + OFFSET_PRIOR_WEIGHT))
        self._offsets[task_class] = (self.changes, offset)
        return offset


def estimate_quality(known: CellCounts, prior: float, offset: float) -> QualityEstimate:
    """Return the mean quality behind counts, drawn towards a prior.

    Scores are many and at once, but a judge errs; ratings are few and late. The mean
    score is corrected by the mean difference of the answers that have both.

    Parameters
    ----------
    offset : float
        Mean difference in the whole class, to which a version's own is drawn.
    """
    counts = known.counts
    prior_variance = PRIOR_VARIANCE_AFTER_CHANGE if known.changed else PRIOR_VARIANCE
    ratings = float(counts[RATINGS])
    if counts[SCORES] >= SCORES_MIN:
        paired = float(counts[PAIRED].sum())
        weight = DIFFERENCE_VARIANCE / OFFSET_VARIANCE
        difference = counts[PAIRED_RATING_SUM].sum() - counts[PAIRED_SCORE_SUM]
        correction = (weight * offset + difference) / (weight + paired)
        seen = float(counts[SCORE_SUM] / counts[SCORES] + correction)
        variance = SCORE_VARIANCE / float(counts[SCORES])
        variance += DIFFERENCE_VARIANCE / (weight + paired)
    elif ratings > 0:
        seen = float(counts[RATING_SUM]) / ratings
        variance = RATING_VARIANCE / ratings
    else:
        return QualityEstimate(prior, 0.0, math.sqrt(prior_variance))
    share = prior_variance / (prior_variance + variance)
    mean = min(1.0, max(0.0, prior + share * (seen - prior)))
    drift = known.age_s * DRIFT_VARIANCE_PER_S
    return QualityEstimate(mean, ratings, math.sqrt(share * variance + drift))


def change_point(rows: np.ndarray) -> int:
    """Return the first row after the last change of level.

    Every split into older and newer rows is tried, by scores and by ratings; the one
    whose means differ most, in standard errors, is a change if it passes `CHANGE_Z`.
    """
    if len(rows) < 2:
        return 0
    by_ratings = _change(rows[:, RATINGS], rows[:, RATING_SUM], rows[:, RATING_SQUARES])
    by_scores = _change(rows[:, SCORES], rows[:, SCORE_SUM], rows[:, SCORE_SQUARES])
    return max(by_ratings, by_scores)


def _change(samples: np.ndarray, sums: np.ndarray, squares: np.ndarray) -> int:
    total = samples.sum()
    if total < 2 * CHANGE_SAMPLES_MIN:
        return 0
    old = np.cumsum(samples)[:-1]
    old_sums = np.cumsum(sums)[:-1]
    new = total - old
    enough = (old >= CHANGE_SAMPLES_MIN) & (new >= CHANGE_SAMPLES_MIN)
    if not enough.any():
        return 0
    old, new = np.maximum(old, 1), np.maximum(new, 1)
    difference = (sums.sum() - old_sums) / new - old_sums / old
    mean = sums.sum() / total
    variance = max(squares.sum() / total - mean * mean, 1e-4)
    z = np.abs(difference) / np.sqrt(variance * (1 / old + 1 / new))
    z = np.where(enough, z, 0.0)
    best = int(np.argmax(z))
    return best + 1 if z[best] > CHANGE_Z else 0
