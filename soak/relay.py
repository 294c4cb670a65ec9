"""Relays on the links between processes, whose connections can be harmed.

Each link leads from a source, told by its IP number, to a target.  A silenced
connection is silent as behind a cable that was cut: a socket filter drops what
arrives before the relay's kernel acknowledges it.  On a stalled one it is
acknowledged, as by a proxy that hangs, so that only a time-out of the program
itself shows it.
"""

import asyncio
import contextlib
import ctypes
import socket
import struct

READ_SIZE = 65536
UP = "up"
DOWN = "down"
# A socket option of Linux that needs no privilege, and a filter's one
# instruction: take no byte of any packet.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)
# Instructions of a filter: load a packet's source IP number, compare it, and
# take the whole packet.
LOAD_SOURCE = struct.pack("HBBI", 0x20, 0, 0, 0xFFF00000 + 12)
EQUALS = 0x15
TAKE_ALL = struct.pack("HBBI", 0x06, 0, 0, 0xFFFFFFFF)
# Lingering for no time makes the kernel reset a connection that is closed.
RESET = struct.pack("ii", 1, 0)


class Link:
    """How new bytes between a source and a target fare at present.

    :ivar delay: seconds by which each piece is late
    :ivar held: directions that are cut
    :ivar refuses: whether new connections are reset at once
    """

    __slots__ = ("delay", "held", "refuses")

    def __init__(self):
        self.delay = 0.0
        self.held = set()
        self.refuses = False


class _Connection:
    """One open connection through a relay."""

    def __init__(self, relays, source, target, near, far):
        self.source = source
        self.target = target
        self.silent = False
        self._relays = relays
        self._near = near
        self._far = far

    async def run(self):
        """Copy both ways until an end closes."""
        near_reader, near = self._near
        far_reader, far = self._far
        await asyncio.gather(
            self._copy(UP, near_reader, far),
            self._copy(DOWN, far_reader, near),
        )

    async def _copy(self, direction, reader, writer):
        try:
            while data := await reader.read(READ_SIZE):
                if await self._pass(direction):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            if await self._pass(direction):
                _reset(writer)
        if await self._pass(direction):
            writer.close()

    async def _pass(self, direction):
        """Wait as the link says; return False on a silent connection."""
        link = self._relays.link(self.source, self.target)
        if link.delay:
            await asyncio.sleep(link.delay)
        while direction in link.held and not self.silent:
            await self._relays.wait_changed()
        return not self.silent

    def silence(self, acknowledged):
        """Pass nothing on any more, without a word to either end."""
        self.silent = True
        if not acknowledged:
            for _reader, writer in (self._near, self._far):
                _drop_all(writer)

    def hang(self):
        """Let no packet of the source arrive any more."""
        _drop_all(self._near[1])

    def recover(self):
        """Let packets of the source arrive again."""
        _detach_filter(self._near[1].get_extra_info("socket"))

    def abort(self):
        """Reset both ends."""
        for _reader, writer in (self._near, self._far):
            _reset(writer)


def _reset(writer):
    """Close a connection by a reset; plain closing says "the end"."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


def _drop_all(writer):
    """Let a socket's kernel drop all that arrives."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return
    _attach_filter(sock, [DROP_ALL])


def _drop_sources(sock, addresses):
    """Let a listening socket's kernel drop all from some IP numbers."""
    if not addresses:
        _detach_filter(sock)
        return
    program = [LOAD_SOURCE]
    for left, address in zip(range(len(addresses), 0, -1), addresses):
        number = int.from_bytes(socket.inet_aton(address), "big")
        # On a match it skips to the last instruction.
        program.append(struct.pack("HBBI", EQUALS, left, 0, number))
    _attach_filter(sock, [*program, TAKE_ALL, DROP_ALL])


