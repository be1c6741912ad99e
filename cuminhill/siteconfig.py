"""Site configuration: a base file and one overlay per site, merged and validated."""

from __future__ import annotations

import hashlib
from itertools import pairwise
from typing import TYPE_CHECKING, Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field

from .coordination.lease import LeaseTerms
from .errors import SettingsError
from .util.tables import (
    Problem,
    describe_problems,
    merge_tables,
    read_toml,
    validate_model,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

BASE_FILE = "base.toml"
DEFAULT_TEAM = "default"
SHARE_TOLERANCE = 1e-9  # rounding error of sums of decimal shares
MAX_FAILURE_DOMAINS = 64
MAX_TEAMS = 1000

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1000, allow_inf_nan=False)]
Seconds = Annotated[float, Field(gt=0, le=30 * 86400, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Amount = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class FailureDomain(_Table):
    """Size of one failure domain of the site."""

    n_workers: Count


class WorkerShape(_Table):
    """Capacity of each worker of the site, and workers per rack, when purchased."""

    cores: Amount
    memory_mb: Amount
    accelerators: Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)] = 0.0
    slots: Count
    connections: Count
    per_rack: Count


class Weights(_Table):
    """Weight of each measure in placement decisions."""

    waiting: Weight
    packing: Weight
    control_cost: Weight


class Team(_Table):
    """Quota and priority of one team.

    ``quota`` is the fraction of the site's capacity that is guaranteed to the team;
    ``shares`` splits it between failure domains, so that each domain can enforce its
    part without coordinating with the others.
    """

    quota: Share
    priority: Annotated[int, Field(ge=-100, le=100)] = 0
    shares: dict[Name, Share]


class CheckReserve(_Table):
    """Fraction of all slots that is reserved for checks, on the slowest workers."""

    share: Share


class Limits(_Table):
    """Limits of queues, attempts and deduplication."""

    max_queued_requests: Count
    max_queued_per_team: Count
    max_tries: Annotated[int, Field(ge=1, le=100)]
    dedupe_window_s: Seconds


class Lease(_Table):
    """Lease terms; see `coordination.lease.LeaseTerms`."""

    ttl_s: Seconds
    renew_s: Seconds
    drift: Annotated[float, Field(ge=0, le=0.2, allow_inf_nan=False)]
    margin_s: Annotated[float, Field(ge=0, le=60, allow_inf_nan=False)]
    task_ttl_s: Seconds

    def terms(self) -> LeaseTerms:
        """Return the terms as the data class of the coordination package."""
        return LeaseTerms(**self.model_dump())


class Heartbeat(_Table):
    """Heartbeat intervals, and how long without one a member is suspect or dead."""

    interval_s: Seconds
    other_domain_interval_s: Seconds
    suspect_after_s: Seconds
    dead_after_s: Seconds


class SiteConfig(_Table):
    """Configuration of one site."""

    site: Name
    failure_domains: Annotated[
        dict[Name, FailureDomain],
        Field(min_length=1, max_length=MAX_FAILURE_DOMAINS),
    ]
    workers: WorkerShape
    weights: Weights
    teams: Annotated[dict[Name, Team], Field(min_length=1, max_length=MAX_TEAMS)]
    check_reserve: CheckReserve
    limits: Limits
    lease: Lease
    heartbeat: Heartbeat

    def to_dict(self) -> dict[str, Any]:
        """Return the JSON-ready mapping that `parse_config` accepts."""
        return self.model_dump(mode="json")

    def canonical(self) -> bytes:
        """Return the canonical JSON form: sorted keys, no white space."""
        return orjson.dumps(self.to_dict(), option=orjson.OPT_SORT_KEYS)

    def digest(self) -> str:
        """Return the SHA-256 of the canonical form in hexadecimal."""
        return hashlib.sha256(self.canonical()).hexdigest()

    def team(self, name: str) -> Team | None:
        """Return a team; one that is not configured shares the team ``default``."""
        return self.teams.get(name, self.teams.get(DEFAULT_TEAM))

    def domain_fraction(self, failure_domain: str) -> float:
        """Return the fraction of the site's workers that is in a failure domain."""
        total = sum(item.n_workers for item in self.failure_domains.values())
        return self.failure_domains[failure_domain].n_workers / total

    def quota_share(self, team: str, failure_domain: str) -> float:
        """Return the share of a failure domain's capacity guaranteed to a team."""
        found = self.team(team)
        if found is None or failure_domain not in self.failure_domains:
            return 0.0
        share = found.shares.get(failure_domain, 0.0)
        return found.quota * share / self.domain_fraction(failure_domain)


