"""Session tokens, which carry the version that a session keeps.

A token is `base64(JSON).base64(HMAC-SHA256)`, so that any host that has the key
can check it without a store.
"""

import base64
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from radishshift.errors import PlatformUnavailableError, SessionError

__all__ = ["Session", "SessionKey", "SessionKeys", "key_id_of"]

SESSION_DURATION_S = 3600.0
TOKEN_CHARS_MAX = 4_096
RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Session:
    """A customer's session and the version it keeps.

    Attributes
    ----------
    session_id, customer, version : str
    expires : float
        Instant.
    """

    session_id: str
    customer: str
    version: str
    expires: float


@dataclass(frozen=True, slots=True)
class SessionKey:
    """A key; it signs from an instant on, and checks tokens at any time."""

    secret: bytes
    signs_from: float


class SessionKeys:
    """Keys that sign and check session tokens.

    Parameters
    ----------
    keys : dict of str to SessionKey, optional
        By key id.
    """

    def __init__(self, keys: dict[str, SessionKey] | None = None) -> None:
        self.keys = dict(keys or {})

    async def prepare(self, token: str) -> None:
        """Make sure of the key that a token names, if that can be done."""

    def issue(self, session: Session, now: float) -> str | None:
        """Return the token of a session, or None while there is no key."""
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
        """Return the session of a token.

        Raises
        ------
        SessionError
            The token is forged, expired or another customer's.
        PlatformUnavailableError
            This host has no keys yet and can't tell.
        """
        key_id, session, payload, signature = _parse(token)
        if not self.keys:
            raise PlatformUnavailableError(
                "this host has no session keys yet", retry_after_s=RETRY_AFTER_S
            )
        if key_id not in self.keys or not hmac.compare_digest(
            signature, self._sign(key_id, payload)
        ):
            raise SessionError("the session token is not ours")
        if session.customer != customer:
            raise SessionError("the session is another customer's")
        if session.expires <= now:
            raise SessionError("the session has expired")
        return session

    def _sign(self, key_id: str, payload: bytes) -> bytes:
        return hmac.digest(self.keys[key_id].secret, payload, hashlib.sha256)


def key_id_of(token: str) -> str:
    """Return the key id that a token names, or an empty one if it is malformed."""
    try:
        return _parse(token)[0]
    except SessionError:
        return ""


def _parse(token: str) -> tuple[str, Session, bytes, bytes]:
    if len(token) > TOKEN_CHARS_MAX:
        raise SessionError("the session token is too long")
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
