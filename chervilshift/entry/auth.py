"""Who is calling: customers, operators and endpoints by their keys."""

from starlette.requests import Request

from chervilshift.config import Config
from chervilshift.errors import Unauthorized
from chervilshift.keys import hash_key

__all__ = ["Authenticator"]

SCHEME = "bearer"


class Authenticator:
    """Finds out whose key a request carries; keys are held as hashes."""

    __slots__ = ("_customers", "_endpoints", "_operators")

    def __init__(self, *, operator_keys: list[str], endpoint_keys: list[str]):
        self._operators = frozenset(operator_keys)
        self._endpoints = frozenset(endpoint_keys)
        self._customers: dict[str, str] = {}

    def configure(self, cfg: Config) -> None:
        """Put the customers' keys of a configuration in force."""
        self._customers = {
            key: name
            for name, customer in cfg.customers.items()
            for key in customer.keys
        }

    def customer(self, request: Request) -> str:
        """Return the customer; raises Unauthorized."""
        name = self._customers.get(_hash(request))
        if name is None:
            raise Unauthorized()
        return name

    def operator(self, request: Request) -> str:
        """Return a short name of the operator's key; raises Unauthorized."""
        digest = _hash(request)
        if digest not in self._operators:
            raise Unauthorized()
        return digest[:12]

    def endpoint(self, request: Request) -> None:
        """Check that an endpoint or an operator calls."""
        if _hash(request) not in self._endpoints | self._operators:
            raise Unauthorized()


def _hash(request: Request) -> str:
    header = request.headers.get("authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != SCHEME or not key.strip():
        raise Unauthorized()
    return hash_key(key.strip())
