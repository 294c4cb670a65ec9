"""Chat completions, by OpenAI's API towards both callers and engines."""

import json

from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError
from ..errors import UpstreamError
from .answers import answer_headers
from .answers import error_body
from .runner import Job
from .runner import refuse_duplicate
from .runner import Runner

PREFIX_BYTES = 256
TOKENS_PER_MESSAGE = 8
CANCELLED = "cancelled"
MAX_TOKENS_LIMIT = 1_000_000


class ChatRunner(Runner):
    """Runs chat completions on model engines.

    :param router: the Router
    :param engines: an EngineClient
    """

    def __init__(self, router, engines):
        super().__init__(router)
        self._engines = engines

    # Reading

    def make_job(self, call, request, arrived):
        """Return the Job of a chat completion.

        :param call: the Call
        :param request: the HttpRequest
        :param arrived: monotonic time of its arrival
        :raises RequestError: the request is malformed or refused by policy
        """
        body = request.json()
        chat = _read_chat(body)
        group = self._router.engine_group(str(body.get("model", "")))
        limit = _read_limit(body, group)
        text = json.dumps(chat).encode()
        size = sum(len(_content(message).encode()) for message in chat)
        prompt = TOKENS_PER_MESSAGE * len(chat) + int(
            size / group.bytes_per_token + 1
        )
        cost = prompt + limit
        facts = self._router.facts(call, group.name, cost, len(request.body))
        facts["stream"] = bool(body.get("stream"))
        facts["max_tokens"] = limit
        decision = self.decide(call, facts)
        if decision.group != group.name:
            self._router.engine_group(decision.group)
        body["max_tokens"] = limit
        body.pop("max_completion_tokens", None)
        prefix = text[:PREFIX_BYTES].decode("utf-8", "replace")
        key = f"{call.organisation.name}\0{prefix}"
        pauses = self._router.pauses.count()
        return Job(call, body, decision, cost, limit, key, arrived, pauses)

    # Running

    async def attempt(self, job, upstream, responder):
        body = {
            **job.body,
            "model": job.decision.group,
            "priority": job.decision.priority,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        stream = await self._engines.complete(
            upstream.address,
            job.call.request,
            job.call.budget,
            body,
            job.stall_policy,
        )
        if stream.leaving:
            self._router.announce_leaving(upstream.address)
        await self._relay(job, stream, responder)
        return stream.usage.tokens

    async def answer_duplicate(self, job, claimed, responder):
        try:
            stream = await self._engines.resume(
                claimed.upstream, job.call.request
            )
        except UpstreamError:
            stream = None
        if stream is None:
            refuse_duplicate(claimed)
        try:
            await self._relay(job, stream, responder)
        except UpstreamError:
            if job.sent:
                raise
            refuse_duplicate(claimed)

    async def end_run(self, job, address):
        usage = await self._engines.usage(
            address, job.call.request, cancel=True
        )
        if usage is None:
            # The engine does not know the request.  It consumed nothing,
            # unless part of its answer arrived: then the worst case is billed.
            return job.run, job.cost if job.run else 0
        return usage.run, usage.tokens

    async def _relay(self, job, stream, responder):
        """Forward an answer to the caller, streamed or in one piece."""
        try:
            if job.body.get("stream"):
                await self._relay_stream(job, stream, responder)
            else:
                await self._relay_whole(job, stream, responder)
        finally:
            stream.close()

    async def _relay_stream(self, job, stream, responder):
        options = job.body.get("stream_options") or {}
        wants_usage = bool(options.get("include_usage"))
        try:
            async for chunk in stream.chunks():
                self._process_chunk(job, stream, chunk)
                if not responder.started:
                    await self._start_stream(job, responder)
                await self._send_chunk(job, chunk, wants_usage, responder)
        except UpstreamError as error:
            if job.sent:
                await _send_stream_error(responder, error)
            raise
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def _start_stream(self, job, responder):
        headers = answer_headers(job.call, Outcome.DONE)
        headers.append(("content-type", "text/event-stream"))
        job.sent = True
        self._observe_first_token(job)
        await responder.start(200, headers)

    def _observe_first_token(self, job):
        seconds = self._router.clock.steady() - job.arrived
        self._router.metrics.first_token.observe({}, seconds)

    def _process_chunk(self, job, stream, chunk):
        job.run = stream.run
        if chunk.finish == CANCELLED:
            raise UpstreamError("the run was cancelled")

    async def _send_chunk(self, job, chunk, wants_usage, responder):
        value = chunk.value
        value["model"] = job.decision.group
        if not wants_usage:
            value.pop("usage", None)
        data = json.dumps(value).encode()
        await responder.write(b"data: " + data + b"\n\n")

    async def _relay_whole(self, job, stream, responder):
        words = []
        finish = None
        async for chunk in stream.chunks():
            self._process_chunk(job, stream, chunk)
            if chunk.text:
                words.append(chunk.text)
            finish = chunk.finish or finish
        value = _completion(job, stream, "".join(words), finish)
        self._observe_first_token(job)
        headers = answer_headers(job.call, Outcome.DONE)
        job.sent = True
        await responder.reply_json(200, value, headers)


async def _send_stream_error(responder, error):
    """Report an error within a stream that has begun.

    The end of the body is not sent, and the connection is closed, so that the
    caller does not take the stream for complete.
    """
    failure = RequestError(ErrorKind.UPSTREAM_FAILED, str(error))
    data = json.dumps(error_body(failure)).encode()
    await responder.write(b"data: " + data + b"\n\n")


def _read_chat(body):
    chat = body.get("messages") if isinstance(body, dict) else None
    if not isinstance(chat, list) or not chat:
        raise RequestError(
            ErrorKind.MALFORMED, "messages must be a list that is not empty"
        )
    if not all(isinstance(message, dict) for message in chat):
        raise RequestError(
            ErrorKind.MALFORMED, "each message must be an object"
        )
    if body.get("n", 1) != 1:
        raise RequestError(ErrorKind.MALFORMED, "n must be 1")
    return chat


def _content(message):
    content = message.get("content")
    return content if isinstance(content, str) else json.dumps(content)


def _read_limit(body, group):
    limit = body.get("max_completion_tokens")
    limit = body.get("max_tokens") if limit is None else limit
    if limit is None:
        return group.default_max_tokens
    if isinstance(limit, bool) or not isinstance(limit, int):
        raise RequestError(
            ErrorKind.MALFORMED, "max_tokens must be an integer"
        )
    if not 0 < limit <= MAX_TOKENS_LIMIT:
        raise RequestError(ErrorKind.MALFORMED, "max_tokens is out of range")
    return limit


def _completion(job, stream, text, finish):
    return {
        "id": stream.run,
        "object": "chat.completion",
        "created": stream.created,
        "model": job.decision.group,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }
        ],
        "usage": {
            "prompt_tokens": stream.usage.prompt,
            "completion_tokens": stream.usage.completion,
            "total_tokens": stream.usage.tokens,
        },
    }
