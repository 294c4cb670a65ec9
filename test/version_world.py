"""A fleet before upstreams of two versions, on a VirtualNet."""

import asyncio
from test.crash_world import CrashWorld
from test.platform_world import HOST as NAME
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.virtual_net import HOST

from rowanport.errors import UpstreamError
from rowanport.standins.upstream import UpstreamStandin
from rowanport.web import HttpClient

EVENTS = 8
# Longer than a caller waits for an event.
SILENT_SECONDS = 5.0
OLD, NEW = "v1", "v2"


class VersionedUpstream(UpstreamStandin):
    """An upstream whose streams may fall silent.

    :ivar silent_after: event after which the next stream falls silent, or
        None
    """

    def __init__(self, name, version):
        super().__init__(name, EVENTS, version)
        self.pause = 0.1
        self.silent_after = None
        self.runs = []
        self._handed_out = {}

    def _note_event(self, connection, number):
        self._handed_out[connection] = number

    async def _rest(self, connection, writer):
        if self._handed_out[connection] == self.silent_after:
            self.silent_after = None
            await asyncio.sleep(SILENT_SECONDS)
        await super()._rest(connection, writer)


class VersionWorld(CrashWorld):
    """Routers, a store, and upstreams of two versions.

    :ivar asked: number of streams asked for so far
    """

    def __init__(self, loop, net, versions=(OLD, OLD, NEW, NEW), routers=3):
        super().__init__(loop, net, routers, len(versions))
        self._versions = versions
        self.asked = 0

    async def _start_upstream(self, address):
        self._starts += 1
        version = self._versions[(self._starts - 1) % len(self._versions)]
        HOST.set(address)
        upstream = VersionedUpstream(f"u{self._starts}", version)
        upstream.on_crash = lambda one: self._on_crash(address, one)
        await upstream.start_at(address, 80)
        self.upstreams[address] = upstream
        await self.put_entry(upstream)
        HOST.set("caller")

    def release(self, version):
        """Replace all upstreams by ones of another version."""
        self._versions = (version,)
        for upstream in list(self.upstreams.values()):
            upstream.crash()

    async def put_entry(self, upstream, **fields):
        """Write the entry of an upstream to the store."""
        entry = {**upstream.entry(), **fields}
        await self.store.put(f"servers/{upstream.name}", entry)

    def of(self, version):
        """Return the upstreams of a version."""
        return [u for u in self.upstreams.values() if u.version == version]

    def break_streams(self, version):
        """Let the next stream at each upstream of a version break off."""
        for upstream in self.of(version):
            upstream.script = ["break"]

    async def read(self, host, name, most=None, **headers):
        """Ask for a stream, and leave it after some events if that is given.

        :returns: its Stream
        """
        stream = Stream(name)
        fields = [
            ("host", NAME),
            (ID_HEADER, name),
            ("api-key", KEY),
            ("x-rowanport-deadline-ms", "8000"),
            ("x-rowanport-token-count", "100,30"),
            ("x-rowanport-prompt-prefix", f"{name}:100"),
            ("x-rowanport-model", "m"),
            *((k.replace("_", "-"), str(v)) for k, v in headers.items()),
        ]
        client = HttpClient()
        try:
            answer = await client.request(
                f"{host}:80", "POST", "/stream/", b"q", fields
            )
            stream.status = answer.status
            while most is None or len(stream.events) < most:
                piece = await answer.next_piece()
                if piece is None:
                    stream.whole = True
                    break
                stream.add(piece)
        except UpstreamError:
            pass
        finally:
            client.close()
        return stream

    async def resume(self, host, stream, **headers):
        """Take a Stream up at a router; add what comes."""
        self.asked += 1
        headers.setdefault("resumes", stream.name)
        if stream.events:
            headers.setdefault("last_event_id", len(stream.events))
        more = await self.read(host, f"{stream.name}-{self.asked}", **headers)
        stream.status = more.status
        stream.events += more.events
        stream.versions |= more.versions
        stream.whole = more.whole
        return stream

    async def all_of(self, coroutines):
        """Return the results of coroutines that run at once."""
        return await asyncio.gather(*coroutines)


class Stream:
    """What a caller has of a stream.

    :ivar events: numbers of its events
    :ivar versions: versions that wrote them
    :ivar status: of the last answer, 0 without one
    :ivar whole: whether it has ended as complete
    """

    def __init__(self, name):
        self.name = name
        self.events = []
        self.versions = set()
        self.status = 0
        self.whole = False
        self._unread = ""

    def add(self, piece):
        """Add the events in a piece of an answer."""
        *events, self._unread = (self._unread + piece.decode()).split("\n\n")
        for event in events:
            number, data = event.split("\n")[:2]
            self.events.append(int(number.removeprefix("id: ")))
            self.versions.add(data.split()[-1])

    @property
    def joined(self):
        """Return whether it holds events of two versions."""
        return len(self.versions) > 1
