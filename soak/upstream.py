"""An upstream that keeps a record of what it ran."""

import asyncio
import random
import time

import h11

from rowanport.standins.upstream import ID_HEADER
from rowanport.standins.upstream import is_health_check
from rowanport.standins.upstream import UpstreamStandin

from .events import draw_garbage
from .events import style_of
from .history import Arrival
from .history import Cold
from .history import Limit
from .history import Rest
from .history import Run
from .plan import REST_TEXTS

RESUMES_HEADER = "resumes"
# Tokens that one event holds, the last one fewer.
STRIDE = 3
# Shares of requests that a faulty upstream doesn't answer well.
BEHAVIOURS = {
    "break": 0.06,
    "tear": 0.04,
    "garbage": 0.05,
    "reset": 0.02,
    "error": 0.02,
    "full": 0.04,
    "stray": 0.02,
    "surplus": 0.02,
    "short": 0.01,
    "unsigned": 0.01,
}
# Behaviours by which the upstream itself breaks its answer off.
BREAKING = ("reset", "short", "unsigned", "stray")
# The same, after some events of a stream.
STREAM_ONLY = ("break", "tear", "garbage")
# What becomes of a stream behind bytes that are none of its events.
BEHIND_GARBAGE = ("rest", "end", "reset")
# Share of requests whose answers come without a length and in no chunks, and
# behaviours that give such answers.
UNFRAMED_SHARE = 0.3
UNFRAMED = ("ok", *STREAM_ONLY)
# Share of requests that an upstream turns away while it is told to refuse.
REFUSED_SHARE = 0.85
# Part of the paths of requests that crash what runs them.
LETHAL = "lethal"
# What the ids of parts of prompts begin with that crash what answers on them.
BAD_PART = "badpart"
PREFIX_HEADER = "x-rowanport-prompt-prefix"
# Seconds for which an upstream is cold, and requests a second that it says it
# bears meanwhile.
COLD_SECONDS = 3.0
COLD_RATE = 2.0
# Seconds between two looks whether a silent upstream goes on.
STALL_POLL = 0.02


def _streamed(names):
    return "x-rowanport-token-count" in names


def _has_begun(run):
    """Return whether events of a stream were handed out."""
    return isinstance(run, Run) and bool(run.tokens)


def tokens_out(request_id, most):
    """Return how many tokens the answer to a request has, 1 to the most."""
    return random.Random(request_id).randint(1, max(1, most))


