"""A log behind a link of little capacity."""

from __future__ import annotations

from dataclasses import dataclass, field

import curio

from cuminhill.clock import boottime
from cuminhill.errors import UnknownOutcomeError
from cuminhill.jobs.journal import record_bytes
from standins.job_platform import LogView

TICK_S = 0.01
LINK_BYTES_S = 1_000_000.0


@dataclass(eq=False)
class Link:
    """Link whose capacity all transfers under way share equally."""

    bytes_s: float = LINK_BYTES_S
    n_under_way: int = 0
    n_transferred: float = 0.0

    async def transfer(self, n_bytes: float) -> None:
        """Wait until some data has arrived."""
        self.n_under_way += 1
        try:
            while n_bytes > 0:
                sent_at = boottime()
                await curio.sleep(TICK_S)
                part = (boottime() - sent_at) * self.bytes_s / self.n_under_way
                n_bytes -= part
                self.n_transferred += part
        finally:
            self.n_under_way -= 1


@dataclass(eq=False)
class LinkedLog(LogView):
    """A log behind a link; a read is answered once its records have arrived."""

    link: Link = field(default_factory=Link)

    async def read(self, offset, wait_s, timeout_s=2.0):
        """Return the end offset and the records from an offset on."""
        end, records = await super().read(offset, wait_s, timeout_s)
        await self.link.transfer(sum(len(record.value) for record in records))
        return end, records

    async def append(self, records, token=None, *, at=None, timeout_s):
        """Append records once they have arrived; return the offset of the first."""
        n_bytes = sum(record_bytes(key, value) for key, value in records)
        try:
            async with curio.timeout_after(timeout_s):
                await self.link.transfer(n_bytes)
        except curio.TaskTimeout as exc:
            raise UnknownOutcomeError("timed out", step="append") from exc
        return await super().append(records, token, at=at, timeout_s=timeout_s)
