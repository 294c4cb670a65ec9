"""The evacuated data centres at one revision of the store."""


class EvacuationChange:
    """A change of one data centre's record.

    :ivar revision: revision of the store at which it was made
    :ivar data_centre: name of the data centre
    :ivar evacuated: whether the record exists since then
    """

    __slots__ = ("revision", "data_centre", "evacuated")

    def __init__(self, revision, data_centre, evacuated):
        self.revision = revision
        self.data_centre = data_centre
        self.evacuated = evacuated


class Evacuations:
    """The data centres to whose upstreams no new requests are sent.

    The state is always complete as of its revision: it is replaced as a whole
    by a later one, or advanced by all changes since.  So copies that arrive
    late or out of order, from the store or from peers, change nothing, and a
    withdrawal needs no record of its own.

    :ivar unreadable: number of records seen with content that nobody expects
    """

    def __init__(self):
        self._revision = 0
        self._data_centres = frozenset()
        self._returned_at = {}
        self.unreadable = 0

    @property
    def revision(self):
        """Return the revision of the store, 0 if nothing is known."""
        return self._revision

    @property
    def data_centres(self):
        """Return the names of the evacuated data centres, a frozenset."""
        return self._data_centres

    def covers(self, data_centre):
        """Return whether a data centre is evacuated."""
        return data_centre in self._data_centres

    def returned_at(self, data_centre):
        """Return when the last evacuation of a data centre was seen to end.

        :returns: monotonic time, None if none was seen
        """
        return self._returned_at.get(data_centre)

    def replace(self, revision, data_centres, now):
        """Replace the state by a complete one if that is newer.

        :param revision: revision of the store to which it is complete
        :param data_centres: names of the evacuated data centres
        :param now: monotonic time
        :returns: whether other data centres are evacuated now
        """
        if revision <= self._revision:
            return False
        self._revision = revision
        previous = self._data_centres
        self._data_centres = frozenset(data_centres)
        for name in previous - self._data_centres:
            self._returned_at[name] = now
        return self._data_centres != previous

    def apply(self, changes, now):
        """Advance the state by all changes since its revision.

        :param changes: EvacuationChanges in any order; older ones, which the
            state includes, do no harm
        :param now: monotonic time
        :returns: whether other data centres are evacuated now
        """
        data_centres = set(self._data_centres)
        revision = self._revision
        for change in sorted(changes, key=lambda one: one.revision):
            if change.revision <= self._revision:
                continue
            revision = change.revision
            if change.evacuated:
                data_centres.add(change.data_centre)
            else:
                data_centres.discard(change.data_centre)
        return self.replace(revision, data_centres, now)
