"""What is known of whether a request has run."""

import enum

__all__ = ["Verdict"]


class Verdict(enum.StrEnum):
    """Whether an attempt of a request has run at an endpoint.

    Each error between the engine client and the caller carries one. A caller may
    send a `NOT_RUN` request again wherever it likes; `MAY_HAVE_RUN` is safe to
    repeat only for an idempotent request.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    @property
    def safe_to_repeat(self) -> bool:
        """Tell whether any request, also a non-idempotent one, may be sent again."""
        return self is Verdict.NOT_RUN

    def worst(self, other: "Verdict") -> "Verdict":
        """Return the one of two verdicts that admits more work to have been done."""
        order = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN]
        return max(self, other, key=order.index)
