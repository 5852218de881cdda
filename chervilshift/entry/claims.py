"""Claims of the at-most-once ledger, on behalf of this entry."""

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

CLAIM_TIMEOUT_S = 4.0
SETTLE_TIMEOUT_S = 2.0
SETTLE_RETRY_S = 120.0
OWNER_BYTES = 8
STORED_BODY_BYTES = 4096


class Claims:
    """Commits claims and settlements; the owner is this run of the entry."""

    __slots__ = ("_leader", "_owner", "_tasks")

    def __init__(self, *, leader: LeaderClient):
        self._leader = leader
        self._owner = token_hex(OWNER_BYTES)
        self._tasks: TaskGroup | None = None

    def attach(self, tasks: TaskGroup) -> None:
        """Set the task group for settlements that go on for longer."""
        self._tasks = tasks

    def prepare(self, customer: str, key: str, digest: str) -> Claim:
        """Return a claim of a new attempt."""
        return Claim(
            customer=customer,
            key=key,
            digest=digest,
            owner=self._owner,
            attempt=token_hex(OWNER_BYTES),
        )

    async def commit(
        self, claim: Claim
    ) -> Result[ClaimReply | Reused, Failure]:
        """Commit a claim; repeats are harmless, the attempt is named."""
        reply = await self._leader.call(Submit(command=claim), CLAIM_TIMEOUT_S)
        return reply.map(lambda submitted: submitted.reply)

    async def settle(
        self, claim: Claim, outcome: str, reply: ServiceReply | None = None
    ) -> None:
        """Commit an outcome; goes on behind the caller if that is slow."""
        settle = _settle(claim, outcome, reply)
        done = await self._leader.call(
            Submit(command=settle), SETTLE_TIMEOUT_S
        )
        if isinstance(done, Bad):
            self._tasks.start_soon(self._settle_until_done, settle)

    def settle_later(self, claim: Claim, outcome: str) -> None:
        """Commit an outcome without waiting for it."""
        settle = _settle(claim, outcome, None)
        self._tasks.start_soon(self._settle_until_done, settle)

    async def _settle_until_done(self, settle: Settle) -> None:
        with anyio.move_on_after(SETTLE_RETRY_S):
            while isinstance(
                await self._leader.call(
                    Submit(command=settle), SETTLE_TIMEOUT_S
                ),
                Bad,
            ):
                await anyio.sleep(SETTLE_TIMEOUT_S)


def _settle(claim: Claim, outcome: str, reply: ServiceReply | None) -> Settle:
    body = reply.body if reply else b""
    fits = len(body) <= STORED_BODY_BYTES
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
