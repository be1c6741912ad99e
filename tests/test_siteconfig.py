"""Tests of the site configuration."""

from __future__ import annotations

import random
from pathlib import Path

import orjson
import pytest

from cuminhill.errors import SettingsError
from cuminhill.siteconfig import load_config, parse_config

CONFIG = Path(__file__).parent.parent / "config"

# Overlay lines, then the texts that the error must contain: key, value, expectation.
FAULTS = {
    "unknown key": ("[weights]\nwaitin = 1.0", "weights.waitin = 1.0", "waiting"),
    "unknown table": ("[extra]\na = 1", "extra = {'a': 1}", "failure_domains"),
    "unknown key in a team": (
        "[teams.default]\nquotas = 0.1",
        "teams.default.quotas = 0.1",
        "one of: quota, priority, shares",
    ),
    "text for a number": ('[limits]\nmax_tries = "5"', "max_tries = '5'", "integer"),
    "true for a number": ("[weights]\npacking = true", "packing = True", "number"),
    "nan": ("[weights]\nwaiting = nan", "weights.waiting = nan", "finite"),
    "negative": ("[weights]\nwaiting = -1.0", "= -1.0", "greater than or equal to 0"),
    "absurd size": ("[limits]\nmax_tries = 101", "= 101", "less than or equal to 100"),
    "value for a table": ("lease = 3", "lease = 3", "dictionary"),
    "all weights zero": (
        "[weights]\nwaiting=0.0\npacking=0.0\ncontrol_cost=0.0",
        "weights = ",
        "at least one weight above 0",
    ),
    "reserve takes every slot": (
        "[check_reserve]\nshare = 1.0",
        "check_reserve.share = 1.0",
        "less than 1",
    ),
    "unknown failure domain": (
        "[teams.default.shares]\nTaipei = 0.0",
        "teams.default.shares.Taipei = 0.0",
        "one of: Tainan, Chiayi, Pingtung",
    ),
    "shares above the whole": (
        "[teams.default.shares]\nTainan = 0.5",
        "teams.default.shares = ",
        "at most 1, not 1.16",
    ),
    "teams exceed a domain": (
        "[teams.dispatch]\nquota = 0.7",
        "teams.dispatch.quota = 0.7",
        "at most the whole of Tainan",
    ),
    "renewal after the lease": (
        "[lease]\nrenew_s = 0.9",
        "lease.renew_s = 0.9",
        "(0.89 s)",
    ),
    "tasks outlived by the lease": (
        "[lease]\ntask_ttl_s = 0.5",
        "lease.task_ttl_s = 0.5",
        "at least ttl_s",
    ),
    "suspected between heartbeats": (
        "[heartbeat]\nsuspect_after_s = 0.2",
        "heartbeat.suspect_after_s = 0.2",
        "more than interval_s",
    ),
    "dead before suspected": (
        "[heartbeat]\ndead_after_s = 0.5",
        "heartbeat.dead_after_s = 0.5",
        "more than suspect_after_s",
    ),
    "team queue above the whole": (
        "[limits]\nmax_queued_per_team = 20001",
        "limits.max_queued_per_team = 20001",
        "at most limits.max_queued_requests",
    ),
}


@pytest.mark.parametrize("site", ["formosa", "malanad"])
def test_site_files_are_valid_and_survive_json(site):
    """Guards against shipped files, or their JSON form, that a daemon rejects."""
    cfg = load_config(CONFIG / f"{site}.toml")
    assert cfg.site == site
    assert sum(item.n_workers for item in cfg.failure_domains.values()) == 24
    assert parse_config(orjson.loads(cfg.canonical()), "log") == cfg


def test_weights_follow_the_priorities_of_each_site():
    """Guards against an overlay that optimizes for the wrong measure."""
    formosa = load_config(CONFIG / "formosa.toml").weights
    malanad = load_config(CONFIG / "malanad.toml").weights
    assert formosa.waiting > max(formosa.packing, formosa.control_cost)
    assert malanad.packing > malanad.control_cost > malanad.waiting


@pytest.mark.parametrize("fault", FAULTS)
def test_invalid_overlay_is_rejected_with_file_key_value_and_expectation(
    tmp_path, fault
):
    """Guards against an invalid or inconsistent overlay that reaches the daemons."""
    lines, *named = FAULTS[fault]
    site = tmp_path / "site.toml"
    site.write_text(lines)
    with pytest.raises(SettingsError) as caught:
        load_config(site, _flat_base(tmp_path))
    assert str(site) in caught.value.message
    for text in named:
        assert text in caught.value.message


def test_fault_in_the_base_file_is_reported_for_the_base_file(tmp_path):
    """Guards against an error that sends the operator to the wrong file."""
    base = tmp_path / "base.toml"
    text = (CONFIG / "base.toml").read_text()
    base.write_text(text.replace("max_tries = 5", "max_tries = 0"))
    with pytest.raises(SettingsError) as caught:
        load_config(CONFIG / "formosa.toml", base)
    assert caught.value.message == (
        f"{base}: limits.max_tries = 0: expected greater than or equal to 1"
    )


@pytest.mark.parametrize("content", ["a = ", None])
def test_unreadable_file_is_named(tmp_path, content):
    """Guards against a traceback for a missing or malformed file."""
    path = tmp_path / "site.toml"
    if content is not None:
        path.write_text(content)
    with pytest.raises(SettingsError, match=r"site\.toml"):
        load_config(path, CONFIG / "base.toml")


def test_digest_depends_on_values_and_not_on_their_order():
    """Guards against different digests of equal configurations."""
    cfg = load_config(CONFIG / "malanad.toml")
    items = list(cfg.to_dict().items())
    random.Random(7).shuffle(items)
    assert parse_config(dict(items), "log").digest() == cfg.digest()
    changed = cfg.to_dict()
    changed["limits"]["max_tries"] += 1
    assert parse_config(changed, "log").digest() != cfg.digest()


def test_quotas_of_a_domain_add_up_and_unlisted_teams_share_default():
    """Guards against quotas that single domains cannot enforce."""
    cfg = load_config(CONFIG / "formosa.toml")
    assert cfg.quota_share("dispatch", "Tainan") == pytest.approx(0.5 * 0.34 * 3)
    assert cfg.quota_share("nobody", "Tainan") == cfg.quota_share("default", "Tainan")
    assert cfg.quota_share("dispatch", "Taipei") == 0.0


def _flat_base(tmp_path):
    """Return a base file with all of Formosa's settings, so that overlays are short."""
    path = tmp_path / "base.toml"
    texts = [(CONFIG / name).read_text() for name in ("formosa.toml", "base.toml")]
    weights = texts[1].index("[check_reserve]")
    path.write_text(texts[0] + texts[1][weights:])
    return path
