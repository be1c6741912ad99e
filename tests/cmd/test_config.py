"""Tests of the commands for the site configuration."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cuminhill.cmd.exits import ExitCode
from cuminhill.util.http import HttpResponse

CONFIG = Path(__file__).parent.parent.parent / "config"
FORMOSA = str(CONFIG / "formosa.toml")
MALANAD = str(CONFIG / "malanad.toml")


def publish(run, daemons, revision, author="asha", file=FORMOSA):
    args = ["--base-revision", str(revision), "--author", author]
    return run(daemons, "config", "publish", file, *args)


def test_check_and_diff_of_files_need_no_daemon(run, closed_address):
    """Guards against commands that cannot be used before the first deployment."""
    result = run([closed_address], "config", "check", FORMOSA)
    assert result.exit_code == ExitCode.OK
    result = run([closed_address], "config", "diff", MALANAD, FORMOSA, "--json")
    rows = {row["key"]: row for row in json.loads(result.output)}
    assert rows["workers.cores"]["old"] == 16
    assert rows["workers.cores"]["new"] == 64


def test_invalid_file_is_neither_valid_nor_published(make_daemon, run, tmp_path):
    """Guards against an invalid file that reaches the log."""
    path = tmp_path / "formosa.toml"
    path.write_text(Path(FORMOSA).read_text() + "[limits]\nmax_tries = 0\n")
    daemon = make_daemon()
    for command in ("check", "diff", "publish"):
        options = ["--base-revision", "0"] if command == "publish" else []
        base = ["--base", str(CONFIG / "base.toml")]
        result = run([daemon], "config", command, str(path), *base, *options)
        assert result.exit_code == ExitCode.INVALID
        assert f"{path}: limits.max_tries = 0: expected" in result.output
    assert daemon.seen == []


def test_publish_show_diff_and_history(make_daemon, run):
    """Guards against a publication that the other commands do not see."""
    daemon = make_daemon()
    assert run([daemon], "config", "show").exit_code == ExitCode.NOT_FOUND
    assert publish(run, [daemon], 0).output == "accepted as revision 1\n"
    assert json.loads(run([daemon], "config", "show", "--json").output)["revision"] == 1
    assert run([daemon], "config", "diff", FORMOSA).output == "no difference\n"
    publish(run, [daemon], 1, "ravi", MALANAD)
    lines = run([daemon], "config", "history").output.splitlines()
    assert [line.split()[:2] for line in lines[1:]] == [["1", "asha"], ["2", "ravi"]]
    assert "2023-11-14T22:13:20+00:00" in lines[1]
    assert "workers.cores" in run([daemon], "config", "diff", FORMOSA).output


def test_lost_race_is_reported_with_the_accepted_author(make_daemon, run):
    """Guards against reporting success for a publication that lost the race."""
    daemon = make_daemon()
    publish(run, [daemon], 0, "ravi")
    result = publish(run, [daemon], 0, "asha", MALANAD)
    assert result.exit_code == ExitCode.LOST_RACE
    assert "revision 1 by ravi came first" in result.output


def test_lost_reply_is_repeated_with_the_same_publication(make_daemon, run):
    """Guards against reporting a conflict with the operator's own publication.

    The retry at the second VM finds the revision that the first VM published before
    its reply was lost.
    """
    first, second = make_daemon(n_lost_replies=1), make_daemon()
    result = publish(run, [first, second], 0)
    assert (result.exit_code, result.output) == (0, "accepted as revision 1\n")
    assert first.seen[0] == second.seen[0]
    publish(run, [first], 1, "ravi", MALANAD)
    first.n_lost_replies = 1
    assert publish(run, [first, second], 1).exit_code == ExitCode.LOST_RACE


@pytest.mark.parametrize(("n_lost", "code"), [(1, ExitCode.OK), (2, ExitCode.UNKNOWN)])
def test_refusal_after_a_lost_reply_is_settled_by_the_history(
    make_daemon, run, n_lost, code
):
    """Guards against 'not published' for a publication that is in force."""
    first = make_daemon(n_lost_replies=n_lost)
    second = make_daemon({("", "config"): HttpResponse(503, {"error": "no log"})})
    assert publish(run, [first, second], 0).exit_code == code
    assert first.config.history[0]["author"] == "asha"


@pytest.mark.parametrize("body", [{"error": "log unreachable"}, {"reason": "x"}])
def test_refused_publication_did_not_run(make_daemon, run, body):
    """Guards against 'unknown' where the daemon reports that nothing took effect."""
    daemon = make_daemon({("", "config"): HttpResponse(503, body)})
    assert publish(run, [daemon], 0).exit_code == ExitCode.NOT_RUN


def test_missing_resource_is_not_taken_for_a_missing_configuration(make_daemon, run):
    """Guards against publishing over a configuration that an old daemon cannot show."""
    missing = HttpResponse(404, {"error": "no such resource", "step": "route"})
    result = run([make_daemon({("", "config"): missing})], "config", "show")
    assert result.exit_code == ExitCode.NOT_FOUND
    assert "no such resource" in result.output


def test_base_revision_must_be_named(make_daemon, run):
    """Guards against a publication that silently overwrites a newer one."""
    daemon = make_daemon()
    result = run([daemon], "config", "publish", FORMOSA)
    assert result.exit_code == ExitCode.INVALID
    assert daemon.seen == []
