"""Send the traffic of both deployments and check each answer.

The load is seeded: the same seed gives the same requests at the same
times.  It stops by itself.
"""

import asyncio
import collections
import datetime
import json
import random
import time

from hdrh.histogram import HdrHistogram

from rowanport.errors import UpstreamError
from rowanport.web import HttpClient

MICROSECONDS = 1e6
LONGEST = 600 * 10**6
NONE = "no answer"


class Kind:
    """One kind of request.

    :ivar name: what the caller calls it
    :ivar share: share of all requests
    :ivar tokens: most tokens of its answer; 0 for a plain service
    :ivar words: length of its prompt in words
    :ivar seconds: from arrival to deadline
    """

    __slots__ = (
        "name",
        "share",
        "tokens",
        "words",
        "seconds",
        "repeatable",
        "stream",
    )

    def __init__(
        self, name, share, tokens, words, seconds, repeatable, stream
    ):
        self.name = name
        self.share = share
        self.tokens = tokens
        self.words = words
        self.seconds = seconds
        self.repeatable = repeatable
        self.stream = stream


KINDS = (
    Kind("summary", 0.10, 160, 200, 60, True, True),
    Kind("bulletin", 0.10, 40, 40, 20, False, True),
    Kind("label", 0.25, 4, 20, 10, True, False),
    Kind("digest", 0.10, 100, 80, 40, True, True),
    Kind("advisory", 0.10, 60, 60, 30, True, False),
    Kind("lookup", 0.25, 0, 0, 5, True, False),
    Kind("fetch", 0.10, 0, 0, 5, False, False),
)


class Plan:
    """One request to send.

    :ivar at: seconds after the start
    :ivar router: index of the router that gets it
    """

    __slots__ = ("at", "kind", "organisation", "budget", "key", "router")

    def __init__(self, at, kind, organisation, budget, key, router):
        self.at = at
        self.kind = kind
        self.organisation = organisation
        self.budget = budget
        self.key = key
        self.router = router


class Sample:
    """What became of one request."""

    __slots__ = (
        "plan",
        "request",
        "sent_at",
        "status",
        "outcome",
        "error",
        "detail",
        "first",
        "ended",
        "gaps",
        "tokens",
        "whole",
        "own",
        "retry_after",
    )

    def __init__(self, plan, sent_at):
        self.plan = plan
        self.request = ""
        self.sent_at = sent_at
        self.status = 0
        self.outcome = NONE
        self.error = ""
        self.detail = ""
        self.first = None
        self.ended = None
        self.gaps = []
        self.tokens = 0
        self.whole = False
        self.own = True
        self.retry_after = None

    @property
    def done(self):
        return self.status == 200 and self.whole

    @property
    def seconds(self):
        return self.ended - self.sent_at

    @property
    def in_time(self):
        return self.done and self.seconds <= self.plan.kind.seconds


def make_plans(
    seed,
    count,
    seconds,
    organisations,
    routers,
    kinds=KINDS,
    budgets=("main",),
):
    """Return Plans spread evenly at random over a time.

    :param organisations: names, the first ones busier than the last
    """
    source = random.Random(seed)
    weights = [kind.share for kind in kinds]
    sizes = [1 / (rank + 1) for rank in range(len(organisations))]
    plans = []
    for number in range(count):
        kind = source.choices(kinds, weights)[0]
        organisation = source.choices(organisations, sizes)[0]
        budget = source.choice(budgets)
        at = source.random() * seconds
        router = source.randrange(routers)
        key = f"{kind.name}-{seed}-{number}"
        plans.append(Plan(at, kind, organisation, budget, key, router))
    plans.sort(key=lambda plan: plan.at)
    return plans


