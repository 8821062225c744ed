"""Verdicts on whether a request has run."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether an attempt of a request has run at an endpoint.

    Each error between the engine client and the caller carries a verdict. A caller
    may send a `NOT_RUN` request again to any host; after `MAY_HAVE_RUN` only an
    idempotent request is safe to repeat.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def safe_to_repeat(self) -> bool:
        """Tell whether even a non-idempotent request may be sent again."""
        return self is Verdict.NOT_RUN

    def worst(self, other: "Verdict") -> "Verdict":
        """Return the verdict under which more work may have been done."""
        order = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN]
        return max(self, other, key=order.index)
