"""Model cascade: which of several models answers, starting with the smallest.

Load pattern: many requests of which about half are easy. The smallest model's own
confidence, read before the caller has received a byte, decides whether to keep its
answer or to pay for the largest model. For prompts of tens of thousands of tokens,
prefill on the largest model takes longer than the caller's objective; a model of
intermediate size answers those in time.
"""

from collections.abc import Callable, Mapping, Sequence

__all__ = ["MIN_CONFIDENCE", "first_model", "interpolated_time_s", "next_model"]

# Lowest confidence, out of 100, at which a smaller model's answer is kept; see
# docs/design/worth.md.
MIN_CONFIDENCE = 55.0


def first_model(models: Sequence[str]) -> str:
    """Return the model that is tried first."""
    return models[0]


def next_model(
    models: Sequence[str],
    model: str,
    confidence: float | None,
    expected_s: Callable[[str], float],
    left_s: float,
    min_confidence: float = MIN_CONFIDENCE,
) -> str | None:
    """Return the model to escalate to, or None to keep the answer.

    Parameters
    ----------
    models : sequence of str
        Ordered by size, smallest first.
    model : str
        Model whose answer has begun.
    confidence : float or None
        Its confidence in the answer; without a value the answer is kept.
    expected_s : callable
        Expected time of a model to its first event, in seconds.
    left_s : float
        Time left to the objective. If no model would be in time, the largest one is
        used, as a late answer is worth more to the users' platform than a poor one
        (docs/design/worth.md).
    min_confidence : float
        Lowest confidence at which the answer is kept.
    """
    if model == models[-1] or confidence is None or confidence >= min_confidence:
        return None
    larger = models[models.index(model) + 1 :]
    in_time = [candidate for candidate in larger if expected_s(candidate) <= left_s]
    return in_time[-1] if in_time else models[-1]


def interpolated_time_s(
    model: str, known_s: Mapping[str, float], costs: Mapping[str, float]
) -> float:
    """Return the time of a model, interpolated by cost if it has not been used.

    Parameters
    ----------
    known_s : mapping of str to float
        Measured times of the models that have been used, in seconds.
    costs : mapping of str to float
        Price of each model; its time is roughly proportional to it.

    Returns
    -------
    float
        0 if the model and either its cheaper or its dearer neighbours are unused.
    """
    if model in known_s:
        return known_s[model]
    cost = costs.get(model, 0.0)
    priced = [candidate for candidate in known_s if candidate in costs]
    cheaper = [candidate for candidate in priced if costs[candidate] < cost]
    dearer = [candidate for candidate in priced if costs[candidate] > cost]
    if not cheaper or not dearer:
        return 0.0
    lower = max(cheaper, key=costs.__getitem__)
    upper = min(dearer, key=costs.__getitem__)
    share = (cost - costs[lower]) / (costs[upper] - costs[lower])
    return known_s[lower] + share * (known_s[upper] - known_s[lower])
