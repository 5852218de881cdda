"""Admission under overload: levels of the fleet, and a gateway's part.

It responds to bursts of about twice the usual rate for some seconds, and to
the loss of a quarter of a service's endpoints: more work arrives than is done,
queues grow at the endpoints, and the most urgent requests are late behind
others. The leader then lowers the admitted share of the least urgent ones, and
gateways refuse the rest before it is sent. A late answer is worth something
and a refused one nothing, so nothing is refused unless others are late for it.

Work is the prompt tokens to be read by engines, or the number of requests of
plain services. The work that waits divided by the work done per second is the
time that new work waits; the leader compares this with the objectives. Only
ratios of sums over gateways matter, so gateways that saw nothing late only
report that they serve requests.
"""

from collections import deque
from collections.abc import Iterable
from math import exp
from random import Random

from chervilshift.core.fleet.tables import forget_unnamed
from chervilshift.core.message import Message

__all__ = [
    "ClassRoom",
    "RoomGate",
    "RoomLevel",
    "RoomPlanner",
    "RoomReport",
    "RoomTicket",
]

# Time constant of the rates in reports: shorter than a burst.
RATE_WINDOW_S = 1.0
# Rates are updated at most this often; a report between has the last ones.
MIN_UPDATE_S = 0.1
NEGLIGIBLE_RATE_PER_S = 0.01
# Weight of the newest request in a class's mean work.
WORK_WEIGHT = 0.05
# A gateway reports a service for this long after it saw something late there,
# so that the leader sees a level work.
REPORT_AFTER_LATE_S = 5.0
# Classes with fewer requests per second over the fleet don't count.
MIN_RATE_PER_S = 0.5
# A level starts when this part of the more urgent requests is late, of at
# least so many per second, at this part of the gateways that serve some.
MAX_LATE_SHARE = 0.1
MIN_URGENT_RATE_PER_S = 4.0
MIN_SHORT_SHARE = 1 / 3
# The wait that is aimed at, as a part of the objective of the more urgent: the
# waits of single endpoints differ from the mean by about its size.
TARGET_WAIT_SHARE = 0.35
# What waits beyond the target is worked off in this time. News take up to a
# second to have an effect; a time of less than twice that would oscillate.
DRAIN_S = 2.0
MIN_BUDGET_SHARE, MAX_BUDGET_SHARE = 0.5, 1.05
# For this long the leader assumes that the fleet can do as much as it did, and
# while the work waits, when what is done is all that can be.
CAPACITY_MEMORY_S, FULL_MEMORY_S = 15.0, 2.0
# Before anything is late, a level starts if the wait is this part of the
# objective of the more urgent, and more arrives than this multiple of what is
# done.
GROWING_WAIT_SHARE = 0.75
GROWING_SHARE = 1.1
# Least admitted shares: of all classes, and of the most urgent one.
FLOOR_SHARE = 0.25
URGENT_FLOOR_SHARE = 0.35
# Part of their measured speed that engines reach beside other work.
USABLE_SPEED_SHARE = 0.75
# Classes per second by which a level falls, and by which it rises in general
# and while what arrives fits what the fleet can do.
DOWN_PER_S = 4.0
UP_PER_S = 0.2
UP_FITTING_PER_S = 0.5
UP_UNNEEDED_PER_S = 2.0
FITTING_SHARE = 0.9
# A level closer to full admission than this lapses.
MIN_CUT = 0.03
# A level is logged when its share has changed by this.
LOGGED_CHANGE = 0.25
# Bounds of the time after which a refused client may return.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.5, 3.0
RETRY_SPREAD = 0.5
MAX_RETRY_SHARE = 1 / 3


class ClassRoom(Message, tag=False, array_like=True):
    """What one gateway saw of one priority of a service.

    `arrived`, `in_time` and `late` are requests per second, `done` is work per
    second, `work` that of a request in the mean and `waiting` what is sent and
    has not begun to be answered.
    """

    arrived: float = 0.0
    in_time: float = 0.0
    late: float = 0.0
    done: float = 0.0
    work: float = 0.0
    waiting: float = 0.0
    objective_s: float = 0.0


