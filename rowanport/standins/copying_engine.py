"""Stand-in of an engine on the users' platform that copies runs.

Its runs are streams of numbered events.  The memory of a run is copied to
another engine as the run grows, and the run goes on there on request.
"""

import asyncio

from ..platform.words import DIALECT
from .upstream import ID_HEADER
from .upstream import UpstreamStandin

# Seconds between two pieces of a copy.
PIECE_SECONDS = 0.1
# Seconds for which a copy is kept after its last piece.
HANDLE_SECONDS = 5.0


class Copy:
    """The copy of a run's memory.

    :ivar tokens: tokens that it occupies
    :ivar expires_at: the event loop's time until which it is kept
    """

    __slots__ = ("tokens", "expires_at")

    def __init__(self, tokens, expires_at):
        self.tokens = tokens
        self.expires_at = expires_at


class RunSpan:
    """A time for which an engine executed a run.

    :ivar id: the request's id
    :ivar engine: name of the engine
    :ivar begins_at: the event loop's time
    :ivar ends_at: the same, None while it goes on
    :ivar resumed: whether it went on from a copy
    """

    __slots__ = ("id", "engine", "begins_at", "ends_at", "resumed")

    def __init__(self, id_, engine, begins_at, resumed):
        self.id = id_
        self.engine = engine
        self.begins_at = begins_at
        self.ends_at = None
        self.resumed = resumed


class CopyingEngine(UpstreamStandin):
    """An engine that can copy its runs and resume copied ones.

    :param engines: CopyingEngine by address, of those that are alive; the
        link between engines
    :param memory: tokens that its memory holds
    :ivar spans: the RunSpans of this engine
    :ivar copies: Copy by the request's id
    :ivar freed: ids of the copies that were freed on request
    :ivar lose_copies: whether the pieces that it sends are lost
    """

    def __init__(self, name, engines, events=8, memory=100000, version="v1"):
        super().__init__(name, events, version)
        self.spans = []
        self.copies = {}
        self.freed = []
        self.lose_copies = False
        self._memory = memory
        self._engines = engines
        self._open = {}

    async def start_at(self, host, port):
        await super().start_at(host, port)
        self._engines[self.address] = self

    def crash(self):
        """Lose all runs and copies, and drop all connections."""
        if self._engines.get(self.address) is self:
            del self._engines[self.address]
        for span in list(self._open):
            self._end(span)
        self.copies.clear()
        super().crash()

    @property
    def memory_used(self):
        """Return the tokens that runs and copies occupy."""
        self._expire()
        return sum(self._open.values()) + sum(
            copy.tokens for copy in self.copies.values()
        )

    def _expire(self):
        now = asyncio.get_running_loop().time()
        for name, copy in list(self.copies.items()):
            if copy.expires_at <= now:
                del self.copies[name]

    # Copies

    def receive_piece(self, name, tokens):
        """Take in the copy of a run so far, if there is room for it."""
        now = asyncio.get_running_loop().time()
        known = self.copies.get(name)
        more = tokens - (known.tokens if known else 0)
        if self.memory_used + more <= self._memory:
            self.copies[name] = Copy(tokens, now + HANDLE_SECONDS)

    async def _copy(self, span, address):
        """Send the memory of a run to another engine while it goes on."""
        while span.ends_at is None:
            target = self._engines.get(address)
            if target is not None and not self.lose_copies:
                target.receive_piece(span.id, self._open[span])
            await asyncio.sleep(PIECE_SECONDS)

    # Requests

    async def _answer(self, connection, writer, request, body):
        target = request.target.decode()
        if request.method == b"DELETE":
            self._free(target.removeprefix(DIALECT.handle_path))
            return self._send(connection, writer, 200, [], b"")
        await super()._answer(connection, writer, request, body)

    def _free(self, name):
        self.freed.append(name)
        self.copies.pop(name, None)

    async def _do_ok(self, connection, writer, names, body):
        source = names.get(DIALECT.resume_from)
        if source is not None and not self._use_copy(source):
            return await self._do_full(connection, writer, names, body)
        await self._execute(connection, writer, names, source is not None)

    def _use_copy(self, source):
        """Use up the copy that a header names; return whether it is there."""
        self._expire()
        address, _, name = source.partition("/")
        if address != self.address:
            return False
        return self.copies.pop(name, None) is not None

    async def _execute(self, connection, writer, names, resumed):
        now = asyncio.get_running_loop().time()
        span = RunSpan(names[ID_HEADER], self.name, now, resumed)
        self.spans.append(span)
        prompt = int(names[DIALECT.tokens].partition(",")[0])
        self._open[span] = prompt
        backup = names.get(DIALECT.backup_to)
        copying = backup and asyncio.ensure_future(self._copy(span, backup))
        self._note_run(connection, names)
        try:
            await self._stream(connection, writer, names, self.events)
            if backup in self._engines:
                self._engines[backup].copies.pop(span.id, None)
        finally:
            self._end(span)
            if copying:
                copying.cancel()

    def _end(self, span):
        if self._open.pop(span, None) is not None:
            span.ends_at = asyncio.get_running_loop().time()

    async def _rest(self, connection, writer):
        await super()._rest(connection, writer)
        if writer.is_closing():
            raise ConnectionResetError
