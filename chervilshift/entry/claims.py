"""Client of the at-most-once ledger for the calls of this entry."""

from secrets import token_hex

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure as Bad
from returns.result import Result

from chervilshift.core.commands import Claim, ClaimReply, Reused, Settle
from chervilshift.endpoints.service import ServiceReply
from chervilshift.errors import Failure
from chervilshift.wire.leader import LeaderClient
from chervilshift.wire.messages import Submit

__all__ = ["Claims"]

# Limit for committing a claim, with all retries at the control replicas.
COMMIT_TIMEOUT_S = 4.0
# Limit of one settle request, and pause between two of them.
SETTLE_TIMEOUT_S = 2.0
# A settlement that has not been committed after this time is dropped. The
# ledger's own timeout then makes the outcome of a committed claim unknown.
SETTLE_RETRY_PERIOD_S = 120.0
RANDOM_ID_BYTES = 8
# A longer response body is left out and marked as truncated.
MAX_STORED_BODY_BYTES = 4096


class Claims:
    """Commits claims of calls and their outcomes to the ledger.

    The owner of a claim is this run of the entry, identified by a random
    id, since only that run knows whether it still sends the call.
    """

    __slots__ = ("_leader", "_owner", "_tasks")

    def __init__(self, *, leader: LeaderClient):
        self._leader = leader
        self._owner = token_hex(RANDOM_ID_BYTES)
        self._tasks: TaskGroup | None = None

    def attach(self, tasks: TaskGroup) -> None:
        """Set the task group that repeats settlements in the background."""
        self._tasks = tasks

    def prepare(self, customer: str, key: str, digest: str) -> Claim:
        """Return a claim with a new attempt id."""
        return Claim(
            customer=customer,
            key=key,
            digest=digest,
            owner=self._owner,
            attempt=token_hex(RANDOM_ID_BYTES),
        )

    async def commit(
        self, claim: Claim
    ) -> Result[ClaimReply | Reused, Failure]:
        """Commit a claim within `COMMIT_TIMEOUT_S`.

        The leader may receive it twice. That is harmless, because the
        attempt id identifies the repeat.
        """
        reply = await self._leader.call(
            Submit(command=claim), COMMIT_TIMEOUT_S
        )
        return reply.map(lambda submitted: submitted.reply)

    async def settle(
        self, claim: Claim, outcome: str, reply: ServiceReply | None = None
    ) -> None:
        """Commit an outcome; retry in the background if that fails."""
        settle = _settle_command(claim, outcome, reply)
        submitted = await self._leader.call(
            Submit(command=settle), SETTLE_TIMEOUT_S
        )
        if isinstance(submitted, Bad):
            self._tasks.start_soon(self._settle_until_done, settle)

    def settle_later(self, claim: Claim, outcome: str) -> None:
        """Commit an outcome in the background."""
        settle = _settle_command(claim, outcome, None)
        self._tasks.start_soon(self._settle_until_done, settle)

    async def _settle_until_done(self, settle: Settle) -> None:
        with anyio.move_on_after(SETTLE_RETRY_PERIOD_S):
            while isinstance(
                await self._leader.call(
                    Submit(command=settle), SETTLE_TIMEOUT_S
                ),
                Bad,
            ):
                await anyio.sleep(SETTLE_TIMEOUT_S)


def _settle_command(
    claim: Claim, outcome: str, reply: ServiceReply | None
) -> Settle:
    body = reply.body if reply else b""
    fits = len(body) <= MAX_STORED_BODY_BYTES
    return Settle(
        customer=claim.customer,
        key=claim.key,
        owner=claim.owner,
        attempt=claim.attempt,
        outcome=outcome,
        status=reply.status if reply else 0,
        content_type=reply.content_type if reply else "",
        body=body if fits else b"",
        truncated=not fits,
    )
