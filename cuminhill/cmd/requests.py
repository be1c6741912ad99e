"""Commands for callers: submit, status, cancel, jobs, explain."""

from __future__ import annotations

import getpass
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import click
import orjson

from ..model import AnswerState, RequestKind
from .exits import EXIT_HELP, CommandError, ExitCode, code_of_answer, exit_with
from .output import emit, json_option, render_table
from .session import Progress, check_reply, rows_of

if TYPE_CHECKING:
    from .session import Reply, Session

MAX_CALL_WAIT_S = 30.0  # below the longest wait that a daemon accepts
MAX_HOLD_S = 60.0  # a daemon may hold a request this long while the log is unavailable
DEFAULT_WAIT_S = 10.0
MAX_WAIT_S = 30 * 86400.0

wait_range = click.FloatRange(min=0.0, max=MAX_WAIT_S)


@click.command(epilog=EXIT_HELP)
@click.argument("kind", type=click.Choice([str(kind) for kind in RequestKind]))
@click.option("--id", "request_id", help="Idempotency key; made up if not given.")
@click.option("--team", default="default", show_default=True)
@click.option("--tasks", "n_tasks", default=1, show_default=True)
@click.option("--cores", default=1.0, show_default=True, help="Per task.")
@click.option("--memory-mb", default=256.0, show_default=True, help="Per task.")
@click.option("--accelerators", default=0.0, show_default=True, help="Per task.")
@click.option("--priority", default=0, show_default=True)
@click.option("--run-time", "run_time_s", default=1.0, show_default=True)
@click.option("--deadline", "deadline_s", type=float, help="Seconds to the last start.")
@click.option("--job-class", default="", help="Label for learning run times.")
@click.option("--payload", default="", help="JSON object, or @FILE, for the worker.")
@click.option("--issued-at", type=float, help="Unix time of the first attempt.")
@click.option(
    "--wait",
    "wait_s",
    type=wait_range,
    help="Seconds to wait for the final answer  [default: 10, service: 0]",
)
@json_option
@click.pass_obj
def submit(
    session: Session,
    kind: str,
    request_id: str | None,
    payload: str,
    issued_at: float | None,
    deadline_s: float | None,
    wait_s: float | None,
    as_json: bool,
    cores: float,
    memory_mb: float,
    accelerators: float,
    **fields: Any,
) -> None:
    """Submit a request and print its answer.

    The id is the idempotency key: submitting the same id again, through any
    entry VM, runs nothing twice and returns the same answer. An order must be
    repeated with the same --issued-at as well.

    \b
    Examples:
      cuminhill submit check
      cuminhill submit order --id pump-4711 --team dispatch --wait 30
      cuminhill submit batch --tasks 200 --cores 2 --run-time 90
      cuminhill submit gang --tasks 8 --deadline 600 --json
      cuminhill submit service --memory-mb 2048 --payload @service.json
    """
    if wait_s is None:
        wait_s = 0.0 if kind == RequestKind.SERVICE else DEFAULT_WAIT_S
    body = {
        "request_id": request_id or f"{getpass.getuser()}-{uuid.uuid4()}",
        "kind": kind,
        "need": {
            "cores": cores,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
        },
        "issued_at": time.time() if issued_at is None else issued_at,
        "deadline_s": deadline_s,
        "payload": _parse_payload(payload),
        **fields,
    }
    progress = Progress(f"waiting for {body['request_id']}", wait_s)
    call_wait_s = min(wait_s, MAX_CALL_WAIT_S)
    repeat = f"--id {body['request_id']} --issued-at {body['issued_at']!r}"
    try:
        reply = session.call(
            "POST",
            f"/v1/requests?wait_s={call_wait_s:g}",
            body,
            wait_s=call_wait_s,
            max_hold_s=min(deadline_s or MAX_HOLD_S, MAX_HOLD_S),
            progress=progress,
        )
    except CommandError as exc:
        if exc.exit_code != ExitCode.UNKNOWN:
            raise
        raise _unknown_outcome_error(exc.message, repeat) from exc
    answer = _answer(reply)
    if reply.prior_outcome_unknown and answer["state"] == AnswerState.NOT_RUN:
        # Only this attempt was rejected; an earlier one may have been accepted.
        raise _unknown_outcome_error(
            f"{render_answer(answer)} [{reply.address}]", repeat
        )
    _show_answer(_await_final(session, answer, progress), as_json)


@click.command(epilog=EXIT_HELP)
@click.argument("request_id")
@click.option("--wait", "wait_s", type=wait_range, default=0.0, show_default=True)
@json_option
@click.pass_obj
def status(session: Session, request_id: str, wait_s: float, as_json: bool) -> None:
    """Print what is known of a request.

    \b
    Examples:
      cuminhill status pump-4711
      cuminhill status nightly-17 --wait 3600 && echo finished
    """
    progress = Progress(f"waiting for {request_id}", wait_s)
    answer = _look_up(session, request_id, progress)
    _show_answer(_await_final(session, answer, progress), as_json)


