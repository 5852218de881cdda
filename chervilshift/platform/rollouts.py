"""Decodes operators' orders of rollouts."""

from typing import Annotated

import msgspec
from msgspec import Meta
from returns.result import Failure as Bad
from returns.result import Result, Success

from chervilshift.errors import BadRequest, Failure
from chervilshift.untrusted import Label, decode_json

__all__ = ["RolloutOrder", "decode_rollout"]

# A month; a longer one is a mistake.
MAX_RAMP_S = 30 * 86_400.0


class RolloutOrder(msgspec.Struct):
    """Move a service to the version `to` within `ramp_s` seconds."""

    service: Label
    to: Label
    ramp_s: Annotated[float, Meta(gt=0, le=MAX_RAMP_S)]


ORDER_DECODER = msgspec.json.Decoder(RolloutOrder)


def decode_rollout(body: bytes) -> Result[RolloutOrder, Failure]:
    """Decode an order; fails with BadRequest."""
    decoded = decode_json(body, ORDER_DECODER)
    if isinstance(decoded, Bad):
        return Bad(BadRequest(reason=decoded.failure()))
    order = decoded.unwrap()
    if not order.to:
        return Bad(BadRequest(reason="`to` is empty"))
    return Success(order)