def load_config(overlay: Path, base: Path | None = None) -> SiteConfig:
    """Load the configuration of one site.

    Parameters
    ----------
    overlay : Path
        File of the site.
    base : Path, default=None
        File to which the overlay applies; ``base.toml`` in its directory if None.

    Raises
    ------
    SettingsError
        If a file cannot be read or a value is invalid; the message names file,
        key, value and what was expected.
    """
    base = overlay.parent / BASE_FILE if base is None else base
    layers = [(str(path), read_toml(path)) for path in (base, overlay)]
    merged = merge_tables(layers[0][1], layers[1][1])
    return _parse(merged, layers)


def parse_config(value: Any, source: str) -> SiteConfig:
    """Validate a decoded mapping and return the configuration.

    Raises
    ------
    SettingsError
        If a value is invalid; the message names source, key, value and what was
        expected.
    """
    return _parse(value, [(source, value)])


def lease_problems(lease: dict[str, float]) -> list[Problem]:
    """Return the problems of lease terms that are inconsistent with each other."""
    usable_s = lease["ttl_s"] * (1 - lease["drift"]) - lease["margin_s"]
    problems = []
    if not lease["renew_s"] < usable_s:
        expected = f"less than ttl_s less drift and margin_s ({usable_s:g} s)"
        problems.append(Problem(("lease", "renew_s"), lease["renew_s"], expected))
    if not lease["task_ttl_s"] >= lease["ttl_s"]:
        expected = f"at least ttl_s ({lease['ttl_s']:g} s)"
        problems.append(Problem(("lease", "task_ttl_s"), lease["task_ttl_s"], expected))
    return problems


def _parse(value: Any, layers: list[tuple[str, Any]]) -> SiteConfig:
    cfg, problems = validate_model(SiteConfig, value)
    if cfg is not None:
        problems = list(_cross_field_problems(cfg))
    if cfg is None or problems:
        lines = describe_problems(problems, layers)
        raise SettingsError("\n".join(lines), step="config", peer=layers[-1][0])
    return cfg


def _cross_field_problems(cfg: SiteConfig) -> Iterator[Problem]:
    """Yield the problems of values that are inconsistent with each other."""
    weights = cfg.weights.model_dump()
    if not any(weights.values()):
        yield Problem(("weights",), weights, "at least one weight above 0")
    if cfg.check_reserve.share >= 1:
        yield Problem(
            ("check_reserve", "share"), cfg.check_reserve.share, "less than 1"
        )
    if cfg.limits.max_queued_per_team > cfg.limits.max_queued_requests:
        yield Problem(
            ("limits", "max_queued_per_team"),
            cfg.limits.max_queued_per_team,
            f"at most limits.max_queued_requests ({cfg.limits.max_queued_requests})",
        )
    yield from lease_problems(cfg.lease.model_dump())
    yield from _heartbeat_problems(cfg.heartbeat)
    yield from _team_problems(cfg)


def _heartbeat_problems(heartbeat: Heartbeat) -> Iterator[Problem]:
    order = ["interval_s", "suspect_after_s", "dead_after_s"]
    for lower, higher in pairwise(order):
        if getattr(heartbeat, higher) <= getattr(heartbeat, lower):
            yield Problem(
                ("heartbeat", higher),
                getattr(heartbeat, higher),
                f"more than {lower} ({getattr(heartbeat, lower):g} s)",
            )


def _team_problems(cfg: SiteConfig) -> Iterator[Problem]:
    known = ", ".join(cfg.failure_domains)
    for name, team in cfg.teams.items():
        for domain in team.shares:
            if domain not in cfg.failure_domains:
                key = ("teams", name, "shares", domain)
                yield Problem(key, team.shares[domain], f"one of: {known}")
        total = sum(team.shares.values())
        if total > 1 + SHARE_TOLERANCE:
            expected = f"shares that add up to at most 1, not {total:g}"
            yield Problem(("teams", name, "shares"), team.shares, expected)
    for domain in cfg.failure_domains:
        shares = {name: cfg.quota_share(name, domain) for name in cfg.teams}
        total = sum(shares.values())
        if total > 1 + SHARE_TOLERANCE:
            largest = max(shares, key=lambda name: shares[name])
            yield Problem(
                ("teams", largest, "quota"),
                cfg.teams[largest].quota,
                f"quotas of all teams that add up to at most the whole of {domain}, "
                f"not {total:.3g} times it",
            )
