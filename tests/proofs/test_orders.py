"""Orders through separate processes: fenced, repeated, read back."""

import pytest

from tests.cluster import CONFIG, Cluster, eventually


@pytest.fixture
def ordered(cluster: Cluster) -> Cluster:
    """Three controls, an entry, and engines that check tokens or not."""
    cluster.add_controls()
    cluster.add_entry("e1", 0)
    cluster.add_standin("m1", checks_fencing=True)
    cluster.add_standin("m2", checks_fencing=False)
    rpc = cluster.settings["e1"]["rpc_listen"]
    for name in cluster.controls:
        cluster.settings[name]["entries"] = [rpc]
        cluster.write(name)
    cluster.start()
    cluster.wait_ready()
    return cluster


def adapters(cluster: Cluster) -> list[list[str]]:
    return [cluster.standin(name)["adapters"] for name in ("m1", "m2")]


def want(cluster: Cluster, *names: str) -> None:
    """Apply a configuration that wants these adapters."""
    line = f"first_token_ms: 620\n    adapters: [{', '.join(names)}]"
    text = CONFIG.replace("first_token_ms: 620", line)
    status, reply = cluster.apply(
        "e1", text, "-".join(names), cluster.version("e1")
    )
    assert status == 200, reply
    eventually(lambda: cluster.version("e1") == reply["version"], "in force")


def test_adapters_are_loaded_and_a_frozen_leaders_orders_do_no_harm(ordered):
    want(ordered, "night")
    eventually(lambda: adapters(ordered) == [["night"]] * 2, "loaded")
    old = ordered.leader("e1")
    ordered.suspend(old)
    eventually(lambda: ordered.leader("e1") not in ("", old), "another leads")
    want(ordered, "day")
    ordered.resume(old)
    eventually(lambda: adapters(ordered) == [["day"]] * 2, "loaded anew")
    tokens = [
        order["token"]
        for order in ordered.standin("m1")["orders"]
        if order["taken"]
    ]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) >= 2


def test_order_that_an_endpoint_lost_is_made_again(ordered):
    want(ordered, "night")
    eventually(lambda: adapters(ordered) == [["night"]] * 2, "loaded")
    ordered.kill("m1")
    ordered.start("m1")
    eventually(lambda: adapters(ordered) == [["night"]] * 2, "loaded again")
