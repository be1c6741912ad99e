"""Calls of the command-line tool to one of several entry VMs."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NoReturn

import click
import curio

from ..errors import CuminhillError, UnknownOutcomeError
from ..util.http import make_http_client
from .exits import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_ADDRESS = "127.0.0.1:8080"
CALL_SLACK_S = 10.0
CONNECT_TIMEOUT_S = 2.0  # short, so that the next address is tried soon
PROGRESS_INTERVAL_S = 0.5
PROGRESS_AFTER_S = 1.0


class AddressType(click.ParamType):
    """Address ``host:port``; the environment variable is a comma-separated list."""

    name = "host:port"
    envvar_list_splitter = ","

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> str:
        """Return the address if it has a host and a valid port."""
        host, _, port = str(value).strip().rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 1 << 16:
            self.fail(f"{value!r} is not host:port", param, ctx)
        return f"{host}:{port}"


@dataclass(frozen=True, slots=True)
class Progress:
    """Progress line of a long wait on standard error, if that is a terminal.

    Parameters
    ----------
    text : str
        Description of the wait.
    total_s : float, seconds
        Longest duration of the wait.
    """

    text: str
    total_s: float
    started_at: float = field(default_factory=time.monotonic)

    def left_s(self) -> float:
        """Return the remaining seconds of the wait."""
        return max(0.0, self.started_at + self.total_s - time.monotonic())

    def show(self) -> None:
        """Write the elapsed time, from `PROGRESS_AFTER_S` on."""
        passed_s = time.monotonic() - self.started_at
        if passed_s >= PROGRESS_AFTER_S and sys.stderr.isatty():
            sys.stderr.write(
                f"\r\x1b[K{self.text}: {passed_s:.0f} s of {self.total_s:.0f} s"
            )
            sys.stderr.flush()

    def clear(self) -> None:
        """Remove the line."""
        if sys.stderr.isatty():
            sys.stderr.write("\r\x1b[K")
            sys.stderr.flush()


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of an entry VM.

    Parameters
    ----------
    address : str
        Entry VM that replied.
    method : str
        HTTP method of the call.
    status : int
        HTTP status.
    body : object
        Decoded body.
    prior_outcome_unknown : bool
        Whether a VM tried before may have carried out the call already.
    """

    address: str
    method: str
    status: int
    body: Any
    prior_outcome_unknown: bool = False


@dataclass(frozen=True, slots=True)
class Session:
    """Calls to the entry VMs whose addresses were given to the tool.

    Parameters
    ----------
    addresses : tuple of str
        ``"host:port"`` of entry VMs, tried in this order.
    """

    addresses: tuple[str, ...]

    def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        *,
        wait_s: float = 0.0,
        max_hold_s: float = 0.0,
        progress: Progress | None = None,
    ) -> Reply:
        """Make an idempotent call; each address is tried until one answers.

        Parameters
        ----------
        method, path : str
            HTTP method and path.
        value : object, default=None
            JSON body.
        wait_s : float, seconds
            How long the daemon is asked to wait.
        max_hold_s : float, seconds
            How long the last address may hold the call even if ``wait_s`` is shorter.
        progress : Progress, default=None
            Shown while the call lasts.

        Raises
        ------
        CommandError
            If no address answers.
        """
        try:
            return curio.run(
                _with_progress,
                progress,
                _call_first(
                    self.addresses,
                    method,
                    path,
                    value,
                    wait_s=wait_s,
                    max_hold_s=max_hold_s,
                ),
            )
        except _NoReplyError as exc:
            _raise_no_reply(exc.errors, method)

    def call_all(self, path: str) -> tuple[list[Reply], list[CuminhillError]]:
        """Read a path from every address; return the replies and the errors."""
        replies: list[Reply] = []
        errors: list[CuminhillError] = []
        for address in self.addresses:
            try:
                replies.append(curio.run(_call_first((address,), "GET", path)))
            except _NoReplyError as exc:
                errors += exc.errors
        if not replies:
            _raise_no_reply(errors, "GET")
        return replies, errors

    def is_listening(self) -> bool:
        """Return whether something accepts connections at the first address."""
        try:
            curio.run(_call_first(self.addresses[:1], "GET", "/healthz"))
        except _NoReplyError as exc:
            # A process that accepts but does not answer has not stopped.
            return any(isinstance(item, UnknownOutcomeError) for item in exc.errors)
        return True

    def only_address(self) -> Session:
        """Return this session if it has one address.

        Raises
        ------
        click.UsageError
            If it has several; the command acts on one VM only.
        """
        if len(self.addresses) != 1:
            raise click.UsageError("this command acts on one VM: give one --address")
        return self


