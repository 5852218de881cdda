"""Listing, load, usage and silence of gateways at control."""

from chervilshift.core.fleet.intervals import MIN_LISTING_TIMEOUT_S
from chervilshift.core.fleet.lookup import choose_gateways
from chervilshift.core.fleet.presence import Presence
from chervilshift.core.fleet.sync import (
    EndpointLoad,
    GatewayInfo,
    GatewaySync,
)


def info(name: str, region: str = "here", **changes) -> GatewayInfo:
    fields = {
        "id": name,
        "incarnation": "1",
        "address": f"{name}:80",
        "failure_domain": "a",
        "region": region,
        "ready": True,
    }
    return GatewayInfo(**(fields | changes))


def sync(name: str, **changes) -> GatewaySync:
    gateway_changes = changes.pop("gateway_changes", {})
    return GatewaySync(
        gateway=info(name, **gateway_changes), version=1, revision=1, **changes
    )


def test_only_ready_gateways_heard_from_lately_are_listed():
    presence = Presence()
    presence.observe(sync("g1"), 0.0)
    presence.observe(sync("g2", gateway_changes={"ready": False}), 0.0)
    assert [g.id for g in presence.listed_gateways(0.5)] == ["g1"]
    assert not presence.listed_gateways(MIN_LISTING_TIMEOUT_S + 0.1)


def test_loads_of_the_others_are_added_up():
    presence = Presence()
    load = {"e1": EndpointLoad(active=2, prefill_tokens=10)}
    for name in ("g1", "g2", "g3"):
        presence.observe(sync(name, loads=load), 0.0)
    assert presence.loads("g1", 0.1)["e1"].active == 4
    assert presence.loads("", 0.1)["e1"].prefill_tokens == 30


def test_usage_of_an_ended_incarnation_is_kept_and_not_doubled():
    presence = Presence()
    presence.observe(sync("g1", usage={7: {"acme": 3}}), 0.0)
    presence.observe(sync("g1", usage={7: {"acme": 5}}), 0.2)
    restarted = {"incarnation": "2"}
    presence.observe(
        sync("g1", gateway_changes=restarted, usage={7: {"acme": 1}}), 1.0
    )
    presence.observe(
        sync("g1", gateway_changes=restarted, usage={7: {"acme": 2}}), 1.2
    )
    assert presence.usage.total(7) == {"acme": 7}


def test_report_of_an_ended_incarnation_that_is_seconds_late_is_refused():
    """It was taken for the present one, and that refused for 2 s."""
    presence = Presence()
    presence.observe(sync("g1", seq=50), 0.0)
    restarted = {"incarnation": "2"}
    for step in range(80):
        now = 1.0 + 0.25 * step
        presence.sweep(now)
        report = sync("g1", gateway_changes=restarted, seq=step + 1)
        assert presence.observe(report, now)
        assert not presence.observe(sync("g1", seq=51 + step), now + 0.1)
    assert presence.report("g1").gateway.incarnation == "2"


def test_recorded_gateways_that_were_not_heard_count_as_silent():
    presence = Presence()
    assert presence.silent_share((), 0.0) == 1.0
    presence.observe(sync("g1"), 0.0)
    assert presence.silent_share(("g1", "g2"), 0.1) == 0.5
    assert presence.known_gateways(("g2",)) == ("g1", "g2")


def test_lookup_offers_every_near_gateway_and_never_only_one():
    near = [info("g1"), info("g2"), info("g3")]
    far = [info("g8", "there"), info("g9", "there")]
    assert choose_gateways(near + far, "here", "a", 64) == (
        "g1:80",
        "g2:80",
        "g3:80",
    )
    assert len(choose_gateways([near[0], *far], "here", "a", 64)) == 3
    assert choose_gateways((), "here", "a", 64) == ()
