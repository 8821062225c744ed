"""How many requests may run at once, learnt from the wait for the first token.

Several hosts share the endpoints, so no host can work out its room from their
slots; an even part of them is where it starts. Each raises its bound while it is used
up and first tokens come in time, and cuts it when too many come late.
"""

from radishshift.catalogue import ANY_MODEL, Catalogue
from radishshift.contracts import TaskClass

__all__ = ["ConcurrencyLimit", "initial_concurrency"]

MIN_INITIAL_LIMIT = 16.0
FLOOR = 2.0
WINDOW = 20
LATE_SHARE = 0.1
CUT = 0.96
DEEP_CUT = 0.8
DEEP_LATE_SHARE = 0.5
QUICK_GROWTH = 1.5
OBJECTIVE_SHARE = 0.5
USUAL_FACTOR = 2.0
USUAL_DRIFT = 1.001


def initial_concurrency(
    catalogue: Catalogue, data_centre: str, pool: str, hosts: int
) -> float:
    """Return the even part of its data centre's slots that a host starts from.

    Parameters
    ----------
    catalogue : Catalogue
    data_centre : str
    pool : str
        A model, a service, or `auto`.
    hosts : int
        Live entry hosts of the data centre, this one among them.
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
    """Adaptive bound on concurrency.

    Parameters
    ----------
    ceiling : int
        Highest bound.
    start : float
        Bound before anything is known.

    Attributes
    ----------
    limit : float
        Requests that may run at once.
    running : int
    """

    def __init__(self, ceiling: int, start: float = MIN_INITIAL_LIMIT) -> None:
        self._ceiling = float(ceiling)
        self.limit = min(start, self._ceiling)
        self.running = 0
        self._usual_s: dict[str, float] = {}
        self._samples = 0
        self._late = 0
        self._was_wanted = False
        self._cut_before = False

    @property
    def available(self) -> int:
        """Return the places that are free."""
        return max(0, int(self.limit) - self.running)

    def acquire(self) -> None:
        """Take a place."""
        self.running += 1

    def record_waiting(self) -> None:
        """Note that a request waits for a place."""
        self._was_wanted = True

    def release(self) -> None:
        """Give a place back."""
        self.running -= 1

    def record_first_token(self, task_class: TaskClass, wait_s: float) -> None:
        """Note how long an endpoint took to the first token, in seconds."""
        objectives = task_class.objectives
        self._note(task_class.name, objectives.first_token_s, wait_s)

    def record_complete_answer(self, task_class: TaskClass, whole_s: float) -> None:
        """Note how long an answer that comes in one piece took, in seconds."""
        objectives = task_class.objectives
        self._note(f"{task_class.name}/whole", objectives.whole_answer_s, whole_s)

    def _note(self, key: str, objective_s: float, took_s: float) -> None:
        usual_s = self._usual_s.get(key, took_s)
        usual_s = min(took_s, usual_s * USUAL_DRIFT)
        self._usual_s[key] = usual_s
        self._take(took_s > max(OBJECTIVE_SHARE * objective_s, USUAL_FACTOR * usual_s))

    def record_refusal(self) -> None:
        """Note that an endpoint had no room."""
        self._take(True)

    def _take(self, late: bool) -> None:
        self._samples += 1
        self._late += late
        if self._samples < max(WINDOW, self.limit):
            return
        if self._late > LATE_SHARE * self._samples:
            deep = self._late > DEEP_LATE_SHARE * self._samples
            self.limit *= DEEP_CUT if deep else CUT
            self._cut_before = True
        elif self._was_wanted:
            grown = self.limit + 1 if self._cut_before else self.limit * QUICK_GROWTH
            self.limit = grown
        self.limit = min(max(self.limit, FLOOR), self._ceiling)
        self._samples = 0
        self._late = 0
        self._was_wanted = False
