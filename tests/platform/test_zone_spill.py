"""Work stays in its failure domain and leaves it, with real processes."""

import anyio

from tests.platform import standin
from tests.platform.standin import Endpoint, Platform, eventually, free_address
from tests.platform.test_path import run_scenario


class PlacedEndpoint(Endpoint):
    """An endpoint in a given failure domain."""

    def __init__(self, name: str, failure_domain: str):
        super().__init__(name=name, service="app", address=free_address())
        self.failure_domain = failure_domain

    def announcement(self, state: str, **changes) -> bytes:
        """Return an announcement from the failure domain."""
        return super().announcement(
            state, **(changes | {"zone": self.failure_domain})
        )


async def read(platform: Platform) -> None:
    reply = await platform.send_request("/read/a", method="GET", body=b"")
    assert reply.status == 200


def test_domain_is_kept_while_it_has_endpoints(tmp_path, monkeypatch):
    """Without shares of the leader every gateway uses the whole region."""
    monkeypatch.setitem(standin.COMMON, "zone_spill", True)
    near, far = PlacedEndpoint("p1", "a"), PlacedEndpoint("p2", "b")

    async def scenario(platform: Platform) -> None:
        for _ in range(20):
            await read(platform)
        spill = platform.gateways[0][0].state.spill
        before = far.arrivals
        for _ in range(60):
            await read(platform)
            await anyio.sleep(0.01)
        # Trials of the other endpoint go on.
        assert far.arrivals - before <= 6
        await eventually(lambda: any(c.fleet.spill for c in platform.controls))
        await platform.announce(near, "draining")
        placement = platform.gateways[0][0].state.placement
        await eventually(
            lambda: any(
                e.record.state == "draining" for e in placement.endpoints()
            )
        )
        moved_at = far.arrivals
        for _ in range(60):
            await read(platform)
            await anyio.sleep(0.01)
        assert far.arrivals == moved_at + 60
        await eventually(lambda: spill._shares["app"].shares)
        assert spill._shares["app"].reasons == {"a": "no_endpoints"}
        metrics = platform.gateways[0][0]._metrics.render()
        assert 'destination="b",reason="planned"' in metrics

    run_scenario(tmp_path, scenario, near, far)
