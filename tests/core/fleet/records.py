"""Records of endpoints for tests."""

from chervilshift.core.fleet.model import READY, EndpointRecord

__all__ = ["ready_endpoint"]


def ready_endpoint(name: str = "e1", born_ms: int = 1) -> EndpointRecord:
    """Return the record of a ready endpoint."""
    return EndpointRecord(
        id=name,
        born_ms=born_ms,
        seq=1,
        state=READY,
        service="pool",
        address="10.0.0.1:80",
        failure_domain="a",
        slots=8,
    )
