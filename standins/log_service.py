"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import curio

from cuminhill.util.http import HttpRequest, HttpResponse

MAX_READ_RECORDS = 1000
MAX_WAIT_S = 30.0


@dataclass(slots=True)
class Stream:
    """One stream of records with consecutive offsets.

    Parameters
    ----------
    start : int
        Offset of the oldest record kept.
    records : deque of (float, object)
        Time of the append and the record.
    """

    start: int = 0
    records: deque[tuple[float, Any]] = field(default_factory=deque)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.start + len(self.records)


@dataclass(slots=True)
class LogService:
    """Streams with limited retention and a limited rate of appends.

    Parameters
    ----------
    appends_per_s : float
        Accepted rate of append calls; calls beyond it get status 429.
    retention_s : float, seconds
        Records older than this are dropped.
    """

    appends_per_s: float = 400.0
    retention_s: float = 3600.0
    streams: dict[str, Stream] = field(default_factory=dict)
    n_appends: int = 0
    n_refused: int = 0
    _tokens: float = 0.0
    _refilled_at: float = 0.0
    _changed: Any = field(default_factory=curio.Condition)

    def stream(self, name: str) -> Stream:
        """Return a stream; it is created on first use."""
        return self.streams.setdefault(name, Stream())

    def append(self, name: str, records: list[Any], now: float) -> int | None:
        """Append records as one batch.

        Returns
        -------
        int or None
            Offset of the first record, or None if the rate limit is exceeded.
        """
        burst = self.appends_per_s
        refill = (now - self._refilled_at) * self.appends_per_s
        self._tokens = min(burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.n_refused += 1
            return None
        self._tokens -= 1.0
        self.n_appends += 1
        stream = self.stream(name)
        first = stream.end
        stream.records.extend((now, record) for record in records)
        return first

    def read(self, name: str, offset: int, limit: int, now: float) -> dict[str, Any]:
        """Return at most ``limit`` records from an offset on, and both ends."""
        stream = self.stream(name)
        while stream.records and stream.records[0][0] < now - self.retention_s:
            stream.records.popleft()
            stream.start += 1
        first = max(offset, stream.start)
        last = min(stream.end, first + min(limit, MAX_READ_RECORDS))
        records = [[i, stream.records[i - stream.start][1]] for i in range(first, last)]
        return {"start": stream.start, "end": stream.end, "records": records}

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Serve ``/streams/{name}``, ``/stats`` and ``POST /set``."""
        if req.path == "/set":
            body = req.json()
            self.retention_s = body.get("retention_s", self.retention_s)
            self.appends_per_s = body.get("appends_per_s", self.appends_per_s)
            return HttpResponse(200, {})
        if req.path == "/stats":
            return HttpResponse(
                200, {"n_appends": self.n_appends, "n_refused": self.n_refused}
            )
        name = req.path.removeprefix("/streams/")
        if not name or name == req.path:
            return HttpResponse(404, {"error": "not found"})
        if req.method == "POST":
            first = self.append(name, req.json()["records"], time.monotonic())
            if first is None:
                return HttpResponse(429, {"error": "too many appends"})
            async with self._changed:
                await self._changed.notify_all()
            return HttpResponse(200, {"first_offset": first})
        return await self._read(name, req.query)

    async def _read(self, name: str, query: dict[str, str]) -> HttpResponse:
        offset = int(query.get("from", "0"))
        limit = int(query.get("limit", str(MAX_READ_RECORDS)))
        wait_s = min(float(query.get("wait_s", "0")), MAX_WAIT_S)
        if wait_s > 0 and offset >= self.stream(name).end:
            await self._wait(name, offset, wait_s)
        return HttpResponse(200, self.read(name, offset, limit, time.monotonic()))

    async def _wait(self, name: str, offset: int, wait_s: float) -> None:
        try:
            async with curio.timeout_after(wait_s), self._changed:
                while offset >= self.stream(name).end:
                    await self._changed.wait()
        except curio.TaskTimeout:
            return
