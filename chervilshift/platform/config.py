"""Decodes and checks the operator's configuration documents.

The structs here have the documents' field names; `core/fleet/model.py`
describes the values. Tenants are customers.
"""

from collections import Counter
from itertools import chain

import msgspec
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.core.fleet.model import (
    SAFE,
    STREAM,
    UNSAFE,
    Customer,
    EngineSpec,
    Route,
    Scaling,
    ServiceSpec,
    ServingConfig,
    ServingLimits,
    Target,
)
from chervilshift.errors import ConfigRefused, Failure
from chervilshift.untrusted import Integer, Number, Text, decode_json

__all__ = ["decode_config"]

# Value of a tenant's `unit` with which its limit counts tokens, not requests.
TOKEN_LIMIT_UNIT = "token_stream"
DEFAULT_TIMEOUT_MS = 30_000
ROUTE_KINDS = (SAFE, UNSAFE, STREAM)


class _Split(msgspec.Struct):
    service: Text
    weight: Number


class _Route(msgspec.Struct):
    host: Text
    path_prefix: Text
    kind: Text
    timeout_ms: Number = DEFAULT_TIMEOUT_MS
    name: Text = ""
    # Objective for the time to a reply or to a stream's first event; a later
    # one does not have its full value.
    slo_ms: Number = 1000
    priority: Integer = 5
    service: Text | None = None
    split: list[_Split] | None = None
    attempts: Integer = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: Number = 0


class _Model(msgspec.Struct):
    name: Text


class _Engine(msgspec.Struct):
    slots: Integer = 1
    kv_tokens: Integer = 0
    models: list[_Model] = []


class _Scaling(msgspec.Struct):
    # Bounds on the endpoints per failure domain, spot and on-demand together.
    min: Integer = 0
    max: Integer = 0
    boot_s: Number = 0
    spot_price: Number = 1
    zone_prices: dict[Text, Number] = {}


class _Service(msgspec.Struct):
    name: Text
    max_conns: Integer = 100
    health_path: Text = "/health"
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Tenant(msgspec.Struct):
    name: Text
    api_keys: list[Text] = []
    priority: Integer | None = None
    unit: Text = ""
    plain_tokens: Number = 1
    rate_per_s: Number = 0
    burst: Number = 0


class _Limits(msgspec.Struct):
    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 4_194_304
    header_timeout_ms: Number = 3000
    idle_timeout_ms: Number = 15_000


class _Document(msgspec.Struct):
    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


DOCUMENT_DECODER = msgspec.json.Decoder(_Document)


def decode_config(document: bytes) -> Result[ServingConfig, Failure]:
    """Decode a document; fails with ConfigRefused, which names all faults."""
    decoded = decode_json(document, DOCUMENT_DECODER)
    if isinstance(decoded, Bad):
        return Bad(ConfigRefused(faults=decoded.failure()))
    faults = tuple(_find_faults(decoded.unwrap()))
    if faults:
        return Bad(ConfigRefused(faults="\n".join(faults)))
    return decoded.map(_make_config)


def _make_targets(route: _Route) -> tuple[Target, ...]:
    if route.split:
        return tuple(
            Target(service=part.service, weight=part.weight)
            for part in route.split
        )
    return (Target(service=route.service or "", weight=1.0),)


def _find_faults(document: _Document):
    service_names = {service.name for service in document.services}
    if document.version < 1:
        yield f"version: {document.version} is not positive"
    for route in document.routes:
        label = f"route {route.name or route.path_prefix}"
        targets = _make_targets(route)
        for target in targets:
            if target.service not in service_names:
                yield f"{label}: unknown service {target.service!r}"
            if target.weight < 0:
                yield f"{label}: negative weight"
        if sum(target.weight for target in targets) <= 0:
            yield f"{label}: the weights add up to 0"
        if route.timeout_ms <= 0:
            yield f"{label}: timeout_ms must be positive"
        if route.kind not in ROUTE_KINDS:
            yield f"{label}: unknown kind {route.kind!r}"
    prefixes = Counter(
        (r.host.lower(), r.path_prefix) for r in document.routes
    )
    for (host, prefix), count in prefixes.items():
        if count > 1:
            yield f"{count} routes share {host}{prefix}"
    keys = Counter(
        chain.from_iterable(set(t.api_keys) for t in document.tenants)
    )
    if any(count > 1 for count in keys.values()):
        yield "two customers share a key"


def _make_config(document: _Document) -> ServingConfig:
    limits = document.limits
    return ServingConfig(
        version=document.version,
        routes=tuple(_make_route(route) for route in document.routes),
        services={s.name: _make_service(s) for s in document.services},
        limits=ServingLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        customers=tuple(_make_customer(tenant) for tenant in document.tenants),
    )


def _make_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=route.kind,
        targets=_make_targets(route),
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.slo_ms / 1000,
        priority=route.priority,
        attempts=max(1, route.attempts),
        public=route.public,
        resumable=route.resumable,
        gap_s=route.gap_target_ms / 1000,
    )


def _make_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    scaling = service.scaling
    return ServiceSpec(
        name=service.name,
        max_connections=service.max_conns,
        health_path=service.health_path,
        engine=None
        if engine is None
        else EngineSpec(
            slots=engine.slots,
            kv_tokens=engine.kv_tokens,
            models=tuple(model.name for model in engine.models),
        ),
        scaling=None
        if scaling is None
        else Scaling(
            minimum=scaling.min,
            maximum=scaling.max,
            boot_s=scaling.boot_s,
            spot_price=scaling.spot_price,
            prices=scaling.zone_prices,
        ),
    )


def _make_customer(tenant: _Tenant) -> Customer:
    return Customer(
        name=tenant.name,
        keys=tuple(tenant.api_keys),
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        by_tokens=tenant.unit == TOKEN_LIMIT_UNIT,
        plain_tokens=tenant.plain_tokens,
        priority=tenant.priority,
    )
