"""Simulated model endpoints in virtual time.

They model continuous batching, limited KV cache memory and a prefix cache.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["FakeEngine", "FakeJob", "VirtualTime"]


class VirtualTime:
    """A clock and a queue of callbacks, run in order of their instants."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_number = 0

    def at(self, instant: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at an instant."""
        self._sequence_number += 1
        heapq.heappush(self._events, (instant, self._sequence_number, callback))

    def every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call a callback periodically, first after one period."""

        def run_periodically() -> None:
            callback()
            self.at(self.now + period_s, run_periodically)

        self.at(self.now + period_s, run_periodically)

    def run_until(self, end: float) -> None:
        """Run the callbacks that are due up to an instant."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end


@dataclass(slots=True, eq=False)
class FakeJob:
    """One attempt at an engine.

    Attributes
    ----------
    prompt_tokens, completion_tokens : int
    on_first_token : callable
        Called with the instant of the first token.
    on_done : callable
        Called with the instant of the end and whether the answer is complete.
    priority : int
        Jobs of a lower number are started first.
    prefix, prefix_tokens : int
        Identity and length of the prompt's shared prefix; a length of 0 means none.
    prefill_tokens_left, decode_tokens_left : int
    hit : bool
        Whether the prefix was cached when the job was started.
    cancelled : bool
        Set by the caller; the engine drops the job at its next step.
    """

    prompt_tokens: int
    completion_tokens: int
    on_first_token: Callable[[float], None]
    on_done: Callable[[float, bool], None]
    priority: int = 0
    prefix: int = 0
    prefix_tokens: int = 0
    prefill_tokens_left: int = 0
    decode_tokens_left: int = 0
    hit: bool = False
    cancelled: bool = False


class FakeEngine:
    """A simulated endpoint with continuous batching.

    Parameters
    ----------
    time : VirtualTime
    name : str
    max_batch_size : int
        Number of jobs that run at once.
    kv_tokens : int
        Capacity of the KV cache for running jobs, in tokens.
    cache_tokens : int
        Capacity of the prefix cache, in tokens.

    Attributes
    ----------
    base_s, per_answer_s, prefill_token_s : float
        Duration of a step, and what each running job and each prefilled token add.
    chunk_tokens : int
        Tokens that are prefilled in a step, over all jobs.
    slowdown : float
        Factor on the duration of steps.
    stopped : bool
    should_fail : callable
        Decides for each submitted job whether it fails.
    on_cache_change : callable
        Called with a prefix and whether it is cached now.
    """

    base_s = 0.018
    per_answer_s = 0.0006
    prefill_token_s = 0.00005
    chunk_tokens = 1024

    def __init__(
        self,
        time: VirtualTime,
        name: str,
        max_batch_size: int = 32,
        kv_tokens: int = 40_000,
        cache_tokens: int = 40_000,
    ) -> None:
        self.time = time
        self.name = name
        self.slowdown = 1.0
        self.stopped = False
        self.should_fail: Callable[[], bool] = lambda: False
        self.submitted_count = 0
        self.max_batch_size = max_batch_size
        self.running: list[FakeJob] = []
        self.waiting: dict[int, deque[FakeJob]] = {}
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.on_cache_change: Callable[[int, bool], None] = lambda prefix, cached: None
        self._kv_tokens = kv_tokens
        self._cache_tokens = cache_tokens
        self._kv_used = 0
        self._stepping = False

    @property
    def queued(self) -> int:
        """Return the number of jobs that have not been started."""
        return sum(len(queue) for queue in self.waiting.values())

    def submit(self, job: FakeJob) -> None:
        """Queue a job; if the engine refuses it, it fails 5 ms later."""
        self.submitted_count += 1
        if self.stopped or self.should_fail():
            self.time.at(
                self.time.now + 0.005, lambda: job.on_done(self.time.now, False)
            )
            return
        self.waiting.setdefault(job.priority, deque()).append(job)
        if not self._stepping:
            self._stepping = True
            self.time.at(self.time.now, self._step)

    def stop(self) -> None:
        """Stop the engine; running and waiting jobs fail."""
        self.stopped = True
        failed_jobs = self.running + [
            job for queue in self.waiting.values() for job in queue
        ]
        self.running = []
        self.waiting.clear()
        self._kv_used = 0
        for job in failed_jobs:
            job.on_done(self.time.now, False)

    def _admit(self) -> None:
        for priority in sorted(self.waiting):
            queue = self.waiting[priority]
            while queue and len(self.running) < self.max_batch_size:
                job = queue[0]
                if job.cancelled:
                    queue.popleft()
                    continue
                needed_tokens = job.prompt_tokens + job.completion_tokens
                if self._kv_used + needed_tokens > self._kv_tokens:
                    return
                queue.popleft()
                self._kv_used += needed_tokens
                self.running.append(job)
                job.decode_tokens_left = job.completion_tokens
                job.hit = job.prefix_tokens > 0 and job.prefix in self.cache
                cached_tokens = (
                    min(job.prefix_tokens, job.prompt_tokens) if job.hit else 0
                )
                job.prefill_tokens_left = max(1, job.prompt_tokens - cached_tokens)
                if job.prefix_tokens:
                    self._store_prefix(job.prefix, job.prefix_tokens)

    def _store_prefix(self, prefix: int, tokens: int) -> None:
        if prefix not in self.cache:
            self.on_cache_change(prefix, True)
        self.cache[prefix] = tokens
        self.cache.move_to_end(prefix)
        while sum(self.cache.values()) > self._cache_tokens:
            evicted, _ = self.cache.popitem(last=False)
            self.on_cache_change(evicted, False)

    def _step(self) -> None:
        if self.stopped:
            return
        self._admit()
        if not self.running:
            self._stepping = False
            return
        chunk_left = self.chunk_tokens
        first_token_jobs = []
        decoding_jobs = []
        for job in self.running:
            if job.prefill_tokens_left <= 0:
                decoding_jobs.append(job)
            elif chunk_left > 0:
                prefilled = min(chunk_left, job.prefill_tokens_left)
                job.prefill_tokens_left -= prefilled
                chunk_left -= prefilled
                if job.prefill_tokens_left <= 0:
                    first_token_jobs.append(job)
        step_s = self.base_s + self.per_answer_s * len(self.running)
        step_s += (self.chunk_tokens - chunk_left) * self.prefill_token_s
        end = self.time.now + step_s * self.slowdown
        self.time.at(end, lambda: self._finish_step(first_token_jobs, decoding_jobs))

    def _finish_step(
        self, first_token_jobs: list[FakeJob], decoding_jobs: list[FakeJob]
    ) -> None:
        if self.stopped:
            return
        now = self.time.now
        for job in first_token_jobs:
            job.decode_tokens_left -= 1
            job.on_first_token(now)
        for job in decoding_jobs:
            job.decode_tokens_left -= 1
        ended_jobs = [
            job
            for job in self.running
            if job.cancelled
            or (job.prefill_tokens_left <= 0 and job.decode_tokens_left <= 0)
        ]
        if ended_jobs:
            self.running = [job for job in self.running if job not in ended_jobs]
        for job in ended_jobs:
            self._kv_used -= job.prompt_tokens + job.completion_tokens
            job.on_done(now, not job.cancelled)
        self._step()
