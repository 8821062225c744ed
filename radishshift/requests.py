"""Validated requests of callers."""

import uuid
from dataclasses import dataclass, field
from typing import Any

import xxhash

from radishshift.contracts import Contract, TaskClass
from radishshift.observation import Observation

__all__ = ["ModelRequest", "ServiceCall", "new_request_id", "prefix_digest"]

PREFIX_DIGEST_BYTES = 1024
PROMPT_BYTES_PER_TOKEN = 4


def prefix_digest(prompt: bytes) -> int:
    """Return a hash of the prompt's prefix.

    Prompts with equal hashes can share a KV cache.
    """
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_DIGEST_BYTES])


def new_request_id() -> str:
    """Return a globally unique request id."""
    return uuid.uuid4().hex


@dataclass(slots=True, kw_only=True)
class ModelRequest:
    """A request to a model.

    Attributes
    ----------
    request_id : str
    contract : Contract
    task_class : TaskClass
    operation : str
        `chat/completions` or `completions`.
    model : str
        As the caller named it: a version, a model, or `auto`.
    body : dict
        JSON body as the caller sent it; lists and objects may be `msgspec.Raw`.
    body_bytes : bytes
    stream, include_usage : bool
    arrived, deadline : float
        Clock readings, in seconds.
    idempotency_key : str
        Empty if the caller gave none; the request then counts as idempotent.
    session_token : str
        Empty if the caller gave none.
    wants_session : bool
    observation : Observation
    fingerprint : str
        Customer and hash of the body; repetitions of a request have the same.
    """

    request_id: str
    contract: Contract
    task_class: TaskClass
    operation: str
    model: str
    body: dict[str, Any]
    body_bytes: bytes
    stream: bool
    include_usage: bool
    arrived: float
    deadline: float
    idempotency_key: str = ""
    session_token: str = ""
    wants_session: bool = False
    observation: Observation = field(default_factory=Observation)
    fingerprint: str = field(init=False)

    def __post_init__(self) -> None:
        digest = xxhash.xxh3_128_hexdigest(self.body_bytes)
        self.fingerprint = f"{self.contract.customer}:{digest}"

    @property
    def prompt_tokens_estimate(self) -> int:
        """Return an estimate of the prompt's length in tokens."""
        return max(1, len(self.body_bytes) // PROMPT_BYTES_PER_TOKEN)

    @property
    def completion_tokens_bound(self) -> int:
        """Return the caller's limit on completion tokens, or a default."""
        limit = self.body.get("max_completion_tokens") or self.body.get("max_tokens")
        # 256 tokens are assumed if the caller gave no limit.
        return limit if isinstance(limit, int) else 256


@dataclass(slots=True, kw_only=True)
class ServiceCall:
    """A call of a service that is not a model.

    Attributes
    ----------
    request_id : str
    contract : Contract
    task_class : TaskClass
    service : str
    method, path : str
        As sent to the service; `path` includes the query.
    headers : dict of str to str
        Headers that are forwarded to the service.
    body : bytes
    idempotent : bool
        Whether the catalogue lists the service as idempotent.
    arrived, deadline : float
        Clock readings, in seconds.
    idempotency_key : str
        Key given by the caller, or the request id.
    observation : Observation
    fingerprint : str
        Customer and hash of method, path and body; repetitions of a call have the same.
    """

    request_id: str
    contract: Contract
    task_class: TaskClass
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    arrived: float
    deadline: float
    idempotency_key: str
    observation: Observation = field(default_factory=Observation)
    fingerprint: str = field(init=False)

    def __post_init__(self) -> None:
        content = f"{self.method} {self.path} ".encode() + self.body
        digest = xxhash.xxh3_128_hexdigest(content)
        self.fingerprint = f"{self.contract.customer}:{digest}"
