"""The wall clocks of the fleet: the earliest and the latest of them.

One machine's time of day may jump.  Whoever needs an upper bound of a time
that passed compares the earliest clock then with the latest clock now: it is
too short only if all clocks that were heard jumped alike.
"""

# Seconds for which a peer's clock is taken as heard.
OFFSET_SECONDS = 5.0


class FleetClocks:
    """What peers' wall clocks said, relative to the own one.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._offsets = {}

    def observe(self, peer, wall):
        """Note a peer's wall time, just received."""
        now = self._clock.steady()
        self._offsets[peer] = (wall - self._clock.wall(), now)

    def _recent_offsets(self):
        limit = self._clock.steady() - OFFSET_SECONDS
        return [
            off
            for off, observed_at in self._offsets.values()
            if observed_at > limit
        ]

    @property
    def has_recent_peers(self):
        """Return whether any peer's clock was heard lately."""
        return bool(self._recent_offsets())

    def earliest(self):
        """Return the earliest wall time that any clock shows now."""
        return self._clock.wall() + min([0.0, *self._recent_offsets()])

    def latest(self):
        """Return the latest wall time that any clock shows now."""
        return self._clock.wall() + max([0.0, *self._recent_offsets()])
