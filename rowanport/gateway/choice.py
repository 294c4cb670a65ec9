"""Which upstream a request goes to.

Engines: rendezvous hashing by the shared part of the prompt, so that it is
found in their cache, with a bound on the tokens that still have to be read.
Plain services: the least busy one, of the own data centre first.
"""

import abc

from ..hashing import rendezvous

# Failures in a row after which an upstream is left out, and for how long in
# seconds; a failed connection counts as that many.
EJECT_AFTER = 2
EJECT_SECONDS = 2.0
# Load above the mean, as a factor and in prompt tokens, at which a request
# goes to the next upstream in its order: 20,000 tokens are 0.4 s of reading
# for an engine, half of the shortest objective.
LOAD_FACTOR = 1.25
LOAD_SLACK = 20000
# What one running request weighs beside tokens to be read.
RUNNING_WEIGHT = 500
# Shared prompt tokens below which reading them again costs less than the
# bytes between data centres: 1,000 are read in 20 ms.
SHARED_LEAST = 1000
# Requests by which a plain upstream of the own data centre may be busier.
NEAR_BONUS = 2


class UpstreamState:
    """An upstream as this router sees it.

    :ivar outstanding: requests of this router that run there
    :ivar unread: prompt tokens of those without a first event yet
    """

    __slots__ = (
        "record",
        "outstanding",
        "unread",
        "failures",
        "ejected_until",
        "served",
    )

    def __init__(self, record):
        self.record = record
        self.outstanding = 0
        self.unread = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.served = 0

    @property
    def load(self):
        """Return its load in prompt tokens."""
        return self.unread + RUNNING_WEIGHT * self.outstanding

    def note_success(self):
        """Note that it answered a request."""
        self.failures = 0
        self.served += 1

    def note_failure(self, now, weight=1):
        """Note that it failed; leave it out for a while if it goes on."""
        self.failures += weight
        if self.failures >= EJECT_AFTER:
            self.failures = EJECT_AFTER - 1
            self.ejected_until = now + EJECT_SECONDS


class Choice(abc.ABC):
    """Chooses among upstreams of one service."""

    @abc.abstractmethod
    def choose(self, candidates, key, shared):
        """Return one of some UpstreamStates, at least one.

        :param key: what the request should be near, or ""
        :param shared: prompt tokens that it shares with others
        """


class PrefixChoice(Choice):
    """For engines: keep equal prompts together while loads allow.

    Prompts that share little go to engines of the own data centre.
    """

    def __init__(self, data_centre):
        self._data_centre = data_centre

    def choose(self, candidates, key, shared):
        if shared < SHARED_LEAST:
            near = [
                state
                for state in candidates
                if state.record.data_centre == self._data_centre
            ]
            candidates = near or candidates
        by_id = {state.record.id: state for state in candidates}
        mean = sum(state.load for state in candidates) / len(candidates)
        bound = LOAD_FACTOR * mean + LOAD_SLACK
        for name in rendezvous(key, by_id):
            if by_id[name].load <= bound:
                return by_id[name]
        return min(candidates, key=lambda state: state.load)


class NearestChoice(Choice):
    """For plain services: the least busy, near ones first."""

    def __init__(self, data_centre):
        self._data_centre = data_centre

    def choose(self, candidates, key, shared):
        order = rendezvous(key, [state.record.id for state in candidates])
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

        :param upstreams: Upstream by id
        """
        states = {}
        for name, record in upstreams.items():
            state = self._states.get(name) or UpstreamState(record)
            state.record = record
            states[name] = state
        self._states = states

    def candidates(self, service, avoid, now):
        """Return the UpstreamStates that a request may go to.

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
        fresh = [s for s in healthy if s.record.id not in avoid]
        return fresh or [s for s in taking if s.record.id not in avoid]
