"""Messages between entry hosts: their form and their authentication.

A heartbeat is a POST of `[name, data centre, incarnation, sections]` in JSON and is
answered by another. Each message carries one header, `P`, of the sender, the
instant in milliseconds and a message authentication code; a reply's code also covers
the code of its request, so that it can't be taken for another's.
"""

import base64
import hashlib
import hmac
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from radishshift.errors import RadishshiftError, SettingsError

__all__ = [
    "SIGNATURE_HEADER",
    "Heartbeat",
    "PeerAuthenticationError",
    "PeerKeys",
    "load_peer_keys",
]

SIGNATURE_HEADER = "P"
CODE_BYTES = 15
CLOCK_SKEW_S = 300.0
KEY_LENGTH = 16


class PeerAuthenticationError(RadishshiftError):
    """A message does not come from a host that holds a peer key."""

    code = "bad-peer-key"
    status = 401
    kind = "authentication_error"


class Heartbeat(msgspec.Struct, array_like=True):
    """What two hosts tell each other regularly."""

    name: str
    data_centre: str
    incarnation: int
    sections: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """Keys that the hosts share.

    Attributes
    ----------
    keys : tuple of bytes
        The first signs; all are accepted, so that keys can be replaced in turn.
    """

    keys: tuple[bytes, ...]

    def __repr__(self) -> str:
        return f"PeerKeys({len(self.keys)} keys)"

    def sign(self, sender: str, context: str, body: bytes, now: float) -> str:
        """Return the header of a message.

        Parameters
        ----------
        sender : str
        context : str
            Receiver and path, or the header of the request for a reply.
        body : bytes
        now : float
        """
        start = f"{sender} {int(now * 1000)}"
        return f"{start} {_code(self.keys[0], start, context, body)}"

    def verify(self, proof: str, context: str, body: bytes, now: float) -> str:
        """Return the sender of a message.

        Raises
        ------
        PeerAuthenticationError
        """
        start, _, code = proof.rpartition(" ")
        sender, _, stamp = start.rpartition(" ")
        codes = (_code(key, start, context, body) for key in self.keys)
        given = code.encode()
        if not any(hmac.compare_digest(given, known.encode()) for known in codes):
            raise PeerAuthenticationError("the message is not from a peer")
        if abs(now - int(stamp) / 1000) > CLOCK_SKEW_S:
            raise PeerAuthenticationError("the message is too old or too new")
        return sender


def _code(key: bytes, start: str, context: str, body: bytes) -> str:
    digest = hmac.new(key, f"{start}\n{context}\n".encode(), hashlib.sha256)
    digest.update(body)
    return base64.b64encode(digest.digest()[:CODE_BYTES]).decode()


def load_peer_keys(path: str) -> PeerKeys:
    """Read peer keys, one a line.

    Raises
    ------
    SettingsError
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"peers.keyFile: {exc}"]) from exc
    if not lines or any(len(line) < KEY_LENGTH for line in lines):
        raise SettingsError(
            [f"peers.keyFile: a key of {KEY_LENGTH} characters or more on each line"]
        )
    return PeerKeys(tuple(line.encode() for line in lines))
