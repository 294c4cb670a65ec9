"""A network in memory, on given time, whose connections can go silent.

What opens and accepts connections through ``rowanport.web.stream`` runs on it
unchanged: HTTP, streams between routers, whole gateways.
"""

import asyncio
import collections
import contextlib
import contextvars
import errno
import socket
from unittest import mock

from rowanport.web import stream

# The host on which the running task runs.
HOST = contextvars.ContextVar("host", default="")
# Seconds that bytes are on their way.
DELAY = 0.001
# Seconds until a connection that was accepted is reset, by a network that
# refuses connections so.
CLOSE_SECONDS = 0.05
# Options of a socket that probes its peer, and what they say without being
# set: minutes, which no test waits for.
PROBES = {
    socket.TCP_KEEPIDLE: 7200,
    socket.TCP_KEEPINTVL: 75,
    socket.TCP_KEEPCNT: 9,
}


class VirtualSocket:
    """Remembers how soon its owner wants to hear of a silent peer."""

    def __init__(self):
        self.probing = False
        self.resets = False
        self.options = dict(PROBES)

    def setsockopt(self, level, option, value):
        """Set an option, as a real socket does."""
        if level == socket.SOL_SOCKET and option == socket.SO_KEEPALIVE:
            self.probing = bool(value)
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            self.resets = value == stream.NO_LINGER
        if level == socket.IPPROTO_TCP and option in self.options:
            self.options[option] = value

    def fileno(self):
        """Return a number, as a socket that is open does."""
        return 0

    @property
    def patience(self):
        """Return the seconds of silence after which the kernel gives up."""
        values = self.options
        return (
            values[socket.TCP_KEEPIDLE]
            + values[socket.TCP_KEEPINTVL] * values[socket.TCP_KEEPCNT]
        )


class End:
    """One end of a connection: a reader, and a writer and its transport.

    It stands for the StreamWriter and for its transport.
    """

    def __init__(self, link, loop):
        self.reader = stream.WatchedReader(loop=loop)
        self.socket = VirtualSocket()
        self.transport = self
        self.other = None
        self._link = link
        self._loop = loop
        self._closed = False
        self._sent = collections.deque()
        self.unacknowledged = 0

    def write(self, data):
        """Send bytes, unless the connection is silent."""
        if self._link.silent:
            self.unacknowledged += len(data)
        if not self._closed:
            self._later(self.other.receive, bytes(data))

    async def drain(self):
        """Never hold a writer up."""

    def write_eof(self):
        """Close the own direction."""
        if not self._closed:
            self._later(self.other.hear_eof)

    def close(self):
        """Close both directions, by a reset if the socket says so."""
        if self.socket.resets:
            self.abort()
            return
        self._end(self._later, lambda: self.other.hear_end(None))

    def set_write_buffer_limits(self, high):
        """Hold nothing back, whatever the limits."""

    def abort(self):
        """Reset the connection."""
        reset = ConnectionResetError(errno.ECONNRESET, "reset by peer")
        self._end(self._later, lambda: self.other.hear_end(reset))

    def is_closing(self):
        """Return whether this end was closed."""
        return self._closed

    def get_extra_info(self, name):
        """Return the socket, or the other end's host and a port."""
        if name == "peername":
            return (self._link.host_at(self.other), 0)
        return self.socket if name == "socket" else None

    def get_write_buffer_size(self):
        """Return the bytes that wait to be sent: none, ever."""
        return 0

    def _end(self, send, message):
        if not self._closed:
            self._closed = True
            send(message)
            self._loop.call_soon(self._feed_end, None)

    def _later(self, deliver, *args):
        # Timers of one moment come in any order, the bytes of one connection
        # do not.
        self._sent.append((deliver, args))
        self._loop.call_later(self._link.delay(self), self._arrive)

    def _arrive(self):
        deliver, args = self._sent.popleft()
        if not self._link.silent:
            deliver(*args)

    def receive(self, data):
        """Take in bytes from the other end."""
        if not self._closed and not self.reader.ended:
            self.reader.feed_data(data)

    def hear_eof(self):
        """Take in that the other end has closed its direction."""
        if not self._closed:
            self._feed_end(None)

    def hear_end(self, error):
        """Take in that the other end has closed or reset."""
        self._closed = True
        self._feed_end(error)

    def _feed_end(self, error):
        if self.reader.ended:
            return
        if error is None:
            self.reader.feed_eof()
        else:
            self.reader.set_exception(error)

    def probe(self):
        """Let the kernel find out that the other end is silent."""
        if self.socket.probing:
            error = TimeoutError(errno.ETIMEDOUT, "timed out")
            patience = self.socket.patience
            self._loop.call_later(patience, self.hear_end, error)


