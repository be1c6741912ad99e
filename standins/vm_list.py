"""Stand-in for the platform's VM list, which is eventually consistent."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from cuminhill.util.http import HttpRequest, HttpResponse


@dataclass(slots=True)
class VmList:
    """List of VMs whose changes become visible after a lag.

    Parameters
    ----------
    lag_s : float, seconds
        Time until a change becomes visible.
    frozen_at : float or None, seconds
        While it is set, changes after this monotonic time are hidden.
    """

    lag_s: float = 0.0
    frozen_at: float | None = None
    changes: list[tuple[float, dict[str, Any]]] = field(default_factory=list)

    def put(self, entry: dict[str, Any], now: float) -> None:
        """Record a change of one VM; state ``gone`` removes it."""
        self.changes.append((now, entry))

    def visible(self, now: float) -> list[dict[str, Any]]:
        """Return the VMs that are visible after the lag, ordered by name."""
        if self.frozen_at is not None:
            now = min(now, self.frozen_at)
        vms: dict[str, dict[str, Any]] = {}
        for at, entry in self.changes:
            if at <= now - self.lag_s:
                vms[entry["vm"]] = vms.get(entry["vm"], {}) | entry
        return [vms[key] for key in sorted(vms) if vms[key].get("state") != "gone"]

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Serve ``GET /vms``, ``POST /vms`` and ``POST /set``."""
        if req.path == "/set":
            body = req.json()
            self.lag_s = body.get("lag_s", self.lag_s)
            if "frozen" in body:
                self.frozen_at = time.monotonic() if body["frozen"] else None
            return HttpResponse(200, {})
        if req.path != "/vms":
            return HttpResponse(404, {"error": "not found"})
        if req.method == "POST":
            self.put(req.json(), time.monotonic())
            return HttpResponse(200, {})
        return HttpResponse(200, {"vms": self.visible(time.monotonic())})
