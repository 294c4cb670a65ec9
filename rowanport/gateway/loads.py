"""Tells peers of long prompts, so that they do not meet at one engine.

Each router sees only its own requests.  Eight routers that each believe an
engine idle send it eight prompts at once, and all of them are late.  So a
router tells its peers of each long prompt as it sends it.  A note that is
lost costs a worse choice, nothing else; nobody waits for one.
"""

from ..incarnation import address_of
from ..rates import DecayingRate
from ..schema.messages import LoadNote

# Prompt tokens below which a send is not told: they are read in 50 ms, one
# twelfth of the shortest objective.
NOTE_LEAST = 2000
# Notes that a router sends a second, and with that hears: all peers are told
# in the fleets of today, a sample in larger ones.  At 33 bytes a note this is
# half of the 5 KB/s that control may cost.
NOTES_A_SECOND = 75
# Peers that are told at least.
LEAST_FANOUT = 8
# Half life in seconds of the rate of sends by which the sample is sized.
RATE_HALF_LIFE = 5.0
RATE_LEAST_AGE = 2.0


class LoadNotes:
    """Keeps backlogs and cached prompts by what this router and peers send.

    :param pool: the UpstreamPool
    :param prefixes: the PrefixMap
    :param peers: a PeerClient
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, pool, prefixes, peers, members, clock):
        self._pool = pool
        self._prefixes = prefixes
        self._peers = peers
        self._members = members
        self._clock = clock
        self._rate = DecayingRate(RATE_HALF_LIFE, RATE_LEAST_AGE)

    def note_send(self, state, prefix, unread):
        """Count a send of this router and tell peers of it.

        :param state: the UpstreamState that it goes to
        :param prefix: hash of its shared prompt
        :param unread: prompt tokens that the engine has to read
        :returns: prompt tokens that the engine has to read with it
        """
        now = self._clock.steady()
        if unread >= NOTE_LEAST:
            note = LoadNote(state.record.id, prefix, unread)
            peers = self._members.ready_others()[: self._fanout(now)]
            self._peers.tell(map(address_of, peers), note)
        self._prefixes.note(prefix, state.record.id, now)
        return state.backlog.add(unread, now)

    def _fanout(self, now):
        """Count a note that is about to be sent; return to how many peers."""
        self._rate.add(1, now)
        return max(LEAST_FANOUT, int(NOTES_A_SECOND / self._rate.rate(now)))

    def take(self, note):
        """Take in a LoadNote of a peer."""
        now = self._clock.steady()
        self._prefixes.note(note.prefix, note.upstream, now)
        state = self._pool.get(note.upstream)
        if state is not None:
            state.backlog.add(note.tokens, now)
