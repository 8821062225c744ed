"""Bytes of callers' requests that an entry host holds at once.

Load pattern: many callers with large bodies at once, whose requests together pass the
bound on requests in flight, or the memory of a small machine, before any of them is
complete.
"""

__all__ = ["request_budget_bytes"]

MEGABYTE = 1_000_000
PROCESS_MB = 80.0
# A body as received, joined, decoded, and as sent to an endpoint.
COPIES = 4
DECODED_FACTOR = 24  # of the one body that is being checked; lists of empty objects
UNSENT_BYTES = 65_536  # of a connection


def request_budget_bytes(
    memory_mb: float,
    requests: int,
    request_bytes: int,
    answers_bytes: int,
    connections: int,
    header_bytes: int,
) -> float:
    """Return how many bytes of requests a host may hold.

    One request of full size always fits, and not more than `requests` of them.

    Parameters
    ----------
    memory_mb : float
        Memory of the process in MB.
    requests, connections : int
        Bounds on requests in flight and on callers' connections.
    request_bytes, answers_bytes, header_bytes : int
        Bounds on one request, on all stored answers, and on one head.
    """
    other_bytes = (
        MEGABYTE * PROCESS_MB
        + answers_bytes
        + connections * (header_bytes + UNSENT_BYTES)
        + DECODED_FACTOR * request_bytes
    )
    by_memory = (MEGABYTE * memory_mb - other_bytes) / COPIES
    return max(request_bytes, min(requests * request_bytes, by_memory))
