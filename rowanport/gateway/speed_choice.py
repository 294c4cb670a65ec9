"""Selects engines by their learned speeds, in large fleets."""

import math

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


class RecentWork:
    """The work that this router recently sent to engines.

    Work is counted in prompt tokens with decaying weight.  Instead of decaying
    all amounts, newer ones are added with a greater weight.
    """

    __slots__ = ("_work", "_total", "_count", "_begin")

    def __init__(self):
        self._work = {}
        self._total = 0.0
        self._count = 0.0
        self._begin = 0.0

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

    def below_bound(self, candidates, rates):
        """Return whether each candidate is below the bound on its work.

        :param candidates: UpstreamStates
        :param rates: their rates
        """
        if not self._count:
            return [True] * len(candidates)
        get = self._work.get
        work = [get(state, 0.0) for state in candidates]
        slack = WORK_SLACK * self._total / self._count
        by_rate = WORK_BOUND * sum(work) / sum(rates)
        return [
            own <= by_rate * rate + slack for own, rate in zip(work, rates)
        ]


class SpeedChoice(PrefixChoice):
    """Policy for engines of different speed behind many routers.

    Prompts go to engines that have the longest run of their leading parts
    cached, as long as these are in time and below the bound on their work.

    :param data_centre: name of this router's data centre
    :param prefixes: the PrefixMap
    """

    def __init__(self, data_centre, prefixes):
        super().__init__(data_centre, prefixes)
        self._work = RecentWork()

    def uncached_tokens(self, state, job, now):
        levels = self._levels(job)
        oldest = now - KEEP_SECONDS
        cached = _cached_tokens(levels, state.record.id, oldest)
        return job.tokens.prompt - cached

    def choose(self, candidates, job, now):
        self._prefixes.learn_parts(job.prefixes)
        cached, waits = self._examine(candidates, job, now)
        usable = self._usable(candidates, cached, waits, job)
        if job.shared_tokens < MIN_SHARED_TOKENS:
            chosen = self._choose_local(candidates, usable, now)
        else:
            chosen = self._smooth(candidates, usable, now)
        index = self._first(candidates, chosen, cached, waits, job)
        state = candidates[index]
        unread = job.tokens.prompt - cached[index]
        self._work.add(state, unread + RUNNING_TOKENS, now)
        state.stream_pauses.track(job, now)
        return state

    def _levels(self, job):
        prefixes = job.prefixes or ((job.prefix, job.shared_tokens),)
        return self._prefixes.levels(prefixes)

    def _examine(self, candidates, job, now):
        """Return the cached tokens and the expected wait of each candidate.

        The lag counts: short prompts of other routers are not announced, and
        an engine that queues them gives no samples that tell its rate.
        """
        levels = self._levels(job)
        oldest = now - KEEP_SECONDS
        prompt = job.tokens.prompt
        cached = [
            _cached_tokens(levels, state.record.id, oldest)
            for state in candidates
        ]
        waits = [
            state.expected_wait(prompt - tokens, now) + state.backlog.lag(now)
            for state, tokens in zip(candidates, cached)
        ]
        return cached, waits

    def _usable(self, candidates, cached, waits, job):
        """Return the indices of the candidates that are preferred.

        Those in time and below the bound come first, with the longest run of
        leading parts among these.  If none is in time, an engine without the
        prompt in its cache would only add load by reading it again.
        """
        limit = IN_TIME_SHARE * job.route.objective
        in_time = [n for n, wait in enumerate(waits) if wait <= limit]
        if not in_time:
            return _longest(range(len(candidates)), cached)
        rates = [state.backlog.rate for state in candidates]
        below = self._work.below_bound(candidates, rates)
        bounded = [n for n in in_time if below[n]] or in_time
        if job.shared_tokens < MIN_SHARED_TOKENS:
            return bounded
        return _longest(bounded, cached)

    def _choose_local(self, candidates, indices, now):
        smooth = self._smooth(candidates, indices, now)
        local = [
            n
            for n in smooth
            if candidates[n].record.data_centre == self._data_centre
        ]
        return local or smooth

    def _smooth(self, candidates, indices, now):
        """Return the indices with the lowest level of paused streams."""
        states = [candidates[n] for n in indices]
        smooth = set(map(id, self._fewest_pauses(states, now)))
        return [n for n in indices if id(candidates[n]) in smooth]

    def _first(self, candidates, indices, cached, waits, job):
        """Return the index with the shortest expected wait.

        Ties are broken by rendezvous hashing, so that all routers agree.
        """
        if len(indices) == 1:
            return indices[0]
        key = job.affinity or job.id

        def weight(index):
            return hash_of(f"{key}\0{candidates[index].record.id}")

        tie = min(TIE_SECONDS, TIE_SHARE * job.route.objective)
        if tie <= 0:
            tie = TIE_SECONDS
        if job.shared_tokens and not any(cached):
            first = max(indices, key=weight)
            assumed = ASSUMED_CACHED_SHARE * job.shared_tokens
            waits[first] -= assumed / candidates[first].backlog.rate
        steps = [math.floor(waits[n] / tie) for n in indices]
        least = min(steps)
        ties = [n for n, step in zip(indices, steps) if step == least]
        return max(ties, key=weight)


def _cached_tokens(levels, engine, oldest):
    """Return the tokens of the longest run of parts that an engine has."""
    for tokens, engines in levels:
        used_at = engines.get(engine)
        if used_at is not None and used_at >= oldest:
            return tokens
    return 0


def _longest(indices, cached):
    """Return the indices with the most cached tokens."""
    most = max(cached[n] for n in indices)
    return [n for n in indices if cached[n] == most]
