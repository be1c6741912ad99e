"""Shell completion scripts of the command-line tool."""

from __future__ import annotations

import click
from click.shell_completion import ShellComplete, get_completion_class

PROGRAM = "cuminhill"
COMPLETE_VARIABLE = "_CUMINHILL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print a script that completes commands and options in a shell.

    \b
    Examples:
      cuminhill completion bash > ~/.local/share/bash-completion/completions/cuminhill
      cuminhill completion zsh > ~/.zfunc/_cuminhill
      cuminhill completion fish > ~/.config/fish/completions/cuminhill.fish
    """
    shell_class = get_completion_class(shell)
    assert shell_class is not None
    complete = shell_class(ctx.find_root().command, {}, PROGRAM, COMPLETE_VARIABLE)
    # BashComplete.source() runs bash to check its version; the base class only formats.
    click.echo(ShellComplete.source(complete))