class RoomLevel(Message):
    """Which work the fleet admits of a service.

    More urgent priorities than `priority` are admitted in full, `share` of
    `priority` itself, and of less urgent ones the floor. `recovers_s` is when
    there is likely to be room again.
    """

    priority: int
    share: float
    recovers_s: float = MIN_RETRY_AFTER_S

    def admitted_share(self, priority: int) -> float:
        """Return the part of a priority's requests that is admitted."""
        if priority < self.priority:
            return 1.0
        return self.share if priority == self.priority else FLOOR_SHARE


class RoomReport(Message):
    """What one gateway saw of a service's load, and the level it follows.

    `classes`, by priority, is empty while nothing is late.
    """

    classes: dict[int, ClassRoom] = {}
    level: RoomLevel | None = None


class _ServiceRoom:
    """The leader's state of one service.

    `cut` is the number of classes, least urgent first, that are cut to the
    floor; its fraction is how far the next one is cut.
    """

    __slots__ = ("capacity", "cut", "planned_at")

    def __init__(self, *, now: float):
        self.capacity = 0.0
        self.cut = 0.0
        self.planned_at = now

    def plan(
        self,
        classes: dict[int, ClassRoom],
        now: float,
        *,
        may_start: bool,
        nominal: float = 0.0,
    ) -> RoomLevel | None:
        """Return the level from now on.

        `nominal` is the work per second that the endpoints can do by their
        measured speed, 0 if that is not known.
        """
        elapsed_s = max(0.0, now - self.planned_at)
        self.planned_at = now
        if len(classes) < 2:
            self.cut = 0.0
            return None
        priorities = sorted(classes)
        urgent = [classes[p] for p in priorities[:-1]]
        objective_s = min(c.objective_s for c in urgent)
        target_s = TARGET_WAIT_SHARE * objective_s
        waiting = sum(c.waiting for c in classes.values())
        done = sum(c.done for c in classes.values())
        is_full = waiting > target_s * done
        memory_s = FULL_MEMORY_S if is_full else CAPACITY_MEMORY_S
        faded = self.capacity * exp(-elapsed_s / memory_s)
        # What is done falls with what is admitted, so that by it alone a level
        # would last after the load that it was for.
        self.capacity = max(done, faded, nominal, MIN_RATE_PER_S)
        wait_s = waiting / self.capacity
        offered = [classes[p].arrived * classes[p].work for p in priorities]
        fresh = sum(_fresh(offered, self.cut))
        is_short = wait_s > target_s and (
            _is_late(urgent)
            or (
                wait_s > GROWING_WAIT_SHARE * objective_s
                and fresh > GROWING_SHARE * self.capacity
            )
        )
        if not self.cut and not (may_start and is_short):
            return None
        budget = self.capacity * max(
            MIN_BUDGET_SHARE,
            min(MAX_BUDGET_SHARE, 1 - (wait_s - target_s) / DRAIN_S),
        )
        wanted = _cut_for(offered, budget)
        up_per_s = UP_PER_S
        if wait_s < target_s and fresh < FITTING_SHARE * self.capacity:
            up_per_s = UP_FITTING_PER_S
            if not wanted:
                up_per_s = UP_UNNEEDED_PER_S
        self.cut = max(
            min(wanted, self.cut + DOWN_PER_S * elapsed_s),
            self.cut - up_per_s * elapsed_s,
        )
        if self.cut < MIN_CUT:
            self.cut = 0.0
            return None
        return _level(priorities, self.cut, wait_s)

    def adopt(self, level: RoomLevel, priorities: Iterable[int]) -> None:
        """Continue a level that another leader decided."""
        floored = sum(p > level.priority for p in priorities)
        self.cut = floored + (1 - level.share) / (1 - FLOOR_SHARE)


def _is_late(classes: list[ClassRoom]) -> bool:
    late = sum(c.late for c in classes)
    answered = late + sum(c.in_time for c in classes)
    return (
        answered >= MIN_URGENT_RATE_PER_S and late > MAX_LATE_SHARE * answered
    )


