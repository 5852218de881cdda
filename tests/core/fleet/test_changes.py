"""Tables that are read by their changes.

A reader that misses one change keeps a wrong value for good, as no later read
repeats it.
"""

from random import Random

import pytest

from chervilshift.core.fleet.changes import MAX_REMOVED_KEYS, ChangeTable


@pytest.mark.parametrize("seed", range(5))
def test_readers_that_read_at_any_time_hold_what_the_table_holds(seed):
    rng = Random(seed)
    table, copies = ChangeTable(), [ChangeTable() for _ in range(4)]
    cursors = [0] * len(copies)
    for _ in range(4000):
        value = rng.choice((None, 1, 2))
        table.set(rng.randrange(MAX_REMOVED_KEYS * 3), value)
        reader = rng.randrange(len(copies) * 8)
        if reader < len(copies):
            changes = table.since(cursors[reader])
            copies[reader].apply(changes)
            cursors[reader] = changes.cursor
            assert copies[reader].items() == table.items()


def test_read_costs_what_has_changed():
    table = ChangeTable()
    for key in range(10_000):
        table.set(key, 0)
    cursor = table.cursor
    table.set(5, 1)
    table.set(7, None)
    changes = table.since(cursor)
    assert not changes.full
    assert changes.values == {5: 1, 7: None}


def test_value_that_is_set_again_is_no_change():
    table = ChangeTable()
    table.set("a", 1)
    cursor = table.cursor
    table.set("a", 1)
    table.set("b", None)
    assert table.since(cursor).values == {}
    assert table.cursor == cursor


def test_cursor_from_the_future_reads_everything():
    table = ChangeTable()
    table.set("a", 1)
    assert table.since(99).full