def last_event(request_id, most):
    """Return the number of the last event of a request's stream."""
    return -(-tokens_out(request_id, most) // STRIDE)


def body_of(request_id, body):
    """Return the body of a plain answer."""
    return b"body of " + request_id.encode() + b" " + body


def is_unframed(request_id):
    """Return whether a request's answer has no length and no chunks."""
    return random.Random(f"end {request_id}").random() < UNFRAMED_SHARE


class RecordingUpstream(UpstreamStandin):
    """Runs requests within its slots, with random faults of its own.

    :param history: the History to write to
    :param faulty: whether it has faults of its own
    :ivar listed: its state in the store, "" if it isn't there
    :ivar refuses_until: until when it turns most requests away as full
    :ivar rests_until: until when it turns all requests away and asks for rest
    :ivar data_centre: where it stands
    :ivar source_at: function from the two ports of a connection to the name of
        the router from which it comes
    """

    def __init__(self, name, history, seed, faulty, slots=8):
        super().__init__(name)
        self.slots = slots
        self.active = 0
        self.leaving = False
        self.listed = ""
        self.refuses_until = 0.0
        self.rests_until = 0.0
        self._history = history
        self._faulty = faulty
        self._random = random.Random(f"{seed} {name}")
        self._runs = {}
        self._readers = {}
        self._stalls = []
        self._named = None
        self.source_at = lambda _port, _destination: ""
        self.data_centre = "hall-a"
        self._cold = None

    def entry(self, service="feed", state="ready"):
        """Return its entry in the directory."""
        left = self._cold.until - time.monotonic() if self._cold else 0.0
        return {
            **super().entry(service, state),
            "slots": self.slots,
            "zone": self.data_centre,
            "cold_left_ms": max(0, int(1000 * left)),
        }

    def crash(self):
        """Close all connections in order, as a killed process's kernel does.

        Half an answer without a length ends like a whole one.
        """
        self._history.upstream_ends.setdefault(self.name, time.monotonic())
        super().crash()

    def turn_cold(self):
        """Be cold from now on, for some seconds."""
        now = time.monotonic()
        self._cold = Cold(self.name, now, now + COLD_SECONDS)
        self._history.colds.append(self._cold)

    def _is_overrun(self):
        """Return whether it is cold and got too many requests in a second."""
        now = time.monotonic()
        if self._cold is None or now > self._cold.until:
            return False
        since = max(now - 1.0, self._cold.since)
        recent = 0
        for arrival in reversed(self._history.arrivals):
            if arrival.at < since:
                break
            recent += arrival.upstream == self.name
        return recent > self._history.bounds.cold_requests

    def stall(self, what):
        """Fall silent, as when its process is stopped or memory ran out.

        :param what: "all", "streams" that run, or the "newest" half of these
        :return: what resume takes
        """
        streams = [c for c, run in self._runs.items() if _has_begun(run)]
        if what == "newest":
            streams = streams[len(streams) // 2 :]
        stall = (what, streams)
        self._stalls.append(stall)
        return stall

    def resume(self, stall):
        """Go on where it fell silent."""
        self._stalls.remove(stall)

    def _stalled(self, connection):
        return any(
            what == "all" or connection in streams
            for what, streams in self._stalls
        )

    async def _wait_stalled(self, connection, writer):
        """Wait while it is silent; end when the router has closed."""
        while not self._readers[writer].at_eof():
            if not self._stalled(connection):
                return
            await asyncio.sleep(STALL_POLL)
        raise ConnectionResetError

    async def _rest(self, connection, writer):
        await super()._rest(connection, writer)
        await self._wait_stalled(connection, writer)

    async def _serve(self, reader, writer):
        self._readers[writer] = reader
        try:
            await super()._serve(reader, writer)
        finally:
            del self._readers[writer]

    async def _answer(self, connection, writer, request, body):
        await self._wait_stalled(connection, writer)
        peer = writer.get_extra_info("peername")
        own = writer.get_extra_info("sockname")
        sender = self.source_at(peer[1], own[1]) if peer and own else ""
        if is_health_check(request):
            question = Arrival(self.name, "", time.monotonic(), sender)
            self._history.questions.append(question)
            full = self.active >= self.slots
            status = 503 if full or self.leaving else 200
            self._answer_health(connection, writer, status)
            return
        names = {n.decode(): v.decode() for n, v in request.headers}
        expected = names.get("x-rowanport-expect-instance", self.name)
        if expected != self.name:
            await self._do_misdirect(connection, writer, names, body)
            return
        request_id = names.get(ID_HEADER, "")
        arrival = Arrival(self.name, request_id, time.monotonic(), sender)
        self._history.arrivals.append(arrival)
        if self._is_overrun():
            self.crash()
            return
        self._ask_for_rest(sender, request_id)
        full = self.active >= self.slots or self._refuses()
        if full or self.backoff_text is not None:
            await self._do_full(connection, writer, names, body)
            return
        self.active += 1
        names["path"] = request.target.decode()
        names["sender"] = sender
        self._runs[connection] = names
        try:
            await asyncio.sleep(self._random.uniform(0, 0.02))
            behaviour = self._next_behaviour(names)
            names["behaviour"] = behaviour
            if behaviour in UNFRAMED and is_unframed(request_id):
                # h11 leaves out both a length and chunks only for HTTP/1.0.
                connection.their_http_version = b"1.0"
                names["unframed"] = True
            method = getattr(self, f"_do_{behaviour}")
            await method(connection, writer, names, body)
            self._note_broken(connection, behaviour)
            await writer.drain()
            self._note_whole(connection, writer, behaviour)
        finally:
            self.active -= 1
            self._end(self._runs.pop(connection))

    def _ask_for_rest(self, sender, request_id):
        """Draw the rest that a refusal asks for, if requests are refused."""
        now = time.monotonic()
        self.backoff_text = None
        if now < self.rests_until:
            self.backoff_text = self._random.choice(REST_TEXTS)
            until = now + float(self.backoff_text)
            rest = Rest(self.name, sender, now, until, request_id)
            self._history.rests.append(rest)

    def _refuses(self):
        if time.monotonic() >= self.refuses_until:
            return False
        return self._random.random() < REFUSED_SHARE

    def _note_broken(self, connection, behaviour):
        run = self._runs[connection]
        if behaviour in STREAM_ONLY and isinstance(run, Run):
            run.broke_off = True

    def _note_whole(self, connection, writer, behaviour):
        run = self._runs[connection]
        closed = writer.is_closing() or self._readers[writer].at_eof()
        if behaviour == "ok" and isinstance(run, Run) and not closed:
            run.sent_whole = True

    def _end(self, run):
        if isinstance(run, Run):
            run.ended_at = time.monotonic()

    def name_limit(self, text, rate):
        """Name a rate limit in all answers; return its Limit.

        :param rate: what the text says, None if it says nothing
        """
        self.limit = text
        self._named = Limit(self.name, rate)
        if rate is not None:
            self._history.limits.append(self._named)
        return self._named

    def end_limit(self, named):
        """Name a Limit no more, unless another one took its place."""
        named.ended = min(named.ended, time.monotonic())
        if self._named is named:
            self.limit = None

    def _head(self, names, **more):
        if self.limit is not None and self._named.named_at is None:
            self._named.named_at = time.monotonic()
        return super()._head(names, **more)

    def _next_behaviour(self, names):
        parts = names.get(PREFIX_HEADER, "").split(",")[:-1]
        if LETHAL in names["path"] or any(
            part.startswith(BAD_PART) for part in parts
        ):
            return "crash"
        if not self._faulty:
            return "ok"
        drawn = self._random.random()
        for behaviour, share in BEHAVIOURS.items():
            drawn -= share
            if drawn < 0 and behaviour in STREAM_ONLY and not _streamed(names):
                return "reset"
            if drawn < 0:
                return behaviour
        return "ok"

    def _note_run(self, connection, names):
        run = Run(
            names.get(ID_HEADER, ""),
            self.name,
            time.monotonic(),
            names["path"],
            names.get("x-rowanport-tenant", ""),
        )
        run.broke_off = names["behaviour"] in BREAKING
        run.crashed = names["behaviour"] == "crash"
        run.unframed = "unframed" in names
        run.sender = names["sender"]
        run.says_leaving = self.leaving_text is not None
        self._runs[connection] = run
        self._history.runs.append(run)

    def _note_event(self, connection, number):
        run = self._runs[connection]
        request = self._history.requests.get(run.request)
        most = request.most if request else 0
        stream = request.stream if request else run.request
        left = tokens_out(stream, most) - STRIDE * (number - 1)
        run.tokens[number] = max(0, min(STRIDE, left))

    def _event(self, names, number):
        data = f"{names[ID_HEADER]} {self.version}".rstrip()
        return style_of(names[ID_HEADER]).write(number, data)

    async def _do_garbage(self, connection, writer, names, body):
        """Send bytes that are no event behind some events of a stream."""
        self._note_run(connection, names)
        run = self._runs[connection]
        run.garbled = run.broke_off = True
        first = self._begin_stream(connection, writer, names)
        last = self._last_event(names)
        place = self._random.randint(min(first, last), last)
        before = range(first, place + 1)
        await self._send_events(connection, writer, names, before)
        data = draw_garbage(self._random, before[-1] if before else 0)
        writer.write(connection.send(h11.Data(data=data)))
        await writer.drain()
        behind = self._random.choice(BEHIND_GARBAGE)
        if behind == "reset":
            await asyncio.sleep(0.02)
            writer.transport.abort()
            return
        if behind == "rest":
            rest = range(max(first, place + 1), last + 1)
            await self._send_events(connection, writer, names, rest)
        writer.write(connection.send(h11.EndOfMessage()))

    async def _do_ok(self, connection, writer, names, body):
        if _streamed(names) or "unframed" not in names:
            await super()._do_ok(connection, writer, names, body)
            return
        self._note_run(connection, names)
        head = self._head(names)
        data = body_of(names[ID_HEADER], body)
        half = len(data) // 2
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        writer.write(connection.send(h11.Data(data=data[:half])))
        await writer.drain()
        await self._rest(connection, writer)
        writer.write(connection.send(h11.Data(data=data[half:])))
        writer.write(connection.send(h11.EndOfMessage()))

    def _last_event(self, names):
        _prompt, _, most = names["x-rowanport-token-count"].partition(",")
        stream = names.get(RESUMES_HEADER, names[ID_HEADER])
        return last_event(stream, int(most))
