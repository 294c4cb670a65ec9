"""Opens the connections that an HttpClient uses."""

import abc
import asyncio
import socket

from . import stream
from ..clock import loop_time
from ..errors import ConnectionRefused
from ..errors import UpstreamError


class Keepalive:
    """How fast a connection to a silent host is given up by the kernel.

    :ivar idle: seconds without a byte before it is probed
    :ivar interval: seconds between two probes
    :ivar probes: probes without an answer after which it is dropped
    """

    __slots__ = ("idle", "interval", "probes")

    def __init__(self, idle=1, interval=1, probes=2):
        self.idle = idle
        self.interval = interval
        self.probes = probes

    @property
    def patience(self):
        """Return the seconds of silence after which it is dropped."""
        return self.idle + self.interval * self.probes

    def apply(self, sock):
        """Set the options of a socket.

        The user timeout decides when probes give up, whatever their count, so
        it is the time that all of them take.
        """
        longest = 1000 * self.patience
        level = socket.IPPROTO_TCP
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(level, socket.TCP_KEEPIDLE, self.idle)
        sock.setsockopt(level, socket.TCP_KEEPINTVL, self.interval)
        sock.setsockopt(level, socket.TCP_KEEPCNT, self.probes)
        sock.setsockopt(level, socket.TCP_USER_TIMEOUT, longest)


class Path:
    """An open connection to an address, and the way that it takes.

    :ivar address: IP and port of the upstream
    :ivar reader: its WatchedReader
    :ivar writer: its StreamWriter
    :ivar relay: incarnation of the router that relays it, None if direct
    :ivar tunnel: id of the tunnel through that router, for the logs, or None
    :ivar tells_end: whether an orderly end of the connection is the
        upstream's; the kernel of a router that relays may be its source, too
    :ivar opened_at: the event loop's time at which it was opened
    :ivar asked_at: the event loop's time at which the kernel was asked for it;
        that at which it was opened if a peer did so
    :ivar answered: whether the head of an answer has arrived on it
    """

    __slots__ = (
        "address",
        "reader",
        "writer",
        "relay",
        "tunnel",
        "tells_end",
        "opened_at",
        "asked_at",
        "answered",
        "__weakref__",
    )

    def __init__(
        self,
        address,
        reader,
        writer,
        relay=None,
        tunnel=None,
        tells_end=True,
        asked_at=None,
    ):
        self.address = address
        self.reader = reader
        self.writer = writer
        self.relay = relay
        self.tunnel = tunnel
        self.tells_end = tells_end
        self.opened_at = loop_time()
        self.asked_at = self.opened_at if asked_at is None else asked_at
        self.answered = False

    @property
    def open(self):
        """Return whether neither end has closed it, as far as is known.

        The end of one that is not read, as its reader is slow, is not known.
        """
        reader = self.reader
        closing = self.writer.is_closing()
        return not (closing or reader.ended or reader.paused)


class Connector(abc.ABC):
    """Opens connections to addresses, and learns what became of them."""

    @abc.abstractmethod
    async def open(self, address):
        """Return a Path to an address.

        :param address: IP and port
        :raises ConnectionRefused: nobody listens there
        :raises NoConnectionFree: there are as many as may be
        :raises UpstreamError: it cannot be reached; nothing was sent
        """

    def may_probe(self, address):
        """Return whether a connection may be opened without a request."""
        return True

    def may_reuse(self, path):
        """Return whether an idle Path may be used for another request."""
        return True

    def record_answer(self, path):
        """Record that the head of an answer arrived on a Path."""

    def record_failure(self, path, silent):
        """Record that a Path failed while a request waited on it.

        :param silent: whether the kernel gave it up; otherwise it ended
            before any answer had arrived on it
        """


class DirectConnector(Connector):
    """Opens connections over the router's own link.

    :param timeout: longest wait for a connection in seconds
    :param keepalive: a Keepalive, or None for the kernel's defaults
    """

    def __init__(self, timeout, keepalive=None):
        self._timeout = timeout
        self._keepalive = keepalive

    async def open(self, address):
        asked_at = loop_time()
        try:
            async with asyncio.timeout(self._timeout):
                reader, writer = await stream.connect(
                    *stream.split_address(address)
                )
        except ConnectionRefusedError:
            message = f"{address} cannot be reached: connection refused"
            raise ConnectionRefused(message) from None
        except asyncio.TimeoutError:
            message = (
                f"{address} cannot be reached: no connection within "
                f"{self._timeout} s"
            )
            raise UpstreamError(message, started=False) from None
        except OSError as error:
            message = f"{address} cannot be reached: {error}"
            raise UpstreamError(message, started=False) from None
        if self._keepalive is not None:
            self._keepalive.apply(writer.get_extra_info("socket"))
        return Path(address, reader, writer, asked_at=asked_at)
