"""Orders to load adapters, sent by control to separate engines.

A deposed leader could still send orders, and an engine that restarts
forgets the orders that it carried out. Fencing tokens and repeated orders
guard against these.
"""

import pytest

from tests.cluster import CONFIG, Cluster, eventually


@pytest.fixture
def ordered(cluster: Cluster) -> Cluster:
    """Three control replicas, an entry and two engines.

    Of the engines only m1 checks fencing tokens.
    """
    cluster.add_controls()
    cluster.add_entry("e1", 0)
    cluster.add_standin("m1", checks_fencing=True)
    cluster.add_standin("m2", checks_fencing=False)
    rpc_address = cluster.settings["e1"]["rpc_listen"]
    for name in cluster.controls:
        cluster.settings[name]["entries"] = [rpc_address]
        cluster.write(name)
    cluster.start()
    cluster.wait_ready()
    return cluster


def loaded_adapters(cluster: Cluster) -> list[list[str]]:
    """Return the adapters loaded at m1 and at m2."""
    return [cluster.standin(name)["adapters"] for name in ("m1", "m2")]


def apply_adapters(cluster: Cluster, *names: str) -> None:
    """Apply a configuration with these adapters and wait until it is used."""
    line = f"first_token_ms: 620\n    adapters: [{', '.join(names)}]"
    text = CONFIG.replace("first_token_ms: 620", line)
    status, reply = cluster.apply(
        "e1", text, "-".join(names), cluster.version("e1")
    )
    assert status == 200, reply
    eventually(lambda: cluster.version("e1") == reply["version"], "in force")


def test_adapters_are_loaded_and_a_frozen_leaders_orders_do_no_harm(ordered):
    """A suspended leader is replaced, then resumed with its old orders.

    Both engines end with the new adapter, although m2 accepts any token.
    """
    apply_adapters(ordered, "night")
    eventually(lambda: loaded_adapters(ordered) == [["night"]] * 2, "loaded")
    old_leader = ordered.leader("e1")
    ordered.suspend(old_leader)
    eventually(
        lambda: ordered.leader("e1") not in ("", old_leader),
        "another leader is elected",
    )
    apply_adapters(ordered, "day")
    ordered.resume(old_leader)
    eventually(
        lambda: loaded_adapters(ordered) == [["day"]] * 2,
        "the new adapter is loaded",
    )
    tokens = [
        order["token"]
        for order in ordered.standin("m1")["orders"]
        if order["taken"]
    ]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) >= 2


def test_order_that_an_endpoint_lost_is_made_again(ordered):
    """An engine that restarts has lost its adapters."""
    apply_adapters(ordered, "night")
    eventually(lambda: loaded_adapters(ordered) == [["night"]] * 2, "loaded")
    ordered.kill("m1")
    ordered.start("m1")
    eventually(
        lambda: loaded_adapters(ordered) == [["night"]] * 2,
        "loaded again after the restart",
    )
