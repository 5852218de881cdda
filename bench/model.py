"""A queue model of batching engines under a virtual clock.

An engine works in iterations. Each iteration produces one token for every
sequence that has finished its prefill, and prefills a bounded number of
tokens, by priority. The prefix cache is small and evicts the least recently
used blocks. Cache events are delayed and some are lost; load reports are
delayed.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from bench.traces import BLOCK_TOKENS, Arrival

__all__ = ["Clock", "Engine", "Sequence"]

MAX_RUNNING_SEQUENCES = 16
ITERATION_BASE_S = 0.016
DECODE_S_PER_SEQUENCE = 0.0004
PREFILL_S_PER_TOKEN = 0.00005
PREFILL_TOKENS_PER_ITERATION = 192
CACHE_CAPACITY_BLOCKS = 512
REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = 1.5
CACHE_EVENT_DELAY_RANGE_S = (0.5, 3.0)
CACHE_EVENT_LOSS_SHARE = 0.2


class Clock:
    """Virtual time: runs callbacks in order of their times."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable]] = []
        self._count = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; equal times run in order of scheduling."""
        heapq.heappush(self._heap, (time, next(self._count), callback))

    def run_until(self, end: float) -> None:
        """Run all callbacks up to and including the time `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end


class Sequence:
    """One attempt of a request at an engine.

    `produced` counts the output tokens, including those of earlier attempts,
    which are prefilled again as part of the prompt. `prefill_left` is in
    tokens. `listener.on_token` is called with the sequence, and whether it is
    complete, for each new token. `cancelled` is also set when it is complete;
    the engine then drops it.
    """

    __slots__ = (
        "arrival",
        "cancelled",
        "listener",
        "prefill_left",
        "priority",
        "produced",
        "prompt_tokens",
    )

    def __init__(
        self, *, arrival: Arrival, produced: int, priority: int, listener
    ):
        self.arrival = arrival
        self.produced = produced
        self.prompt_tokens = arrival.prompt_tokens + produced
        self.prefill_left = self.prompt_tokens
        self.priority = priority
        self.listener = listener
        self.cancelled = False


class Engine:
    """A batching engine.

    `slowdown` returns, for a time, the factor on the length of an iteration.
    `on_report` is called with the counts of each load report, `on_cache_event`
    with the hashes of the blocks stored and of those evicted.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        failure_domain: str,
        clock: Clock,
        rng: Random,
        slowdown: Callable[[float], float],
    ):
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.alive = True
        self.busy_s = 0.0
        self.prefilled_tokens = 0
        self.on_report: Callable[[dict], None] = lambda _: None
        self.on_cache_event: Callable[[tuple, tuple], None] = lambda *_: None
        self._clock = clock
        self._rng = rng
        self._slowdown = slowdown
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._submit_order = itertools.count()
        self._iterating = False
        clock.call_at(REPORT_INTERVAL_S * rng.random(), self._report)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence; the lowest priority number runs first."""
        heapq.heappush(
            self._waiting,
            (sequence.priority, next(self._submit_order), sequence),
        )
        if not self._iterating and self.alive:
            self._iterating = True
            self._start_iteration()

    def terminate(self) -> list[Sequence]:
        """Terminate the engine at once; return the interrupted sequences."""
        self.alive = False
        interrupted = [
            *self._running,
            *(item[2] for item in self._waiting),
        ]
        self._running, self._waiting = [], []
        return [sequence for sequence in interrupted if not sequence.cancelled]

    def _report(self) -> None:
        if not self.alive:
            return
        load = {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "running_long": sum(s.arrival.long for s in self._running),
        }
        now = self._clock.now
        self._clock.call_at(now + REPORT_DELAY_S, lambda: self.on_report(load))
        self._clock.call_at(now + REPORT_INTERVAL_S, self._report)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < MAX_RUNNING_SEQUENCES:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.cancelled:
                continue
            cached_tokens = 0
            for block in sequence.arrival.blocks:
                if block not in self._cache:
                    break
                cached_tokens += BLOCK_TOKENS
            uncached_tokens = sequence.prompt_tokens - cached_tokens
            sequence.prefill_left = max(1, uncached_tokens)
            self._running.append(sequence)

    def _prefill(self) -> int:
        """Prefill in order of priority; return the tokens prefilled."""
        budget = PREFILL_TOKENS_PER_ITERATION
        for sequence in sorted(self._running, key=lambda s: s.priority):
            if not budget:
                break
            if sequence.prefill_left:
                tokens = min(budget, sequence.prefill_left)
                sequence.prefill_left -= tokens
                budget -= tokens
                if not sequence.prefill_left:
                    self._store_in_cache(sequence.arrival.blocks)
        return PREFILL_TOKENS_PER_ITERATION - budget

    def _start_iteration(self) -> None:
        """Start an iteration and schedule its end."""
        self._running = [s for s in self._running if not s.cancelled]
        self._admit()
        if not self._running or not self.alive:
            self._iterating = False
            return
        decoding = [s for s in self._running if not s.prefill_left]
        prefilled = self._prefill()
        self.prefilled_tokens += prefilled
        duration_s = self._slowdown(self._clock.now) * (
            ITERATION_BASE_S
            + DECODE_S_PER_SEQUENCE * len(decoding)
            + PREFILL_S_PER_TOKEN * prefilled
        )
        self.busy_s += duration_s
        end = self._clock.now + duration_s
        self._clock.call_at(end, lambda: self._end_iteration(decoding))

    def _end_iteration(self, decoding: list[Sequence]) -> None:
        if not self.alive:
            return
        for sequence in decoding:
            if sequence.cancelled:
                continue
            sequence.produced += 1
            done = sequence.produced >= sequence.arrival.output_tokens
            if done:
                sequence.cancelled = True
            sequence.listener.on_token(sequence, done)
        self._start_iteration()

    def _store_in_cache(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            self._cache.pop(block, None)
            self._cache[block] = None
        evicted = []
        while len(self._cache) > CACHE_CAPACITY_BLOCKS:
            evicted.append(self._cache.popitem(last=False)[0])
        if self._rng.random() < CACHE_EVENT_LOSS_SHARE:
            return
        delivered_at = self._clock.now + self._rng.uniform(
            *CACHE_EVENT_DELAY_RANGE_S
        )
        self._clock.call_at(
            delivered_at, lambda: self.on_cache_event(blocks, tuple(evicted))
        )
