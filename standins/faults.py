"""Injection of faults into stand-ins."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, fields
from typing import TYPE_CHECKING, Any

import curio
import orjson

from cuminhill.util.http import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]

BEFORE, AFTER = "before", "after"


@dataclass(slots=True)
class RequestMatch:
    """Criteria that select requests; an empty field matches all.

    Parameters
    ----------
    path : str
        Prefix of the path.
    method : str
        HTTP method.
    record_type : str
        Type of at least one record in the body of an append.
    text : str
        Substring of the body, such as a request id.
    peer : str
        IP address of the caller.
    """

    path: str = ""
    method: str = ""
    record_type: str = ""
    text: str = ""
    peer: str = ""

    def matches(self, req: HttpRequest) -> bool:
        """Return whether a request meets all criteria."""
        if not req.path.startswith(self.path) or self.method not in {"", req.method}:
            return False
        if self.text.encode() not in req.body:
            return False
        if self.peer not in {"", req.peer.rpartition(":")[0]}:
            return False
        return not self.record_type or self.record_type in _record_types(req.body)


@dataclass(slots=True)
class Gate:
    """Holds matching requests until it is released.

    Parameters
    ----------
    when : str
        Whether requests are held ``"before"`` or ``"after"`` their effect.
    n_held : int
        Number of requests that are held now.
    """

    name: str
    match: RequestMatch
    when: str = BEFORE
    n_held: int = 0
    released: Any = field(default_factory=curio.Event)

    async def hold(self) -> None:
        """Wait until the gate is released."""
        self.n_held += 1
        try:
            await self.released.wait()
        finally:
            self.n_held -= 1


@dataclass(slots=True)
class Faults:
    """Faults of one stand-in.

    Parameters
    ----------
    down : bool
        Every connection is closed without a response and without effect.
    refuse : bool
        Every request is answered with status 503 and has no effect.
    delay_s : float, seconds
        Delay before each request takes effect.
    n_lost_replies : int
        Number of further requests that take effect but whose connection is closed
        without a response.
    blocked : list of str
        IP addresses whose connections are closed without effect.
    paths : list of str
        Path prefixes that the faults apply to; empty for all.
    gates : dict of str to Gate
        Gates that hold requests, by name.
    lose_next : list of RequestMatch
        Triggers, each used once: the next request that matches takes effect but gets
        no reply.
    n_lost : int
        Number of replies lost so far through ``lose_next``.
    """

    down: bool = False
    refuse: bool = False
    delay_s: float = 0.0
    n_lost_replies: int = 0
    blocked: list[str] = field(default_factory=list)
    paths: list[str] = field(default_factory=list)
    gates: dict[str, Gate] = field(default_factory=dict)
    lose_next: list[RequestMatch] = field(default_factory=list)
    n_lost: int = 0

    async def update(self, values: dict[str, Any]) -> None:
        """Set the named faults; the others stay as they are.

        ``gate`` adds one gate, ``release`` names gates to release (``"*"`` for
        all) and ``lose_next`` adds one trigger.
        """
        names = {item.name for item in fields(self)} | {"gate", "release"}
        for name, value in values.items():
            if name not in names:
                raise ValueError(f"unknown fault {name!r}")
            if name == "gate":
                options = dict(value)
                gate = Gate(
                    options.pop("name"), RequestMatch(), options.pop("when", BEFORE)
                )
                gate.match = RequestMatch(**options)
                self.gates[gate.name] = gate
            elif name == "release":
                await self._release(value)
            elif name == "lose_next":
                self.lose_next = (
                    [*self.lose_next, RequestMatch(**value)] if value else []
                )
            else:
                setattr(self, name, value)

    def applies(self, path: str) -> bool:
        """Return whether the faults apply to a path."""
        return not self.paths or any(path.startswith(item) for item in self.paths)

    def unreachable_by(self, req: HttpRequest) -> bool:
        """Return whether the stand-in is unreachable for the caller now."""
        return self.down or req.peer.rpartition(":")[0] in self.blocked

    def gate_for(self, req: HttpRequest, when: str) -> Gate | None:
        """Return the first gate that holds a request, or None."""
        for gate in self.gates.values():
            if gate.when == when and gate.match.matches(req):
                return gate
        return None

    def consume_lost_reply(self, req: HttpRequest) -> bool:
        """Return whether the reply is lost; consume the trigger that causes it."""
        if self.unreachable_by(req):
            return True
        for match in self.lose_next:
            if match.matches(req):
                self.lose_next.remove(match)
                self.n_lost += 1
                return True
        if self.n_lost_replies > 0:
            self.n_lost_replies -= 1
            return True
        return False

    def to_dict(self) -> dict[str, Any]:
        """Return the faults and the number of held requests, JSON-ready."""
        return {
            item.name: getattr(self, item.name)
            for item in fields(self)
            if item.name not in {"gates", "lose_next"}
        } | {
            "gates": {name: gate.n_held for name, gate in self.gates.items()},
            "lose_next": [asdict(match) for match in self.lose_next],
        }

    async def _release(self, name: str) -> None:
        names = list(self.gates) if name == "*" else [name]
        for key in names:
            gate = self.gates.pop(key, None)
            if gate is not None:
                await gate.released.set()


def with_faults(handler: Handler, faults: Faults) -> Handler:
    """Return the handler with the faults injected into it.

    ``GET /faults`` returns the faults and ``POST /faults`` sets them. Faults
    never affect this path, nor ``/state``, ``/set`` and ``/die``.
    """

    async def handle(req: HttpRequest) -> HttpResponse | None:
        if req.path == "/faults":
            if req.method == "POST":
                await faults.update(req.json())
            return HttpResponse(200, faults.to_dict())
        if not faults.applies(req.path) or req.path in {"/state", "/set", "/die"}:
            return await handler(req)
        if faults.unreachable_by(req):
            return None
        if faults.refuse:
            return HttpResponse(503, {"error": "refused"})
        if faults.delay_s:
            await curio.sleep(faults.delay_s)
        gate = faults.gate_for(req, BEFORE)
        if gate is not None:
            await gate.hold()
            if faults.unreachable_by(req):
                return None
        response = await handler(req)
        gate = faults.gate_for(req, AFTER)
        if gate is not None:
            await gate.hold()
        return None if faults.consume_lost_reply(req) else response

    return handle


def _record_types(body: bytes) -> set[str]:
    try:
        records = orjson.loads(body)["records"]
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return set()
    return {item.get("type", "") for item in records}
