"""Followers and gateways keep following decisions that a new leader lacks.

A reader that compares only a counter takes the decisions of a former leader
for those of the present one, as both count from one.
"""

from chervilshift.core.fleet.news import FleetNews, NewsCopy
from chervilshift.core.fleet.speeds import ServiceSpeed


def test_equal_decisions_are_sent_once():
    leader = NewsCopy(source="a")
    leader.set(FleetNews(), now=1.0)
    reader = NewsCopy(source="")
    assert reader.receive(leader.newer_than(reader.news.id), 0.0, now=1.0)
    leader.set(FleetNews(), now=1.25)
    assert leader.newer_than(reader.news.id) is None


def test_changed_decisions_are_sent():
    leader = NewsCopy(source="a")
    leader.set(FleetNews(), now=1.0)
    known_id = leader.news.id
    leader.set(
        FleetNews(speeds={"llm": ServiceSpeed(tokens_per_s=9e4)}), now=1.25
    )
    assert leader.newer_than(known_id).speeds


def test_decisions_of_a_new_leader_replace_those_of_the_former():
    former, present = NewsCopy(source="a"), NewsCopy(source="b")
    former.set(
        FleetNews(speeds={"llm": ServiceSpeed(tokens_per_s=9e4)}), now=1.0
    )
    present.set(FleetNews(), now=2.0)
    assert present.newer_than(former.news.id) == present.news


def test_confirmed_decisions_are_current_again():
    reader = NewsCopy(source="")
    reader.receive(FleetNews(id="a/1"), 0.5, now=10.0)
    assert reader.age_s(12.0) == 2.5
    reader.receive(None, 0.25, now=12.0)
    assert reader.age_s(12.0) == 0.25
