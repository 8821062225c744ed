"""Which of several models answers, smallest first.

Load pattern: many requests of which about half are easy. The smallest model's own
confidence, read before the caller has got a byte, tells whether to keep its answer
or to pay for the largest.
"""

from collections.abc import Sequence

__all__ = ["MIN_CONFIDENCE", "first_model", "next_model"]

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
    """
    if model == models[-1] or confidence is None or confidence >= least:
        return None
    return models[-1]
