"""The earliest and the latest wall clock of the fleet.

One machine's wall clock may jump.  An upper bound of an elapsed time is the
difference between the latest clock now and the earliest clock then.  It is too
short only if all observed clocks jumped alike.
"""

# Seconds for which an observed offset of a peer's clock is used.
OFFSET_SECONDS = 5.0


class FleetClocks:
    """Offsets of peers' wall clocks from this router's clock.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._offsets = {}

    def observe(self, peer, wall):
        """Record a peer's wall time that was just received."""
        now = self._clock.steady()
        self._offsets[peer] = (wall - self._clock.wall(), now)

    def _recent_offsets(self):
        oldest = self._clock.steady() - OFFSET_SECONDS
        return [
            offset
            for offset, observed_at in self._offsets.values()
            if observed_at > oldest
        ]

    @property
    def has_recent_peers(self):
        """Return whether any peer's clock was observed recently."""
        return bool(self._recent_offsets())

    def earliest(self):
        """Return the earliest wall time that any clock shows now."""
        return self._clock.wall() + min([0.0, *self._recent_offsets()])

    def latest(self):
        """Return the latest wall time that any clock shows now."""
        return self._clock.wall() + max([0.0, *self._recent_offsets()])
