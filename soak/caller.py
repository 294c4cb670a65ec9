"""Callers: kept connections, whole answers, retries as the platform says."""

import asyncio
import random
import time
import zlib

import h11

from rowanport.standins.upstream import ID_HEADER
from rowanport.standins.upstream import STAMP_HEADER

from .history import Probe
from .history import Request
from .shapes import Ask
from .shapes import USUAL
from .upstream import body_of
from .upstream import last_event

HOST = "feed.example"
CONNECT_TIMEOUT = 1.0
READ_SIZE = 65536
NOT_RUN = (408, 421, 429, 503)
MOST_TRIES = 3
# Part of the time left up to which a caller comes back as it is told.
RETRY_SHARE = 1 / 3
# Share of requests that their callers leave in the middle.
LEAVING_SHARE = 0.02


class _Channel:
    """A caller's connection to a router."""

    def __init__(self, router, reader, writer):
        self.router = router
        self.life = router.life
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(h11.CLIENT)

    @property
    def usable(self):
        return not self.reader.at_eof() and not self.writer.is_closing()

    async def event(self):
        """Return the next event of the answer."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.state.receive_data(await self.reader.read(READ_SIZE))

    def close(self):
        self.writer.transport.abort()


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
        self._keeps = self._random.random() < 0.7
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
        asks = self._shape.asks
        ask = self._random.choices(list(asks), list(asks.values()))[0]
        patience = self._random.choice(self._shape.patience)
        until = time.monotonic() + patience
        for _try in range(MOST_TRIES):
            request, retry_after = await self._attempt(ask, until)
            left = until - time.monotonic()
            if not self._comes_back(ask, request, retry_after, left):
                return
            self._drop()
            await asyncio.sleep(retry_after)

    def _comes_back(self, ask, request, retry_after, left):
        if left <= 0.2 or request.outcome == "left":
            return False
        if request.status in NOT_RUN:
            return retry_after <= left * RETRY_SHARE
        if request.outcome == "unsent":
            return True
        failed = request.outcome == "cut" or request.status >= 500
        return failed and ask.repeatable and not ask.streamed

    def _request(self, ask, until):
        self._count += 1
        id_ = f"{self._name}-{self._count}"
        request = Request(id_, ask.path + id_, repeatable=ask.repeatable)
        if ask.keyed:
            request.organisation = self._organisation
        if ask.streamed:
            request.prompt = self._random.choice(self._shape.prompts)
            request.most = self._random.choice(self._shape.mosts)
        request.until = min(until, time.monotonic() + ask.timeout)
        return request

    async def _attempt(self, ask, until):
        """Send one request; return it and the time to come back."""
        request = self._request(ask, until)
        self._history.requests[request.id] = request
        channel = await self._connect()
        if channel is None:
            request.outcome = "unsent"
            request.ended_at = request.sent_at = time.monotonic()
            return request, 0.1
        request.router = channel.router.name
        request.life = channel.life
        retry_after = 0.1
        request.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(max(0.05, until - time.monotonic())):
                retry_after = await self._exchange(channel, ask, request)
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
        return request, retry_after

    def _note_broken(self, channel, request, error):
        request.outcome = "cut"
        garbled = isinstance(error, h11.RemoteProtocolError)
        if garbled and not channel.reader.at_eof():
            request.wrong = f"bytes that are no answer: {error}"

    # One exchange

    async def _connect(self):
        if self._channel is not None:
            if self._channel.usable:
                return self._channel
            self._drop()
        router = self._choose(self._random)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*router.callers)
        except (OSError, asyncio.TimeoutError):
            return None
        self._channel = _Channel(router, reader, writer)
        return self._channel

    def _drop(self):
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _exchange(self, channel, ask, request):
        body = b"" if ask.streamed else f"ask {request.id}".encode()
        data = channel.state.send(self._head(request, body))
        if body:
            data += channel.state.send(h11.Data(data=body))
        data += channel.state.send(h11.EndOfMessage())
        channel.writer.write(data)
        await channel.writer.drain()
        request.sent_at = time.monotonic()
        head = await channel.event()
        if not isinstance(head, h11.Response):
            request.outcome = "cut"
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
            if channel.state.trailing_data[0]:
                request.wrong = "more bytes behind the answer"
            self._keep(channel, headers)
        elif ask.streamed and request.status == 200:
            self._compare_events(request, answer, None)
        return float(headers.get("retry-after", 0.1))

    def _head(self, request, body):
        left = max(1, int(1000 * (request.until - time.monotonic())))
        headers = [
            ("host", HOST),
            ("content-length", str(len(body))),
            (ID_HEADER, request.id),
            ("x-rowanport-deadline-ms", str(left)),
        ]
        if request.organisation:
            headers.append(("api-key", self._key))
        if request.most:
            tokens = f"{request.prompt},{request.most}"
            own = zlib.crc32(self._name.encode())
            parts = f"aa:{request.prompt - 10},{own:x}:10"
            headers += [
                ("x-rowanport-token-count", tokens),
                ("x-rowanport-prompt-prefix", parts),
                ("x-rowanport-model", "m"),
            ]
        return h11.Request(method="POST", target=request.path, headers=headers)

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
                    request.outcome = "cut"
                    return body
                body += bytes(event.data)
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
            last = last_event(request.id, request.most)
            self._compare_events(request, answer, last)
        elif answer != body_of(request.id, body):
            request.wrong = f"another body: {answer[:60]!r}"

    def _compare_events(self, request, answer, last):
        """Check that events are the request's own and in order.

        :param last: number of the last event if the answer is whole
        """
        events = [e for e in answer.split(b"\n\n") if e]
        if last is None:
            # A broken answer may end within an event.
            events = answer.split(b"\n\n")[:-1]
        for number, event in enumerate(events, 1):
            if event != f"id: {number}\ndata: {request.id}".encode():
                request.wrong = f"event {number} is {event[:60]!r}"
                return
        if last is not None and len(events) != last:
            request.wrong = f"{len(events)} events of {last} look whole"


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
