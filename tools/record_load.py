"""Converts the log of a simulated day to a load for the `replay` experiment.

    python tools/record_load.py LOG > examples/loads/NAME.jsonl

LOG holds lines `SECONDS HOST {JSON}`, as `fleetbench run --log all` prints them. Each
answered stream gives one line of output: its arrival time, its host and route by
number, and the tokens of its prompt and answer.
"""

import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

END_OF_REQUEST_MESSAGE = '"request ended"'
TOKENS_PER_EVENT = 5  # in the streams of the engines in the recorded days


def streams(lines: Iterable[str]) -> Iterator[tuple[float, str, dict[str, Any]]]:
    """Yield the arrival time, host and parsed log line of each stream."""
    for line in lines:
        if END_OF_REQUEST_MESSAGE not in line:
            continue
        seconds, host, text = line.split(maxsplit=2)
        entry = msgspec.json.decode(text)
        if entry.get("prompt_tokens") and entry.get("events"):
            yield float(seconds) - entry["took_s"], host, entry


def load(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a load, in the order of arrival."""
    hosts: dict[str, int] = {}
    routes: dict[str, int] = {}
    for arrived_at_s, host, entry in sorted(streams(lines), key=lambda row: row[0]):
        yield {
            "at_s": round(arrived_at_s, 3),
            "host": hosts.setdefault(host, len(hosts)),
            "route": routes.setdefault(entry["route"], len(routes)),
            "prompt_tokens": entry["prompt_tokens"],
            "answer_tokens": TOKENS_PER_EVENT * entry["events"],
        }


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        for row in load(file):
            print(msgspec.json.encode(row).decode())
