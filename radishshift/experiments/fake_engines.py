"""Model endpoints in virtual time: batches, a KV bound and a prefix cache."""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["FakeEngine", "FakeJob", "VirtualTime"]


class VirtualTime:
    """Events in order of their instants."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def at(self, instant: float, act: Callable[[], None]) -> None:
        """Do something at an instant."""
        self._number += 1
        heapq.heappush(self._events, (instant, self._number, act))

    def every(self, period_s: float, act: Callable[[], None]) -> None:
        """Do something again and again."""

        def again() -> None:
            act()
            self.at(self.now + period_s, again)

        self.at(self.now + period_s, again)

    def run_until(self, end: float) -> None:
        """Carry out what is due up to an instant."""
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end


@dataclass(slots=True, eq=False)
class FakeJob:
    """One attempt at an engine.

    `first` is called with the instant of the first token, `done` with that of the
    end and whether the answer is whole.
    """

    prompt: int
    completion: int
    first: Callable[[float], None]
    done: Callable[[float, bool], None]
    priority: int = 0
    prefix: int = 0
    prefix_tokens: int = 0
    to_prefill: int = 0
    to_decode: int = 0
    hit: bool = False
    cancelled: bool = False


class FakeEngine:
    """An endpoint that batches continuously.

    Parameters
    ----------
    time : VirtualTime
    name : str
    batch : int
        Answers that it generates at once.
    kv_tokens, cache_tokens : int
        Tokens that running answers, and cached prefixes, may hold.
    """

    base_s = 0.018
    per_answer_s = 0.0006
    prefill_token_s = 0.00005
    chunk_tokens = 1024

    def __init__(
        self,
        time: VirtualTime,
        name: str,
        batch: int = 32,
        kv_tokens: int = 40_000,
        cache_tokens: int = 40_000,
    ) -> None:
        self.time = time
        self.name = name
        self.slowdown = 1.0
        self.stopped = False
        self.should_fail: Callable[[], bool] = lambda: False
        self.served = 0
        self.batch = batch
        self.running: list[FakeJob] = []
        self.waiting: dict[int, deque[FakeJob]] = {}
        self.cache: OrderedDict[int, int] = OrderedDict()
        self.on_cache_change: Callable[[int, bool], None] = lambda prefix, there: None
        self._kv_tokens = kv_tokens
        self._cache_tokens = cache_tokens
        self._kv_used = 0
        self._stepping = False

    @property
    def queued(self) -> int:
        """Return the jobs that have not been started."""
        return sum(len(line) for line in self.waiting.values())

    def submit(self, job: FakeJob) -> None:
        """Take a job; one of a lower priority number is started first."""
        self.served += 1
        if self.stopped or self.should_fail():
            self.time.at(self.time.now + 0.005, lambda: job.done(self.time.now, False))
            return
        self.waiting.setdefault(job.priority, deque()).append(job)
        if not self._stepping:
            self._stepping = True
            self.time.at(self.time.now, self._step)

    def stop(self) -> None:
        """End with everything that runs."""
        self.stopped = True
        lost = self.running + [job for line in self.waiting.values() for job in line]
        self.running = []
        self.waiting.clear()
        self._kv_used = 0
        for job in lost:
            job.done(self.time.now, False)

    def _admit(self) -> None:
        for priority in sorted(self.waiting):
            line = self.waiting[priority]
            while line and len(self.running) < self.batch:
                job = line[0]
                if job.cancelled:
                    line.popleft()
                    continue
                size = job.prompt + job.completion
                if self._kv_used + size > self._kv_tokens:
                    return
                line.popleft()
                self._kv_used += size
                self.running.append(job)
                job.to_decode = job.completion
                job.hit = job.prefix_tokens > 0 and job.prefix in self.cache
                cached = min(job.prefix_tokens, job.prompt) if job.hit else 0
                job.to_prefill = max(1, job.prompt - cached)
                if job.prefix_tokens:
                    self._cache(job.prefix, job.prefix_tokens)

    def _cache(self, prefix: int, tokens: int) -> None:
        if prefix not in self.cache:
            self.on_cache_change(prefix, True)
        self.cache[prefix] = tokens
        self.cache.move_to_end(prefix)
        while sum(self.cache.values()) > self._cache_tokens:
            gone, _ = self.cache.popitem(last=False)
            self.on_cache_change(gone, False)

    def _step(self) -> None:
        if self.stopped:
            return
        self._admit()
        if not self.running:
            self._stepping = False
            return
        chunk = self.chunk_tokens
        started = []
        decoding = []
        for job in self.running:
            if job.to_prefill <= 0:
                decoding.append(job)
            elif chunk > 0:
                done = min(chunk, job.to_prefill)
                job.to_prefill -= done
                chunk -= done
                if job.to_prefill <= 0:
                    started.append(job)
        step_s = self.base_s + self.per_answer_s * len(self.running)
        step_s += (self.chunk_tokens - chunk) * self.prefill_token_s
        end = self.time.now + step_s * self.slowdown
        self.time.at(end, lambda: self._stepped(started, decoding))

    def _stepped(self, started: list[FakeJob], decoding: list[FakeJob]) -> None:
        if self.stopped:
            return
        now = self.time.now
        for job in started:
            job.to_decode -= 1
            job.first(now)
        for job in decoding:
            job.to_decode -= 1
        ended = [
            job
            for job in self.running
            if job.cancelled or (job.to_prefill <= 0 and job.to_decode <= 0)
        ]
        if ended:
            self.running = [job for job in self.running if job not in ended]
        for job in ended:
            self._kv_used -= job.prompt + job.completion
            job.done(now, not job.cancelled)
        self._step()
