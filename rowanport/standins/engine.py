"""Stand-in of a model engine.

It batches continuously: each step gives a token to each running request.
Requests are admitted by priority, a bounded prefix cache shortens the
prompt's work, and a stream can be resumed or cancelled by request id.
"""

import asyncio
import collections
import itertools
import json
import time

from ..hashing import new_id
from ..tasks import TaskSet
from ..web import HttpServer
from ..web.server import HttpLimits
from .faults import Faults
from .upstream import LIMIT_HEADER

REQUEST_HEADER = "x-request-id"
BYTES_PER_TOKEN = 4
MESSAGE_TOKENS = 4
PREFIX_BYTES = 256
KEEP_FINISHED = 20000
# Seconds for which a crashed engine is away.
CRASH_SECONDS = 3.0


def count_prompt(chat):
    """Return the number of tokens in the messages of a chat."""
    tokens = 0
    for message in chat:
        size = len(str(message.get("content", "")).encode())
        tokens += MESSAGE_TOKENS + -(-size // BYTES_PER_TOKEN)
    return tokens


class Run:
    """One request on the engine, running, waiting or finished."""

    def __init__(
        self, request, number, prompt, prefix, limit, priority, budget
    ):
        self.request = request
        self.number = number
        self.prompt = prompt
        self.prefix = prefix
        self.lethal = False
        self.limit = limit
        self.priority = priority
        self.budget = budget
        self.created = int(time.time())
        self.words = []
        self.finish = None
        self.prefill_until = 0.0
        self.changed = asyncio.Event()

    def wake(self):
        """Tell all readers that something is new."""
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def usage(self):
        """Return the OpenAI usage record."""
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": len(self.words),
            "total_tokens": self.prompt + len(self.words),
        }


