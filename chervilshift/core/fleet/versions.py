"""Rollouts in the log, and what gateways report of a service's versions.

A rollout moves a service from its versions to another one. While it runs,
all versions but the new one are safe; from the stage `FINISH` on the new one
is. Each rollout is named by the log position of its order.
"""

from collections.abc import Iterable

from chervilshift.core.message import Message

__all__ = [
    "COMPLETED",
    "FINISH",
    "RAMP",
    "ROLLED_BACK",
    "RUNNING",
    "TEST",
    "Rollout",
    "RolloutPolicy",
    "RouteTotals",
    "VersionOutcomes",
    "VersionShares",
    "old_lease_end_s",
    "running",
]

# States, as operators see them.
RUNNING = "running"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"

# Stages of one that is running, in order: the new version gets the exposure
# share, a growing share, and everything.
TEST = "test"
RAMP = "ramp"
FINISH = "finish"

# A gateway without news uses the old version up to this part of the ramp time,
# or this long before the deadline, but at least up to the second part: the
# rollout can then be completed in time without its confirmation.
OLD_LEASE_PART, AFTER_LEASE_S, MIN_LEASE_PART = 0.85, 3.0, 0.6


class Rollout(Message):
    """One order and how far it is, as the log has it.

    `order` is the log position of the order, `changed_at` that of the last
    change; times are Unix times. `old` are the versions that it moves away
    from, known in full at its end, and `barred` versions that an earlier
    rollout moved away from. `share` is the share of requests that the stage
    `RAMP` has reached. `settled` is true once an ended rollout no longer
    excludes anything.
    """

    order: int
    changed_at: int
    service: str
    to: str
    ramp_s: float
    ordered_s: float
    deadline_s: float
    old: tuple[str, ...] = ()
    barred: tuple[str, ...] = ()
    state: str = RUNNING
    stage: str = TEST
    share: float = 0.0
    reason: str = ""
    ended_s: float = 0.0
    settled: bool = False

    @property
    def is_running(self) -> bool:
        """Whether the rollout has not ended."""
        return self.state == RUNNING

    @property
    def prefers_new(self) -> bool:
        """Whether the new version is the one to use without news."""
        if self.is_running:
            return self.stage == FINISH
        return self.state == COMPLETED

    def excludes(self, version: str) -> bool:
        """Whether endpoints of a version get no requests without news."""
        if self.settled:
            return False
        if version == self.to:
            return not self.prefers_new
        if version in self.barred:
            return True
        if self.is_running:
            return self.stage == FINISH
        return self.state == COMPLETED and version in self.old


def old_lease_end_s(rollout: Rollout) -> float:
    """Return the Unix time until which gateways without news use the old.

    Afterwards a gateway that is not told may not use it, as the old endpoints
    may have stopped.
    """
    ramp_s = rollout.ramp_s
    latest_s = min(OLD_LEASE_PART * ramp_s, ramp_s - AFTER_LEASE_S)
    return rollout.ordered_s + max(MIN_LEASE_PART * ramp_s, latest_s)


class RolloutPolicy:
    """Limits of rollouts.

    A version that turns out bad gets at most `share` of a service's requests
    and `slack` more, and none later than `rollback_s` after it is known.
    """

    __slots__ = ("rollback_s", "share", "slack")

    def __init__(self, *, share: float, slack: float, rollback_s: float):
        self.share = share
        self.slack = slack
        self.rollback_s = rollback_s


class RouteTotals(Message, tag=False, array_like=True):
    """Outcomes of attempts of one route at one version since the order.

    Of the `ended` ones `failed` failed. Of the `judged` ones, for which the
    usual time is known, `slow` took several times as long. `ratios` are the
    numbers by ratio of actual to predicted time, see `ratio_bucket`, where
    nothing is taken as cached but what this gateway knows to be;
    `cached_ratios` are those to the time with all that may be cached, of
    engines only. `failed_at` and `slow_at` are the numbers by endpoint,
    without zeros.
    """

    ended: int = 0
    failed: int = 0
    judged: int = 0
    slow: int = 0
    ratios: dict[int, int] = {}
    cached_ratios: dict[int, int] = {}
    failed_at: dict[str, int] = {}
    slow_at: dict[str, int] = {}


class VersionOutcomes(Message):
    """Totals of one gateway for one version of a service since the order.

    `order` names the rollout. `requests` are those whose first attempt was
    sent to this version, `attempts` all that were placed there.
    """

    order: int = 0
    requests: int = 0
    attempts: int = 0
    routes: dict[str, RouteTotals] = {}


class VersionShares(Message):
    """How a service's requests are divided while a rollout runs.

    `order` names the rollout. The new version gets the share `share` of the
    requests, or that of its route in `routes`, at `width` of its endpoints, 0
    for all of them; in the stage `TEST` no more than the exposure limit, to
    which each gateway may add `extra` requests. With `closed` it gets none.
    `usual` is the usual ratio of actual to predicted time by route, without
    caches, as measured at the old version.
    """

    order: int
    share: float = 0.0
    routes: dict[str, float] = {}
    width: int = 0
    extra: float = 0.0
    closed: bool = False
    usual: dict[str, float] = {}


def running(rollouts: Iterable[Rollout]) -> tuple[Rollout, ...]:
    """Return the rollouts that have not ended."""
    return tuple(r for r in rollouts if r.is_running)
