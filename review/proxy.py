"""A proxy before a runner, which refuses the channels of some processes.

That is how a router is cut off from runners without a change to the network:
the proxy learns from /proc which process opened a channel.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
import struct

READ_SIZE = 65536
# Lingering for no time makes the kernel reset a channel that is closed.
NO_LINGER = struct.pack("ii", 1, 0)


def _inode(address):
    """Return the inode of the socket that is bound to an (IP, port)."""
    number = int.from_bytes(socket.inet_aton(address[0]), "little")
    wanted = f"{number:08X}:{address[1]:04X}"
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        if row[1] == wanted:
            return row[9]
    return None


def _owns(pid, inode):
    """Return whether a process has a socket open."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
    return False


def _reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class Proxy:
    """Passes channels on to a runner.

    :param fleet: the Fleet, whose routers it tells apart
    :param target: (IP, port) of the runner
    :ivar cut: routers whose channels it resets
    :ivar users: router by id of the last request that it passed on
    """

    def __init__(self, fleet, target):
        self._fleet = fleet
        self._target = target
        self._open = {}
        self._server = None
        self.cut = set()
        self.users = {}

    async def start(self, ip, port):
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=512
        )

    def begin_cut(self, router):
        """Reset a router's channels, open and new ones."""
        self.cut.add(router)
        for writer, owner in list(self._open.items()):
            if owner is router:
                _reset(writer)

    def _owner(self, address):
        inode = _inode(address)
        for router in self._fleet.routers:
            if inode and _owns(router.process.pid, inode):
                return router
        return None

    async def _serve(self, reader, writer):
        owner = self._owner(writer.get_extra_info("peername"))
        if owner in self.cut:
            _reset(writer)
            return
        try:
            far_reader, far = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        self._open[writer] = owner
        try:
            await asyncio.gather(
                self._copy(reader, far, owner, True),
                self._copy(far_reader, writer, owner, False),
            )
        except OSError:
            # A reset of one side is one of the other side as well.
            _reset(writer)
            _reset(far)
        finally:
            self._open.pop(writer, None)
            writer.close()
            far.close()

    async def _copy(self, reader, writer, owner, upward):
        while data := await reader.read(READ_SIZE):
            if upward:
                self._note(data, owner)
            writer.write(data)
            await writer.drain()
        writer.close()

    def _note(self, data, owner):
        for line in data.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.strip().lower() == b"x-rowanport-request-id":
                self.users[value.strip().decode()] = owner
