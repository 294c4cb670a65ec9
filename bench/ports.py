"""Ports for the processes of a test fleet."""

import contextlib
import pathlib
import random
import socket

ADDRESS = "127.0.0.1"
FIRST_PORT = 10000
# The kernel takes the ports of outgoing connections from here on; one that is
# taken from it may be in use by the time that its process listens.
EPHEMERAL = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_ports(count):
    """Return ports that were free just now, on all loopback addresses."""
    end = int(EPHEMERAL.read_text().split()[0])
    # Tests seed the module's own generator, all alike.
    source = random.SystemRandom()
    ports = []
    with contextlib.ExitStack() as held:
        while len(ports) < count:
            port = source.randrange(FIRST_PORT, end)
            probe = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind(("0.0.0.0", port))
                ports.append(port)
    return ports
