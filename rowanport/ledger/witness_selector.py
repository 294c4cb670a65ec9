"""Selects witnesses for reservations that a router makes for itself.

If a router is killed that was both entry router and home router of a run,
only the witness knows of the run and can settle it.
"""

from ..hashing import rendezvous
from ..incarnation import cell_of
from ..membership.members import READY


class WitnessSelector:
    """Selects the witnesses of one router.

    :param incarnation: incarnation of this router
    :param members: the Membership
    """

    def __init__(self, incarnation, members):
        self._incarnation = incarnation
        self._members = members

    def choose(self, failed):
        """Return the witness to ask next, or None if there is none.

        A router of the same cell is preferred.  If none is alive, one of
        another cell is asked.  Otherwise, in a cell of two routers, a witness
        that is slow once would leave the next runs without a witness, and
        their tokens unbilled if the router was killed.  Only one router of
        another cell is tried, as a cell that is cut off reaches none of them.

        :param failed: witnesses that did not answer for this request
        """
        local = self._members.witness()
        if local is not None:
            return local
        if not all(map(self._is_local, failed)):
            return None
        return self._remote_witness()

    def entries(self):
        """Return the incarnations that may reserve at this router."""
        entries = self._members.entries()
        if entries != [self._incarnation]:
            return entries
        # Listed in advance, as a reservation has to wait until its entry is
        # written to the shard.
        remote = self._remote_witness()
        return [*entries, remote] if remote is not None else entries

    def _remote_witness(self):
        names = [
            entry.incarnation
            for entry in self._members.live()
            if entry.state == READY and not self._is_local(entry.incarnation)
        ]
        order = rendezvous(self._incarnation, names)
        return order[0] if order else None

    def _is_local(self, incarnation):
        return cell_of(incarnation) == cell_of(self._incarnation)
