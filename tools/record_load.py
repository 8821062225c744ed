"""Turns the logs of a played day into a load that `replay` plays again.

    python tools/record_load.py LOG > examples/loads/NAME.jsonl

LOG holds lines `SECONDS HOST {JSON}`, as `fleetbench run --log all` prints them. One
line comes out for each stream that was answered: when it came, at which host, the route
by number, and the tokens of its prompt and answer.
"""

import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

MESSAGE = '"request ended"'
TOKENS_PER_EVENT = 5  # as the engines of the recorded days send them


def streams(lines: Iterable[str]) -> Iterator[tuple[float, str, dict[str, Any]]]:
    """Yield the instant of arrival, host and log line of each stream."""
    for line in lines:
        if MESSAGE not in line:
            continue
        seconds, host, text = line.split(maxsplit=2)
        said = msgspec.json.decode(text)
        if said.get("prompt_tokens") and said.get("events"):
            yield float(seconds) - said["took_s"], host, said


def load(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a load, in the order in which requests came."""
    hosts: dict[str, int] = {}
    routes: dict[str, int] = {}
    for at, host, said in sorted(streams(lines), key=lambda row: row[0]):
        yield {
            "at_s": round(at, 3),
            "host": hosts.setdefault(host, len(hosts)),
            "route": routes.setdefault(said["route"], len(routes)),
            "prompt_tokens": said["prompt_tokens"],
            "answer_tokens": TOKENS_PER_EVENT * said["events"],
        }


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        for row in load(file):
            print(msgspec.json.encode(row).decode())
