"""Exceptions of the project, each with a code, a status and a verdict.

A caller sees an error as JSON in the shape of the OpenAI API, with two more
fields: `verdict` and `request_id`.
"""

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
    "EndpointCrashedError",
    "EndpointError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointUnreachableError",
    "GoneError",
    "HeadersTooLargeError",
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
    "PlatformUnavailableError",
    "PoisonError",
    "PoisonSuspectError",
    "RadishshiftError",
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
    """Base of all errors.

    Parameters
    ----------
    message : str
        For a person to read; holds neither keys nor prompt text.
    verdict : Verdict, optional
        Whether the request may have run; the class gives the usual one.
    retry_after_s : float, optional
        Seconds after which it makes sense to come back.
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
    """A fault of the entry host itself."""

    default_verdict = Verdict.MAY_HAVE_RUN


class BadRequestError(RadishshiftError):
    """The request is malformed."""

    code = "bad-request"
    status = 400
    kind = "invalid_request_error"


class TooLargeError(RadishshiftError):
    """The request, or its answer, is over a size that the settings bound."""

    code = "too-large"
    status = 413
    kind = "invalid_request_error"


class HeadersTooLargeError(TooLargeError):
    """The request line or the headers are over a size that the settings bound."""

    code = "headers-too-large"
    status = 431


class AnswerTooLargeError(RadishshiftError):
    """The answer, or all answers held, are over a size that the settings bound."""

    code = "answer-too-large"
    status = 502
    default_verdict = Verdict.RAN


class KeyReusedError(BadRequestError):
    """The idempotency key, or the request id, was used for another request."""

    code = "key-reused"
    status = 422


class AuthenticationError(RadishshiftError):
    """The key is missing or belongs to no customer."""

    code = "bad-key"
    status = 401
    kind = "authentication_error"


class NotAllowedError(RadishshiftError):
    """The customer's contract does not allow what was asked for."""

    code = "not-allowed"
    status = 403
    kind = "permission_error"


class NotFoundError(RadishshiftError):
    """There is no such model, service, answer or object."""

    code = "not-found"
    status = 404
    kind = "invalid_request_error"


class AlreadyExistsError(RadishshiftError):
    """An object of that kind and name is there already."""

    code = "already-exists"
    status = 409
    kind = "invalid_request_error"


class ConflictError(RadishshiftError):
    """An object has changed since it was read."""

    code = "conflict"
    status = 409
    kind = "invalid_request_error"


class LostRaceError(RadishshiftError):
    """An operator's write came after someone else's.

    Parameters
    ----------
    message : str
    writer : str
        Who wrote first.
    changes : list of str
        How the two differ, key by key.
    """

    code = "lost-race"
    status = 409
    kind = "invalid_request_error"

    def __init__(self, message: str, writer: str, changes: list[str]) -> None:
        super().__init__(message)
        self.writer = writer
        self.changes = changes


class InProgressError(RadishshiftError):
    """The same non-idempotent request is running now."""

    code = "in-progress"
    status = 409
    kind = "invalid_request_error"
    default_verdict = Verdict.MAY_HAVE_RUN


class ResultLostError(RadishshiftError):
    """A request has run, or may have, and its answer cannot be had any more."""

    code = "result-lost"
    status = 409
    kind = "invalid_request_error"
    default_verdict = Verdict.MAY_HAVE_RUN


class GoneError(RadishshiftError):
    """A watch asked for a revision that the platform no longer holds."""

    code = "gone"
    status = 410


class WithdrawnError(RadishshiftError):
    """The version that the request or its session names is withdrawn."""

    code = "withdrawn"
    status = 410
    kind = "invalid_request_error"


class SessionError(RadishshiftError):
    """A session token is forged, expired or another customer's."""

    code = "bad-session"
    status = 400
    kind = "invalid_request_error"


class PoisonError(RadishshiftError):
    """The request has crashed two endpoints and is not run again."""

    code = "poison"
    status = 422
    kind = "invalid_request_error"


