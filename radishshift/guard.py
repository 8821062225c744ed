"""The guard of a roll-out, which tells whether a new version is worse.

The test may be looked at after every heartbeat. It is a betting process: under the
hypothesis that the new version is no worse, its expected value never exceeds 1, so
by Ville's inequality it reaches `1 / alpha` with probability `alpha` at most, however
often one looks. Its steps need sums only, so counts of many hosts can be pooled.

For values in [0, 1] with mean `m`, and a centre `c` fixed beforehand, the product of
`exp(rate * (x - m) - psi(rate) * (x - c)**2)` is a supermartingale, where `psi(rate) =
-log(1 - rate) - rate`. Two of them, one for each version, with equal `rate * count`,
give one that holds no unknown mean.

References
----------
Howard, Ramdas, McAuliffe, Sekhon: Time-uniform, nonparametric, nonasymptotic
confidence sequences. Annals of Statistics 49 (2021).
"""

import math
from dataclasses import dataclass, field

import numpy as np

__all__ = ["METRICS", "Arm", "Guard", "Metric", "SequentialTest"]

RATES = np.array([0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.6, 0.9])
RATE_MAX = 0.95
CENTRE_WEIGHT = 20.0
START_WEIGHT = 0.5
BALANCE = 0.5
LOG_VALUE_MIN = -700.0
LEAST_WEIGHT = 1e-12


@dataclass(frozen=True, slots=True)
class Metric:
    """What versions are compared by; a higher value is worse.

    Attributes
    ----------
    name : str
    baseline : float
        Mean to start from when nothing has been seen.
    """

    name: str
    baseline: float


METRICS = (Metric("errors", 0.02), Metric("latency", 0.05), Metric("quality", 0.2))


@dataclass(slots=True)
class Arm:
    """Sums of one version's values; each may be an array over many trials.

    Attributes
    ----------
    count, total, squares : ndarray
    """

    count: np.ndarray
    total: np.ndarray
    squares: np.ndarray

    @classmethod
    def empty(cls, shape: tuple[int, ...] = ()) -> "Arm":
        """Return an arm that has seen nothing."""
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
        """Return the mean, drawn towards a usual one."""
        return (CENTRE_WEIGHT * baseline + self.total) / (CENTRE_WEIGHT + self.count)

    def spread(self, centre: np.ndarray) -> np.ndarray:
        """Return the sum of squared distances from a centre."""
        squares = self.squares - 2 * centre * self.total
        return np.maximum(0.0, squares + centre * centre * self.count)


class SequentialTest:
    """Test of one metric, for one trial or for many side by side.

    The bets are a mixture over rates and over starts, so that a version that turns
    bad late is found too; all weights together are 1.

    Parameters
    ----------
    baseline : float
        Mean to start from.
    shape : tuple of int
        Shape of the trials.
    """

    def __init__(self, baseline: float, shape: tuple[int, ...] = ()) -> None:
        self._baseline = baseline
        self._log_value = np.full((*shape, len(RATES)), -math.inf)
        self._looks = 0
        self._due = np.full(shape, START_WEIGHT)
        self._starts = np.zeros(shape)
        self._canary = Arm.empty(shape)
        self._stable = Arm.empty(shape)
        self._new_canary = Arm.empty(shape)
        self._new_stable = Arm.empty(shape)

    def start_step(self, steps: int, where: np.ndarray | bool = True) -> None:
        """Let a new bet start here, as at each of `steps` steps of a roll-out.

        Parameters
        ----------
        steps : int
            Number of steps in all; starts over it are passed over, since all weights
            together must not exceed 1.
        where : ndarray of bool
            Trials that take the step.
        """
        due = np.asarray(where) & (self._starts < steps)
        self._starts = self._starts + due
        self._due = self._due + START_WEIGHT / max(1, steps) / 2 * due

    def update(self, canary: Arm, stable: Arm) -> np.ndarray:
        """Take in what came since the last look; return the log of the value.

        Counts wait until the stable version has enough to compare with; whether they
        do is decided by the numbers of answers, not by how good they were.
        """
        self._looks += 1
        self._due = self._due + START_WEIGHT / 2 / (self._looks * (self._looks + 1))
        canary = self._new_canary = self._new_canary.plus(canary)
        stable = self._new_stable = self._new_stable.plus(stable)
        both = (canary.count > 0) & (stable.count >= BALANCE * canary.count)
        started = np.logaddexp(self._log_value, np.log(self._due)[..., None])
        step = self._step(canary, stable, both)
        moved = np.maximum(started + step, LOG_VALUE_MIN)
        self._log_value = np.where(both[..., None], moved, started)
        self._due = np.full(both.shape, LEAST_WEIGHT)
        self._take(canary, stable, both)
        highest = self._log_value.max(axis=-1)
        mean = np.exp(self._log_value - highest[..., None]).mean(axis=-1)
        return highest + np.log(mean)

    def _step(self, canary: Arm, stable: Arm, both: np.ndarray) -> np.ndarray:
        canary_count = np.where(both, canary.count, 1.0)
        stable_count = np.where(both, stable.count, 1.0)
        ratio = (canary_count / stable_count)[..., None]
        rate = np.minimum(RATES, RATE_MAX / np.maximum(ratio, 1.0))
        other_rate = rate * ratio
        stable_centre = self._stable.mean(self._baseline)
        centre = self._canary.mean(stable_centre)
        gap = canary.total / canary_count - stable.total / stable_count
        gained = rate * (canary_count * gap)[..., None]
        paid = _psi(rate) * canary.spread(centre)[..., None]
        return (
            gained - paid - _psi(other_rate) * stable.spread(stable_centre)[..., None]
        )

    def _take(self, canary: Arm, stable: Arm, both: np.ndarray) -> None:
        kept = Arm(*(np.where(both, 0.0, part) for part in _parts(canary)))
        taken = canary.minus(kept)
        self._canary = self._canary.plus(taken)
        self._new_canary = kept
        kept = Arm(*(np.where(both, 0.0, part) for part in _parts(stable)))
        self._stable = self._stable.plus(stable.minus(kept))
        self._new_stable = kept


def _psi(rate: np.ndarray) -> np.ndarray:
    return -np.log1p(-rate) - rate


def _parts(arm: Arm) -> tuple[np.ndarray, np.ndarray, np.ndarray]:
    return arm.count, arm.total, arm.squares


@dataclass(slots=True)
class Guard:
    """Compares a new version with the stable one in all metrics.

    Parameters
    ----------
    alpha : float
        Chance of stopping a version that is no worse, over the whole roll-out.
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
        """Note that the roll-out has taken one of its steps."""
        for test in self.tests.values():
            test.start_step(steps, where)

    def update(self, canary: dict[str, Arm], stable: dict[str, Arm]) -> dict[str, bool]:
        """Take in what came since the last look; tell which metrics are worse."""
        bound = math.log(len(self.tests) / self.alpha)
        return {
            name: test.update(canary[name], stable[name]) >= bound
            for name, test in self.tests.items()
        }
