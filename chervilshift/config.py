"""Schema and validation of the configuration: base file and overlays.

The base file defines all models, services and customers; an overlay names
its site and changes values of the base file. `docs/CONFIG.md` lists all keys.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.core.commands import ConfigDocument
from chervilshift.errors import ConfigFault, ConfigRefused
from chervilshift.keys import HASH_PATTERN
from chervilshift.yamldoc import Document, locate, read

__all__ = [
    "Config",
    "Customer",
    "Fleet",
    "Limits",
    "Model",
    "Routing",
    "Service",
    "compile_site",
    "validate",
]

PositiveFloat = Annotated[float, Field(gt=0)]
NonNegativeFloat = Annotated[float, Field(ge=0)]
PositiveInt = Annotated[int, Field(ge=1)]
KeyHash = Annotated[str, Field(pattern=HASH_PATTERN)]

SITE_KEY = "site"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Model(_Section):
    """A language model and the latency promised for it."""

    first_token_ms: PositiveFloat = Field(
        620.0, description="Target for the first token, in milliseconds."
    )
    token_gap_ms: PositiveFloat = Field(
        37.0, description="Target between tokens, in milliseconds."
    )
    max_output_tokens: PositiveInt = Field(
        2048, description="Maximum number of tokens of one answer."
    )
    long_output_tokens: PositiveInt = Field(
        256,
        description="Predicted answer tokens from which a request is long.",
    )
    long_prompt_tokens: PositiveInt = Field(
        2000, description="Prompt tokens from which a request is long."
    )
    deadline_s: PositiveFloat = Field(
        600.0, description="Longest time for a whole answer, in seconds."
    )
    adapters: list[str] = Field(
        [], description="Adapters that requests may name."
    )
    versions: list[str] = Field(
        [], description="Versions that requests may name."
    )


class Service(_Section):
    """A service other than a language model."""

    repeatable_methods: list[str] = Field(
        ["GET", "HEAD", "OPTIONS"],
        description="Methods whose calls may be sent more than once.",
    )
    timeout_s: PositiveFloat = Field(
        30.0, description="Longest time for one call, in seconds."
    )


class Customer(_Section):
    """Keys, permissions and limits of a customer."""

    keys: list[KeyHash] = Field(
        [], description="SHA-256 of each key, in lower-case hexadecimal."
    )
    models: list[str] = Field([], description="Models the customer may use.")
    services: list[str] = Field(
        [], description="Services the customer may use."
    )
    share: PositiveFloat = Field(
        1.0, description="Weight in the fair sharing of capacity."
    )
    max_queued: PositiveInt = Field(
        200, description="Maximum number of requests waiting at one entry."
    )
    max_running: PositiveInt = Field(
        400, description="Maximum number of requests running at one entry."
    )


class Limits(_Section):
    """Bounds on what callers may send."""

    body_bytes: PositiveInt = Field(
        1_048_576, description="Largest request body, in bytes."
    )
    body_timeout_s: PositiveFloat = Field(
        10.0, description="Longest time to send a body, in seconds."
    )
    reconnect_s: PositiveFloat = Field(
        30.0,
        description="Time an answer continues after its caller disconnects, "
        "in seconds.",
    )


class Routing(_Section):
    """How requests are distributed over endpoints."""

    candidates: PositiveInt = Field(
        6, description="Endpoints compared for one request."
    )
    long_share: Annotated[float, Field(gt=0, le=1)] = Field(
        0.5, description="Share of an endpoint's capacity for long requests."
    )
    queue_wait_s: PositiveFloat = Field(
        0.4,
        description="Predicted wait beyond which short requests are refused "
        "at once, in seconds.",
    )
    queue_timeout_s: PositiveFloat = Field(
        1.0,
        description="Longest wait of a short request, in seconds.",
    )
    long_queue_timeout_s: PositiveFloat = Field(
        120.0,
        description="Longest wait of a long request, in seconds.",
    )
    retry_share: NonNegativeFloat = Field(
        0.1, description="Retries allowed, as a share of requests."
    )


class Fleet(_Section):
    """Prices of hosts and of traffic; no decision uses them yet."""

    reclaimable_price: NonNegativeFloat = Field(
        1.0, description="Price of a reclaimable host, per hour."
    )
    on_demand_price: NonNegativeFloat = Field(
        3.0, description="Price of an on-demand host, per hour."
    )
    link_price: NonNegativeFloat = Field(
        0.02, description="Price of a gigabyte sent between regions."
    )


class Config(_Section):
    """The configuration in force at one site."""

    models: dict[str, Model] = Field({}, description="Models by name.")
    services: dict[str, Service] = Field({}, description="Services by name.")
    customers: dict[str, Customer] = Field(
        {}, description="Customers by name."
    )
    limits: Limits = Field(Limits(), description="Bounds on requests.")
    routing: Routing = Field(Routing(), description="Routing.")
    fleet: Fleet = Field(
        Fleet(), description="Prices of hosts and of traffic."
    )


def validate(document: ConfigDocument) -> Result[None, ConfigRefused]:
    """Check the base and every overlay, and report all faults together."""
    faults: list[ConfigFault] = []
    # The empty name has no overlay: it checks the base alone.
    sites = ("", *document.overlays)
    for site in sites:
        checked = _compile(document, site)
        if isinstance(checked, Bad):
            faults.extend(checked.failure())
    if faults:
        messages = dict.fromkeys(str(fault) for fault in faults)
        return Bad(ConfigRefused(faults="\n".join(messages)))
    return Success(None)


def compile_site(
    document: ConfigDocument, site: str
) -> Result[Config, ConfigRefused]:
    """Return the configuration of `site`: the base and its overlay if any.

    A document with faults gives a `ConfigRefused` that lists them.
    """
    compiled = _compile(document, site)
    if isinstance(compiled, Bad):
        faults = "\n".join(str(fault) for fault in compiled.failure())
        return Bad(ConfigRefused(faults=faults))
    return compiled


def _validate_merged(
    schema: type[BaseModel], data: dict, documents: tuple[Document, ...]
) -> Result[BaseModel, list[ConfigFault]]:
    """Validate merged data; a fault names the last file that sets the key."""
    try:
        return Success(schema.model_validate(data))
    except ValidationError as exc:
        return Bad(
            [
                locate(documents, tuple(item["loc"]), item["msg"])
                for item in exc.errors()
            ]
        )


def _compile(
    document: ConfigDocument, site: str
) -> Result[Config, list[ConfigFault]]:
    """Return the configuration of `site`, or its faults.

    Later checks run only on a document that passed the earlier ones.
    """
    base = read(document.base_name, document.base)
    if isinstance(base, Bad):
        return base
    documents = (base.unwrap(),)
    merged = documents[0].data
    if site in document.overlays:
        overlay = read(f"overlay {site}", document.overlays[site])
        if isinstance(overlay, Bad):
            return overlay
        documents = (*documents, overlay.unwrap())
        changes = {
            key: value
            for key, value in overlay.unwrap().data.items()
            if key != SITE_KEY
        }
        undefined = _undefined_names(changes, merged, documents, ())
        if undefined:
            return Bad(undefined)
        merged = _merge(merged, changes)
    checked = _validate_merged(Config, merged, documents)
    if isinstance(checked, Bad):
        return checked
    undefined = _undefined_references(checked.unwrap(), documents)
    return Bad(undefined) if undefined else checked


def _merge(base: dict, changes: dict) -> dict:
    """Merge nested mappings; any other value replaces that of the base."""
    return {
        **base,
        **{
            key: _merge(base[key], value)
            if isinstance(value, dict) and isinstance(base.get(key), dict)
            else value
            for key, value in changes.items()
        },
    }


# Sections to which an overlay can't add names.
NAMED_SECTIONS = ("models", "services", "customers")


def _undefined_names(
    changes: dict, base: dict, documents: tuple[Document, ...], path: tuple
) -> list[ConfigFault]:
    """Return a fault for each overlay name that the base doesn't define."""
    return [
        locate(documents, (section, name), "not defined in the base file")
        for section in NAMED_SECTIONS
        for name in changes.get(section) or ()
        if name not in (base.get(section) or {})
    ]


def _undefined_references(
    cfg: Config, documents: tuple[Document, ...]
) -> list[ConfigFault]:
    """Return a fault for each undefined name that a customer refers to."""
    return [
        locate(
            documents,
            ("customers", name, kind, index),
            f"not defined in {kind}: {referenced!r}",
        )
        for name, customer in cfg.customers.items()
        for kind in ("models", "services")
        for index, referenced in enumerate(getattr(customer, kind))
        if referenced not in getattr(cfg, kind)
    ]
