"""Settings of one process, read from TOML."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING, Any

from .coordination.lease import LeaseTerms
from .errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class Settings:
    """What one daemon is told at its start.

    Parameters
    ----------
    vm : str
        Name of the VM.
    failure_domain : str
        Where it stands.
    http_address, rpc_address : str
        ``"host:port"`` for callers and for other entry VMs.
    log_address, vm_list_address : str
        ``"host:port"`` of the platform's services.
    rpc_advertise : str, default=""
        ``"host:port"`` that other entry VMs are to call; empty for the RPC address.
    wall_clock_offset_s : float, seconds, default=0
        Added to the wall clock; shows the effect of clock errors.
    peers : tuple of str
        RPC addresses of other entry VMs, used until the VM list is read.
    n_shards : int, default=1
        Shards per failure domain.
    clock_error_s : float, seconds
        Largest difference between the wall clocks of two VMs.
    dedupe_window_s : float, seconds
        How long a finished request is remembered; at most half of the log's
        retention.
    log_format : str, default="json"
        ``"json"`` or ``"text"``.
    """

    vm: str
    failure_domain: str
    http_address: str
    rpc_address: str
    log_address: str
    vm_list_address: str
    rpc_advertise: str = ""
    wall_clock_offset_s: float = 0.0
    peers: tuple[str, ...] = ()
    n_shards: int = 1
    clock_error_s: float = 0.25
    dedupe_window_s: float = 1800.0
    log_format: str = "json"
    lease: LeaseTerms = field(default_factory=LeaseTerms)

    @property
    def source_host(self) -> str:
        """IP address that outgoing connections are bound to."""
        host = self.rpc_address.rpartition(":")[0]
        return "" if host == "0.0.0.0" else host


def load_settings(path: Path) -> Settings:
    """Return the settings of a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a setting is unknown or missing.
    """
    try:
        values = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(str(exc), step="settings", peer=str(path)) from exc
    return make_settings(values, str(path))


def make_settings(values: dict[str, Any], source: str = "") -> Settings:
    """Return settings from a mapping.

    Raises
    ------
    SettingsError
        If a setting is unknown or missing.
    """
    values = dict(values)
    unknown = set(values) - {item.name for item in fields(Settings)}
    if unknown:
        raise SettingsError(
            f"unknown settings: {', '.join(sorted(unknown))}",
            step="settings",
            peer=source,
        )
    values["peers"] = tuple(values.get("peers", ()))
    values["lease"] = LeaseTerms(**values.get("lease", {}))
    try:
        return Settings(**values)
    except TypeError as exc:
        raise SettingsError(str(exc), step="settings", peer=source) from exc
