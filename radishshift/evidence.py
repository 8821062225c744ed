"""Evidence on the quality of versions, from attempts, judge scores and ratings.

Counts are kept by origin, epoch and cell. An origin is one incarnation of a host. Only
the origin adds to its counts, so they never decrease, and merging a copy twice or late
is idempotent. An epoch is a span of `EPOCH_S`; old epochs are dropped, which bounds the
state and discards outdated evidence. A cell is a version in a task class; for answers
of the second step of a cascade it also names the version that was tried first.
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

# Variances of values from 0 to 1.
PRIOR_VARIANCE = 0.0045  # of a version's mean quality around its prior
PRIOR_VARIANCE_AFTER_CHANGE = 0.02
RATING_VARIANCE = 0.09  # of one rating
SCORE_VARIANCE = 0.09  # of one score
# Of a version's mean difference of rating and score, around that of its task class.
VERSION_OFFSET_VARIANCE = 0.0009
RATING_SCORE_DIFFERENCE_VARIANCE = 0.035  # of one answer's rating less its score
DRIFT_VARIANCE_PER_S = 0.0002 / 3600  # added to an estimate as its samples age
SCORES_MIN = 15
OFFSET_PRIOR_WEIGHT = 5.0
EPOCH_S = 600.0
EPOCHS_KEPT = 36
CELLS_MAX = 1024
SCORE_BINS = 10
LEVEL_CHANGE_Z_MIN = 3.5
LEVEL_CHANGE_SAMPLES_MIN = 8

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
    """Key of a set of counts.

    Attributes
    ----------
    version, task_class : str
    rejected_version : str
        Version whose answer was rejected in the step before; empty for a first step.
    """

    version: str
    task_class: str
    rejected_version: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt.

    Attributes
    ----------
    version, endpoint, customer, task_class : str
    ok : bool
    first_token_s, duration_s : float
        Seconds from the start of the attempt.
    between_tokens_s : float
        Mean time between tokens, in seconds.
    cost : int
        In billionths of the currency unit.
    slow : bool
        Whether the first token missed the objective of its class.
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
        Number of ratings that the estimate rests on.
    error : float
        Standard error of the mean.
    """

    mean: float
    ratings: float
    error: float = 0.0


@dataclass(slots=True)
class Duration:
    """Exponential moving average and variance of the time to complete an answer."""

    mean_s: float = 0.0
    variance: float = 0.0
    answers: int = 0

    def add(self, duration_s: float) -> None:
        """Add the duration of one answer."""
        self.answers += 1
        weight = max(1.0 / self.answers, 0.02)
        change = duration_s - self.mean_s
        self.mean_s += weight * change
        self.variance = (1 - weight) * (self.variance + weight * change * change)

    def bound_s(self, deviations: float) -> float:
        """Return the mean plus a number of standard deviations, in seconds."""
        return self.mean_s + deviations * math.sqrt(self.variance)


@dataclass(frozen=True, slots=True)
class CellCounts:
    """Counts of a cell since its quality level last changed.

    Attributes
    ----------
    counts : ndarray
    changed : bool
        Whether older counts were excluded because of a change of level.
    age_s : float
        Mean age of the scores and ratings, in seconds.
    """

    counts: np.ndarray
    changed: bool
    age_s: float


def score_bin(score: float) -> int:
    """Return the index of the bin of a score from 0 to 1."""
    return min(SCORE_BINS - 1, max(0, int(score * SCORE_BINS)))


