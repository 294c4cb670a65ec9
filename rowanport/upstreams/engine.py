"""Client of model engines: OpenAI-compatible chat completions over SSE."""

import json

from ..errors import BoundExceeded
from ..errors import ForeignBytes
from ..errors import UpstreamError
from ..event_streams import DataReader
from ..json_values import is_number
from ..json_values import load_json
from ..notices import REFUSAL_STATUSES
from ..web.patience import NO_PATIENCE
from .refusal import LEAVING_HEADER
from .refusal import read_refusal

REQUEST_HEADER = "x-request-id"
BUDGET_HEADER = "x-budget"
STATUS_TIMEOUT = 2.0
DONE = b"[DONE]"


class Usage:
    """The tokens that a run consumed.

    :ivar run: run id that the engine assigned
    :ivar prompt: prompt tokens
    :ivar completion: completion tokens
    :ivar finish: finish reason, or None while it runs
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
    """One event of an answer.

    :ivar value: the parsed JSON object
    """

    __slots__ = ("value",)

    def __init__(self, value):
        self.value = value

    @classmethod
    def parse(cls, data):
        """Return the Chunk in the data of an event.

        :raises UpstreamError: it is not what engines send
        """
        try:
            value = load_json(data)
        except ValueError:
            raise UpstreamError("an event of the answer is not JSON") from None
        if not _is_chunk(value):
            raise UpstreamError("an event of the answer is malformed")
        return cls(value)

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
            raise UpstreamError("malformed creation time in the answer")
        return created


class EngineStream:
    """A streamed answer, checked to belong to the request.

    :ivar run: run id that the engine assigned, empty before the first event
    :ivar created: when the engine accepted the run, in Unix seconds; the same
        in each stream of one run, so that a repeated request gets an equal
        answer
    :ivar usage: the Usage, None before the last event
    :ivar leaving: whether the engine announced that it is leaving
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

        :raises UpstreamError: the answer is truncated, malformed or belongs to
            another request or run
        """
        ended = False
        try:
            async for data in _events(self._answer.pieces()):
                if ended:
                    break
                ended = data == DONE
                if not ended:
                    yield self._read(data)
        except (BoundExceeded, ForeignBytes):
            # Bytes behind the end belong to no request.
            if not ended:
                raise
        if not ended or self.usage is None:
            raise UpstreamError("truncated answer")

    def _read(self, data):
        chunk = Chunk.parse(data)
        run = chunk.value.get("id", "")
        if not run.startswith(self._request):
            raise UpstreamError("the answer belongs to another request")
        if self.run and run != self.run:
            raise UpstreamError("the run id changed within the answer")
        self.run = run
        self.created = chunk.created
        if chunk.usage:
            self.usage = _read_usage(run, chunk.usage, chunk.finish)
        return chunk

    def close(self):
        """Close the connection, also within the answer."""
        self._answer.close()


class EngineClient:
    """Calls engines by address.

    :param client: an HttpClient
    :param timeout: idle timeout within an answer in seconds
    """

    def __init__(self, client, timeout):
        self._client = client
        self._timeout = timeout

    async def complete(
        self, address, request, budget, body, stall_policy=NO_PATIENCE
    ):
        """Start a request and return its EngineStream.

        :param request: request id; an engine that knows it answers with the
            existing run
        :param budget: budget id, sent along with the request
        :param body: the request body as a JSON object
        :param stall_policy: the Patience that decides whether to abandon a
            stalled answer
        :raises UpstreamRefused: the engine has no room for it
        :raises UpstreamError: the call failed; ``started`` says whether it may
            have run
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
        """Return the EngineStream of an existing run from its first event.

        :returns: None if the engine does not know the request
        """
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
            if answer.status in REFUSAL_STATUSES:
                raise read_refusal(address, answer)
            # By the protocol, a 4xx means that no run was started.
            started = answer.status not in (400, 404, 422)
            raise UpstreamError(f"{address} answered {answer.status}", started)
        if answer.headers.get(REQUEST_HEADER) != request:
            answer.close()
            raise UpstreamError(f"answer from {address} to another request")
        return EngineStream(answer, request, address)

    async def usage(self, address, request, cancel=False):
        """Return the current Usage of a run.

        :param cancel: whether to cancel the run first
        :returns: None if the engine does not know the request
        :raises UpstreamError: the engine failed to answer
        """
        action = "/cancel" if cancel else ""
        status, value = await self._client.request_json(
            address,
            "POST" if cancel else "GET",
            f"/v1/requests/{request}{action}",
            timeout=STATUS_TIMEOUT,
        )
        if status == 404:
            return None
        if status != 200:
            raise UpstreamError(f"{address} answered {status}")
        if not isinstance(value, dict):
            raise UpstreamError(f"{address} answered no object")
        run, finish = value.get("id"), value.get("finish")
        if not isinstance(run, str) or not run.startswith(request):
            raise UpstreamError(f"{address} names no run of the request")
        return _read_usage(run, value.get("usage"), finish)

    async def load(self, address):
        """Return an engine's queue length and whether it is leaving.

        :raises UpstreamError: the engine failed to answer
        """
        status, value = await self._client.request_json(
            address, "GET", "/load", timeout=STATUS_TIMEOUT
        )
        if status != 200:
            raise UpstreamError(f"{address} answered {status}")
        if not isinstance(value, dict):
            raise UpstreamError(f"{address} answered no object")
        waiting = value.get("waiting", 0)
        if not is_number(waiting) or waiting < 0:
            raise UpstreamError(f"{address} names no queue length")
        return int(waiting), bool(value.get("leaving"))


def _is_chunk(value):
    """Return whether a JSON value has the shape of an event of an answer."""
    if not isinstance(value, dict):
        return False
    choices = value.get("choices") or []
    usage = value.get("usage") or {}
    return (
        isinstance(value.get("id", ""), str)
        and isinstance(choices, list)
        and isinstance(usage, dict)
        and all(_is_choice(choice) for choice in choices)
    )


def _is_choice(choice):
    if not isinstance(choice, dict):
        return False
    delta = choice.get("delta", {})
    if not isinstance(delta, dict):
        return False
    texts = (delta.get("content"), choice.get("finish_reason"))
    return all(text is None or isinstance(text, str) for text in texts)


def _read_usage(run, usage, finish):
    """Return the Usage in an engine's answer.

    :raises UpstreamError: it holds no counts of tokens
    """
    try:
        counts = [usage["prompt_tokens"], usage["completion_tokens"]]
    except (KeyError, TypeError):
        raise UpstreamError("malformed usage in the answer") from None
    for count in counts:
        if isinstance(count, bool) or not isinstance(count, int) or count < 0:
            raise UpstreamError("malformed usage in the answer")
    return Usage(run, *counts, finish)


async def _events(pieces):
    """Yield the data of each server-sent event.

    :raises ForeignBytes: there are bytes that are none
    :raises BoundExceeded: an event goes on without end
    """
    reader = DataReader()
    async for piece in pieces:
        for data in reader.feed(piece):
            yield data
        if reader.fault is not None:
            raise reader.fault