class Link:
    """One connection between two ends."""

    def __init__(self, net, loop, client, server):
        self.silent = False
        self.names = (client, server)
        self._net = net
        self.ends = (End(self, loop), End(self, loop))
        first, second = self.ends
        first.other, second.other = second, first

    def host_at(self, end):
        """Return the host at one of its ends."""
        return self.names[self.ends.index(end)]

    def delay(self, end):
        """Return the seconds that bytes sent at one of its ends take."""
        own, other = self.names
        if end is not self.ends[0]:
            own, other = other, own
        return self._net.delay(own, other)

    def silence(self):
        """Deliver nothing any more, and tell nobody."""
        if not self.silent:
            self.silent = True
            for end in self.ends:
                end.probe()


class _Server:
    """What listening returns."""

    def __init__(self, close):
        self.close = close


class VirtualNet:
    """All hosts of a test, by IP number.

    :param loop: a VirtualLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self._servers = {}
        self._links = []
        self._waits = {}
        self._cut = set()
        self._hanging = set()
        self._refusing = set()
        self._accepting = set()
        self._tasks = set()

    async def listen(self, handle, host, port, limit, backlog):
        """Accept connections, as ``stream.listen`` does."""
        self._servers[host, port] = (handle, contextvars.copy_context())
        return _Server(lambda: self._servers.pop((host, port), None))

    async def connect(self, host, port, local_addr=None):
        """Open a connection, as ``stream.connect`` does."""
        own = HOST.get()
        await asyncio.sleep(self.delay(own, host) + self.delay(host, own))
        if (own, host) in self._cut:
            raise ConnectionResetError(errno.ECONNRESET, "reset by peer")
        if (own, host) in self._hanging:
            await self._loop.create_future()
        if (own, host) in self._refusing:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        if (host, port) not in self._servers:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        if (own, host) in self._accepting:
            return self._accept_and_close(own, host)
        handle, context = self._servers[host, port]
        link = Link(self, self._loop, own, host)
        self._links.append(link)
        first, second = link.ends
        task = self._loop.create_task(
            handle(second.reader, second), context=context
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return first.reader, first

    def _accept_and_close(self, own, host):
        """Open a connection that is reset a moment later."""
        link = Link(self, self._loop, own, host)
        first, second = link.ends
        self._loop.call_later(CLOSE_SECONDS, second.abort)
        return first.reader, first

    def fill(self, host, inward=0.0, outward=0.0):
        """Let bytes wait on a host's link, as behind others on a full one.

        :param inward: seconds that those to the host wait
        :param outward: the same for those from it
        """
        self._waits[host] = (inward, outward)

    def cut(self, source, target):
        """Let a host reset all connections of another one."""
        self._cut.add((source, target))
        for link in self._links:
            if link.names == (source, target):
                for end in link.ends:
                    end.abort()

    def join(self, source, target):
        """Let a host take the connections of another one again."""
        self._cut.discard((source, target))

    def sever(self, source, target, how):
        """Cut a host off from another one, which reaches all others.

        :param how: "hang", "reset", or "refuse": open connections live and
            new ones are refused; "accept": all are reset, new ones once they
            were accepted
        """
        if how == "hang":
            self._hanging.add((source, target))
            self.silence(lambda *names: names == (source, target))
            return
        refused = self._accepting if how == "accept" else self._refusing
        refused.add((source, target))
        if how != "refuse":
            self.cut(source, target)
            self.join(source, target)

    def recover(self, source, target):
        """Let a host reach another one again with new connections."""
        self._hanging.discard((source, target))
        self._refusing.discard((source, target))
        self._accepting.discard((source, target))

    def delay(self, source, target):
        """Return the seconds that bytes take from one host to another."""
        _inward, outward = self._waits.get(source, (0.0, 0.0))
        inward, _outward = self._waits.get(target, (0.0, 0.0))
        return DELAY + outward + inward

    def silence(self, choose):
        """Let open connections go silent for good; new ones work.

        :param choose: function from a Link's names to whether it does
        :returns: how many did
        """
        chosen = [link for link in self._links if choose(*link.names)]
        for link in chosen:
            link.silence()
        self._links = [link for link in self._links if not link.silent]
        return len(chosen)

    @contextlib.contextmanager
    def installed(self):
        """Take the place of the machine's network meanwhile."""
        with mock.patch.multiple(
            stream,
            connect=self.connect,
            listen=self.listen,
            unacknowledged=lambda end: end.unacknowledged,
        ):
            yield self