@dataclass(slots=True)
class Evidence:
    """Outcomes, scores and ratings of this host and of those merged from others.

    Parameters
    ----------
    origin : str
        This incarnation of this host, such as `mbeya-entry-1/1764800000000`.

    Attributes
    ----------
    changes : int
        Incremented when ratings, merged counts or dropped epochs change estimates.
    scores : int
        Number of scores recorded by this host.
    totals : dict of str to ndarray
        First-step counts of each version over all classes and epochs, indexed by
        `ATTEMPTS` and the constants after it; they never decrease.
    durations : dict of (str, str) to Duration
        By version and task class.
    epoch : int
        Number of the newest epoch.
    """

    origin: str = "local"
    changes: int = 0
    scores: int = 0
    totals: dict[str, np.ndarray] = field(default_factory=dict)
    durations: dict[tuple[str, str], Duration] = field(default_factory=dict)
    _local_counts: dict[tuple[Cell, int], np.ndarray] = field(default_factory=dict)
    _remote_counts: dict[tuple[str, Cell, int], np.ndarray] = field(
        default_factory=dict
    )
    _pooled_counts: dict[Cell, dict[int, np.ndarray]] = field(default_factory=dict)
    _offsets: dict[str, tuple[int, float]] = field(default_factory=dict)
    epoch: int = 0

    def record(self, outcome: Outcome, now: float = 0.0) -> None:
        """Record the outcome of an attempt."""
        added = np.zeros(COUNTS)
        added[ATTEMPTS] = 1
        added[FAILURES] = not outcome.ok
        added[SLOW] = outcome.slow
        self._add_local(Cell(outcome.version, outcome.task_class), added, now)
        if outcome.ok:
            key = (outcome.version, outcome.task_class)
            self.durations.setdefault(key, Duration()).add(outcome.duration_s)

    def record_score(self, cell: Cell, score: float, now: float = 0.0) -> None:
        """Record the score that the judge gave an answer synchronously."""
        added = np.zeros(COUNTS)
        added[SCORES] = 1
        added[SCORE_SUM] = score
        added[SCORE_SQUARES] = score * score
        added[SCORED][score_bin(score)] = 1
        self._add_local(cell, added, now)
        self.scores += 1

    def record_rating(
        self, cell: Cell, rating: float, score: float | None = None, now: float = 0.0
    ) -> None:
        """Record a rating from 0 to 1, with the score of the answer if it has one.

        Ratings out of range are ignored.
        """
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
        self._add_local(cell, added, now)
        self.changes += 1

    def _add_local(self, cell: Cell, added: np.ndarray, now: float) -> None:
        self.drop_old_epochs(now)
        key = (cell, self.epoch)
        stored = self._local_counts.get(key)
        if stored is None:
            if len(self._local_counts) >= CELLS_MAX:
                return
            stored = self._local_counts[key] = np.zeros(COUNTS)
        stored += added
        self._add_pooled(cell, self.epoch, added)

    def _add_pooled(self, cell: Cell, epoch: int, added: np.ndarray) -> None:
        epochs = self._pooled_counts.setdefault(cell, {})
        if epoch in epochs:
            epochs[epoch] += added
        else:
            epochs[epoch] = added.copy()
        if not cell.rejected_version:
            total = self.totals.get(cell.version)
            if total is None:
                total = self.totals[cell.version] = np.zeros(TOTALS)
            total += added[:TOTALS]

    def drop_old_epochs(self, now: float) -> None:
        """Drop epochs that are too old at `now`; a clock that steps back drops none."""
        epoch = int(now // EPOCH_S)
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        oldest = epoch - EPOCHS_KEPT
        for key in [key for key in self._local_counts if key[1] <= oldest]:
            del self._local_counts[key]
        for key in [key for key in self._remote_counts if key[2] <= oldest]:
            del self._remote_counts[key]
        for cell, epochs in list(self._pooled_counts.items()):
            for old in [old for old in epochs if old <= oldest]:
                del epochs[old]
            if not epochs:
                del self._pooled_counts[cell]
        self.changes += 1

    def merge(self, origin: str, cell: Cell, epoch: int, counts: np.ndarray) -> bool:
        """Merge the counts of another origin; return whether anything changed.

        Counts of this origin, of dropped epochs and of epochs too far in the future (a
        clock that is ahead) are ignored.
        """
        if origin == self.origin or epoch <= self.epoch - EPOCHS_KEPT:
            return False
        if epoch > self.epoch + 1:
            return False
        key = (origin, cell, epoch)
        stored = self._remote_counts.get(key)
        if stored is None:
            if len(self._remote_counts) >= CELLS_MAX * EPOCHS_KEPT:
                return False
            stored = np.zeros(COUNTS)
        added = np.maximum(counts, stored) - stored
        if not added.any():
            return False
        self._remote_counts[key] = stored + added
        self._add_pooled(cell, epoch, added)
        self.changes += 1
        return True

    def own_counts(self) -> Iterator[tuple[str, Cell, int, np.ndarray]]:
        """Yield the counts of this origin for other hosts to merge."""
        for (cell, epoch), counts in self._local_counts.items():
            yield self.origin, cell, epoch, counts

    def recent_counts(self, cell: Cell) -> CellCounts:
        """Return the counts of a cell since its scores or ratings changed level."""
        epochs = self._pooled_counts.get(cell)
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
        """Return the expected quality from a prior, scores and ratings."""
        recent = self.recent_counts(Cell(version, task_class))
        return estimate_quality(recent, prior, self.score_offset(task_class))

    def score_offset(self, task_class: str) -> float:
        """Return the mean of ratings less judge scores in a task class."""
        stored = self._offsets.get(task_class)
        if stored is not None and stored[0] == self.changes:
            return stored[1]
        paired, difference = 0.0, 0.0
        for cell, epochs in self._pooled_counts.items():
            if cell.task_class != task_class or cell.rejected_version:
                continue
            counts = sum(epochs.values())
            paired += counts[PAIRED].sum()
            difference += counts[PAIRED_RATING_SUM].sum() - counts[PAIRED_SCORE_SUM]
        offset = float(difference / (paired + OFFSET_PRIOR_WEIGHT))
        self._offsets[task_class] = (self.changes, offset)
        return offset


def estimate_quality(
    recent: CellCounts, prior: float, offset: float
) -> QualityEstimate:
    """Return the quality estimated from counts, shrunk towards a prior.

    Scores are plentiful and immediate, but the judge errs; ratings are few and
    late. The mean score is therefore corrected by the mean difference between rating
    and score of the answers that have both.

    Parameters
    ----------
    offset : float
        Mean difference over the task class, to which that of the version is shrunk.
    """
    counts = recent.counts
    prior_variance = PRIOR_VARIANCE_AFTER_CHANGE if recent.changed else PRIOR_VARIANCE
    ratings = float(counts[RATINGS])
    if counts[SCORES] >= SCORES_MIN:
        paired = float(counts[PAIRED].sum())
        weight = RATING_SCORE_DIFFERENCE_VARIANCE / VERSION_OFFSET_VARIANCE
        difference = counts[PAIRED_RATING_SUM].sum() - counts[PAIRED_SCORE_SUM]
        correction = (weight * offset + difference) / (weight + paired)
        observed = float(counts[SCORE_SUM] / counts[SCORES] + correction)
        variance = SCORE_VARIANCE / float(counts[SCORES])
        variance += RATING_SCORE_DIFFERENCE_VARIANCE / (weight + paired)
    elif ratings > 0:
        observed = float(counts[RATING_SUM]) / ratings
        variance = RATING_VARIANCE / ratings
    else:
        return QualityEstimate(prior, 0.0, math.sqrt(prior_variance))
    share = prior_variance / (prior_variance + variance)
    mean = min(1.0, max(0.0, prior + share * (observed - prior)))
    drift = recent.age_s * DRIFT_VARIANCE_PER_S
    return QualityEstimate(mean, ratings, math.sqrt(share * variance + drift))


def change_point(rows: np.ndarray) -> int:
    """Return the index of the first row after the last change of level.

    Every split into older and newer rows is tried, for scores and for ratings. The
    split whose means differ most, in standard errors, is a change if the difference
    exceeds `LEVEL_CHANGE_Z_MIN`.
    """
    if len(rows) < 2:
        return 0
    by_ratings = _last_level_change(
        rows[:, RATINGS], rows[:, RATING_SUM], rows[:, RATING_SQUARES]
    )
    by_scores = _last_level_change(
        rows[:, SCORES], rows[:, SCORE_SUM], rows[:, SCORE_SQUARES]
    )
    return max(by_ratings, by_scores)


def _last_level_change(
    samples: np.ndarray, sums: np.ndarray, squares: np.ndarray
) -> int:
    total = samples.sum()
    if total < 2 * LEVEL_CHANGE_SAMPLES_MIN:
        return 0
    old = np.cumsum(samples)[:-1]
    old_sums = np.cumsum(sums)[:-1]
    new = total - old
    enough = (old >= LEVEL_CHANGE_SAMPLES_MIN) & (new >= LEVEL_CHANGE_SAMPLES_MIN)
    if not enough.any():
        return 0
    old, new = np.maximum(old, 1), np.maximum(new, 1)
    difference = (sums.sum() - old_sums) / new - old_sums / old
    mean = sums.sum() / total
    variance = max(squares.sum() / total - mean * mean, 1e-4)
    z = np.abs(difference) / np.sqrt(variance * (1 / old + 1 / new))
    z = np.where(enough, z, 0.0)
    best = int(np.argmax(z))
    return best + 1 if z[best] > LEVEL_CHANGE_Z_MIN else 0
