"""Tests of the selection of entries for callers."""

from itertools import product

from chervilshift.core.lookup import MAX_ENTRIES, pick_entries
from chervilshift.core.registry import EntryInfo


def entry(name: str, domain: str, region="west", **fields) -> EntryInfo:
    return EntryInfo(
        id=name,
        address=name,
        rpc_address=name,
        host=name,
        failure_domain=domain,
        region=region,
        ready=fields.pop("ready", True),
        **fields,
    )


FLEET = [
    entry("e1", "west-1"),
    entry("e2", "west-1"),
    entry("e3", "west-2"),
    entry("e4", "west-2"),
    entry("e5", "east-1", "east"),
    entry("e6", "east-1", "east"),
    entry("e7", "east-1", "east"),
]
CALLERS = [f"caller-{number}" for number in range(300)]


def test_two_failure_domains_in_every_answer():
    for caller, region in product(CALLERS, ("west", "east")):
        picked = pick_entries(caller, region, FLEET)
        assert len(picked) == MAX_ENTRIES
        assert len({info.failure_domain for info in picked}) >= 2
        assert picked[0].region == region


def test_choice_is_steady_and_spread():
    first = [pick_entries(c, "west", FLEET)[0].id for c in CALLERS]
    again = [pick_entries(c, "west", FLEET[::-1])[0].id for c in CALLERS]
    assert first == again
    counts = {name: first.count(name) for name in set(first)}
    assert set(counts) == {"e1", "e2", "e3", "e4"}
    assert max(counts.values()) < 2 * min(counts.values())


def test_loss_of_one_entry_moves_only_its_callers():
    rest = [info for info in FLEET if info.id != "e2"]
    for caller in CALLERS:
        before = pick_entries(caller, "west", FLEET)[0].id
        after = pick_entries(caller, "west", rest)[0].id
        assert after == before or before == "e2"


def test_overloaded_and_unready_entries_are_passed_over():
    busy = [entry("e1", "a", streams=200), entry("e2", "b", streams=10)]
    assert all(pick_entries(c, "west", busy)[0].id == "e2" for c in CALLERS)
    unready = [entry("e1", "a", ready=False), entry("e2", "b")]
    assert [i.id for i in pick_entries("c", "west", unready)] == ["e2"]
    assert pick_entries("c", "west", []) == []