class _NoReplyError(Exception):
    """No address answered."""

    def __init__(self, errors: list[CuminhillError]) -> None:
        super().__init__()
        self.errors = errors


def check_reply(reply: Reply) -> Any:
    """Return the body of a successful reply.

    Raises
    ------
    CommandError
        If the status reports an error or the body is no JSON object.
    """
    if reply.status < 400 and isinstance(reply.body, dict):
        return reply.body
    text = reply.body.get("error") if isinstance(reply.body, dict) else None
    step = reply.body.get("step") if isinstance(reply.body, dict) else None
    message = f"{step}: {text}" if text else f"HTTP {reply.status}: {reply.body!r:.200}"
    code = ExitCode.INVALID
    if reply.status == 404 and text:
        code = ExitCode.NOT_FOUND
    elif reply.status >= 500 or reply.status < 400:
        code = _code_without_reply(reply.method, True)
    raise CommandError(f"{message} [{reply.address}]", code)


def rows_of(reply: Reply, key: str) -> list[dict[str, Any]]:
    """Return the list under a key of a successful reply.

    Raises
    ------
    CommandError
        If the reply reports an error or has no such list.
    """
    rows = check_reply(reply).get(key)
    if isinstance(rows, list):
        return rows
    raise CommandError(
        f"{reply.address} sent no {key}; is it an entry VM?", ExitCode.UNREACHABLE
    )


def _raise_no_reply(errors: Iterable[CuminhillError], method: str) -> NoReturn:
    errors = list(errors)
    may_have_run = any(isinstance(item, UnknownOutcomeError) for item in errors)
    raise CommandError(
        "\n".join(str(item) for item in errors),
        _code_without_reply(method, may_have_run),
    )


def _code_without_reply(method: str, may_have_run: bool) -> ExitCode:
    if may_have_run and method != "GET":
        return ExitCode.UNKNOWN
    return ExitCode.UNREACHABLE


async def _call_first(
    addresses: tuple[str, ...],
    method: str,
    path: str,
    value: Any = None,
    *,
    wait_s: float = 0.0,
    max_hold_s: float = 0.0,
) -> Reply:
    errors: list[CuminhillError] = []
    for address in addresses:
        is_last = address is addresses[-1]
        timeout_s = max(wait_s, max_hold_s if is_last else 0.0) + CALL_SLACK_S
        try:
            status, body = await _call_one(address, method, path, value, timeout_s)
        except CuminhillError as exc:
            errors.append(exc)
            continue
        if not is_last and _rejected_by_draining_vm(status, body):
            continue
        prior_outcome_unknown = any(
            isinstance(item, UnknownOutcomeError) for item in errors
        )
        return Reply(address, method, status, body, prior_outcome_unknown)
    raise _NoReplyError(errors)


async def _call_one(
    address: str, method: str, path: str, value: Any, timeout_s: float
) -> tuple[int, Any]:
    client = make_http_client(address, connect_timeout_s=CONNECT_TIMEOUT_S)
    try:
        return await client.request(method, path, value, timeout_s=timeout_s)
    finally:
        await client.close()


def _rejected_by_draining_vm(status: int, body: Any) -> bool:
    """Return whether a draining VM rejected the request, so that others may run it."""
    return status == 503 and isinstance(body, dict) and body.get("reason") == "draining"


async def _with_progress(progress: Progress | None, coro: Any) -> Any:
    if progress is None:
        return await coro
    task = await curio.spawn(_show_progress, progress, daemon=True)
    try:
        return await coro
    finally:
        await task.cancel()
        progress.clear()


async def _show_progress(progress: Progress) -> None:
    while True:
        await curio.sleep(PROGRESS_INTERVAL_S)
        progress.show()
