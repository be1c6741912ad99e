"""Client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from ..errors import (
    FencedError,
    HistoryGoneError,
    ProtocolError,
    RejectedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ..util.http_client import make_http_client
from ..util.validation import MAX_INTEGER, brief
from .wire import (
    decode_integer,
    decode_newest_records,
    decode_page,
    encode_keyed_records,
)

if TYPE_CHECKING:
    from ..jobs.journal import WriterToken
    from ..jobs.records import JournalRecord
    from ..util.http_client import HttpClient

JOURNAL_TOPIC = "keyed.cuminhill"
CONFIG_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
READ_TIMEOUT_S = 2.0
# Until a page of the newest records begins to arrive. Other reads may be ahead of it on
# the link.
NEWEST_PAGE_TIMEOUT_S = 4.0
# Time without data after which the transfer of a page is given up. A page may take as
# long as the link needs, which is seconds for a large record on a link of a few Mbit/s:
# the next read would have to transfer all of it again.
STALL_S = 2.0
# Limit of one read, so that other reads on a link of 10 Mbit/s need not wait for long.
# The store exceeds it for a single larger record.
MAX_PAGE_KB = 128
LARGE_PAGE_KB = 1024  # for a record that does not fit into such a page
# Offset behind the end of any topic. A read from there returns the end without records.
BEYOND_END = 2**53 - 1


@dataclass(eq=False, slots=True)
class _NewestPages:
    """Pages of the newest records that have been read so far.

    Parameters
    ----------
    end : int or None
        End of the topic when the first page was read.
    after : str
        Last key of the newest page.
    """

    end: int | None = None
    after: str = ""
    records: list[JournalRecord] = field(default_factory=list)


@dataclass(eq=False)
class PlatformTopic:
    """Client of one keyed topic; implements `jobs.journal.KeyedLog`.

    Parameters
    ----------
    name : str
        Name of the topic; only partition 0 is used.
    reader, writer : HttpClient
        Separate clients, since a waiting read occupies its connection.
    """

    name: str
    reader: HttpClient
    writer: HttpClient
    _pages: _NewestPages = field(default_factory=_NewestPages)

    async def read(
        self, offset: int, wait_s: float, timeout_s: float = READ_TIMEOUT_S
    ) -> tuple[int, list[JournalRecord]]:
        """Return the end of the topic and the records from an offset on.

        Raises
        ------
        HistoryGoneError
            If the records at the offset are no longer retained.
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no valid reply.
        """
        end, records = await self._read_page(offset, wait_s, timeout_s, MAX_PAGE_KB)
        if not records and end > offset:
            # The next record is larger than a page, or the page is malformed.
            end, records = await self._read_page(
                offset, 0.0, NEWEST_PAGE_TIMEOUT_S, LARGE_PAGE_KB
            )
        if not records and end > offset:
            raise ProtocolError(
                "page without a record", step="read", peer=self.reader.peer
            )
        return end, records

    async def end(self, timeout_s: float) -> int:
        """Return the end of the topic without reading records.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no valid reply.
        """
        query = {"topic": self.name, "part": 0, "from": BEYOND_END, "max_kb": 1}
        raw = await self._get_raw(query, timeout_s)
        end, _, _ = decode_page(raw, BEYOND_END, self.reader.peer)
        return end

    async def _read_page(
        self, offset: int, wait_s: float, timeout_s: float, max_kb: int
    ) -> tuple[int, list[JournalRecord]]:
        query = {"topic": self.name, "part": 0, "from": offset, "max_kb": max_kb}
        if wait_s > 0:
            query["wait_ms"] = int(wait_s * 1000)
        raw = await self._get_raw(query, timeout_s + wait_s)
        end, first, records = decode_page(raw, offset, self.reader.peer)
        if first > offset:
            raise HistoryGoneError(
                f"offset {offset} of {self.name}", step="read", peer=self.reader.peer
            )
        return end, records

    async def _get_raw(self, query: dict[str, Any], timeout_s: float) -> bytes:
        status, body = await self.reader.request(
            "GET",
            f"/-/log-read?{urlencode(query)}",
            timeout_s=timeout_s,
            stall_s=STALL_S,
        )
        if status == 410:
            raise HistoryGoneError(
                f"offset {query['from']} of {self.name}",
                step="read",
                peer=self.reader.peer,
            )
        if status != 200:
            raise UnavailableError(
                f"status {status}", step="read", peer=self.reader.peer
            )
        raw = body.encode() if isinstance(body, str) else body
        if not isinstance(raw, bytes):
            raise ProtocolError("no raw data", step="read", peer=self.reader.peer)
        return raw

    async def newest(self) -> tuple[int, list[JournalRecord]]:
        """Return an offset to continue from and the newest record of each key.

        The records are in order of offset. Changes made while the pages were read may
        be missing; they are found by reading on from the returned offset. After a
        failure, a repeated call continues with the page that was not received.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no valid reply.
        """
        pages = self._pages
        while True:
            query = {"topic": self.name, "part": 0} | (
                {"after": pages.after} if pages.after else {}
            )
            status, page = await self.reader.request(
                "GET",
                f"/-/log-newest?{urlencode(query)}",
                timeout_s=NEWEST_PAGE_TIMEOUT_S,
                stall_s=STALL_S,
            )
            if status == 404:
                self._pages = _NewestPages()
                return 0, []  # nothing has been written to the topic yet
            if status != 200:
                if status < 500 and status != 429:
                    self._pages = _NewestPages()  # the request itself is refused
                raise UnavailableError(
                    f"status {status}", step="newest", peer=self.reader.peer
                )
            try:
                if _add_page(pages, page):
                    break
            except (AttributeError, LookupError, TypeError, ValueError) as exc:
                self._pages = _NewestPages()
                raise ProtocolError(
                    brief(exc), step="newest", peer=self.reader.peer
                ) from exc
        self._pages = _NewestPages()
        records = sorted(pages.records, key=lambda record: record.offset)
        return pages.end or 0, records

    async def append(
        self,
        records: list[tuple[str, bytes]],
        token: WriterToken | None = None,
        *,
        at: int | None = None,
        timeout_s: float,
    ) -> int:
        """Append records, all or none, and return the offset of the first.

        Parameters
        ----------
        token : WriterToken or None
            Lets the store identify a retry of the same append and fence earlier
            writers.
        at : int or None
            Append only if the topic ends at this offset.

        Raises
        ------
        FencedError
            If a later epoch has written, or the topic does not end at ``at``.
        ProtocolError
            If the sequence number does not follow that of the last append.
        RejectedError
            If the store accepts such records never, for example because of their size.
        UnavailableError
            If the records were certainly not appended.
        UnknownOutcomeError
            If they may have been appended, or may still be.
        """
        query: dict[str, Any] = {"topic": self.name, "part": 0}
        if token is not None:
            query |= {
                "producer": token.writer,
                "epoch": token.epoch,
                "seq": token.number,
            }
        if at is not None:
            query["at"] = at
        status, value = await self.writer.request(
            "POST",
            f"/-/log-append?{urlencode(query)}",
            encode_keyed_records(records),
            timeout_s=timeout_s,
        )
        if status == 200 and isinstance(value, dict):
            offset = value.get("offset")
            return offset if isinstance(offset, int) else 0
        answer = f"status {status}: {brief(value)}"
        if status == 409 and isinstance(value, dict) and value.get("reason") == "seq":
            raise ProtocolError(answer, step="append", peer=self.writer.peer)
        if status in {409, 412}:
            raise FencedError(answer, step="append", peer=self.writer.peer)
        if status in {400, 413}:
            raise RejectedError(answer, step="append", peer=self.writer.peer)
        if status in {404, 429, 503, 507}:
            raise UnavailableError(answer, step="append", peer=self.writer.peer)
        raise UnknownOutcomeError(answer, step="append", peer=self.writer.peer)


def _add_page(pages: _NewestPages, page: Any) -> bool:
    """Add a page; return whether it is the last one.

    Raises
    ------
    AttributeError, LookupError, TypeError, ValueError
        If it is malformed or does not advance.
    """
    if pages.end is None:
        pages.end = decode_integer(page["end"], MAX_INTEGER)
    pages.records.extend(decode_newest_records(page["items"]))
    if not page.get("more"):
        return True
    before, pages.after = pages.after, str(page["items"][-1]["key"])
    if pages.after == before:
        raise ValueError("pages do not advance")
    return False


def make_topic(name: str, address: str, source_host: str = "") -> PlatformTopic:
    """Return a client of one topic of the store at ``"host:port"``."""
    reader = make_http_client(address, 2, 1.0, source_host=source_host)
    writer = make_http_client(address, 2, 1.0, source_host=source_host)
    return PlatformTopic(name, reader, writer)
