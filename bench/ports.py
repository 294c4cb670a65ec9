"""Ports for the processes of a test fleet."""

import socket

ADDRESS = "127.0.0.1"


def free_ports(count):
    """Return ports that were free just now, on all loopback addresses."""
    sockets = []
    for _number in range(count):
        probe = socket.socket()
        probe.bind(("0.0.0.0", 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports
