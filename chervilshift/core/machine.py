"""Replicated state machine: configuration, ledger, fencing and log time."""

import hashlib
from functools import singledispatchmethod
from itertools import chain

import msgspec

from chervilshift.core.commands import (
    AdvanceTime,
    Applied,
    ApplyConfig,
    Claim,
    ClaimReply,
    Command,
    CommandReply,
    ConfigDocument,
    Conflict,
    Fenced,
    IssueFence,
    Ok,
    Reused,
    Settle,
)
from chervilshift.core.fleet.commands import (
    AcceptServing,
    AdvanceRollout,
    AnnounceEndpoint,
    ClearParts,
    CommitUsage,
    EndRollout,
    ExpireParts,
    NoteCrashes,
    NoteGateways,
    NoteLeaving,
    NoteLimits,
    NoteStreams,
    QuarantineParts,
    ReleaseParts,
    StartRollout,
    StartTrial,
)
from chervilshift.core.fleet.state import FleetSnapshot, FleetState
from chervilshift.core.ledger import Ledger, LedgerState
from chervilshift.core.message import Message

__all__ = ["Change", "StateMachine", "MachineState"]

MAX_HISTORY_CHANGES = 20_000


class Change(Message):
    """One accepted configuration change.

    `version` is its log position, `digest` that of the document.
    """

    change_id: str
    version: int
    base_version: int
    digest: str
    operator: str = ""


class MachineState(Message):
    """State of the whole machine, for a snapshot.

    `fence` is the last fencing token; `time_s` is log time.
    """

    version: int
    document: ConfigDocument | None
    changes: tuple[Change, ...]
    ledger: LedgerState
    fence: int
    time_s: float
    fleet: FleetSnapshot = FleetSnapshot()


class StateMachine:
    """Applies committed commands in log order, the same on every replica."""

    __slots__ = (
        "_changes",
        "document",
        "fence",
        "fleet",
        "ledger",
        "time_s",
        "version",
    )

    def __init__(self, *, state: MachineState | None = None):
        self.version = state.version if state else 0
        self.document = state.document if state else None
        self.fence = state.fence if state else 0
        self.time_s = state.time_s if state else 0.0
        self.ledger = Ledger(state=state.ledger if state else None)
        self.fleet = FleetState(snapshot=state.fleet if state else None)
        self._changes = {
            change.change_id: change
            for change in (state.changes if state else ())
        }

    def apply(self, index: int, command: Command) -> CommandReply:
        """Apply the command at log position `index`."""
        return self._apply(command, index)

    def state(self) -> MachineState:
        """Return the whole state for a snapshot."""
        return MachineState(
            version=self.version,
            document=self.document,
            changes=tuple(self._changes.values()),
            ledger=self.ledger.state(),
            fence=self.fence,
            time_s=self.time_s,
            fleet=self.fleet.snapshot(),
        )

    def history(self, last: int) -> tuple[Change, ...]:
        """Return the `last` newest accepted changes, oldest first."""
        return tuple(self._changes.values())[-last:]

    @singledispatchmethod
    def _apply(self, command: Command, index: int) -> CommandReply:
        raise TypeError(type(command))

    @_apply.register
    def _(self, command: ApplyConfig, index: int) -> CommandReply:
        digest = document_digest(command.document)
        previous = self._changes.get(command.change_id)
        if previous is not None:
            if previous.digest != digest:
                return Reused(name=command.change_id)
            return Applied(version=previous.version)
        if command.base_version != self.version:
            return Conflict(
                base_version=command.base_version,
                version=self.version,
                winner=self._winning_change_id(command.base_version),
            )
        self._changes[command.change_id] = Change(
            change_id=command.change_id,
            version=index,
            base_version=self.version,
            digest=digest,
            operator=command.operator,
        )
        self.version = index
        self.document = command.document
        while len(self._changes) > MAX_HISTORY_CHANGES:
            del self._changes[next(iter(self._changes))]
        return Applied(version=index)

    @_apply.register
    def _(self, command: Claim, index: int) -> ClaimReply | Reused:
        return self.ledger.claim(command, self.time_s)

    @_apply.register
    def _(self, command: Settle, index: int) -> Ok:
        return self.ledger.settle(command, self.time_s)

    @_apply.register
    def _(self, command: IssueFence, index: int) -> Fenced:
        self.fence = index
        return Fenced(token=index)

    @_apply.register(AcceptServing)
    @_apply.register(AdvanceRollout)
    @_apply.register(AnnounceEndpoint)
    @_apply.register(ClearParts)
    @_apply.register(CommitUsage)
    @_apply.register(ReleaseParts)
    @_apply.register(NoteCrashes)
    @_apply.register(NoteGateways)
    @_apply.register(NoteLeaving)
    @_apply.register(NoteLimits)
    @_apply.register(NoteStreams)
    @_apply.register(QuarantineParts)
    @_apply.register(EndRollout)
    @_apply.register(ExpireParts)
    @_apply.register(StartRollout)
    @_apply.register(StartTrial)
    def _(self, command: Command, index: int) -> CommandReply:
        return self.fleet.apply(command, index)

    @_apply.register
    def _(self, command: AdvanceTime, index: int) -> Ok:
        self.time_s += command.elapsed_s
        self.ledger.expire(self.time_s)
        return Ok()

    def _winning_change_id(self, base_version: int) -> str:
        """Return the id of the change that a conflicting one lost to.

        It is the change made from `base_version`, otherwise the one in
        force, or an empty string.
        """
        changes = tuple(self._changes.values())
        from_same_base = (c for c in changes if c.base_version == base_version)
        in_force = (c for c in changes if c.version == self.version)
        winner = next(chain(from_same_base, in_force), None)
        return winner.change_id if winner else ""


def document_digest(document: ConfigDocument) -> str:
    """Return the SHA-256 hex digest of the document's encoding."""
    return hashlib.sha256(msgspec.msgpack.encode(document)).hexdigest()