def _fresh(offered: list[float], cut: float) -> list[float]:
    """Return what is offered the first time.

    What a level refuses returns once.
    """
    return [
        work / (2 - _admitted_share(len(offered) - 1 - index, cut))
        for index, work in enumerate(offered)
    ]


def _admitted_share(less_urgent: int, cut: float) -> float:
    """Return the share of a class with this number of less urgent ones."""
    part = max(0.0, min(1.0, cut - less_urgent))
    return 1 - part * (1 - FLOOR_SHARE)


def _cut_for(offered: list[float], budget: float) -> float:
    """Return the cut at which the admitted work fits the budget.

    `offered` is the work of each class per second, most urgent first.
    """
    cut, excess = 0.0, sum(offered) - budget
    for index in range(len(offered) - 1, -1, -1):
        if excess <= 0:
            break
        floor = FLOOR_SHARE if index else URGENT_FLOOR_SHARE
        part = min(1 - floor, excess / max(offered[index], 1e-9))
        cut += part / (1 - FLOOR_SHARE)
        excess -= part * offered[index]
    return cut


def _level(priorities: list[int], cut: float, wait_s: float) -> RoomLevel:
    floored = min(int(cut), len(priorities) - 1)
    share = _admitted_share(floored, cut)
    recovers_s = wait_s + (1 - share + floored) / UP_FITTING_PER_S
    return RoomLevel(
        priority=priorities[-1 - floored],
        share=round(max(FLOOR_SHARE, share), 3),
        recovers_s=round(
            max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, recovers_s)), 2
        ),
    )


class RoomPlanner:
    """The leader's part: levels by service.

    `levels` are those in force.
    """

    __slots__ = ("_logged", "_services", "levels")

    def __init__(self):
        self._services: dict[str, _ServiceRoom] = {}
        self._logged: dict[str, RoomLevel] = {}
        self.levels: dict[str, RoomLevel] = {}

    def plan(
        self,
        reports: Iterable[dict[str, RoomReport]],
        now: float,
        speeds: dict[str, float] | None = None,
    ) -> dict[str, RoomLevel]:
        """Return the levels of services that are short of room.

        `speeds` is the work per second of all ready endpoints together, by
        service, as far as it is known.
        """
        reported: dict[str, list[RoomReport]] = {}
        for services in reports:
            for service, report in services.items():
                reported.setdefault(service, []).append(report)
        self._services = {s: self._services.get(s) for s in reported}
        levels = {}
        for service, found in reported.items():
            short = [report for report in found if report.classes]
            classes = _sum(report.classes for report in short)
            state = self._services[service]
            if state is None:
                state = self._services[service] = _ServiceRoom(now=now)
                followed = [r.level for r in found if r.level is not None]
                if followed:
                    state.adopt(
                        min(followed, key=lambda i: (i.priority, i.share)),
                        classes,
                    )
            level = state.plan(
                classes,
                now,
                may_start=len(short) >= MIN_SHORT_SHARE * len(found),
                nominal=USABLE_SPEED_SHARE
                * (speeds or {}).get(service, 0.0)
                * len(short)
                / len(found),
            )
            if level is not None:
                levels[service] = level
        self.levels = levels
        return levels

    def changes(self) -> dict[str, RoomLevel | None]:
        """Return levels that changed by much since they were returned.

        None is a level that has ended.
        """
        changed: dict[str, RoomLevel | None] = {
            service: level
            for service, level in self.levels.items()
            if _differs(level, self._logged.get(service))
        }
        changed |= dict.fromkeys(self._logged.keys() - self.levels.keys())
        for service, level in changed.items():
            if level is None:
                del self._logged[service]
            else:
                self._logged[service] = level
        return changed


def _differs(level: RoomLevel, logged: RoomLevel | None) -> bool:
    return (
        logged is None
        or logged.priority != level.priority
        or abs(logged.share - level.share) >= LOGGED_CHANGE
    )


