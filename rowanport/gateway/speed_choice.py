"""Selects engines by their learned speeds, in large fleets."""

from ..hashing import hash_of
from .choice import ASSUMED_CACHED_SHARE
from .choice import IN_TIME_SHARE
from .choice import MIN_SHARED_TOKENS
from .choice import PrefixChoice
from .choice import TIE_SECONDS
from .pool import RUNNING_TOKENS
from .prefix_map import KEEP_SECONDS

# Waits are compared in steps of this share of the objective, of TIE_SECONDS at
# most.
TIE_SHARE = 0.125
# Most work of this router at one engine, relative to the mean of all by their
# rates.  As each router keeps it, so does the fleet, without any messages.
WORK_BOUND = 1.1
# Requests of mean size that an engine may get beyond that, so that a router
# with few requests may send equal prompts to the same engine.
WORK_SLACK = 0.5
# Half-life in seconds of the work that counts.
WORK_HALF_LIFE = 8.0
# Half-lives after which the work's scale is reset, and the smallest work that
# is kept then.
RESCALE_HALF_LIVES = 16.0
MIN_WORK_TOKENS = 1.0
# Seconds for which the sum of all rates is used again.
RATES_SECONDS = 0.5


class RecentWork:
    """The work that this router recently sent to engines.

    Work is counted in prompt tokens with decaying weight.  Instead of decaying
    all amounts, newer ones are added with a greater weight.
    """

    __slots__ = (
        "_work",
        "_total",
        "_count",
        "_begin",
        "_rates",
        "_rates_until",
        "_candidates",
    )

    def __init__(self):
        self._work = {}
        self._total = 0.0
        self._count = 0.0
        self._begin = 0.0
        self._rates = 0.0
        self._rates_until = 0.0
        self._candidates = 0

    def add(self, state, tokens, now):
        """Count a request of some prompt tokens to an UpstreamState."""
        half_lives = (now - self._begin) / WORK_HALF_LIFE
        if half_lives > RESCALE_HALF_LIVES:
            self._rescale(0.5**half_lives, now)
            half_lives = 0.0
        weight = 2.0**half_lives
        self._work[state] = self._work.get(state, 0.0) + weight * tokens
        self._total += weight * tokens
        self._count += weight

    def _rescale(self, factor, now):
        self._begin = now
        self._total *= factor
        self._count *= factor
        self._work = {
            state: work * factor
            for state, work in self._work.items()
            if work * factor >= MIN_WORK_TOKENS
        }

    def bound(self, candidates, now):
        """Return a function that tells whether a state is below the bound.

        :param candidates: UpstreamStates, whose rates make up the mean
        """
        if not self._count:
            return lambda _state: True
        if now >= self._rates_until or self._candidates != len(candidates):
            self._rates = sum(state.backlog.rate for state in candidates)
            self._candidates = len(candidates)
            self._rates_until = now + RATES_SECONDS
        slack = WORK_SLACK * self._total / self._count
        by_rate = WORK_BOUND * self._total / self._rates
        get = self._work.get

        def is_below(state):
            return get(state, 0.0) <= by_rate * state.backlog.rate + slack

        return is_below


