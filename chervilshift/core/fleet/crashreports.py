"""What one gateway knows of crashes of endpoints, and its quarantine.

A connection that breaks off during a request is a crash only if the endpoint
can't be connected to any more; a reset, a cut reply and a refusing endpoint
are not. Until that is known, the break is unsettled. Crashes are reported to
control again and again for some time, so that a new leader gets them too.

`now` is monotonic time, `wall_s` Unix time.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence
from hashlib import blake2b

from chervilshift.core.fleet.crashes import (
    REQUEST_PREFIX,
    Crash,
    CrashTable,
    Suspicion,
    is_request,
    new_parts,
)

__all__ = ["CrashReports", "request_part", "short_id", "suspect_parts"]

# Longer than the election of a leader, and the repair of a cut, take.
REPORT_S = 30.0
MAX_REPORTS = 16
# Suspects in one report to control; those of the oldest crashes are left out.
MAX_REPORTED_PARTS = 512
# A request with more parts that others may share is known by the first ones,
# and by one that stands for all requests with as many.
MAX_SHARED_PARTS = 32
MANY_PARTS = "more parts"
# Longer ids are replaced by a digest of `DIGEST_BYTES`.
MAX_PART_ID_CHARS = 32
DIGEST_BYTES = 12
REQUEST_DIGEST_BYTES = 8
# A break of an endpoint that could be connected to is settled as a crash if
# control reports within this time that the incarnation has ended.
MAX_RESTART_S = 5.0
# A part that was answered here this shortly before a crash is no suspect: many
# requests have it, and the next answer would clear it.
RECENT_ANSWER_S = 1.0
# Newest answered parts whose time is kept.
MAX_ANSWERED = 4096
# An answer reported to control is replaced by a later one after this time.
ANSWER_REPORT_INTERVAL_S = 1.0
# Quarantined parts whose requests came this recently are reported as in use.
REFUSED_REPORT_S = 10.0
# A request that was cut off is not repeated if a part of it is a suspect in
# this many crashes already.
MAX_REPEATED_CRASHES = 2

# A gateway without control diagnoses its own crashes at most this often.
OWN_DIAGNOSIS_INTERVAL_S = 0.1

Incarnation = tuple[str, int]


def suspect_parts(
    ids: Sequence[str], request: str
) -> tuple[tuple[str, int], ...]:
    """Return what a crash may be blamed on in a request, with positions.

    These are the parts of its prompt that others may share, and last the
    request itself. `ids` are those of all its parts in order, of which the
    last one belongs to the request; `request` is its `request_part`.
    """
    shared = [
        (short_id(part), position) for position, part in enumerate(ids[:-1])
    ]
    if len(shared) > MAX_SHARED_PARTS:
        shared[MAX_SHARED_PARTS - 1 :] = [(MANY_PARTS, len(shared))]
    return (*shared, (request, len(ids)))


def request_part(customer: str, place: bytes, body: bytes) -> str:
    """Return the id of what only equal requests share: the whole request.

    `place` is the method, host and target, `customer` who sent it.
    """
    digest = blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for field in (customer.encode(), place, body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return REQUEST_PREFIX + digest.hexdigest()


def short_id(part: str) -> str:
    """Return the id of a prompt part, or a digest if it is long."""
    if len(part) <= MAX_PART_ID_CHARS and not is_request(part):
        return part
    return blake2b(part.encode(), digest_size=DIGEST_BYTES).hexdigest()


class _Break:
    """Requests broken off at one endpoint; `parts` as in `Crash`."""

    __slots__ = ("at", "parts", "wall_s")

    def __init__(self, *, at: float, wall_s: float):
        self.at = at
        self.wall_s = wall_s
        self.parts: dict[str, int] = {}

    def add(self, parts: Iterable[tuple[str, int]]) -> None:
        """Add suspects."""
        self.parts |= new_parts(self.parts, dict(parts))


class CrashReports:
    """Crashes seen by one gateway, and the parts that control suspects.

    `gateway_id` is this gateway's, for trials; `count` is the number of
    crashes so far.
    """

    __slots__ = (
        "_answered",
        "_crashes",
        "_gateway_id",
        "_own_causes",
        "_refused",
        "_reported_answers",
        "_suspicion",
        "_trials",
        "_unsettled",
        "count",
    )

    def __init__(self, *, gateway_id: str):
        self._gateway_id = gateway_id
        self._unsettled: dict[Incarnation, _Break] = {}
        self._crashes: OrderedDict[Incarnation, _Break] = OrderedDict()
        # Unix times of the last answers by part, the oldest first.
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._reported_answers: dict[str, float] = {}
        self._refused: dict[str, float] = {}
        # The trials used up: part, begin of its quarantine and number.
        self._trials: set[tuple[str, float, int]] = set()
        self._suspicion = Suspicion(revision=0)
        # The last diagnosis by this gateway's own crashes, and its Unix time.
        self._own_causes: tuple[float, tuple[str, ...]] = (0.0, ())
        self.count = 0

    @property
    def revision(self) -> int:
        """The log position of the known suspicion."""
        return self._suspicion.revision

    @property
    def quarantined(self) -> Collection[str]:
        """The quarantined parts."""
        return self._suspicion.quarantined.keys()

    def apply(self, suspicion: Suspicion) -> None:
        """Take over what control suspects, unless it is older."""
        if suspicion.revision <= self._suspicion.revision:
            return
        self._suspicion = suspicion
        watched = suspicion.suspects.keys() | suspicion.quarantined.keys()
        self._reported_answers = {
            part: at_s
            for part, at_s in self._reported_answers.items()
            if part in watched
        }
        self._trials = {t for t in self._trials if t[0] in watched}

    # Crashes

    def record_break(
        self,
        incarnation: Incarnation,
        parts: Iterable[tuple[str, int]],
        now: float,
        wall_s: float,
    ) -> bool:
        """Record that a request was broken off before it was answered.

        `parts` are the request's parts that others may share, with their
        positions. Returns whether it has to be found out if the endpoint
        has crashed; `settle` takes the result.
        """
        crash = self._crashes.get(incarnation)
        if crash is not None:
            crash.add(parts)
            return False
        held = self._unsettled.get(incarnation)
        is_new = held is None or now - held.at > MAX_RESTART_S
        if is_new:
            held = self._unsettled[incarnation] = _Break(at=now, wall_s=wall_s)
        held.add(parts)
        return is_new

    def settle(self, incarnation: Incarnation) -> Crash | None:
        """Record that an endpoint has crashed; return the crash if new."""
        crash = self._unsettled.pop(incarnation, None)
        if crash is None:
            return None
        self._crashes[incarnation] = crash
        self.count += 1
        while len(self._crashes) > MAX_REPORTS:
            self._crashes.popitem(last=False)
        return self._message(incarnation, crash)

    def settle_ended(
        self, running: Collection[Incarnation]
    ) -> tuple[Crash, ...]:
        """Settle breaks of endpoints that are no longer running."""
        ended = [key for key in self._unsettled if key not in running]
        settled = (self.settle(incarnation) for incarnation in ended)
        return tuple(crash for crash in settled if crash is not None)

    def expire(self, now: float) -> None:
        """Forget what is no longer reported."""
        self._unsettled = {
            key: held
            for key, held in self._unsettled.items()
            if now - held.at <= MAX_RESTART_S
        }
        while self._crashes:
            oldest = next(iter(self._crashes))
            if now - self._crashes[oldest].at <= REPORT_S:
                break
            del self._crashes[oldest]
        self._refused = {
            part: at
            for part, at in self._refused.items()
            if now - at <= REFUSED_REPORT_S
        }

    # Answers

    def record_answer(self, parts: Iterable[str], wall_s: float) -> None:
        """Record that a request with these parts was answered."""
        for part in parts:
            self._answered[part] = wall_s
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    # Reports to control

    def crashes(self) -> tuple[Crash, ...]:
        """Return the crashes with the suspects that are left."""
        messages = []
        room = MAX_REPORTED_PARTS
        for incarnation, crash in reversed(self._crashes.items()):
            message = self._message(incarnation, crash)
            room -= len(message.parts)
            if room < 0:
                break
            if message.parts:
                messages.append(message)
        return tuple(reversed(messages))

    def answers(self) -> dict[str, float]:
        """Return when suspects were last answered here, by part.

        A later time replaces the one reported before only if it is some time
        later, so that reports seldom change.
        """
        watched = (*self._suspicion.suspects, *self._suspicion.quarantined)
        for part in watched:
            at_s = self._answered.get(part)
            if at_s is None:
                continue
            reported_s = self._reported_answers.get(part, float("-inf"))
            if at_s - reported_s >= ANSWER_REPORT_INTERVAL_S:
                self._reported_answers[part] = at_s
        return dict(self._reported_answers)

    def refused(self) -> tuple[str, ...]:
        """Return the quarantined parts whose requests still come."""
        return tuple(sorted(self._refused))

    # Decisions

    def blocking_part(
        self, parts: Sequence[str], now: float, wall_s: float, *, alone: bool
    ) -> str:
        """Return the part because of which a request is refused, or "".

        With `alone`, control can't be reached, and the crashes that this
        gateway has seen itself count too. Uses up a trial of the part.
        """
        quarantined = self._suspicion.quarantined
        blocking = [part for part in parts if part in quarantined]
        for part in blocking:
            self._refused[part] = now
        if len(blocking) == 1 and self._may_try(parts, blocking[0]):
            return ""
        if blocking:
            return blocking[0]
        if not alone or not self._crashes:
            return ""
        causes = self._diagnose(wall_s)
        return next((part for part in parts if part in causes), "")

    def may_repeat(self, parts: Iterable[str]) -> bool:
        """Whether a request that was broken off may be sent once more."""
        suspects = self._suspicion.suspects
        return all(
            suspects.get(part, 0) < MAX_REPEATED_CRASHES
            and part not in self._suspicion.quarantined
            for part in parts
        )

    def _diagnose(self, wall_s: float) -> tuple[str, ...]:
        """Return the parts that this gateway's own crashes tell against."""
        diagnosed_s, causes = self._own_causes
        if abs(wall_s - diagnosed_s) > OWN_DIAGNOSIS_INTERVAL_S:
            table = CrashTable()
            table.note(self.crashes(), 0)
            causes = table.diagnose(wall_s).causes
            self._own_causes = (wall_s, causes)
        return causes

    def _may_try(self, parts: Iterable[str], blocking: str) -> bool:
        """Return whether a request is this gateway's trial of a part.

        One that is a suspect itself tells nothing about its prompt parts.
        """
        suspects = self._suspicion.suspects
        others = (p for p in parts if is_request(p) and p != blocking)
        return not any(suspects.get(p) for p in others) and self._use_trial(
            blocking
        )

    def _use_trial(self, part: str) -> bool:
        """Use up this gateway's trial of a part; return whether it had one."""
        held = self._suspicion.quarantined[part]
        trial = (part, held.since_s, held.trial)
        if held.trial_gateway != self._gateway_id or trial in self._trials:
            return False
        self._trials.add(trial)
        return True

    def _message(self, incarnation: Incarnation, crash: _Break) -> Crash:
        """Return a crash without the parts answered about then or since."""
        endpoint_id, born_ms = incarnation
        recent_s = crash.wall_s - RECENT_ANSWER_S
        return Crash(
            endpoint=endpoint_id,
            born_ms=born_ms,
            at_s=crash.wall_s,
            parts={
                part: position
                for part, position in crash.parts.items()
                if self._answered.get(part, 0.0) < recent_s
            },
        )
