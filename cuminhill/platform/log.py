"""Interface to the platform's append-only log and its HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from ..errors import ProtocolError, UnavailableError, UnknownOutcomeError
from ..util.http import make_http_client
from ..util.validation import brief

if TYPE_CHECKING:
    from ..util.http import HttpClient

WAIT_SLACK_S = 2.0  # added to the server's own wait
# Time without data after which the transfer of a page is given up. On a slow link a
# page takes longer than the slack, and the next read would transfer all of it again.
STALL_S = 2.0


@dataclass(frozen=True, slots=True)
class LogPage:
    """Result of one read of a stream.

    Parameters
    ----------
    start : int
        Lowest offset still retained.
    end : int
        Offset of the next record to be appended.
    records : list of (int, dict)
        Offsets and records, in order of offset.
    """

    start: int
    end: int
    records: list[tuple[int, dict[str, Any]]]


class Log(Protocol):
    """Append-only log with named streams."""

    async def append(
        self, stream: str, records: list[dict[str, Any]], *, timeout_s: float
    ) -> int:
        """Append records as one batch and return the offset of the first."""

    async def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Return records from an offset on, waiting up to ``wait_s`` for one."""


class HttpLog:
    """HTTP client of the log service.

    Parameters
    ----------
    client : HttpClient
        Connection pool to the service.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def append(
        self, stream: str, records: list[dict[str, Any]], *, timeout_s: float
    ) -> int:
        """Append records as one batch and return the offset of the first.

        Raises
        ------
        UnavailableError
            If the records were certainly not appended.
        UnknownOutcomeError
            If they may have been appended.
        """
        status, value = await self._client.request(
            "POST", f"/streams/{stream}", {"records": records}, timeout_s=timeout_s
        )
        if status != 200:
            raise UnavailableError(
                f"status {status}: {brief(value)}",
                step="append",
                peer=self._client.peer,
            )
        try:
            return int(value["first_offset"])
        except (LookupError, TypeError, ValueError) as exc:
            raise UnknownOutcomeError(
                brief(exc), step="append", peer=self._client.peer
            ) from exc

    async def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> LogPage:
        """Return records from an offset on, waiting up to ``wait_s`` for one.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If the service cannot be reached, rejects the read or answers in another
            form.
        """
        path = f"/streams/{stream}?from={offset}&limit={limit}&wait_s={wait_s}"
        status, value = await self._client.request(
            "GET", path, timeout_s=wait_s + WAIT_SLACK_S, stall_s=STALL_S
        )
        if status != 200:
            raise UnavailableError(
                f"status {status}: {brief(value)}", step="read", peer=self._client.peer
            )
        try:
            records = [(int(item[0]), item[1]) for item in value["records"]]
            return LogPage(int(value["start"]), int(value["end"]), records)
        except (LookupError, TypeError, ValueError) as exc:
            raise ProtocolError(
                brief(exc), step="read", peer=self._client.peer
            ) from exc


def make_log(address: str, source_host: str = "") -> HttpLog:
    """Return a client of the log service at ``"host:port"``."""
    return HttpLog(make_http_client(address, source_host=source_host))
