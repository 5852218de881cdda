"""Diagnosis of the prompt parts that crash endpoints.

What can go wrong: the part that causes crashes goes on crashing endpoints, or
a part that only was there when they crashed is refused.
"""

import msgspec

from chervilshift.core.fleet.crashes import (
    CLEARING_S,
    CRASH_MAX_AGE_S,
    MAX_CRASHES,
    MAX_EXPIRED,
    MAX_PARTS_PER_CRASH,
    MAX_QUARANTINED,
    MAX_SUSPECTS,
    MAX_TRIALS,
    REPEATED_TRIAL_AFTER_S,
    REPORTED_S,
    TRIAL_AFTER_S,
    Crash,
    CrashSnapshot,
    CrashTable,
)


def table_of(*crashes: tuple[float, str]) -> CrashTable:
    """Return a table with a crash per time and its space-separated parts."""
    table = CrashTable()
    for number, (at_s, parts) in enumerate(crashes):
        table.note((crash(number, at_s, parts),), number + 1)
    return table


def crash(number: int, at_s: float, parts: str) -> Crash:
    positions = {part: index for index, part in enumerate(parts.split())}
    return Crash(endpoint=f"e{number}", born_ms=1, at_s=at_s, parts=positions)


def causes(table: CrashTable, now_s: float = 1000.0) -> set[str]:
    return set(table.diagnose(now_s).causes)


def test_part_of_three_crashes_is_the_cause_and_what_varied_is_not():
    table = table_of((1, "head r1 bad"), (2, "head r2 bad"), (3, "r3 bad"))
    assert causes(table) == {"bad"}
    assert not causes(table_of((1, "head bad"), (2, "bad")))


def test_among_parts_of_the_same_crashes_the_last_in_the_prompt_is_the_cause():
    assert causes(table_of(*((n, "head subject bad") for n in range(3)))) == {
        "bad"
    }


def test_part_that_crashes_without_its_companion_takes_its_place():
    table = table_of(*((n, "bad decoy") for n in range(3)))
    table.quarantine(causes(table), 10.0, 4)
    assert set(table.quarantined) == {"decoy"}
    table.note((crash(3, 4, "bad other"),), 5)
    diagnosis = table.diagnose(1000.0)
    assert diagnosis.causes == ("bad",)
    assert diagnosis.released == ("decoy",)


def test_several_causes_are_found_at_once():
    crashes = [(n, f"head s{n} bad{n % 3}") for n in range(9)]
    table = table_of(*crashes)
    table.clear({"head": 100.0}, 10)
    assert causes(table) == {"bad0", "bad1", "bad2"}


def test_part_of_most_normal_requests_is_cleared_by_the_next_answer():
    table = table_of(*((n, "head") for n in range(5)))
    answers = {"head": 2.5, "other": 9.0}
    assert table.unknown_answers(answers) == {"head": 2.5}
    table.clear({"head": 10.0}, 6)
    assert not causes(table)
    assert not table.unknown_answers({"head": 11.0})


def test_popular_part_has_time_to_be_cleared_before_the_diagnosis():
    table = table_of((10.0, "head"), (10.2, "head"), (10.4, "head"))
    assert REPORTED_S + 0.4 < CLEARING_S
    assert not causes(table, 10.0 + CLEARING_S - 0.01)
    assert causes(table, 10.0 + CLEARING_S) == {"head"}


def test_crash_that_not_all_gateways_have_reported_is_not_used():
    table = table_of(*((n, "head") for n in range(10)))
    assert not causes(table_of((1, "head"), (2, "head"), (9, "head")), 9.1)
    table.note([crash(n, n, "head bad") for n in range(10)], 11)
    assert causes(table) == {"bad"}


def test_part_answered_before_is_diagnosed_after_those_that_never_were():
    crashes = [(10 + n, "head r bad" if n < 5 else "head") for n in range(6)]
    table = table_of(*crashes)
    table.clear({"head": 9.0, "r": 9.0}, 7)
    assert causes(table) == {"bad"}
    suspects = table.suspicion().suspects
    assert (suspects["head"], suspects["bad"]) == (0, 5)
    table.clear({"bad": 100.0}, 8)
    assert causes(table) == {"head"}


def test_loss_of_many_endpoints_at_one_moment_is_one_crash():
    table = table_of(*((5.0 + n / 1000, "subject") for n in range(20)))
    assert not causes(table)
    assert table.counts() == {"subject": 1}


def test_part_of_all_requests_that_ends_all_endpoints_at_once_is_found():
    """It was answered before, and counted crashes came too slowly."""
    waves = [(10.0 + n * 0.15, "head") for n in range(3) for _ in range(4)]
    table = table_of(*waves, (8.0, "other"))
    table.clear({"head": 9.0}, 14)
    assert causes(table) == {"head"}
    few = table_of(*((10.0 + n, "head") for n in range(4)))
    few.clear({"head": 9.0}, 5)
    assert not causes(few)
    two_moments = table_of(*waves[:8])
    two_moments.clear({"head": 9.0}, 9)
    assert not causes(two_moments)


