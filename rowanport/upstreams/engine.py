"""Calls of model engines: OpenAI-compatible chat completions over SSE."""

import json

from ..errors import UpstreamError
from ..web.patience import NO_PATIENCE

REQUEST_HEADER = "x-request-id"
BUDGET_HEADER = "x-budget"
LEAVING_HEADER = "x-leaving"
SHORT_TIMEOUT = 2.0
DONE = b"[DONE]"


class Usage:
    """What a run consumed, in tokens.

    :ivar run: run id as the engine names it
    :ivar finish: why it ended, or None while it runs
    """

    __slots__ = ("run", "prompt", "completion", "finish")

    def __init__(self, run, prompt, completion, finish):
        self.run = run
        self.prompt = prompt
        self.completion = completion
        self.finish = finish

    @property
    def tokens(self):
        return self.prompt + self.completion


class Chunk:
    """One event of an answer, as parsed JSON."""

    __slots__ = ("value",)

    def __init__(self, value):
        self.value = value

    @property
    def text(self):
        choices = self.value.get("choices") or [{}]
        return choices[0].get("delta", {}).get("content")

    @property
    def finish(self):
        choices = self.value.get("choices") or [{}]
        return choices[0].get("finish_reason")

    @property
    def usage(self):
        return self.value.get("usage")

    @property
    def created(self):
        created = self.value.get("created", 0)
        if isinstance(created, bool) or not isinstance(created, int):
            raise UpstreamError("the answer's time of creation is malformed")
        return created


class EngineStream:
    """An answer as it arrives, checked to be that of its own request.

    :ivar run: run id as the engine names it, empty before the first event
    :ivar created: when the engine took the run, in Unix seconds; the same
        for each stream of one run, so that a second try gets equal answers
    :ivar usage: the Usage, None before the last event
    :ivar leaving: whether the engine said that it leaves
    """

    def __init__(self, answer, request, address):
        self._answer = answer
        self._request = request
        self._address = address
        self.run = ""
        self.created = 0
        self.usage = None
        self.leaving = LEAVING_HEADER in answer.headers

    async def chunks(self):
        """Yield the Chunks; the last one carries the usage.

        :raises UpstreamError: the answer is cut short or another's
        """
        ended = False
        async for data in _events(self._answer.pieces()):
            if data == DONE:
                ended = True
                continue
            yield self._read(data)
        if not ended or self.usage is None:
            raise UpstreamError("the answer was cut short")

    def _read(self, data):
        try:
            chunk = Chunk(json.loads(data))
        except ValueError:
            raise UpstreamError("the answer is not JSON") from None
        run = str(chunk.value.get("id", ""))
        if not run.startswith(self._request):
            raise UpstreamError("the answer is another request's")
        if self.run and run != self.run:
            raise UpstreamError("the answer changed its run")
        self.run = run
        self.created = chunk.created
        if chunk.usage:
            self.usage = _read_usage(run, chunk.usage, chunk.finish)
        return chunk

    def close(self):
        """Drop the connection."""
        self._answer.close()


class EngineClient:
    """Calls engines by address.

    :param client: an HttpClient
    :param timeout: longest silence within an answer in seconds
    """

    def __init__(self, client, timeout):
        self._client = client
        self._timeout = timeout

    async def complete(
        self, address, request, budget, body, stall_policy=NO_PATIENCE
    ):
        """Start a request and return its EngineStream.

        :param request: request id; an engine that knows it attaches the
            caller to the run it has
        :param stall_policy: the Patience asked when the answer stalls
        :raises UpstreamError: ``started`` says if it may have run
        """
        headers = [
            ("content-type", "application/json"),
            (REQUEST_HEADER, request),
            (BUDGET_HEADER, budget),
        ]
        answer = await self._client.request(
            address,
            "POST",
            "/v1/chat/completions",
            json.dumps(body).encode(),
            headers=headers,
            timeout=self._timeout,
            patience=stall_policy,
        )
        return await self._open(answer, address, request)

    async def resume(self, address, request):
        """Return the EngineStream of a run, from its start, or None."""
        answer = await self._client.request(
            address,
            "GET",
            f"/v1/requests/{request}/stream",
            timeout=self._timeout,
        )
        if answer.status == 404:
            await answer.read()
            return None
        return await self._open(answer, address, request)

    async def _open(self, answer, address, request):
        if answer.status != 200:
            await answer.read()
            # The protocol says that a 4xx or 503 started nothing.
            started = answer.status not in (400, 404, 422, 429, 503)
            raise UpstreamError(f"{address} answered {answer.status}", started)
        if answer.headers.get(REQUEST_HEADER) != request:
            answer.close()
            raise UpstreamError(f"{address} answered another request")
        return EngineStream(answer, request, address)

    async def usage(self, address, request, cancel=False):
        """Return the Usage of a run so far, or None if it is not known.

        :param cancel: whether to end the run first
        :raises UpstreamError: the engine did not say
        """
        action = "/cancel" if cancel else ""
        status, value = await self._client.request_json(
            address,
            "POST" if cancel else "GET",
            f"/v1/requests/{request}{action}",
            timeout=SHORT_TIMEOUT,
        )
        if status == 404:
            return None
        if status != 200:
            raise UpstreamError(f"{address} answered {status}")
        return _read_usage(value["id"], value["usage"], value["finish"])

    async def load(self, address):
        """Return how many requests wait at an engine, and if it leaves."""
        status, value = await self._client.request_json(
            address, "GET", "/load", timeout=SHORT_TIMEOUT
        )
        if status != 200:
            raise UpstreamError(f"{address} answered {status}")
        return int(value.get("waiting", 0)), bool(value.get("leaving"))


def _read_usage(run, usage, finish):
    try:
        return Usage(
            run,
            int(usage["prompt_tokens"]),
            int(usage["completion_tokens"]),
            finish,
        )
    except (KeyError, TypeError, ValueError):
        raise UpstreamError("the answer's usage is malformed") from None


async def _events(pieces):
    """Yield the data of each server-sent event."""
    rest = b""
    async for piece in pieces:
        rest += piece
        *events, rest = rest.split(b"\n\n")
        for event in events:
            if event.startswith(b"data: "):
                yield event[6:]
