"""What one gateway takes for a crash, reports, and refuses.

A gateway that takes a reset for a crash suspects harmless parts; one that
forgets a crash when control is away lets the part go on.
"""

import msgspec
import pytest

from chervilshift.core.fleet.crashes import Quarantined, Suspicion, is_request
from chervilshift.core.fleet.crashreports import (
    MAX_ANSWERED,
    MAX_REPORTED_PARTS,
    MAX_REPORTS,
    MAX_RESTART_S,
    MAX_SHARED_PARTS,
    RECENT_ANSWER_S,
    REFUSED_REPORT_S,
    REPORT_S,
    CrashReports,
    request_part,
    suspect_parts,
)

UNIX_S = 1_700_000_000.0
E1 = ("e1", 1)


def reports_of(*breaks: tuple[float, str, str]) -> CrashReports:
    """Return reports of crashes: time, endpoint, space-separated parts."""
    reports = CrashReports(gateway_id="g1")
    for at, endpoint, parts in breaks:
        break_off(reports, at, endpoint, parts)
        reports.settle((endpoint, 1))
    return reports


def break_off(reports: CrashReports, at: float, endpoint: str, parts: str):
    positions = [(part, n) for n, part in enumerate(parts.split())]
    return reports.record_break((endpoint, 1), positions, at, UNIX_S + at)


def block(reports: CrashReports, parts: str, at: float, *, alone=False) -> str:
    return reports.blocking_part(parts.split(), at, UNIX_S + at, alone=alone)


def quarantine(*parts: str, revision=1, **fields) -> Suspicion:
    return Suspicion(
        revision=revision,
        quarantined={p: Quarantined(since_s=UNIX_S, **fields) for p in parts},
    )


def test_break_that_is_not_settled_is_not_reported():
    reports = CrashReports(gateway_id="g1")
    assert break_off(reports, 1.0, "e1", "a b")
    assert not break_off(reports, 1.1, "e1", "c")
    assert not reports.crashes()
    reports.expire(1.0 + MAX_RESTART_S + 0.1)
    assert reports.settle(E1) is None


def test_requests_that_break_off_later_belong_to_the_same_crash():
    reports = reports_of((1.0, "e1", "a b"))
    assert not break_off(reports, 1.2, "e1", "a c")
    (crash,) = reports.crashes()
    assert crash.parts == {"a": 0, "b": 1, "c": 1}
    assert crash.at_s == UNIX_S + 1.0
    assert reports.count == 1


def test_endpoint_that_was_restarted_before_it_was_probed_has_crashed():
    reports = CrashReports(gateway_id="g1")
    break_off(reports, 1.0, "e1", "a")
    assert not reports.settle_ended({E1})
    (crash,) = reports.settle_ended({("e1", 2)})
    assert crash.endpoint == "e1"


def test_part_answered_about_then_or_since_is_no_suspect():
    reports = reports_of((10.0, "e1", "head rare bad"))
    reports.record_answer(["head"], UNIX_S + 10.0 - RECENT_ANSWER_S + 0.1)
    reports.record_answer(["rare"], UNIX_S + 10.0 - RECENT_ANSWER_S - 0.1)
    assert set(reports.crashes()[0].parts) == {"rare", "bad"}
    reports.record_answer(["rare"], UNIX_S + 12.0)
    assert set(reports.crashes()[0].parts) == {"bad"}


def test_crashes_are_reported_until_a_new_leader_had_time():
    reports = reports_of((1.0, "e1", "bad"))
    reports.expire(1.0 + REPORT_S)
    assert reports.crashes()
    reports.expire(1.1 + REPORT_S)
    assert not reports.crashes()


def test_answers_are_reported_for_suspects_only_and_seldom_change():
    reports = CrashReports(gateway_id="g1")
    reports.record_answer(["a", "b"], UNIX_S)
    assert not reports.answers()
    reports.apply(Suspicion(revision=1, suspects={"a": 1, "c": 1}))
    assert reports.answers() == {"a": UNIX_S}
    reports.record_answer(["a"], UNIX_S + 0.5)
    assert reports.answers() == {"a": UNIX_S}
    reports.record_answer(["a"], UNIX_S + 1.5)
    assert reports.answers() == {"a": UNIX_S + 1.5}
    reports.apply(Suspicion(revision=2))
    assert not reports.answers()


def test_older_suspicion_of_another_replica_changes_nothing():
    reports = CrashReports(gateway_id="g1")
    reports.apply(quarantine("bad", revision=5))
    reports.apply(Suspicion(revision=4))
    assert block(reports, "head bad", 1.0) == "bad"


def test_refused_parts_are_reported_while_their_requests_come():
    reports = CrashReports(gateway_id="g1")
    reports.apply(quarantine("bad", "other"))
    block(reports, "head bad", 1.0)
    assert reports.refused() == ("bad",)
    reports.expire(1.1 + REFUSED_REPORT_S)
    assert not reports.refused()


