"""Sequential test of whether a new version is worse than the stable one.

The test may be evaluated after every heartbeat. It is a betting process: under the
hypothesis that the new version is no worse, its expected value never exceeds 1, so
by Ville's inequality it reaches `1 / alpha` with a probability of at most `alpha`,
however often it is evaluated. Updates need sums only, so counts of many hosts can be
pooled.

For values in [0, 1] with mean `m`, and a centre `c` fixed beforehand, the product of
`exp(rate * (x - m) - psi(rate) * (x - c)**2)` is a supermartingale, where `psi(rate) =
-log(1 - rate) - rate`. In the product of two of them, one for each version, with equal
`rate * count`, the unknown means cancel.

References
----------
Howard, Ramdas, McAuliffe, Sekhon: Time-uniform, nonparametric, nonasymptotic
confidence sequences. Annals of Statistics 49 (2021).
"""

import math
from dataclasses import dataclass, field

import numpy as np

__all__ = ["METRICS", "Arm", "Guard", "Metric", "SequentialTest"]

# Rates of the bets; the value of the test is the mean over all rates.
BET_RATES = np.array([0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.6, 0.9])
BET_RATE_MAX = 0.95  # below 1, where psi is infinite
BASELINE_WEIGHT = 20.0  # as a number of values
# Weight of the bet that starts first. Bets started at the steps of a roll-out share
# half as much, and so do those started at updates: 0.5 + 0.25 + 0.25 = 1.
INITIAL_BET_WEIGHT = 0.5
STABLE_COUNT_RATIO_MIN = 0.5
LOG_VALUE_MIN = -700.0
WEIGHT_MIN = 1e-12  # not 0, as its logarithm is taken


@dataclass(frozen=True, slots=True)
class Metric:
    """Metric by which versions are compared; a higher value is worse.

    Attributes
    ----------
    name : str
    baseline : float
        Mean assumed before any values are known.
    """

    name: str
    baseline: float


METRICS = (Metric("errors", 0.02), Metric("latency", 0.05), Metric("quality", 0.2))


@dataclass(slots=True)
class Arm:
    """Sums of one version's values, each optionally an array over many trials.

    Attributes
    ----------
    count, total, squares : ndarray
    """

    count: np.ndarray
    total: np.ndarray
    squares: np.ndarray

    @classmethod
    def empty(cls, shape: tuple[int, ...] = ()) -> "Arm":
        """Return an arm without values."""
        return cls(np.zeros(shape), np.zeros(shape), np.zeros(shape))

    def plus(self, other: "Arm") -> "Arm":
        """Return the sums of both."""
        return Arm(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
        )

    def minus(self, other: "Arm") -> "Arm":
        """Return the sums without those of `other`."""
        return Arm(
            self.count - other.count,
            self.total - other.total,
            self.squares - other.squares,
        )

    def mean(self, baseline: np.ndarray | float) -> np.ndarray:
        """Return the mean, shrunk towards the baseline while there are few values."""
        return (BASELINE_WEIGHT * baseline + self.total) / (
            BASELINE_WEIGHT + self.count
        )

    def spread(self, centre: np.ndarray) -> np.ndarray:
        """Return the sum of squared deviations from a centre."""
        squares = self.squares - 2 * centre * self.total
        return np.maximum(0.0, squares + centre * centre * self.count)


