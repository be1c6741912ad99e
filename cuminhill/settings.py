"""Settings of a process, declared in one table and read from a TOML file.

``python -m cuminhill.settings`` prints the table in Markdown for the documentation.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field, replace
from functools import cache
from typing import TYPE_CHECKING, Annotated, Any, Literal, get_args

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, create_model

from .coordination.lease import LeaseTerms
from .errors import SettingsError
from .frames import RpcLimits
from .siteconfig import lease_problems
from .util.addresses import check_address
from .util.http import HttpLimits
from .util.tables import Problem, describe_problems, read_toml, validate_model

if TYPE_CHECKING:
    from pathlib import Path

LogFormat = Literal["json", "text"]
LogLevel = Literal["debug", "info", "warning", "error"]
REQUIRED = "required"
ANY_HOST = "0.0.0.0"
_LEASE = LeaseTerms()


@dataclass(frozen=True, slots=True)
class ValueType:
    """Type of a setting: its annotation for validation and its documented name."""

    annotation: Any
    doc_name: str


Address = Annotated[str, AfterValidator(check_address)]
NAME = ValueType(
    Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")], "name"
)
ADDRESS = ValueType(Address, "address")
ADDRESSES = ValueType(list[Address], "list of addresses")
COUNT = ValueType(Annotated[int, Field(ge=1, le=1_000_000)], "integer")
BYTES = ValueType(Annotated[int, Field(ge=1024, le=1 << 30)], "integer")
SECONDS = ValueType(
    Annotated[float, Field(gt=0, le=30 * 86400, allow_inf_nan=False)], "number"
)
NON_NEGATIVE_SECONDS = ValueType(
    Annotated[float, Field(ge=0, le=60, allow_inf_nan=False)], "number"
)
OFFSET_SECONDS = ValueType(
    Annotated[float, Field(ge=-60, le=60, allow_inf_nan=False)], "number"
)
FRACTION = ValueType(
    Annotated[float, Field(ge=0, le=0.2, allow_inf_nan=False)], "number"
)
LOG_FORMAT = ValueType(LogFormat, " or ".join(get_args(LogFormat)))
LOG_LEVEL = ValueType(LogLevel, ", ".join(get_args(LogLevel)))


@dataclass(frozen=True, slots=True)
class Setting:
    """Declaration of one setting.

    Parameters
    ----------
    name : str
        Key in the file; a dot separates table and key.
    value_type : ValueType
        Type of the value.
    default : object
        Value used if the file has none, or `REQUIRED`.
    unit : str
        Unit of the value; empty for values without a unit.
    effect : str
        Effect of the setting and of changing it.
    """

    name: str
    value_type: ValueType
    default: Any
    unit: str
    effect: str


SETTINGS = (
    Setting("vm", NAME, REQUIRED, "", "Name under which other VMs know this one."),
    Setting(
        "failure_domain",
        NAME,
        REQUIRED,
        "",
        "Failure domain of the VM; it places work on the workers of this domain only.",
    ),
    Setting("http_address", ADDRESS, REQUIRED, "", "Where callers are served."),
    Setting("rpc_address", ADDRESS, REQUIRED, "", "Where other entry VMs are served."),
    Setting(
        "rpc_advertise",
        ADDRESS,
        "",
        "",
        "Address told to other entry VMs; rpc_address if absent. Needed when "
        "rpc_address is 0.0.0.0 or behind a translated address.",
    ),
    Setting(
        "wall_clock_offset_s",
        OFFSET_SECONDS,
        0.0,
        "s",
        "Added to the wall clock; for tests of clock errors only.",
    ),
    Setting("log_address", ADDRESS, REQUIRED, "", "The platform's log."),
    Setting("vm_list_address", ADDRESS, REQUIRED, "", "The platform's list of VMs."),
    Setting(
        "peers",
        ADDRESSES,
        [],
        "",
        "Entry VMs to greet before the VM list has been read; needed to join while "
        "the list is unavailable.",
    ),
    Setting(
        "n_shards",
        COUNT,
        1,
        "shards",
        "Shards per failure domain, so placers that share its workers. All VMs of "
        "a domain must have the same value.",
    ),
    Setting(
        "clock_error_s",
        NON_NEGATIVE_SECONDS,
        0.25,
        "s",
        "Largest difference between wall clocks that deadlines allow for. Too low "
        "lets a late order run after 'not run' was answered; higher delays that "
        "answer.",
    ),
    Setting(
        "dedupe_window_s",
        SECONDS,
        1800.0,
        "s",
        "How long a finished request is remembered and how old an order may be. At "
        "most half of the log's retention.",
    ),
    Setting(
        "log_retention_s",
        SECONDS,
        3600.0,
        "s",
        "How long the platform's log keeps records. Live requests and the "
        "configuration are written again well before.",
    ),
    Setting("log_format", LOG_FORMAT, "json", "", "Form of the log lines."),
    Setting("log_level", LOG_LEVEL, "info", "", "Least severe lines that are written."),
    Setting(
        "http_max_connections",
        COUNT,
        4096,
        "connections",
        "Open connections of callers. Beyond it the longest idle one is closed. Keep "
        "it below the process's limit of open files.",
    ),
    Setting(
        "http_max_body_bytes",
        BYTES,
        1 << 20,
        "bytes",
        "Largest request body; larger ones get status 413.",
    ),
    Setting(
        "http_idle_timeout_s",
        SECONDS,
        30.0,
        "s",
        "How long a connection may stay without a request. Keep it above the idle "
        "time of the load balancer's connections.",
    ),
    Setting(
        "http_read_timeout_s",
        SECONDS,
        5.0,
        "s",
        "How long a request may take to arrive; slower ones get status 408.",
    ),
    Setting(
        "http_write_timeout_s",
        SECONDS,
        10.0,
        "s",
        "How long a caller may take to read a response.",
    ),
    Setting(
        "rpc_max_connections",
        COUNT,
        1024,
        "connections",
        "Open connections of other entry VMs. Beyond it the longest idle one is "
        "closed; keep it above the number of entry VMs.",
    ),
    Setting(
        "rpc_frame_timeout_s",
        SECONDS,
        5.0,
        "s",
        "How long a frame of another entry VM may take to arrive.",
    ),
    Setting(
        "rpc_idle_timeout_s",
        SECONDS,
        600.0,
        "s",
        "How long a connection of another entry VM may stay silent. The same on all "
        "VMs: the calling side closes after half of it.",
    ),
    Setting(
        "lease.ttl_s",
        SECONDS,
        _LEASE.ttl_s,
        "s",
        "How long a worker stays with a silent holder. Higher delays failover; lower "
        "loses leases to short pauses.",
    ),
    Setting(
        "lease.renew_s",
        SECONDS,
        _LEASE.renew_s,
        "s",
        "Time between renewals. Lower costs more calls to each worker.",
    ),
    Setting(
        "lease.drift",
        FRACTION,
        _LEASE.drift,
        "fraction",
        "Largest relative difference between two monotonic clocks.",
    ),
    Setting(
        "lease.margin_s",
        NON_NEGATIVE_SECONDS,
        _LEASE.margin_s,
        "s",
        "Time that a call may take from the last check of the lease to its effect.",
    ),
    Setting(
        "lease.task_ttl_s",
        SECONDS,
        _LEASE.task_ttl_s,
        "s",
        "After how long without a holder a worker stops its tasks. Higher delays "
        "re-placing the tasks of an unreachable worker.",
    ),
)


_DEFAULTS: dict[str, Any] = {item.name: item.default for item in SETTINGS}


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon; `SETTINGS` documents each value."""

    vm: str
    failure_domain: str
    http_address: str
    rpc_address: str
    log_address: str
    vm_list_address: str
    rpc_advertise: str = ""
    wall_clock_offset_s: float = 0.0
    peers: tuple[str, ...] = ()
    n_shards: int = _DEFAULTS["n_shards"]
    clock_error_s: float = _DEFAULTS["clock_error_s"]
    dedupe_window_s: float = _DEFAULTS["dedupe_window_s"]
    log_retention_s: float = _DEFAULTS["log_retention_s"]
    log_format: LogFormat = _DEFAULTS["log_format"]
    log_level: LogLevel = _DEFAULTS["log_level"]
    http_max_connections: int = _DEFAULTS["http_max_connections"]
    http_max_body_bytes: int = _DEFAULTS["http_max_body_bytes"]
    http_idle_timeout_s: float = _DEFAULTS["http_idle_timeout_s"]
    http_read_timeout_s: float = _DEFAULTS["http_read_timeout_s"]
    http_write_timeout_s: float = _DEFAULTS["http_write_timeout_s"]
    rpc_max_connections: int = _DEFAULTS["rpc_max_connections"]
    rpc_frame_timeout_s: float = _DEFAULTS["rpc_frame_timeout_s"]
    rpc_idle_timeout_s: float = _DEFAULTS["rpc_idle_timeout_s"]
    lease: LeaseTerms = field(default_factory=LeaseTerms)

    def __post_init__(self) -> None:
        if not self.rpc_advertise:
            object.__setattr__(self, "rpc_advertise", self.rpc_address)

    @property
    def source_host(self) -> str:
        """Local IP address of outgoing connections; empty lets the system choose."""
        host = self.rpc_address.rpartition(":")[0]
        return "" if host == ANY_HOST else host

    def http_limits(self) -> HttpLimits:
        """Return the limits of the HTTP server."""
        return HttpLimits(
            self.http_max_connections,
            self.http_max_body_bytes,
            self.http_idle_timeout_s,
            self.http_read_timeout_s,
            self.http_write_timeout_s,
        )

    def rpc_limits(self) -> RpcLimits:
        """Return the limits of the RPC server for other entry VMs."""
        return RpcLimits(
            max_connections=self.rpc_max_connections,
            frame_timeout_s=self.rpc_frame_timeout_s,
            idle_timeout_s=self.rpc_idle_timeout_s,
        )


