"""Adaptive limit on concurrent requests, driven by the time to first token.

Several hosts share the endpoints, so no host can derive its limit from their slots
alone; it starts from an even share of them. A host raises its limit while the limit
is reached and first tokens arrive in time, and lowers it when too many are late.
"""

from radishshift.catalogue import ANY_MODEL, Catalogue
from radishshift.contracts import TaskClass

__all__ = ["ConcurrencyLimit", "initial_concurrency"]

MIN_INITIAL_LIMIT = 16.0
MIN_LIMIT = 2.0
MIN_WINDOW_SAMPLES = 20
MAX_LATE_SHARE = 0.1
DECREASE_FACTOR = 0.96
SHARP_DECREASE_FACTOR = 0.8
SHARP_DECREASE_LATE_SHARE = 0.5
INITIAL_GROWTH_FACTOR = 1.5
LATE_OBJECTIVE_SHARE = 0.5
LATE_BASELINE_FACTOR = 2.0
BASELINE_DRIFT_FACTOR = 1.001


def initial_concurrency(
    catalogue: Catalogue, data_centre: str, pool: str, hosts: int
) -> float:
    """Return a host's initial limit: an even share of its data centre's slots.

    Parameters
    ----------
    catalogue : Catalogue
    data_centre : str
    pool : str
        A model, a service, or `auto`.
    hosts : int
        Live entry hosts of the data centre, including this one.
    """
    served = {
        version.name
        for version in catalogue.versions.values()
        if pool in (ANY_MODEL, version.model)
    }
    served.add(pool)
    slots = sum(
        endpoint.slots
        for endpoint in catalogue.endpoints.values()
        if endpoint.data_centre == data_centre and endpoint.serves & served
    )
    return max(MIN_INITIAL_LIMIT, slots / max(1, hosts))


class ConcurrencyLimit:
    """Adaptive limit on concurrent requests.

    An attempt is late if its first token, or its complete answer if that is not
    streamed, takes longer than a share of its objective and than a multiple of its
    baseline. The baseline of a class is its shortest recent duration; it drifts up
    slowly, so that a class that is always slow is compared with itself.

    Parameters
    ----------
    max_limit : int
        Highest limit.
    initial : float
        Limit before the first measurement.

    Attributes
    ----------
    limit : float
        Requests that may run concurrently.
    running : int
    """

    def __init__(self, max_limit: int, initial: float = MIN_INITIAL_LIMIT) -> None:
        self._max_limit = float(max_limit)
        self.limit = min(initial, self._max_limit)
        self.running = 0
        self._baseline_s: dict[str, float] = {}
        self._samples = 0
        self._late_samples = 0
        self._had_waiting = False
        self._has_decreased = False

    @property
    def available(self) -> int:
        """Return how many more requests may start."""
        return max(0, int(self.limit) - self.running)

    def acquire(self) -> None:
        """Count a request that starts."""
        self.running += 1

    def record_waiting(self) -> None:
        """Record that a request has to wait, so that the limit may grow."""
        self._had_waiting = True

    def release(self) -> None:
        """Count a request that has ended."""
        self.running -= 1

    def record_first_token(self, task_class: TaskClass, wait_s: float) -> None:
        """Record the time to first token of an attempt, in seconds."""
        objectives = task_class.objectives
        self._record_duration(task_class.name, objectives.first_token_s, wait_s)

    def record_complete_answer(self, task_class: TaskClass, duration_s: float) -> None:
        """Record the duration of a non-streamed answer, in seconds."""
        objectives = task_class.objectives
        self._record_duration(
            f"{task_class.name}/whole", objectives.complete_answer_s, duration_s
        )

    def _record_duration(self, key: str, objective_s: float, duration_s: float) -> None:
        """Update the baseline of a class, and count whether the duration is late."""
        baseline_s = self._baseline_s.get(key, duration_s)
        baseline_s = min(duration_s, baseline_s * BASELINE_DRIFT_FACTOR)
        self._baseline_s[key] = baseline_s
        self._record_sample(
            duration_s
            > max(LATE_OBJECTIVE_SHARE * objective_s, LATE_BASELINE_FACTOR * baseline_s)
        )

    def record_refusal(self) -> None:
        """Record that an endpoint refused a request for lack of capacity."""
        self._record_sample(True)

    def _record_sample(self, late: bool) -> None:
        self._samples += 1
        self._late_samples += late
        if self._samples < max(MIN_WINDOW_SAMPLES, self.limit):
            return
        if self._late_samples > MAX_LATE_SHARE * self._samples:
            sharp = self._late_samples > SHARP_DECREASE_LATE_SHARE * self._samples
            self.limit *= SHARP_DECREASE_FACTOR if sharp else DECREASE_FACTOR
            self._has_decreased = True
        elif self._had_waiting:
            # Growth is exponential until the first decrease, and then linear.
            increased = (
                self.limit + 1
                if self._has_decreased
                else self.limit * INITIAL_GROWTH_FACTOR
            )
            self.limit = increased
        self.limit = min(max(self.limit, MIN_LIMIT), self._max_limit)
        self._samples = 0
        self._late_samples = 0
        self._had_waiting = False