class SequentialTest:
    """Test of one metric, for one trial or for an array of independent trials.

    The bets are a mixture over rates and over starting times, so that a version that
    becomes worse late is detected too; all weights add up to 1.

    Parameters
    ----------
    baseline : float
        Mean of the stable version assumed before any values are known.
    shape : tuple of int
        Shape of the trials.
    """

    def __init__(self, baseline: float, shape: tuple[int, ...] = ()) -> None:
        self._baseline = baseline
        self._log_value = np.full((*shape, len(BET_RATES)), -math.inf)
        self._updates = 0
        self._pending_weight = np.full(shape, INITIAL_BET_WEIGHT)
        self._starts = np.zeros(shape)
        self._canary = Arm.empty(shape)
        self._stable = Arm.empty(shape)
        self._held_back_canary = Arm.empty(shape)
        self._held_back_stable = Arm.empty(shape)

    def start_step(self, steps: int, where: np.ndarray | bool = True) -> None:
        """Start a new bet, at one of the `steps` steps of a roll-out.

        Parameters
        ----------
        steps : int
            Total number of steps; further starts are ignored, since the weights must
            not add up to more than 1.
        where : ndarray of bool
            Trials for which the step starts.
        """
        starts_here = np.asarray(where) & (self._starts < steps)
        self._starts = self._starts + starts_here
        self._pending_weight = (
            self._pending_weight + INITIAL_BET_WEIGHT / max(1, steps) / 2 * starts_here
        )

    def update(self, canary: Arm, stable: Arm) -> np.ndarray:
        """Add the sums since the last update; return the log of the test's value.

        Sums are held back until the stable version has enough values to compare with.
        That depends on the numbers of values only, never on the values themselves, so
        that it doesn't bias the test.
        """
        self._updates += 1
        # The sum of 1 / (n * (n + 1)) over all updates n is 1.
        self._pending_weight = self._pending_weight + INITIAL_BET_WEIGHT / 2 / (
            self._updates * (self._updates + 1)
        )
        canary = self._held_back_canary = self._held_back_canary.plus(canary)
        stable = self._held_back_stable = self._held_back_stable.plus(stable)
        comparable = (canary.count > 0) & (
            stable.count >= STABLE_COUNT_RATIO_MIN * canary.count
        )
        started = np.logaddexp(self._log_value, np.log(self._pending_weight)[..., None])
        log_increment = self._log_increment(canary, stable, comparable)
        updated = np.maximum(started + log_increment, LOG_VALUE_MIN)
        self._log_value = np.where(comparable[..., None], updated, started)
        self._pending_weight = np.full(comparable.shape, WEIGHT_MIN)
        self._add_comparable_sums(canary, stable, comparable)
        highest = self._log_value.max(axis=-1)
        mean = np.exp(self._log_value - highest[..., None]).mean(axis=-1)
        return highest + np.log(mean)

    def _log_increment(
        self, canary: Arm, stable: Arm, comparable: np.ndarray
    ) -> np.ndarray:
        canary_count = np.where(comparable, canary.count, 1.0)
        stable_count = np.where(comparable, stable.count, 1.0)
        ratio = (canary_count / stable_count)[..., None]
        rate = np.minimum(BET_RATES, BET_RATE_MAX / np.maximum(ratio, 1.0))
        other_rate = rate * ratio
        stable_centre = self._stable.mean(self._baseline)
        centre = self._canary.mean(stable_centre)
        gap = canary.total / canary_count - stable.total / stable_count
        gain = rate * (canary_count * gap)[..., None]
        penalty = _psi(rate) * canary.spread(centre)[..., None]
        return (
            gain - penalty - _psi(other_rate) * stable.spread(stable_centre)[..., None]
        )

    def _add_comparable_sums(
        self, canary: Arm, stable: Arm, comparable: np.ndarray
    ) -> None:
        held_back = Arm(*(np.where(comparable, 0.0, part) for part in _sums(canary)))
        absorbed = canary.minus(held_back)
        self._canary = self._canary.plus(absorbed)
        self._held_back_canary = held_back
        held_back = Arm(*(np.where(comparable, 0.0, part) for part in _sums(stable)))
        self._stable = self._stable.plus(stable.minus(held_back))
        self._held_back_stable = held_back


def _psi(rate: np.ndarray) -> np.ndarray:
    return -np.log1p(-rate) - rate


def _sums(arm: Arm) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
    return arm.count, arm.total, arm.squares


@dataclass(slots=True)
class Guard:
    """Compares a new version with the stable one in all metrics.

    Parameters
    ----------
    alpha : float
        Probability of stopping a version that is no worse, over the whole roll-out.
    shape : tuple of int
        Shape of the trials.
    """

    alpha: float = 0.01
    shape: tuple[int, ...] = ()
    tests: dict[str, SequentialTest] = field(init=False)

    def __post_init__(self) -> None:
        self.tests = {
            metric.name: SequentialTest(metric.baseline, self.shape)
            for metric in METRICS
        }

    def start_step(self, steps: int, where: np.ndarray | bool = True) -> None:
        """Start a new bet in every metric, at a step of the roll-out."""
        for test in self.tests.values():
            test.start_step(steps, where)

    def update(self, canary: dict[str, Arm], stable: dict[str, Arm]) -> dict[str, bool]:
        """Add the sums since the last update; return which metrics are worse."""
        bound = math.log(len(self.tests) / self.alpha)
        return {
            name: test.update(canary[name], stable[name]) >= bound
            for name, test in self.tests.items()
        }
