"""One engine: a batch of runs, pieces of prompts, a cache of parts."""

import collections

# Part of its memory that an engine keeps parts of prompts in; the rest is
# what runs.
CACHE_SHARE = 0.8


class EngineKind:
    """What an engine is like.

    :ivar slots: runs at once
    :ivar rate: prompt tokens read in a millisecond
    :ivar piece: most prompt tokens read between two tokens of its streams
    :ivar step_ms: shortest time between two tokens
    :ivar slot_ms: what each stream beside adds to it
    :ivar context_ms: what 1,000 tokens in memory add to it
    :ivar pairs_ms: what a million pairs of tokens add to reading
    :ivar first_ms: what passes before the first event besides
    :ivar stride: tokens in an event
    :ivar memory: tokens that it holds
    """

    __slots__ = (
        "slots",
        "rate",
        "piece",
        "step_ms",
        "slot_ms",
        "context_ms",
        "pairs_ms",
        "first_ms",
        "stride",
        "memory",
    )

    def __init__(self, slots=128, rate=32.4):
        self.slots = slots
        self.rate = rate
        self.piece = 2048
        self.step_ms = 6.12
        self.slot_ms = 0.0234
        self.context_ms = 0.0131
        self.pairs_ms = 1.18
        self.first_ms = 64.0
        self.stride = 3
        self.memory = 261197


class Run:
    """One request at an engine.

    :ivar parts: (name, tokens) of its prompt, the shared ones first
    :ivar answer: tokens of its answer
    :ivar read: prompt tokens read so far, cached ones included
    :ivar made: tokens made so far
    :ivar on_event: function called with the time of each event
    :ivar on_end: function called at its end
    :ivar left: whether its caller has left
    """

    __slots__ = (
        "parts",
        "prompt",
        "answer",
        "read",
        "made",
        "on_event",
        "on_end",
        "left",
    )

    def __init__(self, parts, answer, on_event, on_end):
        self.parts = parts
        self.prompt = sum(tokens for _name, tokens in parts)
        self.answer = answer
        self.read = 0
        self.made = 0
        self.on_event = on_event
        self.on_end = on_end
        self.left = False


class Engine:
    """An engine that works through its runs step by step.

    :param kind: its EngineKind
    :param slowness: times as long as the kind says that it takes
    :param schedule: function that calls another one at a time
    """

    def __init__(self, kind, slowness, schedule):
        self._kind = kind
        self._slowness = slowness
        self._schedule = schedule
        self._waiting = collections.deque()
        self._runs = []
        self._cache = collections.OrderedDict()
        self._cached = 0
        self._busy = False
        self.tokens_read = 0

    def take(self, run, now):
        """Take a Run in; it begins once there is a slot."""
        self._waiting.append(run)
        if not self._busy:
            self._busy = True
            self._schedule(now, self._step)

    def _step(self, now):
        self._admit()
        if not self._runs:
            self._busy = False
            return
        streams = [r for r in self._runs if r.read >= r.prompt]
        milliseconds = self._stream_ms(streams)
        piece = self._kind.piece
        begun = []
        for run in self._runs:
            tokens = min(piece, run.prompt - run.read)
            if tokens <= 0:
                continue
            piece -= tokens
            milliseconds += self._read_ms(run, tokens)
            run.read += tokens
            if run.read >= run.prompt:
                begun.append(run)
        end = now + self._slowness * milliseconds / 1000
        self._schedule(end, lambda at: self._end_step(streams, begun, at))

    def _stream_ms(self, streams):
        kind = self._kind
        held = sum(run.prompt + run.made for run in streams)
        return (
            kind.step_ms
            + kind.slot_ms * len(streams)
            + kind.context_ms * held / 1000
        )

    def _read_ms(self, run, tokens):
        kind = self._kind
        pairs = tokens * (run.read + tokens / 2) / 1e6
        return tokens / kind.rate + kind.pairs_ms * pairs

    def _end_step(self, streams, begun, now):
        for run in begun:
            self._keep(run.parts)
        for run in streams + begun:
            self._make_token(run, now)
        self._runs = [r for r in self._runs if not self._has_ended(r)]
        self._step(now)

    def _make_token(self, run, now):
        run.made += 1
        first = run.made == 1
        if first or run.made % self._kind.stride == 0:
            late = self._kind.first_ms / 1000 if first else 0.0
            run.on_event(now, late)
        if run.made >= run.answer:
            run.on_end(now)

    @staticmethod
    def _has_ended(run):
        return run.left or run.made >= run.answer

    def _admit(self):
        while self._waiting and len(self._runs) < self._kind.slots:
            run = self._waiting.popleft()
            if run.left:
                continue
            run.read = self._find_cached(run.parts)
            self.tokens_read += run.prompt - run.read
            self._runs.append(run)

    def _find_cached(self, parts):
        tokens = 0
        for name, size in parts:
            if name not in self._cache:
                break
            self._cache.move_to_end(name)
            tokens += size
        # The last token is read in any case: it makes the first one.
        return min(tokens, sum(size for _name, size in parts) - 1)

    def _keep(self, parts):
        for name, size in parts:
            if name not in self._cache:
                self._cache[name] = size
                self._cached += size
            self._cache.move_to_end(name)
        while self._cached > CACHE_SHARE * self._kind.memory:
            _name, size = self._cache.popitem(last=False)
            self._cached -= size