def load_settings(path: Path) -> Settings:
    """Load settings from a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is invalid; the message names file,
        key, value and what was expected.
    """
    return make_settings(read_toml(path, "settings"), str(path))


def make_settings(values: dict[str, Any], source: str = "") -> Settings:
    """Validate a mapping and return the settings.

    Raises
    ------
    SettingsError
        If a value is invalid; the message names source, key, value and what was
        expected.
    """
    model, problems = validate_model(_make_settings_model(), values)
    if model is not None:
        fields = model.model_dump(exclude_unset=True)
        fields["peers"] = tuple(fields.get("peers", ()))
        lease = asdict(_LEASE) | fields.pop("lease", {})
        settings = Settings(**fields)
        problems = lease_problems(lease) + _cross_field_problems(settings)
        if not problems:
            return replace(settings, lease=LeaseTerms(**lease))
    lines = describe_problems(problems, [(source, values)])
    raise SettingsError("\n".join(lines), step="settings", peer=source)


def markdown_table() -> str:
    """Return the settings as a Markdown table in declaration order."""
    lines = [
        "| setting | type | default | unit | what changing it affects |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| `{item.name}` | {item.value_type.doc_name} | {_default_text(item)} | "
        f"{item.unit or '-'} | {item.effect} |"
        for item in SETTINGS
    ]
    return "\n".join(lines)


