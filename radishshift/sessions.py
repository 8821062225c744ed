"""Signed session tokens, which pin a session to a model version.

A token is `base64(JSON).base64(HMAC-SHA256)`, so any host that has the key can verify
it without looking anything up.
"""

import base64
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from radishshift.errors import PlatformUnavailableError, SessionError

__all__ = ["Session", "SessionKey", "SessionKeys", "key_id_of"]

SESSION_DURATION_S = 3600.0
MAX_TOKEN_CHARS = 4_096
RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Session:
    """A customer's session and the version it is pinned to.

    Attributes
    ----------
    session_id, customer, version : str
    expires : float
        Instant at which the session expires.
    """

    session_id: str
    customer: str
    version: str
    expires: float


@dataclass(frozen=True, slots=True)
class SessionKey:
    """A key that signs tokens from `signs_from` on and verifies them at any time."""

    secret: bytes
    signs_from: float


class SessionKeys:
    """Keys that sign and verify session tokens.

    Parameters
    ----------
    keys : dict of str to SessionKey, optional
        The keys by key id.
    """

    def __init__(self, keys: dict[str, SessionKey] | None = None) -> None:
        self.keys = dict(keys or {})

    async def prepare(self, token: str) -> None:
        """Load the key that a token names if it is missing and can be loaded."""

    def issue(self, session: Session, now: float) -> str | None:
        """Return a signed token for a session, or None if no key may sign yet."""
        ready = [
            (key.signs_from, key_id)
            for key_id, key in self.keys.items()
            if key.signs_from <= now
        ]
        if not ready:
            return None
        _, key_id = max(ready)
        payload = msgspec.json.encode((key_id, session))
        return f"{_encode(payload)}.{_encode(self._sign(key_id, payload))}"

    def read(self, token: str, customer: str, now: float) -> Session:
        """Verify a token and return its session.

        Raises
        ------
        SessionError
            The token is malformed, forged, expired or another customer's.
        PlatformUnavailableError
            This host has no keys yet and cannot verify the token.
        """
        key_id, session, payload, signature = _parse(token)
        if not self.keys:
            raise PlatformUnavailableError(
                "this host has no session keys yet", retry_after_s=RETRY_AFTER_S
            )
        if key_id not in self.keys or not hmac.compare_digest(
            signature, self._sign(key_id, payload)
        ):
            raise SessionError("the session token has no valid signature")
        if session.customer != customer:
            raise SessionError("the session token was issued to another customer")
        if session.expires <= now:
            raise SessionError("the session token has expired")
        return session

    def _sign(self, key_id: str, payload: bytes) -> bytes:
        return hmac.digest(self.keys[key_id].secret, payload, hashlib.sha256)


def key_id_of(token: str) -> str:
    """Return the key id in an unverified token, or an empty string if malformed."""
    try:
        return _parse(token)[0]
    except SessionError:
        return ""


def _parse(token: str) -> tuple[str, Session, bytes, bytes]:
    if len(token) > MAX_TOKEN_CHARS:
        raise SessionError("the session token exceeds the maximum length")
    try:
        payload_text, _, signature_text = token.partition(".")
        payload = base64.urlsafe_b64decode(payload_text)
        signature = base64.urlsafe_b64decode(signature_text)
        key_id, session = msgspec.json.decode(payload, type=tuple[str, Session])
    except (ValueError, msgspec.DecodeError) as exc:
        raise SessionError("the session token is malformed") from exc
    return key_id, session, payload, signature


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode()
