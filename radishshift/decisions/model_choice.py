"""Which of several models answers, smallest first.

Load pattern: many requests of which about half are easy. The smallest model's own
confidence, read before the caller has got a byte, tells whether to keep its answer
or to pay for the largest. Prompts of tens of thousands of tokens among them are read
by the largest model for longer than the caller's objective; a model between answers
those in time.
"""

from collections.abc import Callable, Mapping, Sequence

__all__ = ["MIN_CONFIDENCE", "first_model", "interpolated_time_s", "next_model"]

# The least confidence, of 100, with which a small model's answer is kept. The best
# of 40, 55 and 70 in docs/design/worth.md.
MIN_CONFIDENCE = 55.0


def first_model(models: Sequence[str]) -> str:
    """Return the model to begin with."""
    return models[0]


def next_model(
    models: Sequence[str],
    model: str,
    confidence: float | None,
    expected_s: Callable[[str], float],
    left_s: float,
    least: float = MIN_CONFIDENCE,
) -> str | None:
    """Return the model to go on to, or None to keep the answer.

    Parameters
    ----------
    models : sequence of str
        Smallest first.
    model : str
        The one whose answer has begun.
    confidence : float or None
        Its opinion of the answer; without one the answer is kept.
    expected_s : callable
        Time that a model is thought to take to its first event, in seconds.
    left_s : float
        Time to the objective. A late answer is worth more than a poor one, so the
        largest is taken where none would be in time.
    """
    if model == models[-1] or confidence is None or confidence >= least:
        return None
    larger = models[models.index(model) + 1 :]
    in_time = [held for held in larger if expected_s(held) <= left_s]
    return in_time[-1] if in_time else models[-1]


def interpolated_time_s(
    model: str, known_s: Mapping[str, float], costs: Mapping[str, float]
) -> float:
    """Return the time of a model, between those of others if it has not been used.

    Parameters
    ----------
    known_s : mapping of str to float
        Times of the models that have been used, in seconds.
    costs : mapping of str to float
        Price of each model, to which its time is nearly in proportion.

    Returns
    -------
    float
        0 if nothing is known that it could lie between.
    """
    if model in known_s:
        return known_s[model]
    cost = costs.get(model, 0.0)
    priced = [held for held in known_s if held in costs]
    below = [held for held in priced if costs[held] < cost]
    above = [held for held in priced if costs[held] > cost]
    if not below or not above:
        return 0.0
    small = max(below, key=costs.__getitem__)
    large = min(above, key=costs.__getitem__)
    share = (cost - costs[small]) / (costs[large] - costs[small])
    return known_s[small] + share * (known_s[large] - known_s[small])
