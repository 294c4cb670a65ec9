"""Tells peers of long prompts, so that they do not meet at one engine.

Each router sees only its own requests.  Eight routers that each believe an
engine idle send it eight prompts at once, and all of them are late.  So a
router tells its peers of each long prompt as it sends it.  A note that is
lost costs a worse choice, nothing else; nobody waits for one.

Notes go out on connections that are open.  In a larger fleet these are few, so
notes go to the routers that follow the store; the others hear them from these
with the answers to the questions that they ask anyway.
"""

import random

from ..incarnation import address_of
from ..rates import DecayingRate
from ..schema.messages import LoadNote
from .load_history import LoadHistory
from .store_watchers import FULL_MESH_LIMIT
from .store_watchers import store_watchers

# Prompt tokens below which a send is not told: they are read in 50 ms, one
# twelfth of the shortest objective.
MIN_ANNOUNCED_TOKENS = 2000
# Notes that a router sends a second, and with that hears: all peers are told
# in the fleets of today, a sample in larger ones.  At 33 bytes a note this is
# half of the 5 KB/s that control may cost.
ANNOUNCEMENTS_PER_SECOND = 75
# Peers that are told at least.
MIN_FANOUT = 8
# Half life in seconds of the rate of sends by which the sample is sized.
RATE_HALF_LIFE = 5.0
RATE_LEAST_AGE = 2.0


class LoadSync:
    """Keeps backlogs and cached prompts by what this router and peers send.

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
        self._asked_at = clock.steady()
        self._rate = DecayingRate(RATE_HALF_LIFE, RATE_LEAST_AGE)

    def record_send(self, state, prefix, unread):
        """Count a send of this router and tell peers of it.

        :param state: the UpstreamState that it goes to
        :param prefix: hash of its shared prompt
        :param unread: prompt tokens that the engine has to read
        :returns: prompt tokens that the engine has to read with it
        """
        now = self._clock.steady()
        if unread >= MIN_ANNOUNCED_TOKENS:
            note = LoadNote(state.record.id, prefix, unread, self._address)
            self._peers.tell(self._listeners(now), note)
            self._history.add(note)
        self._prefixes.record(prefix, state.record.id, now)
        return state.backlog.add(unread, now)

    def _listeners(self, now):
        """Count a note that is about to be sent; return who is told."""
        count = self._fanout(now)
        if self._is_large:
            peers = store_watchers(self._members)
            return random.sample(peers, min(count, len(peers)))
        return map(address_of, self._members.ready_peers()[:count])

    @property
    def _is_large(self):
        """Return whether most routers hear of sends from those that follow."""
        return len(self._members.live_peers()) > FULL_MESH_LIMIT

    def _fanout(self, now):
        """Count a note that is about to be sent; return to how many peers."""
        self._rate.add(1, now)
        return max(
            MIN_FANOUT, int(ANNOUNCEMENTS_PER_SECOND / self._rate.rate(now))
        )

    def advance_poll_window(self):
        """Return for which last seconds to ask for notes, 0 for none.

        The next question begins where this one ends: what is lost with its
        answer is not asked for again.
        """
        now = self._clock.steady()
        seconds = now - self._asked_at
        self._asked_at = now
        if not self._is_large or self._address in store_watchers(
            self._members
        ):
            return 0.0
        return seconds

    def recent(self, seconds, asker):
        """Return the notes heard in some last seconds, not the asker's."""
        return self._history.recent(seconds, asker)

    def receive(self, note):
        """Take in a LoadNote of its sender, and keep it for others."""
        self._history.add(note)
        self.apply(note)

    def apply(self, note):
        """Take in a LoadNote."""
        now = self._clock.steady()
        self._prefixes.record(note.prefix, note.upstream, now)
        state = self._pool.get(note.upstream)
        if state is not None:
            state.backlog.add(note.tokens, now)
