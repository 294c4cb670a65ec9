"""Tells peers of long prompts, so that they do not meet at one engine.

Each router sees only its own requests.  Eight routers that each believe an
engine idle send it eight prompts at once, and all of them are late.  So a
router tells its peers of each long prompt as it sends it.  A note that is
lost costs a worse choice, nothing else; nobody waits for one.
"""

from ..incarnation import address_of
from ..schema.messages import LoadNote

# Prompt tokens below which a send is not told: they are read in 50 ms, one
# twelfth of the shortest objective.
NOTE_LEAST = 2000
# Peers that are told.  All of them in the fleets of today; a router of a
# larger fleet hears a sample, 25 notes of 33 bytes a second at the target.
NOTE_FANOUT = 8


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
            for peer in self._members.ready_others()[:NOTE_FANOUT]:
                self._peers.tell(address_of(peer), note)
        self._prefixes.note(prefix, state.record.id, now)
        return state.backlog.add(unread, now)

    def take(self, note):
        """Take in a LoadNote of a peer."""
        now = self._clock.steady()
        self._prefixes.note(note.prefix, note.upstream, now)
        state = self._pool.get(note.upstream)
        if state is not None:
            state.backlog.add(note.tokens, now)