@click.command(epilog=EXIT_HELP)
@click.argument("request_id")
@json_option
@click.pass_obj
def cancel(session: Session, request_id: str, as_json: bool) -> None:
    """Cancel a request; a finished one keeps its answer.

    The cancellation is on its way when this returns; `cuminhill status` with
    --wait shows when it is in effect.

    \b
    Example:
      cuminhill cancel nightly-17; cuminhill status nightly-17 --wait 10
    """
    body = check_reply(session.call("DELETE", _request_path(request_id)))
    emit(body, as_json, lambda _: f"{request_id}: cancellation accepted")


@click.command(epilog=EXIT_HELP)
@click.option("--state", type=click.Choice([str(state) for state in AnswerState]))
@click.option("--kind", type=click.Choice([str(kind) for kind in RequestKind]))
@click.option("--limit", type=click.IntRange(min=1), help="Print the last N only.")
@json_option
@click.pass_obj
def jobs(
    session: Session,
    state: str | None,
    kind: str | None,
    limit: int | None,
    as_json: bool,
) -> None:
    """List the logged requests; checks are not logged.

    \b
    Examples:
      cuminhill jobs --state accepted
      cuminhill jobs --kind order --limit 20 --json
    """
    rows = rows_of(session.call("GET", "/v1/requests"), "requests")
    rows = [
        row
        for row in rows
        if state in {None, row.get("state")} and kind in {None, row.get("kind")}
    ]
    rows = rows[-limit:] if limit else rows
    emit(rows, as_json, lambda found: render_table(found, empty="no requests"))


@click.command(epilog=EXIT_HELP)
@click.argument("request_id")
@json_option
@click.pass_obj
def explain(session: Session, request_id: str, as_json: bool) -> None:
    """Print why a request waits, or where its tasks run.

    \b
    Example:
      cuminhill explain nightly-17
    """
    emit(
        check_reply(session.call("GET", f"{_request_path(request_id)}/explain")),
        as_json,
    )


def _request_path(request_id: str) -> str:
    return f"/v1/requests/{quote(request_id, safe=':')}"


def _unknown_outcome_error(message: str, repeat: str) -> CommandError:
    return CommandError(
        f"{message}\na reply was lost; to learn the outcome, repeat with {repeat}",
        ExitCode.UNKNOWN,
    )


def _parse_payload(text: str) -> Any:
    if not text:
        return {}
    try:
        data = Path(text[1:]).read_bytes() if text.startswith("@") else text
        value = orjson.loads(data)
    except (OSError, ValueError) as exc:
        raise click.BadParameter(f"{text!r}: {exc}", param_hint="--payload") from exc
    if not isinstance(value, dict):
        raise click.BadParameter(f"{text!r} is no JSON object", param_hint="--payload")
    return value


def _answer(reply: Reply) -> dict[str, Any]:
    """Return the answer in a reply; a rejection is an answer as well."""
    body = reply.body
    if isinstance(body, dict) and body.get("state") in list(AnswerState):
        return body
    check_reply(reply)
    code = ExitCode.UNREACHABLE if reply.method == "GET" else ExitCode.UNKNOWN
    raise CommandError(f"{reply.address} sent no answer; is it an entry VM?", code)


def _look_up(session: Session, request_id: str, progress: Progress) -> dict[str, Any]:
    wait_s = min(progress.left_s(), MAX_CALL_WAIT_S)
    reply = session.call(
        "GET",
        f"{_request_path(request_id)}?wait_s={wait_s:.3f}",
        wait_s=wait_s,
        progress=progress,
    )
    return _answer(reply)


def _await_final(
    session: Session, answer: dict[str, Any], progress: Progress
) -> dict[str, Any]:
    """Poll an accepted request until its answer is final or the wait ends."""
    while answer["state"] == AnswerState.ACCEPTED and progress.left_s():
        answer = _look_up(session, answer["request_id"], progress)
    return answer


def _show_answer(answer: dict[str, Any], as_json: bool) -> None:
    emit(answer, as_json, render_answer)
    exit_with(code_of_answer(answer))


def render_answer(answer: dict[str, Any]) -> str:
    """Return an answer in readable form."""
    head = f"{answer['request_id']}: {answer['state']}"
    if answer.get("reason"):
        head += f" ({answer['reason']})"
    if answer.get("detail"):
        head += f": {answer['detail']}"
    if answer.get("age_s"):
        head += f" [as of {answer['age_s']:g} s ago: the log cannot be reached]"
    results = answer.get("results") or []
    if not results:
        return head
    n_ok = sum(bool(item.get("ok")) for item in results)
    head += f", {n_ok} of {len(results)} tasks succeeded"
    shown = [item for item in results if not item.get("ok") or item.get("value")]
    return f"{head}\n{render_table(shown)}" if shown else head
