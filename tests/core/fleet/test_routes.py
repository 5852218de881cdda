"""Route lookup, customer keys and weighted targets."""

from chervilshift.core.fleet.model import (
    STREAM,
    Customer,
    Route,
    ServingConfig,
    ServingLimits,
    Target,
)
from chervilshift.core.fleet.routes import RouteTable, pick_target


def make_route(prefix: str, host: str = "h.example") -> Route:
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=STREAM,
        targets=(Target(service="llm", weight=1.0),),
        timeout_s=5.0,
        objective_s=1.0,
    )


def make_table(*routes: Route, customers=()) -> RouteTable:
    return RouteTable(
        cfg=ServingConfig(
            version=1,
            routes=routes,
            services={},
            limits=ServingLimits(),
            customers=customers,
        )
    )


def test_longest_prefix_of_the_host_wins():
    table = make_table(
        make_route("/a/"), make_route("/a/b/"), make_route("/a/b/", "other")
    )
    assert table.match("H.example", "/a/b/c").prefix == "/a/b/"
    assert table.match("h.example", "/a/x").prefix == "/a/"
    assert table.match("h.example", "/ab") is None
    assert table.match("unknown", "/a/x") is None


def test_key_names_its_customer():
    acme = Customer(name="acme", keys=("k1", "k2"))
    table = make_table(make_route("/"), customers=(acme,))
    assert table.customer("k2") is acme
    assert table.customer("") is None
    assert table.needs_key


def test_targets_are_picked_by_weight():
    targets = (Target(service="a", weight=90), Target(service="b", weight=10))
    picked = [pick_target(targets, n / 100) for n in range(100)]
    assert picked.count("a") == 90
    assert pick_target((Target(service="z", weight=0), *targets), 0.0) == "a"
