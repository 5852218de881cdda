"""Evidence for and against a new version, from totals of gateways."""

from random import Random

import pytest

from chervilshift.core.fleet.placement import Choice, Work
from chervilshift.core.fleet.rollouttest import Evidence
from chervilshift.core.fleet.versiongate import (
    MIN_PREDICTED_S,
    SLOW_MULTIPLE,
    ratio_bucket,
)
from chervilshift.core.fleet.versions import RouteTotals, VersionOutcomes
from tests.core.fleet.test_versiongate import Gate

STEP_S = 0.25
ENDPOINTS = 6


class Totals:
    """Totals of one gateway, to which outcomes are added."""

    def __init__(self, name: str = "g"):
        self.gateway = (name, "1")
        self.evidence = Evidence(to="v2")
        self.now = 0.0
        self.routes: dict[tuple[str, str], RouteTotals] = {}

    def add(
        self,
        version: str,
        route: str,
        number: int,
        *,
        failed: int = 0,
        slow: int = 0,
        at: tuple[str, ...] = ("e0", "e1", "e2", "e3", "e4", "e5"),
    ) -> None:
        """Add outcomes; bad ones are spread over endpoints in turn."""
        last = self.routes.get((version, route), RouteTotals())
        failed_at, slow_at = dict(last.failed_at), dict(last.slow_at)
        for found, number_bad in ((failed_at, failed), (slow_at, slow)):
            for _ in range(number_bad):
                name = at[sum(found.values()) % len(at)]
                found[name] = found.get(name, 0) + 1
        self.routes[version, route] = RouteTotals(
            ended=last.ended + number,
            failed=last.failed + failed,
            judged=last.judged + number,
            slow=last.slow + slow,
            ratios={0: last.ended + number},
            failed_at=failed_at,
            slow_at=slow_at,
        )

    def step(self) -> None:
        """Report, and test what was reported."""
        outcomes = {
            version: VersionOutcomes(
                routes={
                    route: totals
                    for (of, route), totals in self.routes.items()
                    if of == version
                }
            )
            for version in ("v1", "v2")
        }
        self.evidence.add(self.gateway, outcomes)
        self.now += STEP_S
        self.evidence.test(ENDPOINTS, self.now)

    def play(self, seconds: float, old: dict, new: dict) -> None:
        """Add outcomes per step, by route: number, failed, slow."""
        for _ in range(int(seconds / STEP_S)):
            for version, given in (("v1", old), ("v2", new)):
                for route, (number, failed, slow) in given.items():
                    self.add(version, route, number, failed=failed, slow=slow)
            self.step()

    def finding(self):
        return self.evidence.finding(ENDPOINTS, self.now)


def test_versions_that_are_alike_are_no_finding():
    totals = Totals()
    totals.play(20, {"a": (40, 2, 4)}, {"a": (20, 1, 2)})
    assert not totals.finding().is_doubtful


def test_failures_on_one_route_are_found_among_many_requests():
    totals = Totals()
    old = {"a": (90, 0, 0), "b": (5, 0, 0)}
    totals.play(10, old, {"a": (9, 0, 0), "b": (1, 0, 0)})
    assert not totals.finding().is_doubtful
    totals.play(5, old, {"a": (9, 0, 0), "b": (1, 1, 0)})
    finding = totals.finding()
    assert finding.is_bad and finding.route == "b"


def test_fault_that_begins_late_is_found_soon():
    """Over the whole time it is a few of thousands."""
    totals = Totals()
    totals.play(60, {"a": (50, 0, 0)}, {"a": (50, 0, 0)})
    totals.play(1, {"a": (50, 0, 0)}, {"a": (50, 10, 0)})
    assert totals.finding().is_bad


@pytest.mark.parametrize("kind", ["failed", "slow"])
def test_bad_endpoint_is_not_taken_for_its_version(kind):
    totals = Totals()
    for _ in range(80):
        totals.add("v1", "a", 50)
        totals.add("v2", "a", 6, **{kind: 1}, at=("e3",))
        totals.step()
    assert not totals.finding().is_suspect


def test_fault_of_all_endpoints_is_found_beside_a_bad_one():
    totals = Totals()
    for _ in range(80):
        totals.add("v1", "a", 50)
        totals.add("v2", "a", 6, failed=1, at=("e3",))
        totals.add("v2", "a", 6, failed=1, at=("e0", "e1", "e2", "e4", "e5"))
        totals.step()
    assert totals.finding().is_bad


