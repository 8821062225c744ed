"""Exceptions of the project, each with a code, an HTTP status and a verdict.

A caller gets an error as JSON in the format of the OpenAI API, with the additional
fields `verdict` and `request_id`.
"""

from collections.abc import Iterator
from typing import Any, ClassVar

from radishshift.verdicts import Verdict

__all__ = [
    "AlreadyExistsError",
    "AnswerTooLargeError",
    "AuthenticationError",
    "BadRequestError",
    "BillsFullError",
    "CallerDisconnectedError",
    "ConflictError",
    "DeadlineError",
    "EndlessAnswerError",
    "EndpointCrashedError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointUnreachableError",
    "GoneError",
    "HeadersTooLargeError",
    "HelperUnavailableError",
    "InProgressError",
    "InternalError",
    "KeyReusedError",
    "LimitError",
    "LostRaceError",
    "NoConfigurationError",
    "NoEndpointError",
    "NotAllowedError",
    "NotFoundError",
    "OverloadedError",
    "PatchError",
    "PlatformUnavailableError",
    "PoisonError",
    "PoisonSuspectError",
    "RadishshiftError",
    "RequestTimeoutError",
    "ResultLostError",
    "ResumeRefusedError",
    "SessionError",
    "SettingsError",
    "ShuttingDownError",
    "StreamBrokenError",
    "StreamStalledError",
    "TooLargeError",
    "UnreadableObjectError",
    "WithdrawnError",
    "rebuild_error",
]


class RadishshiftError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    message : str
        Human-readable text; it contains neither keys nor prompt text.
    verdict : Verdict, optional
        Whether the request may have run; `default_verdict` of the class if omitted.
    retry_after_s : float, optional
        Time after which a retry makes sense, in seconds.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    kind: ClassVar[str] = "server_error"
    default_verdict: ClassVar[Verdict] = Verdict.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.verdict = self.default_verdict if verdict is None else verdict
        self.retry_after_s = retry_after_s

    def body(self, request_id: str | None = None) -> dict[str, Any]:
        """Return the JSON object that a caller gets."""
        error = {
            "message": self.message,
            "type": self.kind,
            "param": None,
            "code": self.code,
            "verdict": self.verdict.value,
        }
        if request_id is not None:
            error["request_id"] = request_id
        if self.retry_after_s is not None:
            error["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": error}


class InternalError(RadishshiftError):
    """An internal error of the entry host."""

    default_verdict = Verdict.MAY_HAVE_RUN


class BadRequestError(RadishshiftError):
    """The request is malformed."""

    code = "bad-request"
    status = 400
    kind = "invalid_request_error"


class TooLargeError(RadishshiftError):
    """The request, or its answer, exceeds a size limit of the settings."""

    code = "too-large"
    status = 413
    kind = "invalid_request_error"


class HeadersTooLargeError(TooLargeError):
    """The request line or the headers exceed a size limit of the settings."""

    code = "headers-too-large"
    status = 431


class RequestTimeoutError(RadishshiftError):
    """The request did not arrive completely in its time."""

    code = "request-timeout"
    status = 408
    kind = "invalid_request_error"


class AnswerTooLargeError(RadishshiftError):
    """The answer, or all stored answers together, exceed a size limit."""

    code = "answer-too-large"
    status = 502
    default_verdict = Verdict.RAN


class KeyReusedError(BadRequestError):
    """The idempotency key or request id was already used for another request."""

    code = "key-reused"
    status = 422


class AuthenticationError(RadishshiftError):
    """The API key is missing or belongs to no customer."""

    code = "bad-key"
    status = 401
    kind = "authentication_error"


class NotAllowedError(RadishshiftError):
    """The customer's contract does not allow the request."""

    code = "not-allowed"
    status = 403
    kind = "permission_error"


class NotFoundError(RadishshiftError):
    """The model, service, answer or object does not exist."""

    code = "not-found"
    status = 404
    kind = "invalid_request_error"


class AlreadyExistsError(RadishshiftError):
    """An object of the same kind and name already exists."""

    code = "already-exists"
    status = 409
    kind = "invalid_request_error"


class ConflictError(RadishshiftError):
    """An object has changed since it was read."""

    code = "conflict"
    status = 409
    kind = "invalid_request_error"


class LostRaceError(RadishshiftError):
    """An operator's write conflicts with an earlier write of someone else.

    Parameters
    ----------
    message : str
    writer : str
        Author of the earlier write.
    changes : list of str
        Differences between the two writes, by key.
    """

    code = "lost-race"
    status = 409
    kind = "invalid_request_error"

    def __init__(self, message: str, writer: str, changes: list[str]) -> None:
        super().__init__(message)
        self.writer = writer
        self.changes = changes


class InProgressError(RadishshiftError):
    """The same non-idempotent request is still running."""

    code = "in-progress"
    status = 409
    kind = "invalid_request_error"
    default_verdict = Verdict.MAY_HAVE_RUN


class ResultLostError(RadishshiftError):
    """A request ran, or may have run, and its answer is no longer available."""

    code = "result-lost"
    status = 409
    kind = "invalid_request_error"
    default_verdict = Verdict.MAY_HAVE_RUN


class GoneError(RadishshiftError):
    """A watch requested a revision that the platform no longer stores."""

    code = "gone"
    status = 410