def _sum(reports: Iterable[dict[int, ClassRoom]]) -> dict[int, ClassRoom]:
    """Return the sums over gateways, of classes that matter."""
    found: dict[int, list[ClassRoom]] = {}
    for classes in reports:
        for priority, seen in classes.items():
            found.setdefault(priority, []).append(seen)
    sums = {}
    for priority, parts in found.items():
        arrived = sum(p.arrived for p in parts)
        if arrived < MIN_RATE_PER_S:
            continue
        sums[priority] = ClassRoom(
            arrived=arrived,
            in_time=sum(p.in_time for p in parts),
            late=sum(p.late for p in parts),
            done=sum(p.done for p in parts),
            work=sum(p.work * p.arrived for p in parts) / arrived,
            waiting=sum(p.waiting for p in parts),
            objective_s=min(p.objective_s for p in parts),
        )
    return sums


class RoomTicket:
    """One request in the counts of its class, from its arrival.

    `work` is 0 until it is sent.
    """

    __slots__ = ("_counts", "due_at", "is_settled", "work")

    def __init__(self, *, counts: "_Counts", due_at: float):
        self._counts = counts
        self.due_at = due_at
        self.work = 0.0
        # Whether it counts as in time, late or refused already.
        self.is_settled = False

    def sent(self, work: float) -> None:
        """Record that the request is sent to an endpoint the first time."""
        if self.work:
            return
        self.work = max(1.0, work)
        counts = self._counts
        counts.waiting += self.work
        weight = WORK_WEIGHT if counts.work else 1.0
        counts.work += weight * (self.work - counts.work)
        counts.pending.append(self)

    def refused(self) -> None:
        """Record that the request is refused for want of room."""
        self.is_settled = True

    def answered(self, now: float) -> None:
        """Record that the answer begins."""
        if self.work <= 0:
            return
        self._counts.done += self.work
        if not self.is_settled:
            self._settle(late=now > self.due_at)
        self.ended()

    def ended(self) -> None:
        """Record that no answer is waited for any more."""
        if self.work > 0:
            self._counts.waiting -= self.work
            self.work = -1.0
        self.is_settled = True

    def overdue(self) -> None:
        """Record that the request is late before it is answered."""
        if not self.is_settled:
            self._settle(late=True)

    def _settle(self, *, late: bool) -> None:
        self.is_settled = True
        if late:
            self._counts.late += 1
        else:
            self._counts.in_time += 1


class _Counts:
    """Counts of one class since the last report, and their rates."""

    __slots__ = (
        "_counted_s",
        "_rates",
        "arrived",
        "credit",
        "done",
        "in_time",
        "late",
        "objective_s",
        "pending",
        "waiting",
        "work",
    )

    def __init__(self, *, credit: float):
        # What the draw of a level has left over; below 1.
        self.credit = credit
        self.objective_s = float("inf")
        self.work = 0.0
        self.waiting = 0.0
        self.pending: deque[RoomTicket] = deque()
        self.arrived = self.in_time = self.late = 0
        self.done = 0.0
        self._rates = [0.0] * 4
        self._counted_s = 0.0

    def draw(self, share: float) -> bool:
        """Return whether the next request is of the admitted share."""
        self.credit += share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def update(self, elapsed_s: float, now: float) -> None:
        """Update the rates by what was counted in `elapsed_s`."""
        while self.pending and (
            self.pending[0].is_settled or self.pending[0].due_at < now
        ):
            self.pending.popleft().overdue()
        # At first, the mean of all that was counted.
        self._counted_s += elapsed_s
        weight = max(
            1 - exp(-elapsed_s / RATE_WINDOW_S), elapsed_s / self._counted_s
        )
        newest = (
            self.arrived / elapsed_s,
            self.in_time / elapsed_s,
            self.late / elapsed_s,
            self.done / elapsed_s,
        )
        self._rates = [
            rate + weight * (value - rate)
            for rate, value in zip(self._rates, newest, strict=True)
        ]
        self.arrived = self.in_time = self.late = 0
        self.done = 0.0

    def is_short(self) -> bool:
        """Return whether something was late lately, or is likely to be."""
        _, _, late, done = self._rates
        in_time_work = GROWING_WAIT_SHARE * self.objective_s * done
        return late > NEGLIGIBLE_RATE_PER_S or self.waiting > in_time_work > 0

    def is_unused(self) -> bool:
        """Return whether nothing arrived for long."""
        return not self.waiting and self._rates[0] < NEGLIGIBLE_RATE_PER_S

    def room(self) -> ClassRoom:
        """Return the class's part of a report."""
        arrived, in_time, late, done = (
            float(f"{rate:.3g}") for rate in self._rates
        )
        return ClassRoom(
            arrived=arrived,
            in_time=in_time,
            late=late,
            done=done,
            work=float(f"{self.work:.3g}"),
            waiting=self.waiting,
            objective_s=self.objective_s,
        )


