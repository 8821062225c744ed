"""Settings of an entry host, read from JSON with comments."""

from typing import Annotated

import msgspec

from radishshift.validation import read_commented_json, read_text_file, validated

__all__ = ["HostSettings", "load_settings", "read_settings"]

Positive = Annotated[float, msgspec.Meta(gt=0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="camel"):
    """Base class of the sections of the settings; keys are in camel case."""


class AddressSettings(Section, frozen=True):
    """IP address and ports on which the host listens; port 0 picks a free port."""

    ip: str = "127.0.0.1"
    caller_port: Port = 8080
    peer_port: Port = 8081
    metrics_port: Port = 8082


class PlatformSettings(Section, frozen=True):
    """Base URL of the platform's object API and the timeout of a call."""

    address: str
    call_timeout_s: Positive = 2.0


class PeerSettings(Section, frozen=True):
    """Communication with the other entry hosts.

    The key file holds the keys shared by all hosts, one per line; the first one signs.
    Without a key file the host has no peers. The seeds are addresses of peer ports that
    a host contacts when it knows no other host. `heartbeat_s` is the interval between
    heartbeats.
    """

    key_file: str = ""
    heartbeat_s: Positive = 2.0
    seeds: tuple[str, ...] = ()


class RatingSettings(Section, frozen=True):
    """Rating service; without an address no answer is scored.

    `fetch_s` is the interval at which late ratings are fetched.
    """

    address: str = ""
    score_timeout_s: Positive = 1.0
    fetch_s: Positive = 5.0


class ServerKeySettings(Section, frozen=True):
    """Key files of a server port; see `tls.KeyFiles`."""

    certificate_file: str
    key_file: str
    client_ca_file: str = ""


class ClientKeySettings(Section, frozen=True):
    """CA that verifies the server, and the client certificate to present to it."""

    ca_file: str
    certificate_file: str = ""
    key_file: str = ""


class TlsSettings(Section, frozen=True):
    """TLS by kind of connection; a kind without a section is not encrypted."""

    callers: ServerKeySettings | None = None
    peers: ServerKeySettings | None = None
    to_peers: ClientKeySettings | None = None
    to_platform: ClientKeySettings | None = None
    to_endpoints: ClientKeySettings | None = None


class BoundSettings(Section, frozen=True):
    """Upper bounds on the host's use of memory and connections.

    `answer_bytes` bounds one stored answer and `answers_bytes` all of them; `requests`
    bounds the requests in flight and `open_bills` the bills that are not yet settled.
    `memory_mb` is the memory of the process in MB, 0 for that of the machine.
    """

    body_bytes: PositiveCount = 4_000_000
    header_bytes: PositiveCount = 16_384
    answer_bytes: PositiveCount = 4_000_000
    answers_bytes: PositiveCount = 256_000_000
    connections: PositiveCount = 4_000
    requests: PositiveCount = 2_000
    open_bills: PositiveCount = 50_000
    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0


class TimeSettings(Section, frozen=True):
    """Timeouts, intervals and retention times, in seconds.

    `stop_s` is the longest wait for requests in flight during a stop, and `unready_s`
    the time that the load balancer has to notice that the host is leaving. Connecting
    to an endpoint may take `connect_s`. A stream that is silent for `stream_idle_s` is
    resumed on a new connection. An answer can be fetched again for `answer_kept_s`.
    Bills are settled every `bill_batch_s`, evidence on versions is published every
    `evidence_s`, and the roll-out guard runs every `guard_s`. Receiving a request may
    take `receive_s`, and a caller that does not read for `caller_stall_s` is
    disconnected. `deadline_max_s` bounds the deadline that a caller may set.
    """

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

    Settings hold durations; running code keeps the clock readings computed from them.
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
    """Parse and validate settings.

    Parameters
    ----------
    text : str
        JSON with comments.
    source : str
        Name of the source, which prefixes each reported problem.

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
