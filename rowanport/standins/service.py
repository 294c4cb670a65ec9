"""Stand-in of a plain service that counts its calls by request key."""

import asyncio
import collections

from ..web import HttpServer
from .faults import Faults

KEY_HEADER = "idempotency-key"
REQUEST_HEADER = "x-request-id"


class ServiceStandin:
    """Answers any path; ``/counts`` tells how often each key was called.

    :param delay: seconds that a call takes
    """

    def __init__(self, delay=0.005):
        self._delay = delay
        self._calls = collections.Counter()
        self._faults = Faults()
        self._server = HttpServer(self._handle)

    async def start(self, address, port):
        """Listen on an address."""
        await self._server.start(address, port)

    async def close(self):
        """Stop at once."""
        await self._server.close()

    async def _handle(self, request, responder):
        if request.path == "/faults":
            self._faults.set(request.json())
            return await responder.reply_json(200, {})
        if request.path == "/counts":
            return await responder.reply_json(200, self._calls)
        await self._faults.before()
        if self._faults.backoff:
            head = [("retry-after", self._faults.backoff)]
            return await responder.reply_json(503, {}, head)
        key = request.header(KEY_HEADER)
        self._calls[key] += 1
        await asyncio.sleep(self._delay)
        await self._faults.after()
        answer = {"path": request.path, "key": key}
        headers = [(REQUEST_HEADER, request.header(REQUEST_HEADER))]
        return await responder.reply_json(200, answer, headers)
