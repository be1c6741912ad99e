"""Tests of the settings of a process."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import fields
from pathlib import Path

import pytest
from click.testing import CliRunner

from cuminhill.cmd.daemon import main
from cuminhill.errors import SettingsError
from cuminhill.settings import SETTINGS, Settings, load_settings, markdown_table

DOCS = Path(__file__).parent.parent / "docs"
VALID = {
    "vm": '"e0"',
    "failure_domain": '"Tainan"',
    "http_address": '"127.0.0.1:8080"',
    "rpc_address": '"127.0.0.1:8081"',
    "log_address": '"127.0.0.1:9000"',
    "vm_list_address": '"127.0.0.1:9001"',
}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a settings file with changed lines."""

    def make(**changes):
        path = tmp_path / "e0.toml"
        lines = [f"{k} = {v}" for k, v in (VALID | changes).items() if v is not None]
        path.write_text("\n".join(lines))
        return path

    return make


def test_every_setting_is_declared_once_in_the_table():
    """Guards against a setting without validation, default or documentation."""
    declared = [item.name.partition(".")[0] for item in SETTINGS]
    assert set(declared) == {item.name for item in fields(Settings)}
    assert len({item.name for item in SETTINGS}) == len(SETTINGS)
    assert all(item.effect for item in SETTINGS)


def test_defaults_of_the_table_apply_to_a_file_without_them(write):
    """Guards against a documented default that differs from the actual one."""
    settings = load_settings(write())
    for item in SETTINGS:
        table, _, key = item.name.rpartition(".")
        value = getattr(getattr(settings, table) if table else settings, key)
        if item.default not in ("required", "", []):
            assert value == item.default, item.name
    assert settings.rpc_advertise == settings.rpc_address
    assert settings == Settings(
        **{key: value.strip('"') for key, value in VALID.items()}
    )


def test_settings_of_a_file_take_effect(write):
    """Guards against a setting that is read but not applied."""
    path = write(
        peers='["10.0.0.1:1", "10.0.0.2:2"]',
        rpc_address='"0.0.0.0:8081"',
        rpc_advertise='"10.0.0.9:8081"',
        http_max_body_bytes="2048",
        rpc_max_connections="7",
        lease="{ttl_s = 2.0}",
    )
    settings = load_settings(path)
    assert settings.peers == ("10.0.0.1:1", "10.0.0.2:2")
    assert settings.rpc_advertise == "10.0.0.9:8081"
    assert settings.http_limits().max_body_bytes == 2048
    assert settings.rpc_limits().max_connections == 7
    assert (settings.lease.ttl_s, settings.lease.renew_s) == (2.0, 0.35)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"vm": None}, "vm = absent: expected a value"),
        ({"colour": "1"}, "colour = 1: expected one of: vm, failure_domain"),
        ({"lease": "{tll_s = 1.0}"}, "lease.tll_s = 1.0: expected one of: ttl_s"),
        ({"n_shards": "0"}, "n_shards = 0: expected greater than or equal to 1"),
        ({"n_shards": "true"}, "n_shards = True: expected a valid integer"),
        ({"n_shards": '"2"'}, "n_shards = '2': expected a valid integer"),
        ({"clock_error_s": "nan"}, "clock_error_s = nan: expected a finite number"),
        ({"clock_error_s": "-0.1"}, "clock_error_s = -0.1: expected greater"),
        ({"log_format": '"xml"'}, "log_format = 'xml': expected 'json' or 'text'"),
        ({"log_address": '"log:1"'}, "log_address = 'log:1': expected IPv4 address"),
        ({"log_address": '"10.0.0.1"'}, "log_address = '10.0.0.1': expected IPv4"),
        ({"peers": '["x"]'}, "peers.0 = 'x': expected IPv4 address and port"),
        ({"vm": '"a b"'}, "vm = 'a b': expected match pattern"),
        ({"rpc_address": '"0.0.0.0:1"'}, "rpc_advertise = '0.0.0.0:1': expected an"),
        ({"lease": "{renew_s = 0.95}"}, "lease.renew_s = 0.95: expected less than"),
        ({"http_max_body_bytes": "2000000000"}, "expected less than or equal to"),
    ],
)
def test_invalid_setting_is_named_with_file_value_and_expectation(
    write, change, message
):
    """Guards against a daemon that starts with a misspelled or invalid setting."""
    path = write(**change)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert f"{path}: " in caught.value.message
    assert message in caught.value.message


def test_daemon_rejects_invalid_settings_and_checks_valid_ones(write):
    """Guards against a traceback on invalid settings, and a start despite --check."""
    result = CliRunner().invoke(main, ["--settings", str(write()), "--check"])
    assert (result.exit_code, "valid" in result.output) == (0, True)
    result = CliRunner().invoke(main, ["--settings", str(write(n_shards="0"))])
    assert result.exit_code == 2
    assert "n_shards = 0" in result.output


def test_documentation_has_the_table_as_printed():
    """Guards against documentation of outdated settings."""
    assert markdown_table() in (DOCS / "OPERATIONS.md").read_text()


def test_printed_table_has_a_row_per_setting_in_order():
    """Guards against documentation that omits or reorders settings."""
    printed = subprocess.run(
        [sys.executable, "-W", "error", "-m", "cuminhill.settings"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert printed == markdown_table() + "\n"
    names = [line.split("`")[1] for line in printed.splitlines()[2:]]
    assert names == [item.name for item in SETTINGS]
