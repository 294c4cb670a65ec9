"""Callers: kept connections, whole answers, retries as the platform says."""

import asyncio
import math
import random
import re
import time
import zlib

import h11

from rowanport.standins.upstream import ID_HEADER
from rowanport.standins.upstream import STAMP_HEADER

from .channel import Ahead
from .channel import connect
from .channel import EARLY
from .channel import encode
from .channel import HALF
from .channel import PIPELINED
from .events import is_event
from .events import style_of
from .history import Probe
from .history import Request
from .shapes import Ask
from .shapes import USUAL
from .upstream import body_of
from .upstream import last_event
from .upstream import PREFIX_HEADER
from .upstream import RESUMES_HEADER

HOST = "feed.example"
NOT_RUN = (408, 421, 429, 503)
MOST_TRIES = 3
# Part of the time left up to which a caller comes back as it is told.
RETRY_SHARE = 1 / 3
# Whether callers of a manner keep connections; others do as they like.
KEEPS = {HALF: False, PIPELINED: True, EARLY: True}
# Seconds before its turn at which a router may have read a request that was
# sent ahead: its time limit runs from then on.
READ_AHEAD = 0.1
# Share of requests that their callers leave in the middle.
LEAVING_SHARE = 0.02


class Caller:
    """One caller, which asks again and again.

    :param history: the History to write to
    :param choose: function that returns the router for a new connection
    :param organisation: whose key it carries
    :param key: that key
    :param pause: mean seconds between two requests
    :param shape: the Shape of its requests
    """

    def __init__(
        self, history, choose, name, organisation, key, pause, shape, seed
    ):
        self._history = history
        self._shape = shape
        self._choose = choose
        self._name = name
        self._organisation = organisation
        self._key = key
        self._pause = pause
        self._random = random.Random(f"{seed} {name}")
        self._manner = _draw_manner(shape.manners, f"{seed} {name}")
        self._keeps = self._random.random() < 0.7
        self._keeps = KEEPS.get(self._manner, self._keeps)
        self._channel = None
        self._count = 0

    async def run(self):
        """Ask until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._random.expovariate(1 / self._pause))
                await self._ask()
        finally:
            self._drop()

    async def _ask(self):
        ask, patience = self._draw()
        until = time.monotonic() + patience
        request = None
        for _try in range(MOST_TRIES):
            request, retry_after = await self._attempt(ask, until, request)
            left = until - time.monotonic()
            if not self._comes_back(ask, request, retry_after, left):
                break
            self._drop()
            await asyncio.sleep(retry_after)
        await self._take_ahead()

    def _draw(self):
        """Return a kind of request, and how many seconds it may take."""
        asks = self._shape.asks
        ask = self._random.choices(list(asks), list(asks.values()))[0]
        return ask, self._random.choice(self._shape.patience)

    def _comes_back(self, ask, request, retry_after, left):
        if left <= 0.2:
            return False
        if self._shape.takes_up and ask.resumable and not request.status:
            return True
        if self._shape.takes_up and ask.resumable and request.status == 200:
            return request.outcome in ("cut", "left")
        if request.outcome == "left":
            return False
        if request.status in NOT_RUN:
            return retry_after <= left * RETRY_SHARE
        if request.outcome == "unsent":
            return True
        failed = request.outcome == "cut" or request.status >= 500
        return failed and ask.repeatable and not ask.streamed

    def _request(self, ask, until, before=None):
        self._count += 1
        id_ = f"{self._name}-{self._count}"
        own = self._name if ask.alike else id_
        request = Request(id_, ask.path + own, repeatable=ask.repeatable)
        if ask.keyed:
            request.organisation = self._organisation
        if ask.streamed:
            request.prompt = self._random.choice(self._shape.prompts)
            request.most = self._random.choice(self._shape.mosts)
        if before is not None:
            self._follow(request, before)
        request.until = min(until, time.monotonic() + ask.timeout)
        self._history.requests[request.id] = request
        return request

    def _follow(self, request, before):
        """Make a request the next try after another one."""
        request.first = False
        request.prompt, request.most = before.prompt, before.most
        if self._shape.takes_up and before.events:
            request.resumes = before.stream
            request.after = request.events = before.events

    async def _attempt(self, ask, until, before=None):
        """Send one request; return it and the time to come back.

        :param before: the Request of the try before, or None
        """
        request = self._request(ask, until, before)
        channel = await self._connect()
        if channel is None:
            request.outcome = "unsent"
            request.ended_at = request.sent_at = time.monotonic()
            return request, 0.1
        if self._manner in (PIPELINED, EARLY) and channel.ahead is None:
            channel.ahead = self._next_ahead(channel)
        return request, await self._conduct(channel, ask, request, until)

    async def _conduct(self, channel, ask, request, until, written=False):
        """Exchange one request; return the time to come back.

        :param written: whether it was sent before its turn
        """
        channel.take(request)
        retry_after = 0.1
        try:
            async with asyncio.timeout(max(0.05, until - time.monotonic())):
                retry_after = await self._exchange(
                    channel, ask, request, written
                )
        except (OSError, h11.ProtocolError) as error:
            self._note_broken(channel, request, error)
        except (asyncio.TimeoutError, asyncio.CancelledError) as error:
            request.outcome = "left"
            self._drop()
            if isinstance(error, asyncio.CancelledError):
                raise
        finally:
            request.ended_at = time.monotonic()
        if request.outcome != "whole" or not self._keeps:
            self._drop()
        return retry_after

    def _next_ahead(self, channel):
        """Return the Ahead of a channel's next request."""
        ask, patience = self._draw()
        request = self._request(ask, time.monotonic() + patience)
        channel.take(request)
        body = self._body(ask, request, ahead=True)
        scratch = h11.Connection(h11.CLIENT)
        data = encode(scratch, self._head(request, body), body)
        return Ahead(ask, request, data, patience)

    async def _take_ahead(self):
        """Wait for the answer to what was sent before its turn."""
        channel = self._channel
        if channel is None or channel.ahead is None:
            return
        ahead, channel.ahead = channel.ahead, None
        now = time.monotonic()
        request = ahead.request
        request.until = now + min(ahead.patience, ahead.ask.timeout)
        if ahead.written:
            request.until -= READ_AHEAD
        until = now + ahead.patience
        await self._conduct(channel, ahead.ask, request, until, ahead.written)

    def _note_broken(self, channel, request, error):
        self._note_cut(request)
        garbled = isinstance(error, h11.RemoteProtocolError)
        if garbled and not channel.reader.at_eof():
            request.wrong = f"bytes that are no answer: {error}"

    def _note_cut(self, request):
        # The rules don't say what becomes of a caller that closes half.
        request.outcome = "half" if self._manner == HALF else "cut"

    # One exchange

    async def _connect(self):
        if self._channel is not None:
            if self._channel.usable:
                return self._channel
            self._drop()
        router = self._choose(self._random)
        self._channel = await connect(router, self._manner)
        return self._channel

    def _drop(self):
        if self._channel is None:
            return
        ahead = self._channel.ahead
        if ahead is not None:
            ahead.request.outcome = "left"
            ahead.request.ended_at = time.monotonic()
        self._channel.close()
        self._channel = None

    def _body(self, ask, request, ahead):
        if ask.streamed:
            return b""
        # What is sent ahead is small: a router that closes behind the answer
        # before it would reset the connection, answer and all.
        if ask.alike:
            return b""
        sizes = (0,) if ahead else self._shape.bodies
        size = random.Random(request.id).choice(sizes)
        return f"ask {request.id}".encode().ljust(size)

    async def _exchange(self, channel, ask, request, written):
        body = self._body(ask, request, written)
        data = encode(channel.state, self._head(request, body), body)
        if not written:
            await channel.write(data)
        request.sent_at = time.monotonic()
        head = await channel.event()
        if not isinstance(head, h11.Response):
            self._note_cut(request)
            return 0.1
        headers = {n.decode(): v.decode() for n, v in head.headers}
        request.status = head.status_code
        request.signed = STAMP_HEADER in headers
        if headers.get(ID_HEADER, request.id) != request.id:
            request.wrong = f"an answer to {headers[ID_HEADER]}"
        leaves = self._random.random() < LEAVING_SHARE
        answer = await self._read(channel, ask, request, leaves)
        if request.outcome == "whole":
            self._compare(ask, request, headers, answer, body)
            if channel.state.trailing_data[0] and not channel.ahead:
                request.wrong = "more bytes behind the answer"
                request.short = False
            self._keep(channel, headers)
        elif ask.streamed and request.status == 200:
            self._compare_events(request, answer, None)
        return float(headers.get("retry-after", 0.1))

    def _head(self, request, body):
        # Rounded up: a router that ends it a little earlier has cut it.
        left = math.ceil(1000 * (request.until - time.monotonic()))
        headers = [
            ("host", HOST),
            ("content-length", str(len(body))),
            (ID_HEADER, request.id),
            ("x-rowanport-deadline-ms", str(max(1, left))),
        ]
        if request.organisation:
            headers.append(("api-key", self._key))
        if request.resumes:
            headers.append(("last-event-id", str(request.after)))
            headers.append((RESUMES_HEADER, request.resumes))
        if request.most:
            tokens = f"{request.prompt},{request.most}"
            headers += [
                ("x-rowanport-token-count", tokens),
                (PREFIX_HEADER, self._parts(request)),
                ("x-rowanport-model", "m"),
            ]
        return h11.Request(method="POST", target=request.path, headers=headers)

    def _parts(self, request):
        """Return the parts of a request's prompt, the first one shared."""
        own = zlib.crc32(self._name.encode())
        return f"aa:{request.prompt - 10},{own:x}:10"

    async def _read(self, channel, ask, request, leaves):
        """Return the body as far as it came; set the outcome."""
        body = b""
        try:
            while True:
                async with asyncio.timeout(ask.gap):
                    event = await channel.event()
                if isinstance(event, h11.EndOfMessage):
                    request.outcome = "whole"
                    return body
                if not isinstance(event, h11.Data):
                    self._note_cut(request)
                    return body
                body += bytes(event.data)
                if self._manner == EARLY and _ends(ask, request, body):
                    channel.write_ahead()
                if leaves:
                    request.outcome = "left"
                    return body
        except asyncio.TimeoutError:
            request.outcome = "left"
        except (OSError, h11.RemoteProtocolError) as error:
            self._note_broken(channel, request, error)
        return body

    def _keep(self, channel, headers):
        if headers.get("connection", "").lower() == "close" or (
            channel.state.our_state is not h11.DONE
            or channel.state.their_state is not h11.DONE
        ):
            self._drop()
            return
        channel.state.start_next_cycle()

    # What was answered

    def _compare(self, ask, request, headers, answer, body):
        if request.status != 200:
            if request.status < 300:
                request.wrong = f"status {request.status}"
            return
        if not request.signed:
            request.wrong = "a success without a signature"
        elif ask.streamed:
            last = last_event(request.stream, request.most)
            self._compare_events(request, answer, last)
        elif answer != body_of(request.id, body):
            request.short = not request.wrong and (
                body_of(request.id, body).startswith(answer)
            )
            request.wrong = f"another body: {answer[:60]!r}"

    def _compare_events(self, request, answer, last):
        """Check that events are the request's own and in order.

        :param last: number of the last event if the answer is whole
        """
        style = style_of(request.id)
        events, rest = style.split(answer)
        versions = set()
        for number, event in enumerate(events, request.after + 1):
            version = _version_of(event)
            named = (
                version.isdecimal() if self._shape.takes_up else not version
            )
            data = f"{request.id} v{version}" if version else request.id
            if not (named and is_event(event, number, data, style)):
                request.wrong = f"event {number} is {event[:60]!r}"
                return
            versions.add(version)
            request.events = number
        request.versions = frozenset(versions)
        # A broken answer may end within an event.
        if last is None or (request.events == last and not rest):
            return
        begun = style.write(request.events + 1, request.id)
        begins = request.events < last and begun.startswith(rest)
        request.short = begins and not request.wrong
        request.wrong = f"{request.events} events of {last} look whole"
        if rest:
            request.wrong += f", with {rest[:60]!r} behind them"


