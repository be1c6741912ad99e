"""HTTP interface for callers and operators."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

from .configuration import outcome_to_dict
from .errors import (
    CuminhillError,
    ProtocolError,
    SettingsError,
    UnknownOutcomeError,
    ValidationError,
)
from .metrics import CONTENT_TYPE, Metrics, make_metrics
from .model import Answer, AnswerState, Reason, not_run
from .schema import parse_publication, parse_request
from .util.http import HttpResponse

if TYPE_CHECKING:
    from .application import Application
    from .util.http import HttpRequest

MAX_WAIT_S = 60.0

_STATUS = {
    AnswerState.ACCEPTED: 202,
    AnswerState.DONE: 200,
    AnswerState.FAILED: 200,
    AnswerState.CANCELLED: 200,
    AnswerState.UNKNOWN: 200,
    AnswerState.NOT_RUN: 409,
}
_NOT_RUN_STATUS = {
    Reason.INFEASIBLE: 422,
    Reason.QUOTA: 429,
    Reason.OVERLOAD: 503,
    Reason.DRAINING: 503,
    Reason.UNAVAILABLE: 503,
    Reason.CONFIGURATION: 503,
}


def answer_response(answer: Answer) -> HttpResponse:
    """Return the HTTP response for an answer."""
    status = _STATUS[answer.state]
    if answer.reason is not None:
        status = _NOT_RUN_STATUS.get(answer.reason, status)
    return HttpResponse(status, answer.to_dict())


def error_response(status: int, exc: CuminhillError) -> HttpResponse:
    """Return the HTTP response for an error."""
    return HttpResponse(
        status, {"error": exc.message, "step": exc.step, "peer": exc.peer}
    )


@dataclass(eq=False)
class HttpApi:
    """Maps HTTP requests to calls of the application.

    Parameters
    ----------
    app : Application
        The daemon.
    """

    app: Application
    answers: Counter[str] = field(default_factory=Counter)
    metrics: Metrics = field(default_factory=make_metrics)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Serve one HTTP request."""
        try:
            return await self._route(req)
        except (ValidationError, ProtocolError) as exc:
            self.answers["invalid"] += 1
            return error_response(400, exc)
        except CuminhillError as exc:
            return error_response(503, exc)

    async def _route(self, req: HttpRequest) -> HttpResponse:
        match req.method, req.path.strip("/").split("/"):
            case "POST", ["v1", "requests"]:
                return await self._submit(req)
            case "GET", ["v1", "requests"]:
                return HttpResponse(200, {"requests": self.app.list_requests()})
            case "GET", ["v1", "requests", request_id]:
                return await self._lookup(request_id, _wait_s(req))
            case "GET", ["v1", "requests", request_id, "explain"]:
                return _found(await self.app.explain(request_id))
            case "DELETE", ["v1", "requests", request_id]:
                await self.app.cancel(request_id)
                return HttpResponse(202, {"request_id": request_id})
            case _:
                return await self._route_operator(req)

    async def _route_operator(self, req: HttpRequest) -> HttpResponse:
        match req.method, req.path.strip("/").split("/"):
            case "GET", ["v1", "workers"]:
                return HttpResponse(200, {"workers": self.app.list_workers()})
            case "POST", ["v1", "drain"]:
                await self.app.drain()
                return HttpResponse(202, {"draining": True})
            case "GET", ["v1", "dump"]:
                return HttpResponse(200, self.app.dump())
            case "GET", ["metrics"]:
                self.metrics.update_from(self.app.dump())
                return HttpResponse(
                    200, raw=self.metrics.render(), content_type=CONTENT_TYPE
                )
            case "GET", ["v1", "config"]:
                return self._config()
            case "POST", ["v1", "config"]:
                return await self._publish(req)
            case "GET", ["v1", "config", "history"]:
                return HttpResponse(200, {"history": self._history()})
            case "GET", ["healthz"]:
                return HttpResponse(200, {"alive": True})
            case "GET", ["readyz"]:
                reason = self.app.not_ready_reason()
                return HttpResponse(
                    503 if reason else 200, {"ready": not reason, "reason": reason}
                )
        return HttpResponse(404, {"error": "no such resource", "step": "route"})

    async def _submit(self, req: HttpRequest) -> HttpResponse:
        started_at = time.monotonic()
        request = parse_request(req.json(), req.peer, self.app.clock.wall())
        if self.app.draining:
            answer = not_run(
                request.request_id, Reason.DRAINING, "this entry VM is draining"
            )
        elif self.app.config.site is None:
            answer = not_run(
                request.request_id, Reason.CONFIGURATION, "no configuration yet"
            )
        else:
            answer = await self.app.router.submit(request, _wait_s(req))
        self.answers[f"{request.kind}:{answer.reason or answer.state}"] += 1
        took_s = time.monotonic() - started_at
        self.metrics.observe("answer_seconds", took_s, kind=request.kind)
        return answer_response(answer)

    def _config(self) -> HttpResponse:
        config = self.app.config
        revision = config.in_force
        if config.site is None or revision is None:
            return HttpResponse(404, {"error": "no configuration yet", "step": "read"})
        return HttpResponse(
            200,
            {
                "revision": revision.revision,
                "author": revision.author,
                "at": revision.at,
                "digest": config.site.digest(),
                "config": config.site.to_dict(),
            },
        )

    def _history(self) -> list[dict[str, Any]]:
        return [asdict(item) for item in self.app.config.state.history]

    async def _publish(self, req: HttpRequest) -> HttpResponse:
        body = parse_publication(req.json(), req.peer)
        try:
            outcome = await self.app.config.publish(
                body.publication_id, body.author, body.base_revision, body.config
            )
        except SettingsError as exc:
            return error_response(400, exc)
        except UnknownOutcomeError as exc:
            return error_response(504, exc)  # may be accepted; 503 would deny that
        value = outcome_to_dict(outcome)
        return HttpResponse(200 if value["accepted"] else 409, value)

    async def _lookup(self, request_id: str, wait_s: float) -> HttpResponse:
        answer = await self.app.lookup(request_id, wait_s)
        return (
            _found(None)
            if answer is None
            else HttpResponse(200, answer.to_dict() | self.app.log_age())
        )


def _found(value: Any) -> HttpResponse:
    if value is None:
        return HttpResponse(404, {"error": "no such request", "step": "lookup"})
    return HttpResponse(200, value)


def _wait_s(req: HttpRequest) -> float:
    text = req.query.get("wait_s", "0")
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_WAIT_S:
        raise ValidationError(
            f"wait_s: {text!r} is not a number of seconds from 0 to {MAX_WAIT_S:g}",
            step="validate",
            peer=req.peer,
        )
    return value
