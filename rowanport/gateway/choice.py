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
from .backlog import Backlog
from .pacing import Pacing

# Failures in a row after which an upstream is left out, and for how long in
# seconds; a failed connection counts as that many.
EJECT_AFTER = 2
EJECT_SECONDS = 2.0
# Part of the objective within which an engine counts as in time: the rest is
# for the way, and for prompts that are not known of.
IN_TIME_SHARE = 0.7
# Seconds by which waits have to differ to matter: an eighth of the shortest
# objective.  Among alike ones all routers prefer the same engine.
ALIKE_SECONDS = 0.075
# Seconds that one running request adds to the wait: 500 prompt tokens' time.
RUNNING_SECONDS = 0.01
# Part of a shared prompt that the first engine in its order is taken to have
# cached when nobody is known to have it, as after a restart of all routers.
PRESUMED_SHARE = 0.5
# Shared prompt tokens below which reading them again costs less than the
# bytes between data centres: 1,000 are read in 20 ms.
SHARED_LEAST = 1000
# Levels of how unevenly streams come that are told apart; a better level
# outweighs the bytes between data centres.  Of 8,579 short prompts on six days
# of seven routers, 821 came late in place of 1,497 (paired plays).
UNEVEN_LEVELS = 4
# Streams that this router may have at an engine against the mean of those
# that it could be sent to; beyond it the next one in order is taken (bounded
# loads, Mirrokni et al., 2016).  In a model, the part of what was asked for
# that was earned rose from .60 to .64 with too few engines and from .50 to .56
# with slow ones (eight seeds each, standard error .02).
SPREAD = 1.25
# Requests by which a plain upstream of the own data centre may be busier.
NEAR_BONUS = 2


class UpstreamState:
    """An upstream as this router sees it.

    :ivar outstanding: requests of this router that run there
    :ivar backlog: what it has still to read, a Backlog
    :ivar pacing: how evenly its streams come, a Pacing
    """

    __slots__ = (
        "record",
        "outstanding",
        "backlog",
        "pacing",
        "failures",
        "ejected_until",
    )

    def __init__(self, record):
        self.record = record
        self.outstanding = 0
        self.backlog = Backlog()
        self.pacing = Pacing()
        self.failures = 0
        self.ejected_until = 0.0

    def wait(self, unread, now):
        """Return the seconds to the first event of one more request.

        :param unread: prompt tokens of it that are not cached there
        """
        running = RUNNING_SECONDS * self.outstanding
        return self.backlog.seconds(unread, now) + running

    def note_success(self):
        """Note that it answered a request."""
        self.failures = 0

    def note_failure(self, now, weight=1):
        """Note that it failed; leave it out for a while if it goes on."""
        self.failures += weight
        if self.failures >= EJECT_AFTER:
            self.failures = EJECT_AFTER - 1
            self.ejected_until = now + EJECT_SECONDS


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
        waits = [s.wait(self.unread(s, job, now), now) for s in candidates]
        objective = job.route.objective
        return overload.late_start(waits, objective, job.priority, now)

    def choose(self, candidates, job, now):
        if job.shared < SHARED_LEAST:
            state = self._choose_short(candidates, job, now)
        else:
            state = self._choose_long(candidates, job, now)
        state.pacing.follow(job, now)
        return state

    def _choose_short(self, candidates, job, now):
        """Choose by pauses first, then by the data centre."""
        fit = self._less_loaded(self._in_time(candidates, job, now))
        even = self._evenest(fit, now)
        fit = self._near(even) or even or candidates
        return self._soonest(fit, job, now)

    def _choose_long(self, candidates, job, now):
        """Choose by what is cached, if it is in time there."""
        cached = self._cached(candidates, job, now)
        in_time = self._in_time(cached, job, now)
        if not in_time:
            in_time = self._in_time(candidates, job, now)
        even = self._evenest(in_time, now)
        # Where none is in time, reading a prompt again helps nobody.
        return self._soonest(even or cached or candidates, job, now)

    def unread(self, state, job, now):
        """Return the prompt tokens that an engine has to read of a job."""
        if state.record.id in self._prefixes.engines(job.prefix, now):
            return job.tokens.prompt - job.shared
        return job.tokens.prompt

    def _evenest(self, candidates, now):
        """Return those whose streams lately came the most evenly."""
        levels = [
            int(UNEVEN_LEVELS * state.pacing.uneven_share(now))
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
        engines = self._prefixes.engines(job.prefix, now)
        return [state for state in candidates if state.record.id in engines]

    def _in_time(self, candidates, job, now):
        limit = IN_TIME_SHARE * job.route.objective
        return [
            state
            for state in candidates
            if state.wait(self.unread(state, job, now), now) <= limit
        ]

    def _soonest(self, candidates, job, now):
        """Return whose first event comes first, by one order if alike."""
        by_id = {state.record.id: state for state in candidates}
        order = rendezvous(job.affinity or job.id, by_id)
        presumed = self._presumed(order[0], job, now)

        def weight(rank):
            state = by_id[order[rank]]
            unread = self.unread(state, job, now)
            if rank == 0:
                unread -= presumed
            return int(state.wait(unread, now) / ALIKE_SECONDS), rank

        return by_id[order[min(range(len(order)), key=weight)]]

    def _presumed(self, first, job, now):
        """Return the tokens that the first engine may have cached unheard."""
        if self._prefixes.engines(job.prefix, now):
            return 0
        return int(PRESUMED_SHARE * job.shared)


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


class UpstreamPool:
    """The states of all upstreams, by service."""

    def __init__(self):
        self._states = {}

    def update(self, upstreams):
        """Take over a list of upstreams.

        One that started again under its id begins without a past.

        :param upstreams: Upstream by id
        :returns: the ids of those that started again
        """
        states, restarted = {}, []
        for name, record in upstreams.items():
            state = self._states.get(name)
            if state is not None and state.record.run != record.run:
                restarted.append(name)
                state = None
            state = state or UpstreamState(record)
            state.record = record
            states[name] = state
        self._states = states
        return restarted

    def get(self, name):
        """Return the UpstreamState of an upstream's id, or None."""
        return self._states.get(name)

    def candidates(self, service, avoid, now):
        """Return the UpstreamStates that a request may go to.

        :param avoid: UpstreamRuns that it is not to meet again

        Ejected ones are among them only if half of the service or more is
        ejected: then the fault is hardly the upstreams' own.
        """
        taking = [
            state
            for state in self._states.values()
            if state.record.service == service and not state.record.leaving
        ]
        healthy = [s for s in taking if s.ejected_until <= now]
        if 2 * len(healthy) < len(taking):
            healthy = taking
        fresh = [s for s in healthy if s.record.run not in avoid]
        return fresh or [s for s in taking if s.record.run not in avoid]