def test_trial_lets_one_request_through_at_one_gateway():
    reports = CrashReports(gateway_id="g1")
    reports.apply(quarantine("bad", "worse", trial=1, trial_gateway="g1"))
    assert block(reports, "bad worse", 1.0)
    assert not block(reports, "head bad", 1.0)
    assert block(reports, "head bad", 1.0) == "bad"
    elsewhere = CrashReports(gateway_id="g2")
    elsewhere.apply(quarantine("bad", trial=1, trial_gateway="g1"))
    assert block(elsewhere, "head bad", 1.0) == "bad"


@pytest.mark.parametrize("alone", [True, False])
def test_gateway_without_control_uses_its_own_diagnosis(alone):
    crashes = ((float(n), f"e{n}", f"head r{n} bad") for n in range(3))
    reports = reports_of(*crashes)
    expected = "bad" if alone else ""
    assert block(reports, "head x bad", 9.0, alone=alone) == expected
    assert not block(reports, "head x", 9.0, alone=alone)


def test_suspect_of_two_crashes_is_not_sent_once_more():
    reports = CrashReports(gateway_id="g1")
    reports.apply(Suspicion(revision=1, suspects={"bad": 2, "head": 1}))
    assert reports.may_repeat(["head"])
    assert not reports.may_repeat(["head", "bad"])


def test_part_behind_many_others_is_stopped():
    def prompt(number: int) -> tuple[tuple[str, int], ...]:
        junk = [f"j{number}-{n}" for n in range(2 * MAX_SHARED_PARTS)]
        return suspect_parts([*junk, "bad", "own"], f"={number}")

    reports = CrashReports(gateway_id="g1")
    for number in range(3):
        incarnation = (f"e{number}", 1)
        at = float(number)
        reports.record_break(incarnation, prompt(number), at, UNIX_S + at)
        reports.settle(incarnation)
    parts = [part for part, _ in prompt(9)]
    assert len(parts) == MAX_SHARED_PARTS + 1
    assert block(reports, " ".join(parts[:-2]), 9.0, alone=True) == ""
    assert reports.blocking_part(parts, 9.0, UNIX_S + 9.0, alone=True)


def test_parts_that_are_not_shared_or_have_long_ids():
    assert suspect_parts(["own"], "=1") == (("=1", 1),)
    assert suspect_parts([], "=1") == (("=1", 0),)
    (part, position), own = suspect_parts(["x" * 10_000, "own"], "=1")
    assert (len(part), position) == (24, 0)
    assert own == ("=1", 2)


def test_request_is_known_by_customer_place_and_body():
    place = b"POST shop.example /read/a"
    own = request_part("acme", place, b"body")
    assert own == request_part("acme", place, b"body")
    others = {
        request_part("other", place, b"body"),
        request_part("acme", place + b"b", b"ody"),
        request_part("acme", place, b"bod"),
        request_part("acmeP", place[1:], b"body"),
    }
    assert len(others - {own}) == 4


def test_prompt_part_that_is_named_like_a_request_is_none():
    own = request_part("acme", b"POST shop.example /read/a", b"body")
    (forged, _), _ = suspect_parts([own, "last"], "=1")
    assert not is_request(forged)


def test_trial_of_a_part_is_not_given_to_a_request_that_is_a_suspect():
    reports = CrashReports(gateway_id="g1")
    told = quarantine("bad", trial=1, trial_gateway="g1")
    told = msgspec.structs.replace(told, suspects={"=dead": 2})
    reports.apply(told)
    assert block(reports, "bad =dead", 1.0) == "bad"
    assert not block(reports, "bad =sound", 1.0)
    assert block(reports, "bad =sound", 1.0) == "bad"


def test_report_to_control_is_bounded_and_keeps_the_newest_crashes():
    reports = reports_of(
        *(
            (float(n), f"e{n}", " ".join(f"p{n}-{m}" for m in range(100)))
            for n in range(MAX_REPORTS)
        )
    )
    sent = reports.crashes()
    assert sum(len(c.parts) for c in sent) <= MAX_REPORTED_PARTS
    assert sent[-1].endpoint == f"e{MAX_REPORTS - 1}"


def test_memory_is_bounded_under_a_flood():
    reports = CrashReports(gateway_id="g1")
    for number in range(3 * MAX_ANSWERED):
        reports.record_answer([f"p{number}"], UNIX_S)
        break_off(reports, 1.0, f"e{number}", f"q{number}")
        reports.settle((f"e{number}", 1))
    assert len(reports.crashes()) == MAX_REPORTS
    reports.apply(
        Suspicion(
            revision=1, suspects={f"p{n}": 1 for n in range(3 * MAX_ANSWERED)}
        )
    )
    assert len(reports.answers()) == MAX_ANSWERED
