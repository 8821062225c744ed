"""Session tokens, which carry the version that a session keeps.

A token is `base64(JSON).base64(HMAC-SHA256)`, so that any host that has the key
can check it without a store.
"""

import base64
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from radishshift.errors import SessionError

__all__ = ["Session", "SessionKeys"]


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


class SessionKeys:
    """Keys that sign session tokens.

    Parameters
    ----------
    keys : dict of str to bytes
        By key id; the last one signs, all of them check.
    """

    def __init__(self, keys: dict[str, bytes]) -> None:
        self._keys = keys

    def issue(self, session: Session) -> str:
        """Return the token of a session."""
        key_id = list(self._keys)[-1]
        payload = msgspec.json.encode((key_id, session))
        return f"{_encode(payload)}.{_encode(self._sign(key_id, payload))}"

    def read(self, token: str, customer: str, now: float) -> Session:
        """Return the session of a token.

        Raises
        ------
        SessionError
            The token is forged, expired or another customer's.
        """
        try:
            payload_text, _, signature_text = token.partition(".")
            payload = base64.urlsafe_b64decode(payload_text)
            signature = base64.urlsafe_b64decode(signature_text)
            key_id, session = msgspec.json.decode(payload, type=tuple[str, Session])
        except (ValueError, msgspec.DecodeError) as exc:
            raise SessionError("the session token is malformed") from exc
        if key_id not in self._keys or not hmac.compare_digest(
            signature, self._sign(key_id, payload)
        ):
            raise SessionError("the session token is not ours")
        if session.customer != customer:
            raise SessionError("the session is another customer's")
        if session.expires <= now:
            raise SessionError("the session has expired")
        return session

    def _sign(self, key_id: str, payload: bytes) -> bytes:
        return hmac.digest(self._keys[key_id], payload, hashlib.sha256)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode()
