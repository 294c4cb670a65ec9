"""Announces long prompts to peers, so that they do not all pick one engine.

Each router sees only its own requests.  If eight routers each believe that an
engine is idle, they send it eight prompts at once, and all of these are late.
Therefore a router sends its peers a LoadNote for each long prompt.  Delivery
is best-effort: nothing waits for a LoadNote, and a lost one only leads to a
worse choice of engine.

LoadNotes are only sent on open connections.  In a large fleet a router has few
of these, so it sends to the routers that watch the store (store_watchers); the
others receive the LoadNotes when they poll the watchers for changes.
"""

import random

from ..incarnation import address_of
from ..rates import DecayingRate
from ..schema.messages import LoadNote
from .load_history import LoadHistory
from .store_watchers import FULL_MESH_LIMIT
from .store_watchers import store_watchers

# Sends with fewer prompt tokens to read are not announced: an engine reads
# 2,000 tokens in 50 ms, one twelfth of the shortest objective.
MIN_ANNOUNCED_TOKENS = 2000
# LoadNotes that a router sends per second, and so receives: enough for all
# peers in present fleets, for a sample of them in larger ones.  At 33 bytes
# each this is half of the 5 KB/s allowed for control traffic.
ANNOUNCEMENTS_PER_SECOND = 75
# Minimum number of peers that receive an announcement.
MIN_FANOUT = 8
# Half-life in seconds of the moving rate of sends that determines the sample
# size.
RATE_HALF_LIFE = 5.0
MIN_RATE_AGE = 2.0


class LoadSync:
    """Updates backlogs and the prefix map with sends of this router and peers.

    :param pool: the UpstreamPool
    :param prefixes: the PrefixMap
    :param peers: a PeerClient
    :param members: the Membership
    :param address: this router's peer address
    :param clock: a Clock
    """

    def __init__(self, pool, prefixes, peers, members, address, clock):
        self._pool = pool
        self._prefixes = prefixes
        self._peers = peers
        self._members = members
        self._clock = clock
        self._address = address
        self._history = LoadHistory(clock)
        self._polled_until = clock.steady()
        self._rate = DecayingRate(RATE_HALF_LIFE, MIN_RATE_AGE)

    def record_send(self, state, prefix, uncached):
        """Record a send of this router and announce it to peers.

        :param state: UpstreamState of the engine
        :param prefix: hash of the shared prompt
        :param uncached: prompt tokens of the request that have to be read
        :returns: prompt tokens that the engine has to read in all, those of
            the request included
        """
        now = self._clock.steady()
        if uncached >= MIN_ANNOUNCED_TOKENS:
            note = LoadNote(state.record.id, prefix, uncached, self._address)
            self._peers.tell(self._recipients(now), note)
            self._history.add(note)
        self._prefixes.record(prefix, state.record.id, now)
        return state.backlog.add(uncached, now)

    def _recipients(self, now):
        """Count an announcement; return the addresses that receive it."""
        count = self._fanout(now)
        if self._is_large_fleet:
            peers = store_watchers(self._members)
            return random.sample(peers, min(count, len(peers)))
        return map(address_of, self._members.ready_peers()[:count])

    @property
    def _is_large_fleet(self):
        """Return whether most routers poll store watchers for sends."""
        return len(self._members.live_peers()) > FULL_MESH_LIMIT

    def _fanout(self, now):
        """Count an announcement; return how many peers receive it."""
        self._rate.add(1, now)
        return max(
            MIN_FANOUT, int(ANNOUNCEMENTS_PER_SECOND / self._rate.rate(now))
        )

    def advance_poll_window(self):
        """Return the time span in seconds for which to poll LoadNotes.

        The next poll covers the time after this call, so that LoadNotes in a
        lost answer are not requested again.

        :returns: 0 if this router receives announcements directly
        """
        now = self._clock.steady()
        seconds = now - self._polled_until
        self._polled_until = now
        if not self._is_large_fleet or self._address in store_watchers(
            self._members
        ):
            return 0.0
        return seconds

    def recent(self, seconds, poller):
        """Return the LoadNotes received within the last seconds.

        :param seconds: length of the time span
        :param poller: peer address of the router that polls; its own
            LoadNotes are left out
        """
        return self._history.recent(seconds, poller)

    def receive(self, note):
        """Apply a LoadNote of its sender, and keep it for peers that poll."""
        self._history.add(note)
        self.apply(note)

    def apply(self, note):
        """Update the prefix map and the engine's backlog by a LoadNote."""
        now = self._clock.steady()
        self._prefixes.record(note.prefix, note.upstream, now)
        state = self._pool.get(note.upstream)
        if state is not None:
            state.backlog.add(note.tokens, now)
