"""Stand-in of an engine on the users' platform that copies runs.

Its runs are streams of numbered events.  The memory of a run is copied to
another engine as the run grows, and the run goes on there on request.
"""

import asyncio
import json

from ..platform.words import DIALECT
from .upstream import ID_HEADER
from .upstream import UpstreamStandin

# Seconds between two pieces of a copy.
PIECE_SECONDS = 0.1
# Seconds for which a copy is kept after its last piece.
HANDLE_SECONDS = 5.0
# What a handle of a moved run begins with; the request's id follows.
HANDLE_PREFIX = "move-"


class Copy:
    """The copy of a run's memory.

    :ivar tokens: tokens that it occupies
    :ivar expires_at: the event loop's time until which it is kept
    :ivar source: address that names it in a request to resume the run
    """

    __slots__ = ("tokens", "expires_at", "source")

    def __init__(self, tokens, expires_at, source):
        self.tokens = tokens
        self.expires_at = expires_at
        self.source = source


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
    :ivar leaves_at: the event loop's time at which it leaves, or None
    :ivar full: whether it has no room for copies
    :ivar moves: bodies of the requests to move a run
    :ivar on_move: function that is called with each of them, or None
    """

    def __init__(self, name, engines, events=8, memory=100000, version="v1"):
        super().__init__(name, events, version)
        self.spans = []
        self.copies = {}
        self.freed = []
        self.lose_copies = False
        self.leaves_at = None
        self.full = False
        self.moves = []
        self.on_move = None
        self._memory = memory
        self._engines = engines
        self._open = {}
        self._streams = {}

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

    def receive_piece(self, name, tokens, source=None):
        """Take in the copy of a run so far; return whether there is room.

        :param source: address of the engine that moves the run
        """
        now = asyncio.get_running_loop().time()
        known = self.copies.get(name)
        more = tokens - (known.tokens if known else 0)
        if self.full or self.memory_used + more > self._memory:
            return False
        source = source or self.address
        self.copies[name] = Copy(tokens, now + HANDLE_SECONDS, source)
        return True

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
        if target == DIALECT.report_path:
            return self._send_json(connection, writer, 200, self._report())
        if target == DIALECT.move_path:
            value = json.loads(body)
            self.moves.append(value)
            if self.on_move is not None:
                self.on_move(value)
            status, answer = self._move(value)
            return self._send_json(connection, writer, status, answer)
        await super()._answer(connection, writer, request, body)

    def _send_json(self, connection, writer, status, value):
        data = json.dumps(value).encode()
        self._send(connection, writer, status, [], data)

    def _report(self):
        if self.leaves_at is None:
            return {"state": "ready"}
        left = self.leaves_at - asyncio.get_running_loop().time()
        return {"state": "draining", "leaves_ms": max(0, int(left * 1000))}

    def _move(self, value):
        """Copy a run to another engine; return status and answer."""
        name = value["id"]
        span = next((one for one in self._open if one.id == name), None)
        if span is None:
            return 404, {}
        tokens = self._open[span]
        if value["last"]:
            self._stop(span)
        target = self._engines.get(value["target_version"])
        handle = HANDLE_PREFIX + name
        if target is None or not target.receive_piece(
            name, tokens, self.address
        ):
            return 503, {"handle": handle} if value["last"] else {}
        return 200, {"handle": handle, "made": 0}

    def _stop(self, span):
        """Stop a run, close its stream and keep its memory."""
        tokens = self._open[span]
        self._end(span)
        now = asyncio.get_running_loop().time()
        kept = Copy(tokens, now + HANDLE_SECONDS, self.address)
        self.copies[span.id] = kept
        self._streams.pop(span).transport.abort()

    def _free(self, handle):
        """Free a copy, and what this engine moved elsewhere by it."""
        self.freed.append(handle)
        name = handle.removeprefix(HANDLE_PREFIX)
        self.copies.pop(name, None)
        for engine in self._engines.values():
            copy = engine.copies.get(name)
            if copy is not None and copy.source == self.address:
                del engine.copies[name]

    async def _do_ok(self, connection, writer, names, body):
        source = names.get(DIALECT.resume_from)
        if source is not None and not self._use_copy(source):
            return await self._do_full(connection, writer, names, body)
        await self._execute(connection, writer, names, source is not None)

    def _use_copy(self, source):
        """Use up the copy that a header names; return whether it is there."""
        self._expire()
        address, _, handle = source.partition("/")
        name = handle.removeprefix(HANDLE_PREFIX)
        copy = self.copies.get(name)
        if copy is None or copy.source != address:
            return False
        del self.copies[name]
        return True

    async def _execute(self, connection, writer, names, resumed):
        now = asyncio.get_running_loop().time()
        span = RunSpan(names[ID_HEADER], self.name, now, resumed)
        self.spans.append(span)
        prompt = int(names[DIALECT.tokens].partition(",")[0])
        self._open[span] = prompt
        self._streams[span] = writer
        backup = names.get(DIALECT.backup_to)
        copying = backup and asyncio.ensure_future(self._copy(span, backup))
        self._note_run(connection, names)
        try:
            await self._stream(connection, writer, names, self.events)
            if backup in self._engines:
                self._engines[backup].copies.pop(span.id, None)
        finally:
            self._end(span)
            self._streams.pop(span, None)
            if copying:
                copying.cancel()

    def _end(self, span):
        if self._open.pop(span, None) is not None:
            span.ends_at = asyncio.get_running_loop().time()

    async def _rest(self, connection, writer):
        await super()._rest(connection, writer)
        if writer.is_closing():
            raise ConnectionResetError