@cache
def _make_settings_model() -> type[BaseModel]:
    """Return a pydantic model with one field per setting and a submodel per table."""
    tables: dict[str, dict[str, Any]] = {"": {}}
    for item in SETTINGS:
        table, _, key = item.name.rpartition(".")
        default = ... if item.default is REQUIRED else item.default
        tables.setdefault(table, {})[key] = (item.value_type.annotation, default)
    root = tables.pop("")
    for table, columns in tables.items():
        root[table] = (_make_table_model(table, columns), {})
    return _make_table_model("settings", root)


def _make_table_model(name: str, columns: dict[str, Any]) -> type[BaseModel]:
    strict = ConfigDict(extra="forbid", strict=True)
    model: type[BaseModel] = create_model(name, __config__=strict, **columns)
    return model


def _cross_field_problems(settings: Settings) -> list[Problem]:
    """Return the problems of values that are inconsistent with each other."""
    problems = []
    if settings.dedupe_window_s > settings.log_retention_s / 2:
        problems.append(
            Problem(
                ("dedupe_window_s",),
                settings.dedupe_window_s,
                f"at most half of log_retention_s ({settings.log_retention_s:g} s)",
            )
        )
    if settings.rpc_advertise.startswith(f"{ANY_HOST}:"):
        problems.append(
            Problem(
                ("rpc_advertise",),
                settings.rpc_advertise,
                f"an address that other VMs can reach, not {ANY_HOST}",
            )
        )
    return problems


def _default_text(item: Setting) -> str:
    if item.default is REQUIRED:
        return REQUIRED
    if item.default in ("", []):
        return "-"
    return f"`{item.default}`"


if __name__ == "__main__":
    print(markdown_table())
