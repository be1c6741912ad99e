"""Interface to the platform's list of VMs, which lags behind, and its HTTP client."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import structlog

from ..errors import ProtocolError, UnavailableError
from ..util.addresses import check_address
from ..util.http import make_http_client
from ..util.validation import brief

if TYPE_CHECKING:
    from ..util.http import HttpClient

logger = structlog.get_logger(__name__)

READ_TIMEOUT_S = 2.0
ENTRY = "entry"
WORKER = "worker"


@dataclass(frozen=True, slots=True)
class VmEntry:
    """VM in the platform's list.

    Parameters
    ----------
    vm : str
        Name of the VM.
    role : str
        ``"entry"`` for an entry VM, ``"worker"`` for a back end.
    address : str
        ``"host:port"`` of its service: RPC for entry VMs, HTTP for workers.
    failure_domain : str
        Failure domain in which it runs.
    leaving : bool
        Whether the platform is about to remove it.
    """

    vm: str
    role: str
    address: str
    failure_domain: str
    leaving: bool


class VmListing(Protocol):
    """List of live and leaving VMs."""

    async def read(self) -> list[VmEntry]:
        """Return the VMs that the platform lists."""


class HttpVmListing:
    """HTTP client of the VM list."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def read(self) -> list[VmEntry]:
        """Return the VMs that the platform lists.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If the list cannot be read.
        """
        status, value = await self._client.request(
            "GET", "/vms", timeout_s=READ_TIMEOUT_S
        )
        if status != 200:
            raise UnavailableError(
                f"status {status}", step="vm list", peer=self._client.peer
            )
        try:
            entries = [_decode_entry(item) for item in value["vms"]]
        except (LookupError, TypeError) as exc:
            raise ProtocolError(
                brief(exc), step="vm list", peer=self._client.peer
            ) from exc
        return [entry for entry in entries if entry is not None]


def _decode_entry(item: Any) -> VmEntry | None:
    """Return an entry of the list; None if it names no VM that can be used."""
    try:
        texts = [item[name] for name in ("vm", "role", "address", "failure_domain")]
        if not all(isinstance(text, str) and text for text in texts):
            raise TypeError("a field is no text")
        vm, role, address, failure_domain = texts
        check_address(address)
        leaving = item.get("state") == "leaving"
    except (AttributeError, LookupError, TypeError, ValueError) as exc:
        logger.warning("entry of the VM list ignored", error=brief(exc))
        return None
    return VmEntry(vm, role, address, failure_domain, leaving)


def make_vm_listing(address: str, source_host: str = "") -> HttpVmListing:
    """Return a client of the VM list at ``"host:port"``."""
    return HttpVmListing(make_http_client(address, source_host=source_host))