class WithdrawnError(RadishshiftError):
    """The version that the request or its session names was withdrawn."""

    code = "withdrawn"
    status = 410
    kind = "invalid_request_error"


class SessionError(RadishshiftError):
    """A session token is forged, expired or belongs to another customer."""

    code = "bad-session"
    status = 400
    kind = "invalid_request_error"


class PoisonError(RadishshiftError):
    """The request crashed two endpoints and is not run again."""

    code = "poison"
    status = 422
    kind = "invalid_request_error"


class PoisonSuspectError(PoisonError):
    """The request is suspected of having crashed endpoints; it was not sent."""

    code = "poison-held"
    status = 503


class LimitError(RadishshiftError):
    """The customer exceeded one of its limits."""

    code = "over-limit"
    status = 429
    kind = "rate_limit_error"


class OverloadedError(RadishshiftError):
    """The request could not be served before its deadline at the current load."""

    code = "overloaded"
    status = 503


class NoEndpointError(RadishshiftError):
    """No reachable endpoint can accept the request."""

    code = "no-endpoint"
    status = 503


class NoConfigurationError(RadishshiftError):
    """The host has no configuration yet."""

    code = "no-configuration"
    status = 503


class ShuttingDownError(RadishshiftError):
    """The entry host is shutting down and accepts no new requests."""

    code = "shutting-down"
    status = 503


class BillsFullError(RadishshiftError):
    """The limit of unsettled bills is reached; no billable request is accepted."""

    code = "bills-full"
    status = 503


class PlatformUnavailableError(RadishshiftError):
    """The platform is unavailable.

    See `verdict` for whether a write may have taken effect.
    """

    code = "platform-unavailable"
    status = 503


class EndpointError(RadishshiftError):
    """An endpoint failed an attempt."""

    code = "endpoint-failed"
    status = 502
    default_verdict = Verdict.MAY_HAVE_RUN


class EndpointCrashedError(EndpointError):
    """The connection to an endpoint failed during an attempt, as after a crash."""

    code = "endpoint-crashed"


class EndpointUnreachableError(EndpointError):
    """No connection to the endpoint could be opened; nothing was sent."""

    code = "endpoint-unreachable"
    default_verdict = Verdict.NOT_RUN


class HelperUnavailableError(EndpointUnreachableError):
    """A peer that was to relay an attempt could not be reached, or declined it."""

    code = "helper-unavailable"


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it did not run the request."""

    code = "endpoint-refused"
    status = 503
    default_verdict = Verdict.NOT_RUN


class EndpointReplacedError(EndpointRefusedError):
    """The address now belongs to another endpoint."""

    code = "endpoint-replaced"


class StreamBrokenError(EndpointError):
    """A stream stalled, failed, or contained invalid or foreign events.

    What the endpoint has generated can be fetched over a new connection.
    """

    code = "stream-broken"


class StreamStalledError(StreamBrokenError):
    """A connection was idle for too long; its endpoint may still be alive."""


class EndlessAnswerError(StreamBrokenError):
    """An endpoint sent more bytes than an answer may have; it has not crashed."""

    code = "endless-answer"


class ForeignAnswerError(StreamBrokenError):
    """What came on the connection is no answer to the attempt, which may have run."""

    code = "foreign-answer"


class ResumeRefusedError(EndpointError):
    """An endpoint cannot resume a stream after its connection failed."""

    code = "resume-refused"


class DeadlineError(RadishshiftError):
    """The request's deadline has passed."""

    code = "deadline"
    status = 504
    default_verdict = Verdict.MAY_HAVE_RUN


class CallerDisconnectedError(RadishshiftError):
    """The caller disconnected, and the answer is not kept for a later fetch."""

    code = "hung-up"
    status = 499
    default_verdict = Verdict.MAY_HAVE_RUN


class PatchError(RadishshiftError):
    """A patch of an object does not lead to the state that it was made for."""

    code = "patch-mismatch"


class UnreadableObjectError(RadishshiftError):
    """A platform object lacks a field or has a field of the wrong type."""

    code = "unreadable-object"


class SettingsError(RadishshiftError):
    """Settings or a manifest are invalid.

    Parameters
    ----------
    problems : list of str
        Each with the key path that it concerns.
    """

    code = "bad-settings"
    status = 400
    kind = "invalid_request_error"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def rebuild_error(values: dict[str, Any]) -> RadishshiftError:
    """Return the error that another host sent.

    Parameters
    ----------
    values : dict
        The `error` object of `RadishshiftError.body`.
    """
    classes_by_code = {cls.code: cls for cls in _subclasses(RadishshiftError)}
    cls = classes_by_code.get(str(values.get("code")), InternalError)
    if cls is SettingsError:
        cls = InternalError
    return cls(
        str(values.get("message")),
        verdict=Verdict(values.get("verdict", Verdict.MAY_HAVE_RUN)),
        retry_after_s=values.get("retry_after_s"),
    )


def _subclasses(base: type[RadishshiftError]) -> Iterator[type[RadishshiftError]]:
    """Yield the classes derived from one, the nearest to it last.

    A class without a code of its own is left to the one that it shares the code with.
    """
    for cls in base.__subclasses__():
        yield from _subclasses(cls)
        yield cls
