"""Settings of an entry host, read from JSON with comments."""

from typing import Annotated

import msgspec

from radishshift.validation import read_commented_json, read_text_file, validated

__all__ = ["HostSettings", "load_settings", "read_settings"]

Positive = Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="camel"):
    """Base of the parts of the settings."""


class AddressSettings(Section, frozen=True):
    """Where the host listens; port 0 takes any free one."""

    ip: str = "127.0.0.1"
    caller_port: Port = 8080
    peer_port: Port = 8081
    metrics_port: Port = 8082


class PlatformSettings(Section, frozen=True):
    """Where the platform's object API is, and how long a call may take."""

    address: str
    call_timeout_s: Positive = 2.0


class PeerSettings(Section, frozen=True):
    """How the host meets the other entry hosts.

    The key file holds the keys that all hosts share, one a line, the first to sign
    with; without it the host acts alone. The seeds are addresses of peer ports that
    a host asks when it knows no other.
    """

    key_file: str = ""
    heartbeat_s: Positive = 2.0
    seeds: tuple[str, ...] = ()


class RatingSettings(Section, frozen=True):
    """Where the rating service is; without an address no answer is judged."""

    address: str = ""
    score_timeout_s: Positive = 1.0
    fetch_s: Positive = 5.0


class ServerKeySettings(Section, frozen=True):
    """Key of a port that listens; see `tls.KeyFiles`."""

    certificate_file: str
    key_file: str
    client_ca_file: str = ""


class ClientKeySettings(Section, frozen=True):
    """How the other end of a connection is checked, and what we show it."""

    ca_file: str
    certificate_file: str = ""
    key_file: str = ""


class TlsSettings(Section, frozen=True):
    """TLS by kind of connection; without a part, those connections are plain."""

    callers: ServerKeySettings | None = None
    peers: ServerKeySettings | None = None
    to_peers: ClientKeySettings | None = None
    to_platform: ClientKeySettings | None = None
    to_endpoints: ClientKeySettings | None = None


class BoundSettings(Section, frozen=True):
    """Bounds on what the host holds."""

    body_bytes: PositiveCount = 4_000_000
    header_bytes: PositiveCount = 16_384
    answer_bytes: PositiveCount = 4_000_000
    answers_bytes: PositiveCount = 256_000_000
    connections: PositiveCount = 4_000
    requests: PositiveCount = 2_000
    open_bills: PositiveCount = 50_000


class TimeSettings(Section, frozen=True):
    """Times the host keeps, in seconds."""

    stop_s: Positive = 30.0
    unready_s: Positive = 2.0
    stream_idle_s: Positive = 5.0
    connect_s: Positive = 1.0
    answer_kept_s: Positive = 600.0
    bill_batch_s: Positive = 1.0
    evidence_s: Positive = 60.0
    guard_s: Positive = 1.0
    receive_s: Positive = 10.0
    caller_stall_s: Positive = 10.0
    deadline_max_s: Positive = 3600.0


class HostSettings(Section, frozen=True, kw_only=True):
    """All settings of a host.

    A duration here is a setting; what runs keeps the instants made from it.
    """

    name: str
    data_centre: str
    region: str
    platform: PlatformSettings
    address: AddressSettings = AddressSettings()
    peers: PeerSettings = PeerSettings()
    ratings: RatingSettings = RatingSettings()
    tls: TlsSettings = TlsSettings()
    bounds: BoundSettings = BoundSettings()
    times: TimeSettings = TimeSettings()


def read_settings(text: str, source: str = "settings") -> HostSettings:
    """Validate settings.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        Name to put before each problem.

    Raises
    ------
    SettingsError
    """
    return validated(read_commented_json(text, source), HostSettings, source)


def load_settings(path: str) -> HostSettings:
    """Read settings from a file.

    Raises
    ------
    SettingsError
    """
    return read_settings(read_text_file(path), path)