def _attach_filter(sock, instructions):
    code = ctypes.create_string_buffer(b"".join(instructions))
    program = struct.pack("HP", len(instructions), ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _detach_filter(sock):
    """Let a socket take all again, whether or not it has a filter."""
    if sock is None or sock.fileno() < 0:
        return
    with contextlib.suppress(FileNotFoundError):
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


class Relays:
    """All relays of a world.

    :param names: names of sources by IP number
    """

    def __init__(self, names):
        self._names = names
        self._links = {}
        self._open = set()
        # Listening sockets by target.
        self._servers = {}
        # Sources of connections, by the port that targets see; of one that has
        # just closed, too.
        self._sources = {}
        # Pairs of source and target whose packets are dropped.
        self._hanging = set()
        self._changed = asyncio.Event()

    async def add(self, target, address, destination):
        """Relay an address to a destination; both are (IP, port)."""

        async def serve(reader, writer):
            source = self._names.get(writer.get_extra_info("peername")[0], "")
            await self._serve(source, target, destination, reader, writer)

        server = await asyncio.start_server(serve, *address, backlog=1024)
        self._servers[target] = server
        return server

    async def _serve(self, source, target, destination, reader, writer):
        if self.link(source, target).refuses:
            _reset(writer)
            return
        try:
            far = await asyncio.open_connection(*destination)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(self, source, target, (reader, writer), far)
        port = far[1].get_extra_info("sockname")[1]
        # The kernel gives a port to connections to several destinations.
        self._sources[port, destination[1]] = source
        self._open.add(connection)
        try:
            with contextlib.suppress(OSError):
                await connection.run()
        finally:
            self._open.discard(connection)
            connection.abort()

    def source_at(self, port, destination):
        """Return the source of the last connection between two ports.

        :param port: port from which it came
        :param destination: port to which it went
        :returns: "" if there is none
        """
        return self._sources.get((port, destination), "")

    def name(self, address, name):
        """Give the source at an IP number a name."""
        self._names[address] = name

    def link(self, source, target):
        """Return the Link from a source to a target."""
        key = (source, target)
        if key not in self._links:
            self._links[key] = Link()
        return self._links[key]

    async def wait_changed(self):
        """Wait until a link may have changed."""
        await self._changed.wait()

    def change(self, pairs, delay=0.0, held=()):
        """Set how bytes fare on links, given as (source, target)."""
        for source, target in pairs:
            link = self.link(source, target)
            link.delay = delay
            link.held = set(held)
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self, pairs):
        """Reset the open connections of links."""
        for connection in self._chosen(pairs):
            connection.abort()

    def silence(self, pairs, acknowledged=False):
        """Silence the open connections of links for good.

        :param acknowledged: whether kernels still acknowledge what they send
        """
        for connection in self._chosen(pairs):
            connection.silence(acknowledged)

    # Links that are lost for some time

    def hang(self, pairs):
        """Drop all packets of links, of new connections too."""
        self.change(pairs, held=(UP, DOWN))
        self._hanging.update(pairs)
        for connection in self._chosen(pairs):
            connection.hang()
        self._filter_sources()

    def refuse(self, pairs):
        """Reset new connections of links; open ones live."""
        for pair in pairs:
            self.link(*pair).refuses = True

    def recover(self, pairs):
        """End what was done to links, but for resets."""
        for pair in pairs:
            self.link(*pair).refuses = False
        hanging = self._hanging & set(pairs)
        self._hanging -= hanging
        self._filter_sources()
        for connection in self._chosen(hanging):
            connection.recover()
        self.change(pairs)

    def _filter_sources(self):
        """Let listening sockets drop what comes over hanging links."""
        for target, server in self._servers.items():
            addresses = [
                address
                for address, name in self._names.items()
                if (name, target) in self._hanging
            ]
            for sock in server.sockets:
                _drop_sources(sock, addresses)

    def _chosen(self, pairs):
        pairs = set(pairs)
        return [c for c in self._open if (c.source, c.target) in pairs]

    def close(self):
        """Stop all relays."""
        for server in self._servers.values():
            server.close()
        self.change(list(self._links))
        for connection in list(self._open):
            connection.abort()