class SpeedChoice(PrefixChoice):
    """Policy for engines of different speed behind many routers.

    Prompts go to engines that have the longest run of their leading parts
    cached, as long as these are in time and below the bound on their work.

    :param data_centre: name of this router's data centre
    :param prefixes: the PrefixMap
    """

    def __init__(self, data_centre, prefixes):
        super().__init__(data_centre, prefixes)
        # RecentWork by service.
        self._work = {}

    def uncached_tokens(self, state, job, now):
        levels = self._levels(job)
        oldest = now - KEEP_SECONDS
        cached = _cached_tokens(levels, state.record.id, oldest)
        return job.tokens.prompt - cached

    def choose(self, candidates, job, now):
        self._prefixes.learn_parts(job.prefixes)
        options = self._options(candidates, job, now)
        if job.shared_tokens < MIN_SHARED_TOKENS:
            options = self._local_first(self._smooth(options, now))
        else:
            options = self._smooth(options, now)
        chosen = self._first(options, job)
        unread = job.tokens.prompt - chosen.cached
        self._work_of(job).add(chosen.state, unread + RUNNING_TOKENS, now)
        chosen.state.stream_pauses.track(job, now)
        return chosen.state

    def _work_of(self, job):
        return self._work.setdefault(job.service, RecentWork())

    def _levels(self, job):
        prefixes = job.prefixes or ((job.prefix, job.shared_tokens),)
        return self._prefixes.levels(prefixes)

    def _options(self, candidates, job, now):
        """Return the preferred _Options.

        Those in time and below the bound on their work come first, with the
        longest run of leading parts among these.  If none is in time, an
        engine without the prompt in its cache would only add load by reading
        it again.
        """
        levels = self._levels(job)
        limit = IN_TIME_SHARE * job.route.objective
        bound = self._work_of(job).bound(candidates, now)
        if job.shared_tokens >= MIN_SHARED_TOKENS:
            for _tokens, engines in levels:
                having = [s for s in candidates if s.record.id in engines]
                options = self._examine(having, levels, job, now)
                usable = [
                    one
                    for one in options
                    if one.cached and one.wait <= limit and bound(one.state)
                ]
                if usable:
                    return _longest(usable)
        options = self._examine(candidates, levels, job, now)
        in_time = [one for one in options if one.wait <= limit]
        if in_time:
            return [one for one in in_time if bound(one.state)] or in_time
        return _longest(options)

    @staticmethod
    def _examine(states, levels, job, now):
        """Return an _Option for each UpstreamState.

        The lag counts: short prompts of other routers are not announced, and
        an engine that queues them gives no samples that tell its rate.
        """
        oldest = now - KEEP_SECONDS
        prompt = job.tokens.prompt
        options = []
        for state in states:
            cached = _cached_tokens(levels, state.record.id, oldest)
            wait = state.expected_wait(prompt - cached, now)
            wait += state.backlog.lag(now)
            options.append(_Option(state, cached, wait))
        return options

    def _local_first(self, options):
        local = [
            one
            for one in options
            if one.state.record.data_centre == self._data_centre
        ]
        return local or options

    def _smooth(self, options, now):
        """Return the options with the lowest level of paused streams."""
        states = [one.state for one in options]
        smooth = set(map(id, self._fewest_pauses(states, now)))
        return [one for one in options if id(one.state) in smooth]

    @staticmethod
    def _first(options, job):
        """Return the option with the shortest expected wait.

        Ties are broken by rendezvous hashing, so that all routers agree.
        """
        key = job.affinity or job.id

        def weight(option):
            return hash_of(f"{key}\0{option.state.record.id}")

        if job.shared_tokens and not any(one.cached for one in options):
            first = max(options, key=weight)
            assumed = ASSUMED_CACHED_SHARE * job.shared_tokens
            first.wait -= assumed / first.state.backlog.rate
        tie = min(TIE_SECONDS, TIE_SHARE * job.route.objective) or TIE_SECONDS
        least = min(one.wait // tie for one in options)
        ties = [one for one in options if one.wait // tie == least]
        return max(ties, key=weight)


class _Option:
    """A candidate for a job.

    :ivar state: its UpstreamState
    :ivar cached: prompt tokens that it has cached
    :ivar wait: expected seconds to the first event
    """

    __slots__ = ("state", "cached", "wait")

    def __init__(self, state, cached, wait):
        self.state = state
        self.cached = cached
        self.wait = wait


def _cached_tokens(levels, engine, oldest):
    """Return the tokens of the longest run of parts that an engine has."""
    for tokens, engines in levels:
        used_at = engines.get(engine)
        if used_at is not None and used_at >= oldest:
            return tokens
    return 0


def _longest(options):
    """Return the options with the most cached tokens."""
    most = max(one.cached for one in options)
    return [one for one in options if one.cached == most]
