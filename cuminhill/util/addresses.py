"""Addresses of other processes."""

from __future__ import annotations

import ipaddress

# Raised beside OSError by an attempt to connect to an impossible address, such as one
# with an empty label or a port of 20 digits.
BAD_ADDRESS_ERRORS = (OverflowError, ValueError)
N_PORTS = 1 << 16
MAX_ADDRESS_LENGTH = 21  # of "255.255.255.255:65535"


def check_port(port: int) -> int:
    """Return a port unchanged if it is valid.

    The resolver takes a port above 65535 modulo 65536, so a connection would reach
    another process.

    Raises
    ------
    ValueError
        If it is out of range.
    """
    if not 0 < port < N_PORTS:
        raise ValueError(f"port {port} is out of range")
    return port


def check_address(value: str) -> str:
    """Return an address unchanged if it is valid.

    Raises
    ------
    ValueError
        If it is not an IPv4 address and a port as ``"a.b.c.d:port"``.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        valid = len(value) <= MAX_ADDRESS_LENGTH and port.isascii()
        valid = valid and port.isdecimal() and 0 < int(port) < N_PORTS
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("IPv4 address and port as 'a.b.c.d:port'")
    return value