class Load:
    """Sends plans to routers.

    :param addresses: callers' addresses of the routers
    :param keys: API keys by organisation
    :param model: engine group
    :param service: service group
    """

    def __init__(self, addresses, keys, model, service):
        self._addresses = addresses
        self._keys = keys
        self._model = model
        self._service = service
        self._http = HttpClient(connect_timeout=5.0)

    async def run(self, plans):
        """Send all plans at their times and return the Samples."""
        start = time.monotonic()
        tasks = []
        for plan in plans:
            delay = start + plan.at - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            tasks.append(asyncio.ensure_future(self.send(plan)))
        return list(await asyncio.gather(*tasks))

    async def send(self, plan, address=None, headers=()):
        """Send one request and return its Sample."""
        sample = Sample(plan, time.monotonic())
        address = address or self._addresses[plan.router]
        try:
            await self._exchange(plan, sample, address, headers)
        except UpstreamError as error:
            sample.error = sample.error or str(error)
        sample.ended = time.monotonic()
        return sample

    async def _exchange(self, plan, sample, address, extra):
        kind = plan.kind
        headers = [*self._headers(plan), *extra]
        timeout = kind.seconds + 5.0
        if not kind.tokens:
            path = f"/services/{self._service}/station/{plan.key}"
            answer = await self._http.request(
                address, "GET", path, b"", headers, timeout
            )
            body = await self._read_head(answer, sample)
            sample.whole = sample.status == 200 and plan.key in body.decode()
            return
        body = json.dumps(self._body(plan)).encode()
        answer = await self._http.request(
            address, "POST", "/v1/chat/completions", body, headers, timeout
        )
        if answer.status != 200 or not kind.stream:
            data = await self._read_head(answer, sample)
            if sample.status == 200:
                self._check_whole(json.loads(data), sample)
            return
        await self._read_stream(answer, sample)

    def _headers(self, plan):
        kind = plan.kind
        deadline = datetime.datetime.fromtimestamp(
            time.time() + kind.seconds, datetime.timezone.utc
        )
        headers = [
            ("authorization", f"Bearer {self._keys[plan.organisation]}"),
            ("content-type", "application/json"),
            ("rowanport-budget", plan.budget),
            ("rowanport-kind", kind.name),
            ("rowanport-deadline", deadline.isoformat()),
            ("idempotency-key", plan.key),
        ]
        if not kind.repeatable:
            headers.append(("rowanport-repeatable", "no"))
        return headers

    def _body(self, plan):
        kind = plan.kind
        # An organisation's requests of a kind share the start of a prompt.
        start = f"{plan.organisation} {kind.name} instructions " * 8
        text = start + "trace " * kind.words + plan.key
        return {
            "model": self._model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": kind.tokens,
            "stream": kind.stream,
            "stream_options": {"include_usage": True},
        }

    def _note_head(self, answer, sample):
        sample.status = answer.status
        sample.outcome = answer.headers.get("rowanport-outcome", NONE)
        sample.request = answer.headers.get("rowanport-request", "")

    async def _read_head(self, answer, sample):
        self._note_head(answer, sample)
        retry = answer.headers.get("retry-after")
        sample.retry_after = int(retry) if retry else None
        data = await answer.read()
        sample.first = time.monotonic() - sample.sent_at
        if answer.status != 200:
            try:
                error = json.loads(data)["error"]
                sample.error = error["code"]
                sample.detail = error["message"]
            except (ValueError, KeyError):
                sample.error = f"status {answer.status}"
        return data

    async def _read_stream(self, answer, sample):
        self._note_head(answer, sample)
        rest = b""
        words = []
        last = None
        ended = False
        async for piece in answer.pieces():
            now = time.monotonic()
            *events, rest = (rest + piece).split(b"\n\n")
            for event in events:
                if event == b"data: [DONE]":
                    ended = True
                    continue
                value = json.loads(event[6:])
                if "error" in value:
                    sample.error = value["error"]["code"]
                    continue
                word = _word(value)
                if word is None:
                    sample.tokens = _total(value) or sample.tokens
                    continue
                if last is None:
                    sample.first = now - sample.sent_at
                else:
                    sample.gaps.append(now - last)
                last = now
                words.append(word)
        self._check_words(words, sample)
        sample.whole = ended and len(words) == sample.plan.kind.tokens

    def _check_whole(self, value, sample):
        words = value["choices"][0]["message"]["content"].split()
        sample.tokens = value["usage"]["total_tokens"]
        self._check_words(words, sample)
        sample.whole = len(words) == sample.plan.kind.tokens

    def _check_words(self, words, sample):
        """Check that every word is the one this very request should get."""
        request = sample.request[:8]
        expected = [f"{request}-{index}" for index in range(len(words))]
        sample.own = [word.strip() for word in words] == expected


def _word(value):
    choices = value.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content")


def _total(value):
    usage = value.get("usage") or {}
    return usage.get("total_tokens", 0)


# Summaries


def histogram(seconds):
    """Return a histogram of times in seconds."""
    result = HdrHistogram(1, LONGEST, 3)
    for value in seconds:
        result.record_value(max(1, int(value * MICROSECONDS)))
    return result


def percentiles(seconds):
    """Return p50, p95 and p99 of times, in milliseconds."""
    values = histogram(seconds)
    if not values.get_total_count():
        return [0.0, 0.0, 0.0]
    points = (50, 95, 99)
    return [round(values.get_value_at_percentile(p) / 1e3, 2) for p in points]


def count_errors(samples):
    """Return how many samples ended with each error kind."""
    return collections.Counter(s.error or "-" for s in samples if not s.done)


def print_table(rows):
    """Print rows of cells, the first one a head."""
    table = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*table)]
    for row in table:
        cells = (cell.rjust(width) for cell, width in zip(row, widths))
        print("  ".join(cells))
    print()