def test_part_with_fewer_crashes_does_not_come_before_one_not_cleared_yet():
    early = [(9.0, "mate"), (9.2, "mate")]
    later = [(10.0 + n * 0.11, "mate bad") for n in range(3)]
    table = table_of(*early, *later, (10.4, "bad"), (10.6, "bad"))
    table.note((crash(20, 10.6, "bad"),), 8)
    table.clear({"mate": 8.0, "bad": 8.0}, 9)
    assert not causes(table, 9.0 + CLEARING_S + 0.99)
    assert causes(table, 10.0 + CLEARING_S) == {"bad"}


def test_report_of_a_cleared_part_does_not_make_it_a_suspect_again():
    table = table_of((1, "head bad"))
    table.clear({"head": 2.0}, 2)
    assert not table.unknown((crash(0, 1, "head"),))
    table.note((crash(0, 1, "head late"),), 3)
    assert table.counts() == {"bad": 1, "late": 1}


def test_same_crash_from_several_gateways_counts_once():
    table = table_of((1, "bad"))
    for _ in range(5):
        table.note((crash(0, 1.2, "bad mine"),), 2)
    assert table.counts() == {"bad": 1, "mine": 1}


def test_answer_frees_a_part_from_quarantine():
    table = table_of(*((n, "normal") for n in range(3)))
    table.quarantine(("normal",), 5.0, 4)
    assert table.unknown_answers({"normal": 6.0})
    table.clear({"normal": 6.0}, 5)
    assert not table.quarantined
    assert not causes(table)


def test_part_released_unused_is_quarantined_by_the_next_crash():
    table = table_of(*((n, "bad") for n in range(3)))
    table.quarantine(("bad",), 5.0, 4)
    table.expire(("bad",), 6.0, 5)
    assert not causes(table)
    table.note((crash(9, 999.0, "bad normal"),), 6)
    assert causes(table, 1000.0) == {"bad"}


def test_quarantine_outlasts_the_crashes_that_it_comes_from():
    table = table_of(*((n, "bad") for n in range(3)))
    table.quarantine(("bad",), 5.0, 4)
    late = 10.0 + CRASH_MAX_AGE_S
    table.note((crash(9, late, "normal"),), 5)
    assert table.diagnose(late + 10).released == ()
    assert set(table.quarantined) == {"bad"}


def test_one_trial_is_due_and_another_only_if_nothing_crashed():
    table = table_of(*((n, "bad") for n in range(3)))
    table.quarantine(("bad",), 5.0, 4)
    assert not table.next_trials(5.0 + TRIAL_AFTER_S)
    began_s = 5.1 + TRIAL_AFTER_S
    assert table.next_trials(began_s) == ("bad",)
    table.start_trial("bad", "g1", began_s, 5)
    assert table.quarantined["bad"].trial_gateway == "g1"
    later_s = began_s + REPEATED_TRIAL_AFTER_S + 1
    assert not table.next_trials(later_s - 2)
    assert table.next_trials(later_s) == ("bad",)
    table.note((crash(9, began_s + 0.2, "bad"),), 6)
    assert not table.next_trials(later_s)


def test_trials_are_bounded():
    table = table_of(*((n, "bad") for n in range(3)))
    table.quarantine(("bad",), 5.0, 4)
    now_s = 5.0
    for index in range(MAX_TRIALS):
        now_s += REPEATED_TRIAL_AFTER_S + 1
        assert table.next_trials(now_s) == ("bad",)
        table.start_trial("bad", "g1", now_s, 5 + index)
    assert not table.next_trials(now_s + 1e6)


def test_snapshot_keeps_everything():
    table = table_of((1, "a bad"), (2, "b bad"), (3, "c bad"), (4, "d"))
    table.clear({"d": 5.0}, 5)
    table.quarantine(("bad", "c"), 6.0, 6)
    table.expire(("c",), 7.0, 7)
    stored = msgspec.msgpack.encode(table.snapshot())
    copy = CrashTable(
        snapshot=msgspec.msgpack.decode(stored, type=CrashSnapshot)
    )
    assert copy.snapshot() == table.snapshot()
    assert copy.suspicion() == table.suspicion()
    assert copy.diagnose(99.0).causes == table.diagnose(99.0).causes


def test_memory_is_bounded_under_a_flood():
    table = CrashTable()
    for number in range(3 * MAX_QUARANTINED + 3 * MAX_EXPIRED):
        parts = " ".join(f"p{number}-{n}" for n in range(300))
        table.note((crash(number, float(number), parts),), number + 1)
        table.quarantine((f"p{number}-0",), float(number), number + 1)
    snapshot = table.snapshot()
    assert len(snapshot.crashes) <= MAX_CRASHES
    assert all(len(c.parts) <= MAX_PARTS_PER_CRASH for c in snapshot.crashes)
    assert len(snapshot.quarantined) <= MAX_QUARANTINED
    assert len(snapshot.expired) <= MAX_EXPIRED
    assert len(table.suspicion().suspects) <= MAX_SUSPECTS
    old = crash(0, -1.0, "p")
    assert not table.unknown((old,))


def test_what_gateways_are_told_fits_the_traffic_bound_of_a_node():
    table = CrashTable()
    for number in range(MAX_CRASHES):
        parts = " ".join(f"{number:06x}{n:06x}" for n in range(50))
        table.note((crash(number, float(number), parts),), number + 1)
    told = msgspec.msgpack.encode(table.suspicion())
    assert len(told) < 28_000 / 4
