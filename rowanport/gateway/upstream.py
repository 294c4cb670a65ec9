"""Upstreams as the directory lists them, and the list as a whole."""

import zlib

import msgpack


class UpstreamRun:
    """What tells two runs of upstreams apart.

    :ivar id: the upstream's id
    :ivar born: when this run began
    """

    __slots__ = ("id", "born")

    def __init__(self, id_, born):
        self.id = id_
        self.born = born

    @property
    def name(self):
        """Return one text for both."""
        return f"{self.id}@{self.born}" if self.born else self.id

    def __eq__(self, other):
        return (self.id, self.born) == (other.id, other.born)

    def __hash__(self):
        return hash((self.id, self.born))


class Upstream:
    """One run of one upstream.

    :ivar id: found nowhere else; a restart may keep it
    :ivar service: the service that it belongs to
    :ivar address: IP and port, which another upstream may get later
    :ivar slots: requests that it runs at once
    :ivar leaving: whether it takes no new work
    :ivar born: Unix time in milliseconds at which it started, 0 if unknown;
        a run that began at another time knows nothing of this one
    :ivar lapsing: whether its entry is gone, and it is kept for a while as
        the entry may only have lapsed in an outage of the store
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "leaving",
        "born",
        "lapsing",
    )

    def __init__(
        self,
        id_,
        service,
        address,
        data_centre,
        slots,
        leaving,
        born=0,
        lapsing=False,
    ):
        self.id = id_
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.leaving = leaving
        self.born = born
        self.lapsing = lapsing

    @property
    def run(self):
        """Return its UpstreamRun."""
        return UpstreamRun(self.id, self.born)

    def fields(self):
        """Return the values of all slots, in their order."""
        return [getattr(self, slot) for slot in self.__slots__]

    def as_lapsing(self):
        """Return the same upstream without its entry."""
        upstream = Upstream(*self.fields())
        upstream.lapsing = True
        return upstream

    def __eq__(self, other):
        if not isinstance(other, Upstream):
            return NotImplemented
        return self.fields() == other.fields()


class UpstreamList:
    """All upstreams at one revision of the directory.

    :ivar revision: the directory's
    :ivar step: counts what a router concluded from the same revision, such
        as that an entry stayed away for too long
    :ivar upstreams: Upstream by id
    """

    __slots__ = ("revision", "step", "upstreams", "_digest")

    def __init__(self, revision=0, upstreams=(), step=0):
        self.revision = revision
        self.step = step
        self._digest = None
        self.upstreams = {upstream.id: upstream for upstream in upstreams}

    @property
    def version(self):
        """Return what is greater for a newer list."""
        return (self.revision, self.step)

    @property
    def digest(self):
        """Return a checksum, without what is kept as a guess.

        Routers end their guesses by themselves, each at its own time.
        """
        if self._digest is None:
            listed = self.upstreams.values()
            rows = [u.fields() for u in listed if not u.lapsing]
            self._digest = zlib.crc32(msgpack.packb(sorted(rows)))
        return self._digest
