"""Errors as callers see them."""

import random

import msgspec

from radishshift.errors import RadishshiftError
from radishshift.gateway.messages import HeaderList
from radishshift.verdicts import Verdict

__all__ = ["error_answer"]

RETRY_AFTER_S = 0.12  # enough for another endpoint to have room
RETRY_SPREAD = 0.5  # part of the pause by which callers are spread
UNSAFE_STATUS = 502  # promises nothing about whether a request has run
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


def error_answer(
    exc: RadishshiftError, request_id: str, may_have_run: bool
) -> tuple[int, HeaderList, bytes]:
    """Return status, headers and body for an error.

    Parameters
    ----------
    may_have_run : bool
        Whether any attempt of the request may have run, whatever `exc` says.
    """
    ran = may_have_run or exc.verdict is not Verdict.NOT_RUN
    status = exc.status
    if ran and status in PROMISES_NOT_RUN:
        status = UNSAFE_STATUS
    elif not ran and status in (500, 502, 504):
        status = 503
    headers = [("Content-Type", "application/json")]
    if status == 503:
        pause_s = exc.retry_after_s or RETRY_AFTER_S
        pause_s *= 1 + RETRY_SPREAD * random.random()
        headers.append(("Retry-After", f"{pause_s:.3f}"))
    body = exc.body(request_id)
    body["error"]["verdict"] = (
        exc.verdict.worst(Verdict.MAY_HAVE_RUN) if ran else Verdict.NOT_RUN
    ).value
    return status, tuple(headers), msgspec.json.encode(body)
