"""Commands for the site configuration: check, diff, publish, show, history."""

from __future__ import annotations

import getpass
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..errors import SettingsError
from ..siteconfig import SiteConfig, load_config
from ..util.tables import diff_tables
from .exits import EXIT_HELP, CommandError, ExitCode
from .output import emit, json_option, render_table
from .session import Progress, Reply, check_reply, rows_of

if TYPE_CHECKING:
    from .session import Session

DIGEST_SHOWN_CHARS = 12
MAX_HOLD_S = 30.0  # the daemon replies once it has read the publication back

file_type = click.Path(dir_okay=False, path_type=Path)
file_argument = click.argument("file", type=file_type)
base_option = click.option(
    "--base", type=file_type, help="Base file  [default: base.toml beside FILE]"
)


@click.group()
def config() -> None:
    """Check, compare, publish and show the site configuration.

    \b
    A change, step by step:
      cuminhill config show                    # note the revision, say 12
      $EDITOR config/formosa.toml
      cuminhill config check config/formosa.toml
      cuminhill config diff config/formosa.toml
      cuminhill config publish config/formosa.toml --base-revision 12
    """


@config.command(epilog=EXIT_HELP)
@file_argument
@base_option
@json_option
def check(file: Path, base: Path | None, as_json: bool) -> None:
    """Validate the overlay FILE merged with its base file; needs no daemon.

    \b
    Example:
      cuminhill config check config/malanad.toml
    """
    cfg = _load(file, base)
    body = {"site": cfg.site, "valid": True, "digest": cfg.digest()}
    emit(body, as_json, lambda _: f"{file}: valid, digest {cfg.digest()}")


@config.command(epilog=EXIT_HELP)
@file_argument
@click.argument("other", type=file_type, required=False)
@base_option
@json_option
@click.pass_obj
def diff(
    session: Session, file: Path, other: Path | None, base: Path | None, as_json: bool
) -> None:
    """Print how FILE differs from the configuration in force, or from OTHER.

    With OTHER both are files and no daemon is needed; OLD is OTHER's value.

    \b
    Examples:
      cuminhill config diff config/formosa.toml
      cuminhill config diff config/formosa.toml config/malanad.toml
    """
    new = _load(file, base).to_dict()
    old = _load(other, base).to_dict() if other else _current(session)["config"]
    rows = [
        {"key": item.key, "old": item.old, "new": item.new}
        for item in diff_tables(old, new)
    ]
    emit(rows, as_json, lambda found: render_table(found, empty="no difference"))


@config.command(epilog=EXIT_HELP)
@file_argument
@base_option
@click.option(
    "--base-revision",
    type=click.IntRange(min=0),
    required=True,
    help="Revision that the file was made from; 0 for the first.",
)
@click.option(
    "--author",
    envvar="CUMINHILL_AUTHOR",
    default=getpass.getuser,
    show_default="login name",
)
@json_option
@click.pass_obj
def publish(
    session: Session,
    file: Path,
    base: Path | None,
    base_revision: int,
    author: str,
    as_json: bool,
) -> None:
    """Publish FILE if --base-revision is still the current one.

    Of several publications made from the same revision exactly one is accepted;
    the others exit with 6 and name the author of the accepted one.

    \b
    Example:
      cuminhill config publish config/formosa.toml --base-revision 12
    """
    cfg = _load(file, base)
    value = {
        "base_revision": base_revision,
        "author": author,
        "config": cfg.to_dict(),
        "publication_id": str(uuid.uuid4()),
    }
    progress = Progress("waiting for the log", MAX_HOLD_S)
    reply = session.call(
        "POST", "/v1/config", value, max_hold_s=MAX_HOLD_S, progress=progress
    )
    if reply.prior_outcome_unknown and reply.status in {409, 503}:
        reply = _own_earlier_attempt(session, value, cfg) or reply
    if reply.status == 409:
        emit(reply.body, as_json, lambda body: _format_conflict(body, file))
        raise click.exceptions.Exit(ExitCode.LOST_RACE.value)
    if reply.status == 503:
        raise _publish_error(reply)
    body = check_reply(reply)
    emit(body, as_json, lambda _: f"accepted as revision {body['revision']}")


@config.command(epilog=EXIT_HELP)
@json_option
@click.pass_obj
def show(session: Session, as_json: bool) -> None:
    """Print the configuration in force, its revision and its author.

    \b
    Example:
      cuminhill config show --json | jq .config.weights
    """
    emit(_current(session), as_json)


@config.command(epilog=EXIT_HELP)
@click.option("--limit", type=click.IntRange(min=1), help="Print the last N only.")
@json_option
@click.pass_obj
def history(session: Session, limit: int | None, as_json: bool) -> None:
    """List the accepted publications, newest last.

    \b
    Example:
      cuminhill config history --limit 10
    """
    rows = _history(session)
    rows = rows[-limit:] if limit else rows
    emit(rows, as_json, _render_history)


def _load(file: Path, base: Path | None) -> SiteConfig:
    try:
        return load_config(file, base)
    except SettingsError as exc:
        raise CommandError(exc.message, ExitCode.INVALID) from exc


def _current(session: Session) -> dict[str, Any]:
    reply = session.call("GET", "/v1/config")
    if _has_no_config(reply):
        raise CommandError(
            "no configuration has been published; use --base-revision 0",
            ExitCode.NOT_FOUND,
        )
    return dict(check_reply(reply))


def _has_no_config(reply: Reply) -> bool:
    body = reply.body if isinstance(reply.body, dict) else {}
    if reply.status == 404:
        # A daemon without this resource rejects the path itself, at step "route".
        return body.get("step") != "route"
    return reply.status == 200 and not body.get("config")


def _history(session: Session) -> list[dict[str, Any]]:
    return rows_of(session.call("GET", "/v1/config/history"), "history")


def _own_earlier_attempt(
    session: Session, value: dict[str, Any], cfg: SiteConfig
) -> Reply | None:
    """Return an acceptance if an earlier attempt, whose reply was lost, succeeded."""
    try:
        rows = _history(session)
    except CommandError:
        return None
    for row in rows:
        if row["revision"] > value["base_revision"]:
            won = (row["author"], row["digest"]) == (value["author"], cfg.digest())
            body = {"accepted": True, "revision": row["revision"]}
            return Reply("", "POST", 200, body) if won else None
    return None


def _publish_error(reply: Reply) -> CommandError:
    body = reply.body if isinstance(reply.body, dict) else {}
    text = body.get("error") or body.get("detail") or "unavailable"
    if reply.prior_outcome_unknown:
        return CommandError(
            f"{text}; the reply to an earlier attempt was lost: see `cuminhill config "
            "history`",
            ExitCode.UNKNOWN,
        )
    return CommandError(f"not published: {text}", ExitCode.NOT_RUN)


def _format_conflict(body: dict[str, Any], file: Path) -> str:
    return (
        f"not accepted: revision {body['revision']} by {body['author']} came first\n"
        f"compare with `cuminhill config diff {file}`, then publish with "
        f"--base-revision {body['revision']}"
    )


def _render_history(rows: list[dict[str, Any]]) -> str:
    shown = [
        row
        | {
            "digest": str(row.get("digest", ""))[:DIGEST_SHOWN_CHARS],
            "at": _format_time(row.get("at")),
        }
        for row in rows
    ]
    return render_table(shown, empty="no publications")


def _format_time(at: Any) -> Any:
    if not isinstance(at, int | float):
        return at
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")
