"""Authentication of customers, operators and endpoints by API key."""

from starlette.requests import Request

from chervilshift.config import Config
from chervilshift.errors import Unauthorized
from chervilshift.keys import hash_key

__all__ = ["Authenticator"]

AUTH_SCHEME = "bearer"


class Authenticator:
    """Identifies the sender of a request by its bearer key.

    Keys are given and kept as hashes only; see `chervilshift.keys`.
    """

    __slots__ = ("_customers_by_hash", "_endpoint_hashes", "_operator_hashes")

    def __init__(self, *, operator_keys: list[str], endpoint_keys: list[str]):
        self._operator_hashes = frozenset(operator_keys)
        self._endpoint_hashes = frozenset(endpoint_keys)
        self._customers_by_hash: dict[str, str] = {}

    def configure(self, cfg: Config) -> None:
        """Replace the customers' keys by those of a configuration."""
        self._customers_by_hash = {
            key: name
            for name, customer in cfg.customers.items()
            for key in customer.keys
        }

    def customer(self, request: Request) -> str:
        """Return the name of the customer; raises Unauthorized."""
        name = self._customers_by_hash.get(_key_hash(request))
        if name is None:
            raise Unauthorized()
        return name

    def operator(self, request: Request) -> str:
        """Return the start of the operator's key hash; raises Unauthorized.

        It names the operator in the configuration history.
        """
        digest = _key_hash(request)
        if digest not in self._operator_hashes:
            raise Unauthorized()
        return digest[:12]

    def endpoint(self, request: Request) -> None:
        """Check that the key belongs to an endpoint or an operator.

        Raises Unauthorized otherwise.
        """
        if (
            _key_hash(request)
            not in self._endpoint_hashes | self._operator_hashes
        ):
            raise Unauthorized()


def _key_hash(request: Request) -> str:
    header = request.headers.get("authorization", "")
    scheme, _, key = header.partition(" ")
    if scheme.lower() != AUTH_SCHEME or not key.strip():
        raise Unauthorized()
    return hash_key(key.strip())
