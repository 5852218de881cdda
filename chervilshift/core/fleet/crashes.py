"""Crashes of endpoints, and the requests or prompt parts that caused them.

An endpoint that crashes takes all its requests with it. The part that made it
crash is in one of the requests that it had not begun to answer; those of all
gateways are the crash's suspects. A request as a whole counts as the last of
its parts, which only equal requests share. A part is cleared of the crashes
before an answer to a request with it: a part that crashes endpoints is never
answered. What stays a suspect in several crashes is quarantined, which means
that requests with it are refused.

`CrashTable` is replicated: `note`, `clear`, `quarantine`, `release` and
`start_trial` are applied in log order, and `diagnose` is what the leader
proposes next. Times are Unix times.
"""

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

import msgspec

from chervilshift.core.message import Message

__all__ = [
    "Crash",
    "CrashSnapshot",
    "CrashTable",
    "Quarantined",
    "Suspicion",
    "Diagnosis",
    "is_request",
    "new_parts",
]

# Ids that begin with it are digests of whole requests; no other id does.
REQUEST_PREFIX = "="

# A part is quarantined once it is a suspect in this many crashes, simultaneous
# ones counted as one; one that was quarantined before after the first.
MIN_CRASHES = 3
# One that was answered before has to be a suspect in this many as well, each
# of the simultaneous ones counted.
MIN_CRASHES_AFTER_ANSWERS = 5
# Crashes this close together count as one: the loss of a failure domain ends
# many endpoints at once, and a popular part may be waiting at several. A
# request is at one endpoint at a time, so its crashes are counted one by one.
SIMULTANEOUS_S = 0.1
# All gateways have reported a crash within this time. Before, the part
# that caused it may be missing among the suspects.
REPORTED_S = 0.8
# Answers to requests with a suspect that is in use are reported within this
# time after gateways are told of it.
CLEARING_S = 1.5
# Gateways are told of requests that are suspects in this many crashes. Most
# requests that are broken off are in one crash only.
MIN_TOLD_CRASHES = 2
# Bounds of what is kept; the oldest is dropped.
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 256
MAX_REQUESTS_PER_CRASH = 256
MAX_QUARANTINED = 256
MAX_EXPIRED = 256
MAX_SUSPECTS = 256
CRASH_MAX_AGE_S = 3600.0
# After this time one request with a quarantined part is let through, to free
# a part that is quarantined by mistake. It is repeated only if no endpoint
# crashed: the request may not have been sent.
TRIAL_AFTER_S = 5.0
REPEATED_TRIAL_AFTER_S = 30.0
MAX_TRIALS = 2
NEVER = float("-inf")


class Crash(Message, tag=False, array_like=True):
    """The end of one endpoint incarnation, and its suspects.

    `parts` are the positions of the suspected parts in their prompts, by id.
    """

    endpoint: str
    born_ms: int
    at_s: float
    parts: dict[str, int]


class Quarantined(Message, tag=False, array_like=True):
    """A quarantined part.

    `trial_gateway` may let one request through for trial number `trial`,
    which began at `trial_s`.
    """

    since_s: float
    trial: int = 0
    trial_s: float = 0.0
    trial_gateway: str = ""


class Suspicion(Message):
    """What gateways have to know of a `CrashTable`.

    `revision` is the log position of its last change, and `suspects` the
    number of crashes by part, 0 for one that was answered before.
    """

    revision: int
    suspects: dict[str, int] = {}
    quarantined: dict[str, Quarantined] = {}


class CrashSnapshot(Message):
    """Snapshot of a `CrashTable`."""

    revision: int = 0
    crashes: tuple[Crash, ...] = ()
    answered: dict[str, float] = {}
    quarantined: dict[str, Quarantined] = {}
    expired: dict[str, float] = {}


class Diagnosis:
    """Parts to quarantine, and quarantined ones to release."""

    __slots__ = ("causes", "released")

    def __init__(self, *, causes: tuple[str, ...], released: tuple[str, ...]):
        self.causes = causes
        self.released = released


