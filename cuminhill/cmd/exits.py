"""Exit codes of the command-line tool and the errors that carry them."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import TYPE_CHECKING, Any

import click

from ..model import AnswerState

if TYPE_CHECKING:
    from collections.abc import Mapping


class ExitCode(IntEnum):
    """Exit codes and their meanings, which scripts rely on."""

    OK = 0, "done or accepted"
    FAILED = 1, "a task failed, the request was cancelled, or a wait ran out"
    INVALID = 2, "wrong usage or invalid input"
    UNREACHABLE = 3, "no address answered; nothing took effect"
    NOT_RUN = 4, "refused; it certainly did not run and took no effect"
    UNKNOWN = 5, "it may have taken effect; repeat with the same id to learn"
    LOST_RACE = 6, "another publication came first"
    NOT_FOUND = 7, "no such request, revision or configuration"

    meaning: str

    def __new__(cls, value: int, meaning: str) -> ExitCode:
        """Create a member with its meaning."""
        member = int.__new__(cls, value)
        member._value_ = value
        member.meaning = meaning
        return member


EXIT_HELP = "\n".join(
    ["\b", "Exit codes:", *(f"  {code.value}  {code.meaning}" for code in ExitCode)]
)

_CODE_OF_STATE = {
    AnswerState.ACCEPTED: ExitCode.OK,
    AnswerState.DONE: ExitCode.OK,
    AnswerState.FAILED: ExitCode.FAILED,
    AnswerState.CANCELLED: ExitCode.FAILED,
    AnswerState.NOT_RUN: ExitCode.NOT_RUN,
    AnswerState.UNKNOWN: ExitCode.UNKNOWN,
}


class CommandError(click.ClickException):
    """Ends the tool with a message and an exit code."""

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = code.value  # type: ignore[misc]  # click reads it here

    def show(self, file: Any = None) -> None:
        """Print the message, each line with the name of the tool."""
        for line in self.message.splitlines():
            click.echo(f"cuminhill: {line}", err=True, file=file)


def exit_with(code: ExitCode) -> None:
    """End the tool unless the code is OK."""
    if code is not ExitCode.OK:
        sys.exit(code.value)


def code_of_answer(answer: Mapping[str, Any]) -> ExitCode:
    """Return the exit code for an answer in JSON form."""
    return _CODE_OF_STATE[AnswerState(answer["state"])]
