"""Format and authentication of the messages between entry hosts.

A heartbeat is a POST of `[name, data centre, incarnation, sections]` in JSON; the reply
is a heartbeat of the receiver. Each message is signed with a header `P` that holds the
sender, the time in milliseconds and a message authentication code (MAC). The MAC of a
reply also covers the signature of its request, so that a reply to one request can't be
used as the reply to another.
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
MAC_BYTES = 15
MAX_CLOCK_SKEW_S = 300.0
MIN_KEY_LENGTH = 16


class PeerAuthenticationError(RadishshiftError):
    """A message is not signed with a valid peer key, or its time is too far off."""

    code = "bad-peer-key"
    status = 401
    kind = "authentication_error"


class Heartbeat(msgspec.Struct, array_like=True):
    """State that two hosts exchange at regular intervals."""

    name: str
    data_centre: str
    incarnation: int
    sections: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """Secret keys that all entry hosts share.

    Attributes
    ----------
    keys : tuple of bytes
        Messages are signed with the first key and accepted with any, so that keys can
        be rotated while hosts are running.
    """

    keys: tuple[bytes, ...]

    def __repr__(self) -> str:
        return f"PeerKeys({len(self.keys)} keys)"

    def sign(self, sender: str, context: str, body: bytes, now: float) -> str:
        """Return the signature header of a message.

        Parameters
        ----------
        sender : str
        context : str
            Receiver and path of a request; for a reply, the signature header of its
            request.
        body : bytes
        now : float
        """
        prefix = f"{sender} {int(now * 1000)}"
        return f"{prefix} {_mac(self.keys[0], prefix, context, body)}"

    def verify(self, signature: str, context: str, body: bytes, now: float) -> str:
        """Check the signature header of a message and return its sender.

        Raises
        ------
        PeerAuthenticationError
        """
        prefix, _, mac = signature.rpartition(" ")
        sender, _, sent_at_ms = prefix.rpartition(" ")
        expected_macs = (_mac(key, prefix, context, body) for key in self.keys)
        received = mac.encode()
        if not any(
            hmac.compare_digest(received, expected.encode())
            for expected in expected_macs
        ):
            raise PeerAuthenticationError(
                "the message is not signed with a known peer key"
            )
        if abs(now - int(sent_at_ms) / 1000) > MAX_CLOCK_SKEW_S:
            raise PeerAuthenticationError(
                "the time of the message is too far from this host's clock"
            )
        return sender


def _mac(key: bytes, prefix: str, context: str, body: bytes) -> str:
    digest = hmac.new(key, f"{prefix}\n{context}\n".encode(), hashlib.sha256)
    digest.update(body)
    return base64.b64encode(digest.digest()[:MAC_BYTES]).decode()


def load_peer_keys(path: str) -> PeerKeys:
    """Read peer keys from a file with one key a line.

    Raises
    ------
    SettingsError
    """
    try:
        lines = Path(path).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([f"peers.keyFile: {exc}"]) from exc
    if not lines or any(len(line) < MIN_KEY_LENGTH for line in lines):
        raise SettingsError(
            [f"peers.keyFile: needs a key of {MIN_KEY_LENGTH}+ characters on each line"]
        )
    return PeerKeys(tuple(line.encode() for line in lines))