class _Suspect:
    """A suspect: its crashes and their moments by number, and its position.

    Simultaneous crashes have the same moment. `told_s` is the time of the
    crash from which on gateways are told of the suspect, None before it.
    """

    __slots__ = ("crashes", "part", "position", "told_s")

    def __init__(self, *, part: str):
        self.part = part
        self.crashes: dict[int, int] = {}
        self.position = 0
        self.told_s: float | None = None

    def add(self, number: int, moment: int, crash: Crash) -> None:
        """Add a crash; they are added in the order of their times."""
        self.crashes[number] = moment
        self.position = max(self.position, crash.parts[self.part])
        told = not is_request(self.part) or len(self.crashes) >= (
            MIN_TOLD_CRASHES
        )
        if told and self.told_s is None:
            self.told_s = crash.at_s

    def total(self, explained: Collection[int] = ()) -> int:
        """Return the number of its crashes, simultaneous ones one by one."""
        return len(self.crashes.keys() - explained)

    def count(self, explained: Collection[int] = ()) -> int:
        """Return the number of its crashes that are not explained yet."""
        if is_request(self.part):
            return self.total(explained)
        return len(
            {
                moment
                for number, moment in self.crashes.items()
                if number not in explained
            }
        )


class CrashTable:
    """The newest crashes, and the parts in quarantine.

    `revision` is the log position of the last change.
    """

    __slots__ = (
        "_answered",
        "_crashes",
        "_quarantined",
        "_expired",
        "_suspicion",
        "revision",
    )

    def __init__(self, *, snapshot: CrashSnapshot | None = None):
        stored = snapshot or CrashSnapshot()
        self.revision = stored.revision
        self._crashes = {_key(crash): crash for crash in stored.crashes}
        # The last known answers to requests with parts of these crashes.
        self._answered = dict(stored.answered)
        self._quarantined = dict(stored.quarantined)
        # When parts that nobody asked for any more were released.
        self._expired = dict(stored.expired)
        self._suspicion: Suspicion | None = None

    def snapshot(self) -> CrashSnapshot:
        """Return a snapshot of the whole table."""
        return CrashSnapshot(
            revision=self.revision,
            crashes=tuple(self._crashes.values()),
            answered=dict(self._answered),
            quarantined=dict(self._quarantined),
            expired=dict(self._expired),
        )

    @property
    def quarantined(self) -> dict[str, Quarantined]:
        """The quarantined parts by id."""
        return self._quarantined

    def counts(self) -> dict[str, int]:
        """Return the number of crashes by suspected part."""
        suspects = self._find_suspects(self._crashes.values())
        return {part: held.count() for part, held in suspects.items()}

    def suspicion(self) -> Suspicion:
        """Return what gateways have to know."""
        if self._suspicion is None:
            suspects = self._find_suspects(self._crashes.values())
            told = sorted(
                (
                    held
                    for part, held in suspects.items()
                    if part not in self._quarantined
                    and (held.told_s is not None or part in self._expired)
                ),
                key=lambda held: (held.count(), max(held.crashes)),
                reverse=True,
            )
            self._suspicion = Suspicion(
                revision=self.revision,
                suspects={
                    held.part: 0
                    if held.part in self._answered
                    else held.count()
                    for held in told[:MAX_SUSPECTS]
                },
                quarantined=dict(self._quarantined),
            )
        return self._suspicion

    def unknown(self, reported: Iterable[Crash]) -> tuple[Crash, ...]:
        """Return the reports that add a crash or a suspect."""
        return tuple(
            crash
            for crash in reported
            if crash.parts.keys() - self._parts(_key(crash)).keys()
            and self._has_room(crash)
        )

    def unknown_answers(self, answered: dict[str, float]) -> dict[str, float]:
        """Return the answers, by part, that change what is known of it."""
        suspects = self.suspicion()
        return {
            part: at_s
            for part, at_s in answered.items()
            if (part in suspects.suspects or part in self._quarantined)
            and (
                part not in self._answered
                or self._is_cleared_of_more(part, at_s)
            )
        }

    def diagnose(self, now_s: float) -> Diagnosis:
        """Return which parts to quarantine and to release.

        The part that is a suspect in most crashes explains them; the others
        are diagnosed by the crashes that it doesn't explain. Among equals it
        is the part that comes last in prompts: what precedes it occurs without
        it more often than the reverse. Parts that were answered before come
        after the others; of those with as many crashes, the one that is a
        suspect in more simultaneous ones too. A request that explains crashes
        is one crash more for each prompt part that these have in common:
        several such requests point to a part of theirs.
        """
        suspects = self._find_suspects(
            crash
            for crash in self._crashes.values()
            if now_s - crash.at_s >= REPORTED_S
        )
        ripe = {
            part
            for part, held in suspects.items()
            if part in self._quarantined
            or part in self._expired
            or (held.told_s is not None and now_s - held.told_s >= CLEARING_S)
        }
        considered = {
            part: held
            for part, held in suspects.items()
            if part in ripe or part in self._answered
        }
        explained: set[int] = set()
        causes: list[str] = []
        while True:
            requests = [suspects[part] for part in causes if is_request(part)]
            eligible = self._eligible(considered, explained, requests)
            *_, worst = max(eligible, default=("",))
            if worst not in ripe:
                # There is none, or a part in use that may still be cleared:
                # it is not known yet what it leaves unexplained.
                break
            causes.append(worst)
            explained |= suspects[worst].crashes.keys()
        return Diagnosis(
            causes=tuple(p for p in causes if p not in self._quarantined),
            released=tuple(
                part
                for part in self._quarantined
                if part not in causes
                and part in suspects
                and suspects[part].crashes.keys() <= explained
            ),
        )

    def _eligible(
        self,
        suspects: dict[str, _Suspect],
        explained: Collection[int],
        requests: Collection[_Suspect],
    ) -> Iterator[tuple[bool, int, int, int, str]]:
        """Yield the parts with enough unexplained crashes, and their rank."""
        for part, held in suspects.items():
            count, total = held.count(explained), held.total(explained)
            shared = _shared(held, requests)
            if count and self._is_enough(part, count + shared, total + shared):
                is_new = part not in self._answered
                yield (
                    is_new,
                    count,
                    0 if is_new else total,
                    held.position,
                    part,
                )

    def is_final(self, now_s: float) -> bool:
        """Whether the diagnosis stays until the table changes."""
        newest_s = max((c.at_s for c in self._crashes.values()), default=0.0)
        return now_s - newest_s >= max(REPORTED_S, CLEARING_S)

    def next_trials(self, now_s: float) -> tuple[str, ...]:
        """Return the quarantined parts that are due for their trial."""
        return tuple(
            part
            for part, held in self._quarantined.items()
            if self._is_due(part, held, now_s)
        )

    # Applied in log order

    def note(self, crashes: Iterable[Crash], index: int) -> None:
        """Add crashes and suspects."""
        for crash in crashes:
            key = _key(crash)
            known = self._parts(key)
            stored = self._crashes.get(key, crash)
            self._crashes[key] = msgspec.structs.replace(
                stored, parts=known | new_parts(known, crash.parts)
            )
        newest_s = max((c.at_s for c in self._crashes.values()), default=0.0)
        kept = sorted(self._crashes.values(), key=_at_s)[-MAX_CRASHES:]
        self._crashes = {
            _key(crash): crash
            for crash in kept
            if newest_s - crash.at_s < CRASH_MAX_AGE_S
        }
        suspects = set(
            chain.from_iterable(c.parts for c in self._crashes.values())
        )
        self._answered = {
            part: at_s
            for part, at_s in self._answered.items()
            if part in suspects
        }
        self._changed(index)

    def clear(self, answered: dict[str, float], index: int) -> None:
        """Clear parts of the crashes before the times of their answers."""
        for part, at_s in answered.items():
            self._answered[part] = max(at_s, self._answered.get(part, at_s))
            held = self._quarantined.get(part)
            if held is not None and at_s > held.since_s:
                del self._quarantined[part]
        self._changed(index)

    def quarantine(
        self, parts: Iterable[str], now_s: float, index: int
    ) -> None:
        """Put parts into quarantine; the oldest leave if there are many."""
        for part in parts:
            self._expired.pop(part, None)
            self._quarantined.setdefault(part, Quarantined(since_s=now_s))
        excess = len(self._quarantined) - MAX_QUARANTINED
        for oldest in tuple(self._quarantined)[: max(0, excess)]:
            del self._quarantined[oldest]
            self._record_expired(oldest, now_s)
        self._changed(index)

    def release(self, parts: Iterable[str], index: int) -> None:
        """Release parts whose crashes another part explains."""
        for part in parts:
            self._quarantined.pop(part, None)
        self._changed(index)

    def expire(self, parts: Iterable[str], now_s: float, index: int) -> None:
        """Release unused parts; the next crash quarantines them again."""
        for part in parts:
            if self._quarantined.pop(part, None) is not None:
                self._record_expired(part, now_s)
        self._changed(index)

    def start_trial(
        self, part: str, gateway_id: str, now_s: float, index: int
    ) -> None:
        """Allow one gateway one request with a quarantined part."""
        held = self._quarantined.get(part)
        if held is not None:
            self._quarantined[part] = msgspec.structs.replace(
                held,
                trial=held.trial + 1,
                trial_s=now_s,
                trial_gateway=gateway_id,
            )
        self._changed(index)

    def _record_expired(self, part: str, now_s: float) -> None:
        self._expired[part] = now_s
        while len(self._expired) > MAX_EXPIRED:
            del self._expired[next(iter(self._expired))]

    def _changed(self, index: int) -> None:
        self.revision = index
        self._suspicion = None

    def _parts(self, key: tuple[str, int]) -> dict[str, int]:
        held = self._crashes.get(key)
        return held.parts if held else {}

    def _has_room(self, crash: Crash) -> bool:
        """Whether `note` would keep what a report adds."""
        held = self._crashes.get(_key(crash))
        if held is not None:
            return bool(new_parts(held.parts, crash.parts))
        times = [c.at_s for c in self._crashes.values()]
        if times and max(times) - crash.at_s >= CRASH_MAX_AGE_S:
            return False
        return len(times) < MAX_CRASHES or crash.at_s > min(times)

    def _is_cleared_of_more(self, part: str, at_s: float) -> bool:
        """Whether an answer clears a part of another crash."""
        held = self._quarantined.get(part)
        if held is not None and at_s > held.since_s:
            return True
        known_s = self._answered[part]
        return any(
            part in crash.parts and known_s <= crash.at_s < at_s
            for crash in self._crashes.values()
        )

    def _is_due(self, part: str, held: Quarantined, now_s: float) -> bool:
        if not held.trial:
            return now_s - held.since_s > TRIAL_AFTER_S
        return (
            held.trial < MAX_TRIALS
            and now_s - held.trial_s > REPEATED_TRIAL_AFTER_S
            and not any(
                crash.at_s > held.trial_s and part in crash.parts
                for crash in self._crashes.values()
            )
        )

    def _is_enough(self, part: str, count: int, total: int) -> bool:
        """Return whether crashes are enough for a diagnosis.

        `count` takes simultaneous ones as one, `total` does not.
        """
        if part in self._expired:
            return count >= 1
        if part in self._answered:
            return count >= MIN_CRASHES and total >= MIN_CRASHES_AFTER_ANSWERS
        return count >= MIN_CRASHES

    def _find_suspects(self, crashes: Iterable[Crash]) -> dict[str, _Suspect]:
        """Return the suspects by part."""
        suspects: dict[str, _Suspect] = {}
        moment, began_s = 0, float("-inf")
        for number, crash in enumerate(sorted(crashes, key=_at_s)):
            if crash.at_s - began_s > SIMULTANEOUS_S:
                moment, began_s = moment + 1, crash.at_s
            for part in crash.parts:
                cleared_s = max(
                    self._answered.get(part, NEVER),
                    self._expired.get(part, NEVER),
                )
                if cleared_s < crash.at_s:
                    if part not in suspects:
                        suspects[part] = _Suspect(part=part)
                    suspects[part].add(number, moment, crash)
        return suspects


def new_parts(known: dict[str, int], added: dict[str, int]) -> dict[str, int]:
    """Return the added parts that a crash with the known ones has room for.

    Whole requests don't take the room of prompt parts.
    """
    requests = [is_request(part) for part in known]
    rooms = {
        True: MAX_REQUESTS_PER_CRASH - sum(requests),
        False: MAX_PARTS_PER_CRASH - len(known) + sum(requests),
    }
    unknown = [item for item in added.items() if item[0] not in known]
    return dict(
        chain.from_iterable(
            islice((i for i in unknown if is_request(i[0]) is kind), room)
            for kind, room in rooms.items()
        )
    )


def _shared(held: _Suspect, requests: Iterable[_Suspect]) -> int:
    """Return how many of the requests are in crashes of a prompt part."""
    if is_request(held.part):
        return 0
    return sum(
        not held.crashes.keys().isdisjoint(request.crashes)
        for request in requests
    )


def is_request(part: str) -> bool:
    """Whether an id stands for a whole request, not for a prompt part."""
    return part.startswith(REQUEST_PREFIX)


def _key(crash: Crash) -> tuple[str, int]:
    return crash.endpoint, crash.born_ms


def _at_s(crash: Crash) -> float:
    return crash.at_s