def test_failures_of_both_versions_are_of_something_else():
    """A dependency that fails for a while fails for both."""
    totals = Totals()
    totals.play(20, {"a": (40, 0, 0)}, {"a": (10, 0, 0)})
    totals.play(5, {"a": (40, 16, 0)}, {"a": (10, 4, 0)})
    assert not totals.finding().is_doubtful


def test_burst_while_the_shares_shift_is_no_finding():
    """Most of the old version's requests were before it."""
    totals = Totals()
    totals.play(20, {"a": (45, 0, 2)}, {"a": (5, 0, 0)})
    totals.play(2, {"a": (20, 0, 8)}, {"a": (30, 0, 12)})
    totals.play(3, {"a": (0, 0, 0)}, {"a": (50, 0, 20)})
    assert not totals.finding().is_doubtful


def test_routes_that_differ_are_not_mixed_up():
    """A route that fails often has a larger part of the new version's."""
    totals = Totals()
    old = {"a": (90, 0, 0), "b": (10, 3, 0)}
    totals.play(30, old, {"a": (5, 0, 0), "b": (10, 3, 0)})
    assert not totals.finding().is_doubtful


def test_version_is_proven_route_by_route():
    totals = Totals()
    totals.play(10, {"a": (50, 0, 0), "b": (10, 0, 0)}, {"a": (8, 0, 0)})
    assert totals.evidence.unproven_routes(ENDPOINTS) == {"b"}
    totals.play(10, {"a": (50, 0, 0), "b": (10, 0, 0)}, {"b": (8, 0, 0)})
    assert not totals.evidence.unproven_routes(ENDPOINTS)


def test_reports_that_come_again_count_once():
    totals = Totals()
    totals.add("v2", "a", 10, failed=1)
    for _ in range(5):
        totals.step()
    assert totals.evidence.counts() == {"a": [10, 1, 10, 0]}


def test_restarted_gateway_is_added_to_its_former_incarnation():
    totals = Totals()
    totals.add("v2", "a", 10)
    totals.step()
    totals.gateway = ("g", "2")
    totals.routes.clear()
    totals.add("v2", "a", 4)
    totals.step()
    assert totals.evidence.ended() == 14


def test_usual_time_is_that_of_the_old_version():
    totals = Totals()
    totals.add("v1", "a", 19)
    totals.step()
    assert not totals.evidence.usual()
    totals.add("v1", "a", 10)
    totals.add("v2", "b", 100)
    totals.step()
    assert totals.evidence.usual() == {"a": 1.0}


@pytest.mark.parametrize("slowness", [1.0, 4.0])
def test_cold_caches_of_a_new_version_are_not_slowness(slowness):
    """Its first prompts take several times as long as the old version's.

    Engines take 20 ms and read 90,000 tokens a second, four times as long at
    a slow version.
    """
    rng = Random(1)
    work = Work(tokens=9_200, parts=(("shared", 6_300), ("own", 2_900)))
    gate = Gate(stage="ramp")
    evidence = Evidence(to="v2")

    def send(version: str, *, cold: bool, slowness: float) -> None:
        chosen = rng.choice(
            [e for e in gate.endpoints if e.record.version == version]
        )
        read = work.tokens if cold else 2_900
        attempt = gate.gate.begin(
            "pool",
            "a",
            Choice(
                endpoint=chosen,
                baseline_s=max(MIN_PREDICTED_S, 2_900 / 80_000),
                wait_s=0.0,
                cost_s=0.0,
                uncached_tokens=2_900,
            ),
            work,
            0.0,
            is_first=True,
            is_engine=True,
        )
        took_s = (0.02 + read / 90_000) * rng.uniform(0.8, 1.3) * slowness
        attempt.record_reply(took_s)

    for step in range(60):
        for _ in range(40):
            # Other gateways' requests keep most prompts cached.
            send("v1", cold=rng.random() < 0.1, slowness=1.0)
        for _ in range(5):
            send("v2", cold=rng.random() < 0.9, slowness=slowness)
        evidence.add(("g", "1"), gate.gate.report(0.0)["pool"])
        evidence.test(ENDPOINTS, step * STEP_S)
        gate.share_usual(evidence.usual())
    finding = evidence.finding(3, 60 * STEP_S)
    assert finding.is_bad == (slowness > SLOW_MULTIPLE), str(finding)


def test_buckets_keep_what_is_usual_apart_from_what_is_slow():
    assert ratio_bucket(SLOW_MULTIPLE) - ratio_bucket(1.0) >= 2
