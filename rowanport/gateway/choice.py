"""Load balancing: selects the upstream of each request.

Engines: prefers those that have the shared prompt cached, as long as the
expected time to the first event is within the objective there; otherwise the
one with the shortest expected time to the first event.  Among equal ones it
prefers engines whose recent streams had the fewest long pauses.  A request
that no engine would begin in time is rejected.

Plain services: the least busy upstream, with a preference for the local data
centre.  In a large fleet a random one, in proportion to free room.
"""

import abc
import math
import random

from ..hashing import rendezvous
from ..placement import Candidate
from ..placement import select
from ..scheduling import Overload

# Share of the objective within which an engine's expected wait counts as in
# time: the rest is for network latency and for prompts that this router has
# not heard of.
IN_TIME_SHARE = 0.7
# Waits are compared in steps of this many seconds, an eighth of the shortest
# objective.  Within a step all routers prefer the same engine.
TIE_SECONDS = 0.075
# Share of a shared prompt that the first engine in its order is assumed to
# have cached if no engine is known to, as after a restart of all routers.
ASSUMED_CACHED_SHARE = 0.5
# With fewer shared prompt tokens, reading them again costs less than traffic
# between data centres: 1,000 tokens are read in 20 ms.
MIN_SHARED_TOKENS = 1000
# Number of levels into which the share of paused streams is divided.  A lower
# level outweighs the cost of traffic between data centres.
PAUSE_LEVELS = 4
# Most streams of this router at one engine, relative to the mean of all
# candidates; beyond that the next engine in order is used (consistent hashing
# with bounded loads, Mirrokni et al., 2016).  All routers use the same order,
# so without a bound one engine would get most streams.
LOAD_BOUND = 1.25
# Requests by which a plain upstream of the local data centre may be busier
# than a remote one and still be preferred.
LOCAL_BONUS = 2


class Choice(abc.ABC):
    """A load-balancing policy for the upstreams of one service."""

    @abc.abstractmethod
    def choose(self, candidates, job, now):
        """Return the UpstreamState to which a job is sent.

        :param candidates: UpstreamStates, at least one
        :param job: the Job
        :param now: monotonic time in seconds
        """

    def late_start(self, candidates, job, now, latest=None):
        """Return the LateStart of a job that would begin too late everywhere.

        :param candidates: UpstreamStates, at least one
        :param job: the Job
        :param now: monotonic time in seconds
        :param latest: monotonic time by which it has to begin in any case,
            None if there is none
        :returns: None if a candidate should begin it in time
        """
        return None


