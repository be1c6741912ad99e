"""Tests of the commands for operators, of addresses, help and completion."""

from __future__ import annotations

import json

import click
import pytest

from cuminhill.cmd.cli import main
from cuminhill.cmd.exits import ExitCode
from cuminhill.util.http import HttpResponse


def commands(group=main, path=()):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands(command, (*path, name))
        else:
            yield (*path, name)


def test_workers_of_several_vms_are_merged(make_daemon, run, closed_address):
    """Guards against a list that silently lacks the workers of some VMs."""
    daemons = [
        make_daemon({("GET", "/v1/workers"): HttpResponse(200, {"workers": rows})})
        for rows in ([{"worker": "w2", "held": True}], [{"worker": "w1", "held": True}])
    ]
    result = run([*daemons, closed_address], "workers", "--json")
    assert result.exit_code == ExitCode.OK
    assert [row["worker"] for row in json.loads(result.stdout)] == ["w1", "w2"]
    assert closed_address in result.stderr


def test_drain_acts_on_one_vm_only(make_daemon, run):
    """Guards against a fail-over that drains the wrong VM."""
    daemon = make_daemon({("POST", "/v1/drain"): HttpResponse(202, {"draining": True})})
    result = run([daemon, daemon], "drain")
    assert result.exit_code == ExitCode.INVALID
    assert daemon.seen == []
    assert run([daemon], "drain").output == f"{daemon.address}: draining\n"


def test_drain_reports_a_daemon_that_does_not_stop(make_daemon, run):
    """Guards against replacing a VM whose daemon still serves callers."""
    daemon = make_daemon({("POST", "/v1/drain"): HttpResponse(202, {"draining": True})})
    result = run([daemon], "drain", "--wait", "0.1")
    assert result.exit_code == ExitCode.FAILED
    assert "still draining" in result.output


def test_dump_is_read_from_the_next_vm_and_shown_as_tables(
    make_daemon, run, closed_address
):
    """Guards against an unreadable dump, or none, while one VM is unavailable."""
    leases = {"w0": {"epoch": 3}, "w1": None}
    body = {
        "vm": "e0",
        "members": [{"vm": "e1", "state": "alive"}],
        "shards": {"T/0": {"leases": leases}},
    }
    daemon = make_daemon({("GET", "/v1/dump"): HttpResponse(200, body)})
    result = run([closed_address, daemon], "dump")
    assert "vm  e0" in result.output
    assert "  e1  alive" in result.output
    assert "      w0  3" in result.output
    assert json.loads(run([daemon], "dump", "--json").output) == body


@pytest.mark.parametrize("address", ["host", "host:", ":80", "h:0", "h:99999", "h:x"])
def test_malformed_address_is_a_usage_error(run, address):
    """Guards against a traceback from a mistyped address."""
    result = run([address], "dump")
    assert result.exit_code == ExitCode.INVALID
    assert "is not host:port" in result.output


@pytest.mark.parametrize("path", list(commands()))
def test_help_has_examples_and_exit_codes(run, path):
    """Guards against a command whose help does not document its exit codes."""
    text = run(["127.0.0.1:1"], *path, "--help").output
    assert "Example" in text
    if path != ("completion",):
        assert all(f"  {code.value}  {code.meaning}" in text for code in ExitCode)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script_names_the_tool(run, shell):
    """Guards against a completion script for another program or variable."""
    text = run(["127.0.0.1:1"], "completion", shell).output
    assert f"_CUMINHILL_COMPLETE={shell}_complete" in text


def test_completion_offers_commands(monkeypatch, capsys):
    """Guards against a script that completes nothing."""
    monkeypatch.setenv("COMP_WORDS", "cuminhill config ")
    monkeypatch.setenv("COMP_CWORD", "2")
    monkeypatch.setenv("_CUMINHILL_COMPLETE", "bash_complete")
    with pytest.raises(SystemExit):
        main(prog_name="cuminhill")
    assert "plain,publish" in capsys.readouterr().out
