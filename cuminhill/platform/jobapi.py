"""HTTP API for callers on the users' platform, served by `jobs.service`."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ..errors import ValidationError
from ..jobs.model import Outcome
from ..jobs.service import RETRY_AFTER_S
from ..jobs.teamaccess import find_team, is_foreign
from ..util.http import HttpRequest, HttpResponse
from .wire import decode_job_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..jobs.model import Team
    from ..jobs.node import JobNode

JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
DEADLINE_HEADER = "x-cuminhill-deadline-ms"
DEFAULT_DEADLINE_MS = 3000.0
MAX_DEADLINE_MS = 3_600_000.0
# Fraction of a caller's deadline that the service may use; the rest is left for the
# response to reach the caller.
DEADLINE_FRACTION = 0.7
# Time for reading the configuration when a queue is unknown.
CONFIG_READ_TIMEOUT_S = 0.5
READY_PATH = "/-/ready"


@dataclass(eq=False)
class JobApi:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    node : JobNode
        Node that serves the requests.
    wall : callable
        Returns wall-clock seconds.
    """

    node: JobNode
    wall: Callable[[], float]

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle a request about a queue or a job."""
        if not self.node.table.version:
            return _unavailable_response("no configuration yet")
        host = req.headers.get("host", "").partition(":")[0]
        queue = self.node.table.find(host, req.path)
        if queue is None:
            # It may have been added a moment ago.
            if not await self.node.config.catch_up_in_turn(CONFIG_READ_TIMEOUT_S):
                return _unavailable_response("the configuration cannot be read")
            queue = self.node.table.find(host, req.path)
        if queue is None:
            return _error_response(404, "no such queue")
        table = self.node.table
        team = find_team(table, req.headers.get("authorization", ""))
        if table.teams is not None and team is None and not queue.public:
            self.node.service.counts["unauthorized"] += 1
            return _unauthorized_response()
        job_id = req.path[len(queue.path_prefix) :]
        if not job_id:
            if req.method != "GET":
                return _error_response(405, "GET asks for the length of a queue")
            n_waiting = self.node.service.n_waiting(queue.name)
            if isinstance(n_waiting, Outcome):
                return self._response(n_waiting)
            return HttpResponse(200, {"waiting": n_waiting})
        if JOB_ID.fullmatch(job_id) is None:
            return _error_response(
                404 if req.method == "GET" else 400, "id: 16 hex digits"
            )
        if req.method == "POST":
            return await self._submit(job_id, queue.name, team, req)
        if req.method == "GET":
            return await self._get_state(job_id, team)
        if req.method == "DELETE":
            return await self._cancel(job_id, team, req)
        return _error_response(405, "POST, GET or DELETE")

    def _refuse_foreign(self, job_id: str, team: Team | None) -> HttpResponse | None:
        """Return the response if a job is another team's, None otherwise."""
        entry = self.node.job_index.entries.get(job_id)
        if not is_foreign(self.node.table, team, entry):
            return None
        self.node.service.counts["forbidden"] += 1
        return _error_response(403, "the job belongs to another team")

    async def _submit(
        self, job_id: str, queue: str, team: Team | None, req: HttpRequest
    ) -> HttpResponse:
        refusal = self._refuse_foreign(job_id, team)
        if refusal is not None:
            return refusal
        try:
            job = decode_job_body(job_id, queue, req.body, self.wall())
        except ValidationError as exc:
            self.node.service.counts["invalid"] += 1
            return _error_response(400, exc.message)
        job = replace(job, team=team)
        outcome = await self.node.service.submit(job, _deadline_s(req))
        if outcome is Outcome.REFUSED:
            return _refused_response(self.node.service.retry_after_s(job))
        return self._response(outcome)

    async def _get_state(self, job_id: str, team: Team | None) -> HttpResponse:
        state = await self.node.service.state(job_id)
        if isinstance(state, Outcome):
            return self._response(state)
        refusal = self._refuse_foreign(job_id, team)
        return refusal or HttpResponse(200, {"state": str(state)})

    async def _cancel(
        self, job_id: str, team: Team | None, req: HttpRequest
    ) -> HttpResponse:
        if self.node.table.teams is not None:
            # The look-up reads the journal to its end if the job is unknown.
            state = await self.node.service.state(job_id)
            if isinstance(state, Outcome):
                return self._response(state)
            refusal = self._refuse_foreign(job_id, team)
            if refusal is not None:
                return refusal
        outcome = await self.node.service.cancel(job_id, _deadline_s(req))
        return self._response(outcome)

    async def handle_ready(self, req: HttpRequest) -> HttpResponse:
        """Handle the probe that decides whether the platform sends new callers here."""
        if req.path != READY_PATH:
            return _error_response(404, "no such path")
        ready = self.node.is_ready()
        return HttpResponse(200 if ready else 503, {"ready": ready})

    def _response(self, outcome: Outcome) -> HttpResponse:
        if outcome is Outcome.OK:
            return HttpResponse(200, {})
        if outcome is Outcome.UNKNOWN_JOB:
            return _error_response(410, "no such job")
        if outcome is Outcome.UNCERTAIN:
            return _error_response(
                504, "the journal has not answered; repeat the request"
            )
        return _unavailable_response(
            "the journal cannot be reached; the request had no effect"
        )


def _deadline_s(req: HttpRequest) -> float:
    try:
        deadline_ms = float(req.headers.get(DEADLINE_HEADER, DEFAULT_DEADLINE_MS))
    except ValueError:
        deadline_ms = DEFAULT_DEADLINE_MS
    if not 0 <= deadline_ms <= MAX_DEADLINE_MS:  # also if it is no number
        deadline_ms = DEFAULT_DEADLINE_MS
    return deadline_ms / 1000 * DEADLINE_FRACTION


def _unauthorized_response() -> HttpResponse:
    message = "send a valid key of a team: Authorization: Bearer KEY"
    headers = (("www-authenticate", "Bearer"),)
    return HttpResponse(401, {"error": message}, headers=headers)


def _unavailable_response(message: str) -> HttpResponse:
    headers = (("retry-after", str(RETRY_AFTER_S)),)
    return HttpResponse(503, {"error": message}, headers=headers)


def _refused_response(retry_after_s: int) -> HttpResponse:
    headers = (("retry-after", str(retry_after_s)),)
    message = (
        "too many jobs for the current load; this one was not accepted and never runs; "
        "submit it again after the time in Retry-After"
    )
    return HttpResponse(429, {"error": message}, headers=headers)


def _error_response(status: int, message: str, **more: Any) -> HttpResponse:
    return HttpResponse(status, {"error": message, **more})
