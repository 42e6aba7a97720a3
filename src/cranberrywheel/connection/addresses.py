"""Check of the network addresses that other processes name."""

import re

MAX_PORT = 65_535
#: A host name of at most 253 characters, an IPv4 address, or an IPv6 one in brackets.
_HOST = re.compile(r"[A-Za-z0-9_][A-Za-z0-9._-]{0,252}|\[[0-9A-Fa-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{1,5}")


def check_address(value: str) -> str:
    """Return an address of the form ``host:port`` unchanged.

    :raises ValueError: for any other text.
    """
    host, _, port = value.rpartition(":")
    is_port = _PORT.fullmatch(port) and 1 <= int(port) <= MAX_PORT
    if not is_port or not _HOST.fullmatch(host):
        raise ValueError(f"expected HOST:PORT with a port from 1 to {MAX_PORT}")
    return value
