"""Faults that a stand-in can be told to show."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, fields
from typing import TYPE_CHECKING, Any

import curio

from cuminhill.util.http import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


@dataclass(slots=True)
class Faults:
    """What goes wrong at a stand-in.

    Parameters
    ----------
    down : bool
        Close every connection without a response and without effect.
    refuse : bool
        Answer 503 without effect.
    delay_s : float, seconds
        Wait before each effect.
    n_lost_replies : int
        Take effect but close the connection, this many times.
    blocked : list of str
        IP addresses whose connections are closed without effect.
    paths : list of str
        Path prefixes that the faults apply to; empty for all.
    """

    down: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    n_lost_replies: int = 0
    blocked: list[str] = field(default_factory=list)
    paths: list[str] = field(default_factory=list)

    def update(self, values: dict[str, Any]) -> None:
        """Set the named faults; others keep their value."""
        names = {item.name for item in fields(self)}
        for name, value in values.items():
            if name not in names:
                raise ValueError(f"unknown fault {name!r}")
            setattr(self, name, value)

    def applies(self, path: str) -> bool:
        """Return whether the faults apply to a path."""
        return not self.paths or any(path.startswith(item) for item in self.paths)


def with_faults(handler: Handler, faults: Faults) -> Handler:
    """Return a handler that shows the faults; ``/faults`` reads and sets them."""

    async def handle(req: HttpRequest) -> HttpResponse | None:
        if req.path == "/faults":
            if req.method == "POST":
                faults.update(req.json())
            return HttpResponse(200, asdict(faults))
        if not faults.applies(req.path):
            return await handler(req)
        if faults.down or req.peer.rpartition(":")[0] in faults.blocked:
            return None
        if faults.refuse:
            return HttpResponse(503, {"error": "refused"})
        if faults.delay_s:
            await curio.sleep(faults.delay_s)
        response = await handler(req)
        if faults.n_lost_replies > 0:
            faults.n_lost_replies -= 1
            return None
        return response

    return handle
