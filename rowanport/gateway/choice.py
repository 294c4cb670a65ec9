"""Which upstream a request goes to.

Engines: where its shared prompt is cached, as long as it is in time there;
else where its first event should come first; among alike ones where streams
lately came evenly.  What no engine begins in time is turned away.  Plain
services: the least busy one, of the own data centre first.
"""

import abc
import math

from ..hashing import rendezvous
from ..scheduling import Overload

# Part of the objective within which an engine counts as in time: the rest is
# for the way, and for prompts that are not known of.
IN_TIME_SHARE = 0.7
# Seconds by which waits have to differ to matter: an eighth of the shortest
# objective.  Among alike ones all routers prefer the same engine.
ALIKE_SECONDS = 0.075
# Part of a shared prompt that the first engine in its order is taken to have
# cached when nobody is known to have it, as after a restart of all routers.
PRESUMED_SHARE = 0.5
# Shared prompt tokens below which reading them again costs less than the
# bytes between data centres: 1,000 are read in 20 ms.
SHARED_LEAST = 1000
# Levels of how unevenly streams come that are told apart; a better level
# outweighs the bytes between data centres.
PAUSE_LEVELS = 4
# Streams that this router may have at an engine against the mean of those
# that it could be sent to; beyond it the next one in order is taken (bounded
# loads, Mirrokni et al., 2016).  Routers agree on the order, so that else one
# engine gets most.
SPREAD = 1.25
# Requests by which a plain upstream of the own data centre may be busier.
NEAR_BONUS = 2


class Choice(abc.ABC):
    """Chooses among upstreams of one service."""

    @abc.abstractmethod
    def choose(self, candidates, job, now):
        """Return one of some UpstreamStates, at least one.

        :param job: the Job that goes there
        :param now: steady time
        """

    def late_start(self, candidates, job, now):
        """Return the LateStart of a job that nobody begins in time.

        :returns: None if one of some UpstreamStates should
        """
        return None


class PrefixChoice(Choice):
    """For engines: keep equal prompts together while they are in time.

    Prompts that share little go to even engines with few streams, of the own
    data centre first.

    :param data_centre: the own one
    :param prefixes: the PrefixMap
    """

    def __init__(self, data_centre, prefixes):
        self._data_centre = data_centre
        self._prefixes = prefixes
        self._overloads = {}

    def late_start(self, candidates, job, now):
        overload = self._overloads.setdefault(job.service, Overload())
        waits = [state.start_delay(now) for state in candidates]
        objective = job.route.objective
        return overload.late_start(waits, objective, job.priority, now)

    def choose(self, candidates, job, now):
        if job.shared_tokens < SHARED_LEAST:
            state = self._choose_short(candidates, job, now)
        else:
            state = self._choose_long(candidates, job, now)
        state.pacing.track(job, now)
        return state

    def _choose_short(self, candidates, job, now):
        """Choose by load and pauses first, then by the data centre."""
        fit = self._less_loaded(self._in_time(candidates, job, now))
        even = self._fewest_pauses(fit, now)
        fit = self._near(even) or even or candidates
        return self._soonest(fit, job, now)

    def _choose_long(self, candidates, job, now):
        """Choose by what is cached, if it is in time there."""
        cached = self._cached(candidates, job, now)
        in_time = self._in_time(cached, job, now)
        if not in_time:
            in_time = self._in_time(candidates, job, now)
        even = self._fewest_pauses(in_time, now)
        # Where none is in time, reading a prompt again helps nobody.
        return self._soonest(even or cached or candidates, job, now)

    def uncached_tokens(self, state, job, now):
        """Return the prompt tokens that an engine has to read of a job."""
        if state.record.id in self._prefixes.engines_with(job.prefix, now):
            return job.tokens.prompt - job.shared_tokens
        return job.tokens.prompt

    def _fewest_pauses(self, candidates, now):
        """Return those whose streams lately came the most evenly."""
        levels = [
            int(PAUSE_LEVELS * state.pacing.paused_share(now))
            for state in candidates
        ]
        least = min(levels, default=0)
        return [
            state for state, level in zip(candidates, levels) if level == least
        ]

    @staticmethod
    def _less_loaded(candidates):
        """Return those with room for one more stream of this router."""
        total = 1 + sum(state.outstanding for state in candidates)
        bound = math.ceil(SPREAD * total / max(1, len(candidates)))
        return [s for s in candidates if s.outstanding < bound]

    def _near(self, candidates):
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

    def _soonest(self, candidates, job, now):
        """Return whose first event comes first, by one order if alike."""
        by_id = {state.record.id: state for state in candidates}
        order = rendezvous(job.affinity or job.id, by_id)
        presumed = self._presumed(order[0], job, now)

        def weight(rank):
            state = by_id[order[rank]]
            unread = self.uncached_tokens(state, job, now)
            if rank == 0:
                unread -= presumed
            return int(state.expected_wait(unread, now) / ALIKE_SECONDS), rank

        return by_id[order[min(range(len(order)), key=weight)]]

    def _presumed(self, first, job, now):
        """Return the tokens that the first engine may have cached unheard."""
        if self._prefixes.engines_with(job.prefix, now):
            return 0
        return int(PRESUMED_SHARE * job.shared_tokens)


class NearestChoice(Choice):
    """For plain services: the least busy, near ones first."""

    def __init__(self, data_centre):
        self._data_centre = data_centre

    def choose(self, candidates, job, now):
        ids = [state.record.id for state in candidates]
        order = rendezvous(job.affinity or job.id, ids)
        rank = {name: index for index, name in enumerate(order)}

        def weight(state):
            near = state.record.data_centre == self._data_centre
            busy = state.outstanding - (NEAR_BONUS if near else 0)
            return max(0, busy), not near, rank[state.record.id]

        return min(candidates, key=weight)
