"""Exceptions of cuminhill, each carrying the step and the peer at which it arose."""

from __future__ import annotations


class CuminhillError(Exception):
    """Base class of all errors raised by this package.

    Parameters
    ----------
    message : str
        What went wrong.
    step : str
        Stage of the request path at which the error arose.
    peer : str, default=""
        Address or name of the peer; empty for a local error.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} [{self.peer}]" if self.peer else self.step
        return f"{where}: {self.message}"


class ValidationError(CuminhillError):
    """Input does not match its schema."""


class SettingsError(CuminhillError):
    """A settings or configuration file is invalid."""


class ProtocolError(CuminhillError):
    """The peer violated the protocol."""


class UnavailableError(CuminhillError):
    """The peer refused or could not be reached; the call took no effect."""


class RejectedError(UnavailableError):
    """The peer refuses the call for good; it takes no effect however often repeated."""


class OverloadedError(UnavailableError):
    """The peer has too many calls to answer this one in time; it took no effect.

    Parameters
    ----------
    backlog_s : float, seconds
        Expected time until the peer has answered the calls that it has.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = "", backlog_s: float = 0.0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.backlog_s = backlog_s


class UnknownOutcomeError(CuminhillError):
    """The call failed after it was sent; it may have taken effect."""


class ConnectionClosedError(UnknownOutcomeError):
    """The peer closed the connection before it answered."""


class StaleEpochError(CuminhillError):
    """A worker refused a call because its lease epoch is out of date."""


class LeaseHeldError(CuminhillError):
    """Another holder has the lease.

    Parameters
    ----------
    holder : str
        Name of the current holder.
    remaining_s : float, seconds
        Time until the lease lapses unless it is renewed.
    """

    def __init__(self, holder: str, remaining_s: float, *, peer: str) -> None:
        super().__init__(f"lease is held by {holder}", step="lease", peer=peer)
        self.holder = holder
        self.remaining_s = remaining_s


class NotLeaderError(CuminhillError):
    """The shard is led by another VM."""


class BoundElsewhereError(CuminhillError):
    """The request id belongs to another shard.

    Parameters
    ----------
    shard : str
        Shard that won the claim.
    """

    def __init__(self, shard: str) -> None:
        super().__init__(f"bound to {shard}", step="claim")
        self.shard = shard


class FencedError(CuminhillError):
    """A later term, epoch or token has been seen; the call took no effect."""


class HistoryGoneError(CuminhillError):
    """Records to be read have been dropped from the log."""


class OtherIncarnationError(CuminhillError):
    """Another incarnation of the peer answered; the call took no effect."""