class PoisonSuspectError(PoisonError):
    """A request that has crashed endpoints is held back; it has not run."""

    code = "poison-held"
    status = 503


class LimitError(RadishshiftError):
    """The customer is over one of its limits."""

    code = "over-limit"
    status = 429
    kind = "rate_limit_error"


class OverloadedError(RadishshiftError):
    """The request could not be served before its deadline at this load."""

    code = "overloaded"
    status = 503


class NoEndpointError(RadishshiftError):
    """No endpoint in reach can take the request."""

    code = "no-endpoint"
    status = 503


class NoConfigurationError(RadishshiftError):
    """The host has no configuration yet."""

    code = "no-configuration"
    status = 503


class ShuttingDownError(RadishshiftError):
    """The entry host is leaving and takes no new work."""

    code = "shutting-down"
    status = 503


class BillsFullError(RadishshiftError):
    """Unsettled bills fill their bound; no work that must be billed is taken."""

    code = "bills-full"
    status = 503


class PlatformUnavailableError(RadishshiftError):
    """The platform gave no answer; a write may have taken effect."""

    code = "platform-unavailable"
    status = 503


class EndpointError(RadishshiftError):
    """An endpoint failed an attempt."""

    code = "endpoint-failed"
    status = 502
    default_verdict = Verdict.MAY_HAVE_RUN


class EndpointCrashedError(EndpointError):
    """An endpoint broke an attempt off as one does that crashes."""

    code = "endpoint-crashed"


class EndpointUnreachableError(EndpointError):
    """No connection to the endpoint could be opened; nothing was sent."""

    code = "endpoint-unreachable"
    default_verdict = Verdict.NOT_RUN


class EndpointRefusedError(EndpointError):
    """The endpoint said that it did not run the request."""

    code = "endpoint-refused"
    status = 503
    default_verdict = Verdict.NOT_RUN


class EndpointReplacedError(EndpointRefusedError):
    """Another endpoint has the address now."""

    code = "endpoint-replaced"


class StreamBrokenError(EndpointError):
    """A stream went silent, broke, or held what is not its own.

    What an endpoint has generated can be had over a new connection.
    """

    code = "stream-broken"


class StreamStalledError(StreamBrokenError):
    """A connection went silent; its endpoint may well be alive."""


class ResumeRefusedError(EndpointError):
    """An endpoint does not go on with a stream that broke."""

    code = "resume-refused"


class DeadlineError(RadishshiftError):
    """The request's deadline has passed."""

    code = "deadline"
    status = 504
    default_verdict = Verdict.MAY_HAVE_RUN


class CallerDisconnectedError(RadishshiftError):
    """The caller hung up, and no one is to come back for the answer."""

    code = "hung-up"
    status = 499
    default_verdict = Verdict.MAY_HAVE_RUN


class UnreadableObjectError(RadishshiftError):
    """An object of the platform lacks a field or holds one of another type."""

    code = "unreadable-object"


class SettingsError(RadishshiftError):
    """Settings or a manifest are wrong.

    Parameters
    ----------
    problems : list of str
        Each with the key path it is about.
    """

    code = "bad-settings"
    status = 400
    kind = "invalid_request_error"

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


def rebuild_error(values: dict[str, Any]) -> RadishshiftError:
    """Return the error that another host described.

    Parameters
    ----------
    values : dict
        The `error` object of `RadishshiftError.body`.
    """
    kinds = {cls.code: cls for cls in RadishshiftError.__subclasses__()}
    for cls in list(kinds.values()):
        kinds |= {sub.code: sub for sub in cls.__subclasses__()}
    cls = kinds.get(str(values.get("code")), InternalError)
    if cls is SettingsError:
        cls = InternalError
    return cls(
        str(values.get("message")),
        verdict=Verdict(values.get("verdict", Verdict.MAY_HAVE_RUN)),
        retry_after_s=values.get("retry_after_s"),
    )
