"""A queue model of batching engines under a virtual clock.

An engine works in iterations: each gives a token to every sequence that is
past its prefill, and spends a bounded number of tokens on prefill, by
priority. Its prefix cache is small and evicts the least recently used
blocks; cache events come late and some are lost; load reports lag.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from random import Random

from bench.traces import BLOCK_TOKENS, Arrival

__all__ = ["Clock", "Engine", "Sequence"]

SLOTS = 16
ITERATION_S = 0.016
SEQUENCE_S = 0.0004
PREFILL_S_PER_TOKEN = 0.00005
PREFILL_TOKENS = 192
CACHE_BLOCKS = 512
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 1.5
EVENT_LAG_S = (0.5, 3.0)
EVENT_LOSS = 0.2


class Clock:
    """Virtual time: runs callbacks in order of their times."""

    __slots__ = ("_count", "_heap", "now")

    def __init__(self):
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable]] = []
        self._count = itertools.count()

    def at(self, time: float, run: Callable[[], None]) -> None:
        """Run a callback at a time."""
        heapq.heappush(self._heap, (time, next(self._count), run))

    def run_until(self, end: float) -> None:
        """Run all callbacks up to `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run = heapq.heappop(self._heap)
            run()
        self.now = end


class Sequence:
    """One attempt at an engine; `listener` hears of its progress."""

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
    """A batching engine; `slow` maps a time to a factor."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        failure_domain: str,
        clock: Clock,
        rng: Random,
        slow: Callable[[float], float],
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
        self._slow = slow
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._order = itertools.count()
        self._stepping = False
        clock.at(REPORT_INTERVAL_S * rng.random(), self._report)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence by priority."""
        heapq.heappush(
            self._waiting, (sequence.priority, next(self._order), sequence)
        )
        if not self._stepping and self.alive:
            self._stepping = True
            self._step()

    def stop(self) -> list[Sequence]:
        """Lose the engine; return the sequences that were cut off."""
        self.alive = False
        lost = [*self._running, *(item[2] for item in self._waiting)]
        self._running, self._waiting = [], []
        return [sequence for sequence in lost if not sequence.cancelled]

    def _report(self) -> None:
        if not self.alive:
            return
        load = {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "running_long": sum(s.arrival.long for s in self._running),
        }
        now = self._clock.now
        self._clock.at(now + REPORT_LAG_S, lambda: self.on_report(load))
        self._clock.at(now + REPORT_INTERVAL_S, self._report)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < SLOTS:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.cancelled:
                continue
            cached = 0
            for block in sequence.arrival.blocks:
                if block not in self._cache:
                    break
                cached += BLOCK_TOKENS
            uncached = sequence.prompt_tokens - cached
            sequence.prefill_left = max(1, uncached)
            self._running.append(sequence)

    def _prefill(self) -> int:
        """Spend this iteration's prefill tokens, urgent sequences first."""
        left = PREFILL_TOKENS
        for sequence in sorted(self._running, key=lambda s: s.priority):
            if not left:
                break
            if sequence.prefill_left:
                spent = min(left, sequence.prefill_left)
                sequence.prefill_left -= spent
                left -= spent
                if not sequence.prefill_left:
                    self._remember(sequence.arrival.blocks)
        return PREFILL_TOKENS - left

    def _step(self) -> None:
        """Work one iteration and plan the next."""
        self._running = [s for s in self._running if not s.cancelled]
        self._admit()
        if not self._running or not self.alive:
            self._stepping = False
            return
        decoding = [s for s in self._running if not s.prefill_left]
        prefilled = self._prefill()
        self.prefilled_tokens += prefilled
        taken_s = self._slow(self._clock.now) * (
            ITERATION_S
            + SEQUENCE_S * len(decoding)
            + PREFILL_S_PER_TOKEN * prefilled
        )
        self.busy_s += taken_s
        end = self._clock.now + taken_s
        self._clock.at(end, lambda: self._finish(decoding))

    def _finish(self, decoding: list[Sequence]) -> None:
        if not self.alive:
            return
        for sequence in decoding:
            if sequence.cancelled:
                continue
            sequence.produced += 1
            done = sequence.produced >= sequence.arrival.output_tokens
            if done:
                sequence.cancelled = True
            sequence.listener.token(sequence, done)
        self._step()

    def _remember(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            self._cache.pop(block, None)
            self._cache[block] = None
        removed = []
        while len(self._cache) > CACHE_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        if self._rng.random() < EVENT_LOSS:
            return
        late = self._clock.now + self._rng.uniform(*EVENT_LAG_S)
        self._clock.at(
            late, lambda: self.on_cache_event(blocks, tuple(removed))
        )