class RoomGate:
    """A gateway's part: counts requests and applies the level."""

    __slots__ = ("_classes", "_levels", "_late_at", "_rng", "_updated_at")

    def __init__(self, *, rng: Random):
        self._rng = rng
        self._levels: dict[str, RoomLevel] = {}
        self._classes: dict[str, dict[int, _Counts]] = {}
        self._late_at: dict[str, float] = {}
        self._updated_at: float | None = None

    def apply(self, levels: dict[str, RoomLevel], now: float) -> None:
        """Take over the leader's levels; services without one have room."""
        self._levels = levels

    @property
    def level_count(self) -> int:
        """The number of services with a level."""
        return len(self._levels)

    def level(self, service: str) -> RoomLevel | None:
        """Return the level of a service, None if all is admitted."""
        return self._levels.get(service)

    def arrive(
        self, service: str, priority: int, objective_s: float, due_at: float
    ) -> RoomTicket:
        """Count a request; its answer should begin by `due_at`."""
        counts = self._class(service, priority)
        counts.arrived += 1
        counts.objective_s = min(counts.objective_s, objective_s)
        return RoomTicket(counts=counts, due_at=due_at)

    def admits(self, service: str, priority: int) -> bool:
        """Draw whether the level admits one more request."""
        level = self._levels.get(service)
        if level is None:
            return True
        share = level.admitted_share(priority)
        return share >= 1 or self._class(service, priority).draw(share)

    def retry_after_s(self, service: str, remaining_s: float) -> float:
        """Return when a client that is refused now may return."""
        level = self._levels.get(service)
        wait_s = level.recovers_s if level else MIN_RETRY_AFTER_S
        wait_s *= 1 + RETRY_SPREAD * self._rng.random()
        return min(wait_s, MAX_RETRY_SHARE * max(0.0, remaining_s))

    def urgent_objective_s(self, service: str, priority: int) -> float | None:
        """Return the objective of the most urgent class, None of `priority`.

        That is, None if no more urgent class than `priority` sends requests.
        """
        classes = self._classes.get(service, {})
        most_urgent = min(classes, default=priority)
        if most_urgent >= priority:
            return None
        return classes[most_urgent].objective_s

    def report(self, now: float) -> dict[str, RoomReport]:
        """Return what this gateway saw, by service with requests."""
        self._update(now)
        return {
            service: RoomReport(
                classes={p: counts.room() for p, counts in classes.items()},
                level=self._levels.get(service),
            )
            if service in self._levels or service in self._late_at
            else RoomReport()
            for service, classes in self._classes.items()
            if classes
        }

    def _update(self, now: float) -> None:
        if self._updated_at is None:
            self._updated_at = now
        elapsed_s = now - self._updated_at
        if elapsed_s < MIN_UPDATE_S:
            return
        self._updated_at = now
        for service, classes in self._classes.items():
            for priority, counts in tuple(classes.items()):
                counts.update(elapsed_s, now)
                if counts.is_short():
                    self._late_at[service] = now
                if counts.is_unused():
                    del classes[priority]
        self._late_at = {
            service: at
            for service, at in self._late_at.items()
            if now - at <= REPORT_AFTER_LATE_S
        }

    def forget(self, names: Iterable[str]) -> None:
        """Forget services but these."""
        forget_unnamed(self._classes, frozenset(names))

    def _class(self, service: str, priority: int) -> _Counts:
        classes = self._classes.setdefault(service, {})
        if priority not in classes:
            classes[priority] = _Counts(credit=self._rng.random())
        return classes[priority]