class PrefixChoice(Choice):
    """Policy for engines: sends equal shared prompts to the same engines.

    It does so as long as these are in time.  Prompts with few shared tokens
    go to engines with few streams and few pauses, local ones first.

    :param data_centre: name of this router's data centre
    :param prefixes: the PrefixMap
    """

    def __init__(self, data_centre, prefixes):
        self._data_centre = data_centre
        self._prefixes = prefixes
        self._overloads = {}

    def late_start(self, candidates, job, now, latest=None):
        overload = self._overloads.setdefault(job.service, Overload())
        delays = [state.start_delay(now) for state in candidates]
        objective = job.route.objective
        return overload.late_start(
            delays, objective, job.priority, now, latest
        )

    def choose(self, candidates, job, now):
        if job.shared_tokens < MIN_SHARED_TOKENS:
            state = self._choose_short(candidates, job, now)
        else:
            state = self._choose_long(candidates, job, now)
        state.stream_pauses.track(job, now)
        return state

    def _choose_short(self, candidates, job, now):
        """Select by load and pauses first, then by data centre."""
        preferred = self._below_load_bound(self._in_time(candidates, job, now))
        smooth = self._fewest_pauses(preferred, now)
        preferred = self._local(smooth) or smooth or candidates
        return self._earliest(preferred, job, now)

    def _choose_long(self, candidates, job, now):
        """Select an engine that has the shared prompt cached, if in time."""
        cached = self._cached(candidates, job, now)
        in_time = self._in_time(cached, job, now)
        if not in_time:
            in_time = self._in_time(candidates, job, now)
        smooth = self._fewest_pauses(in_time, now)
        # If no engine is in time, an engine without the prompt in its cache
        # would only add load by reading it again.
        return self._earliest(smooth or cached or candidates, job, now)

    def uncached_tokens(self, state, job, now):
        """Return how many prompt tokens of a job an engine has to read."""
        if state.record.id in self._prefixes.engines_with(job.prefix, now):
            return job.tokens.prompt - job.shared_tokens
        return job.tokens.prompt

    def _fewest_pauses(self, candidates, now):
        """Return the candidates with the lowest level of paused streams."""
        levels = [
            int(PAUSE_LEVELS * state.stream_pauses.paused_share(now))
            for state in candidates
        ]
        lowest = min(levels, default=0)
        return [
            state
            for state, level in zip(candidates, levels)
            if level == lowest
        ]

    @staticmethod
    def _below_load_bound(candidates):
        """Return the candidates below the bound on this router's streams."""
        total = 1 + sum(state.outstanding for state in candidates)
        bound = math.ceil(LOAD_BOUND * total / max(1, len(candidates)))
        return [s for s in candidates if s.outstanding < bound]

    def _local(self, candidates):
        return [
            state
            for state in candidates
            if state.record.data_centre == self._data_centre
        ]

    def _cached(self, candidates, job, now):
        engines = self._prefixes.engines_with(job.prefix, now)
        return [state for state in candidates if state.record.id in engines]

    def _in_time(self, candidates, job, now):
        limit = IN_TIME_SHARE * job.route.objective
        return [
            state
            for state in candidates
            if state.expected_wait(self.uncached_tokens(state, job, now), now)
            <= limit
        ]

    def _earliest(self, candidates, job, now):
        """Return the candidate with the shortest expected first event time.

        Ties are broken by rendezvous hashing, so that all routers agree.
        """
        by_id = {state.record.id: state for state in candidates}
        order = rendezvous(job.affinity or job.id, by_id)
        assumed = self._assumed_cached(order[0], job, now)

        def weight(rank):
            state = by_id[order[rank]]
            uncached = self.uncached_tokens(state, job, now)
            if rank == 0:
                uncached -= assumed
            return int(state.expected_wait(uncached, now) / TIE_SECONDS), rank

        return by_id[order[min(range(len(order)), key=weight)]]

    def _assumed_cached(self, first, job, now):
        """Return how many tokens the first engine is assumed to have cached.

        That is 0 if some engine is known to have the prompt cached.
        """
        if self._prefixes.engines_with(job.prefix, now):
            return 0
        return int(ASSUMED_CACHED_SHARE * job.shared_tokens)


class NearestChoice(Choice):
    """Policy for plain services: the least busy one, local ones first.

    In a large fleet the load of all routers decides.  Otherwise, or while
    that is not known, the requests of this one do.

    :param data_centre: name of this router's data centre
    :param replicas: the ReplicaState, None for none
    :param rng: a random.Random, by default one with a random seed
    """

    def __init__(self, data_centre, replicas=None, rng=None):
        self._data_centre = data_centre
        self._replicas = replicas
        self._random = rng or random.Random()

    def choose(self, candidates, job, now):
        if self._replicas is None or not self._replicas.active:
            return self._choose_by_own(candidates, job)
        rows = {state: self._candidate(state, now) for state in candidates}
        if self._replicas.is_informed(now):
            index = select(list(rows.values()), now, self._random)
            return candidates[index]
        accepting = [
            state for state, row in rows.items() if row.is_accepting(now)
        ]
        return self._choose_by_own(accepting or candidates, job)

    def _candidate(self, state, now):
        return Candidate(
            state.record.data_centre == self._data_centre,
            state.record.slots,
            self._replicas.load(state.record, now),
        )

    def _choose_by_own(self, candidates, job):
        """Select by this router's own requests."""
        ids = [state.record.id for state in candidates]
        order = rendezvous(job.affinity or job.id, ids)
        rank = {name: index for index, name in enumerate(order)}

        def weight(state):
            local = state.record.data_centre == self._data_centre
            busy = state.outstanding - (LOCAL_BONUS if local else 0)
            return max(0, busy), not local, rank[state.record.id]

        return min(candidates, key=weight)
