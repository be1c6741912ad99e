"""Tests of the daemon's command line on the users' platform."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from cuminhill.cmd.node import main
from cuminhill.platform.boot import (
    PlatformSettings,
    load_platform_settings,
    make_budget,
)

DEPLOY = Path(__file__).parents[2] / "deploy"
SETTINGS = """\
vm = "front-1"
failure_domain = "tainan"
host = "127.0.0.1"
front_address = "127.0.0.1:8161"
ready_address = "127.0.0.1:8167"
inspection_address = "127.0.0.1:9464"
first_free_port = 7720
store_address = "127.0.0.1:8169"
"""


def check(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return CliRunner().invoke(main, ["--settings", str(path), "--check"])


def test_settings_are_checked(tmp_path):
    """Guards against a daemon that starts with settings it cannot use."""
    assert check(tmp_path, SETTINGS).exit_code == 0


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ('vm = "front-1"', "vm"),
        ("first_free_port = 7720", "first_free_port"),
    ],
)
def test_a_missing_setting_is_named_with_its_file(tmp_path, change, named):
    """Guards against an error that names neither the setting nor the file."""
    result = check(tmp_path, SETTINGS.replace(change, ""))
    assert result.exit_code == 2
    assert named in result.output
    assert "node.toml" in result.output


def test_the_template_names_only_settings_that_exist():
    """Guards against a template whose result every process rejects."""
    keys = {
        line.partition(" =")[0].rpartition("}}")[2].strip()
        for line in (DEPLOY / "node.toml").read_text().splitlines()
        if "=" in line
    }
    assert keys <= set(PlatformSettings.model_fields)
    required = {
        name
        for name, item in PlatformSettings.model_fields.items()
        if item.is_required()
    }
    assert required <= keys


@pytest.mark.parametrize(
    ("memory", "budget_mb"), [("", 8.0), ("552", 27.6), ("10", 2.125)]
)
def test_the_memory_of_the_vm_bounds_what_is_received(tmp_path, memory, budget_mb):
    """Guards against a process that does not start where the memory is not told."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS + f'memory_mb = "{memory}"\n')
    budget = make_budget(load_platform_settings(path))
    assert budget.limit_bytes == pytest.approx(budget_mb * (1 << 20), abs=1)


@pytest.mark.parametrize("memory", ['"x"', "-1", "nan", "inf"])
def test_an_impossible_memory_is_named(tmp_path, memory):
    """Guards against bounds without effect."""
    result = check(tmp_path, SETTINGS + f"memory_mb = {memory}\n")
    assert result.exit_code == 2
    assert "memory_mb" in result.output


def test_the_deploy_file_names_what_exists():
    """Guards against a role that cannot start."""
    role = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["entry"]
    assert (DEPLOY.parent / role["template"]).is_file()
    assert role["run"].split() == ["python3", "-m", "cuminhill.cmd.node"]