class EngineStandin:
    """Serves chat completions, ``/load``, ``/counts`` and ``/faults``.

    :param step: seconds between two tokens of a request
    :param batch: most requests that run at once
    :param queue: most requests that wait
    :param prefixes: prompt prefixes that the cache holds
    :param prefill: prompt tokens worked off a second
    :param lag: seconds by which the load report is behind
    """

    def __init__(
        self,
        step=0.02,
        batch=16,
        queue=64,
        prefixes=64,
        prefill=20000,
        lag=1.0,
    ):
        self._step = step
        self._batch = batch
        self._queue_limit = queue
        self._prefix_limit = prefixes
        self._prefill = prefill
        self._lag = lag
        self._runs = {}
        self._finished = collections.deque()
        self._running = []
        self._waiting = []
        self._order = itertools.count()
        self._prefixes = collections.OrderedDict()
        self._faults = Faults()
        self._reported = {"running": 0, "waiting": 0}
        self._tokens = collections.Counter()
        self._served = collections.Counter()
        self._starts = collections.Counter()
        self._hits = 0
        self._refused = 0
        self._boot = new_id()
        self._leaving = False
        self._server = None
        self._listens = None
        self._tasks = []
        self._crashes = TaskSet()

    async def start(self, address, port):
        """Listen on an address and start generating."""
        self._listens = (address, port)
        await self._listen()
        self._tasks = [
            asyncio.ensure_future(self._generate()),
            asyncio.ensure_future(self._report()),
        ]

    async def _listen(self):
        self._server = HttpServer(
            self._handle, limits=HttpLimits(body=64 * 1024 * 1024)
        )
        await self._server.start(*self._listens)

    async def close(self):
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        self._crashes.cancel()
        await self._server.close()

    async def _crash(self):
        """End all runs at once, and come back as another process."""
        for run in self._running + [item[2] for item in self._waiting]:
            self._runs.pop(run.request, None)
        self._running.clear()
        self._waiting.clear()
        self._prefixes.clear()
        self._boot = new_id()
        await self._server.close()
        await asyncio.sleep(CRASH_SECONDS)
        await self._listen()

    # Requests

    async def _handle(self, request, responder):
        path = request.path
        if path == "/faults":
            values = request.json()
            self._faults.set(values)
            self._leaving = values.get("leaving", self._leaving)
            return await responder.reply_json(200, {})
        if path == "/counts":
            return await responder.reply_json(200, self._counts())
        await self._faults.before()
        if path == "/load":
            return await responder.reply_json(200, self._reported)
        if path == "/v1/chat/completions":
            return await self._complete(request, responder)
        if path.startswith("/v1/requests/"):
            return await self._serve_run(path, responder)
        return await responder.reply_json(404, {})

    def _counts(self):
        return {
            "tokens": self._tokens,
            "served": self._served,
            "starts": self._starts,
            "prefix_hits": self._hits,
            "refused": self._refused,
        }

    async def _complete(self, request, responder):
        body = request.json()
        name = request.header(REQUEST_HEADER)
        run = self._runs.get(name)
        if run is None or run.finish == "cancelled":
            if self._faults.backoff:
                return await self._refuse(responder)
            if len(self._waiting) >= self._queue_limit:
                return await responder.reply_json(
                    503, {"error": {"message": "queue full"}}
                )
            run = self._admit(name, body, request.header("x-budget"))
        await self._stream(run, responder)

    async def _refuse(self, responder):
        self._refused += 1
        head = [("retry-after", self._faults.backoff)]
        if self._leaving:
            head.append(("x-leaving", "1"))
        await responder.reply_json(503, {"error": {}}, head)

    def _admit(self, name, body, budget):
        chat = body["messages"]
        text = json.dumps(chat).encode()
        run = Run(
            name,
            f"{name}.{self._boot}.{self._starts[name]}",
            count_prompt(chat),
            text[:PREFIX_BYTES],
            int(body["max_tokens"]),
            int(body.get("priority", 0)),
            budget,
        )
        lethal = self._faults.lethal
        run.lethal = bool(lethal) and lethal.encode() in text
        self._runs[name] = run
        self._starts[name] += 1
        self._waiting.append((run.priority, next(self._order), run))
        self._waiting.sort(key=lambda item: item[:2])
        return run

    async def _serve_run(self, path, responder):
        _, _, _, name, action = (path + "/").split("/", 4)
        run = self._runs.get(name)
        if run is None:
            return await responder.reply_json(404, {})
        if action.startswith("cancel"):
            self._finish(run, "cancelled")
        if action.startswith("stream"):
            return await self._stream(run, responder)
        status = {
            "id": run.number,
            "finish": run.finish,
            "usage": run.usage,
        }
        return await responder.reply_json(200, status)

    async def _stream(self, run, responder):
        head = [
            ("content-type", "text/event-stream"),
            (REQUEST_HEADER, run.request),
        ]
        if self._faults.limit:
            head.append((LIMIT_HEADER, self._faults.limit))
        await responder.start(200, head)
        sent = 0
        while True:
            changed = run.changed
            for word in run.words[sent:]:
                await self._send(responder, run, {"content": word}, None)
                sent += 1
            if run.finish and sent == len(run.words):
                break
            await changed.wait()
        await self._send(responder, run, {}, run.finish, run.usage)
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def _send(self, responder, run, delta, finish, usage=None):
        chunk = {
            "id": run.number,
            "object": "chat.completion.chunk",
            "created": run.created,
            "model": "standin",
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }
        if usage:
            chunk["usage"] = usage
        await self._faults.before()
        await responder.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")

    # Generation

    async def _generate(self):
        while True:
            await asyncio.sleep(self._step)
            now = time.monotonic()
            self._fill_batch(now)
            for run in list(self._running):
                if run.prefill_until <= now:
                    self._add_word(run)

    def _fill_batch(self, now):
        while self._waiting and len(self._running) < self._batch:
            _priority, _order, run = self._waiting.pop(0)
            hit = run.prefix in self._prefixes
            self._hits += hit
            self._prefixes[run.prefix] = True
            self._prefixes.move_to_end(run.prefix)
            if len(self._prefixes) > self._prefix_limit:
                self._prefixes.popitem(last=False)
            work = run.prompt * (0.1 if hit else 1.0) / self._prefill
            run.prefill_until = now + work
            self._count_tokens(run, run.prompt)
            self._running.append(run)
            if run.lethal:
                self._crashes.spawn(self._crash())

    def _add_word(self, run):
        # Each word names its request, so that a reader sees a mix-up.
        run.words.append(f"{run.request[:8]}-{len(run.words)} ")
        self._count_tokens(run, 1)
        if len(run.words) >= run.limit:
            self._finish(run, "stop")
        else:
            run.wake()

    def _count_tokens(self, run, tokens):
        self._tokens[run.budget] += tokens
        self._served[run.request] += tokens

    def _finish(self, run, reason):
        if run.finish:
            return
        run.finish = reason
        if run in self._running:
            self._running.remove(run)
        else:
            # It never reached the batch, so nothing was consumed.
            run.prompt = 0
        self._waiting = [item for item in self._waiting if item[2] is not run]
        if run.request not in self._finished:
            self._finished.append(run.request)
        while len(self._finished) > KEEP_FINISHED:
            name = self._finished.popleft()
            if self._runs[name].finish:
                del self._runs[name]
        run.wake()

    async def _report(self):
        while True:
            await asyncio.sleep(self._lag)
            self._reported = {
                "running": len(self._running),
                "waiting": len(self._waiting),
                "leaving": self._leaving,
            }