def _draw_manner(manners, name):
    """Return the manner of a caller."""
    draw = random.Random(f"manner {name}")
    return draw.choices(list(manners), list(manners.values()))[0]


def _version_of(event):
    """Return the version that an event names, "" for none."""
    found = re.search(rb" v([0-9]+)(?:\r?\n|$)", event)
    return found[1].decode() if found else ""


def _ends(ask, request, body):
    """Return whether an answer is about to end."""
    if not ask.streamed:
        return True
    last = last_event(request.stream, request.most)
    return any(f"id: {last}{end}".encode() in body for end in ("\n", "\r\n"))


class Prober(Caller):
    """Asks one router again and again which configuration it goes by.

    :param versions: function that returns the versions taken so far
    """

    def __init__(self, history, router, versions, pause, seed):
        name = f"probe-{router.name}"
        super().__init__(
            history, lambda _r: router, name, "", "", pause, USUAL, seed
        )
        self._versions = versions

    async def _ask(self):
        versions = self._versions()
        if not versions:
            return
        version = versions[-1]
        if self._random.random() < 0.3:
            version = self._random.choice(versions)
        ask = Ask(f"/since-{version}/", True, False, False, 2.0)
        request, _retry = await self._attempt(ask, time.monotonic() + 2.0)
        if request.outcome == "whole" and request.status in (200, 404):
            self._history.probes.append(
                Probe(
                    request.router,
                    request.life,
                    version,
                    request.sent_at,
                    request.ended_at,
                    request.status == 200,
                )
            )
