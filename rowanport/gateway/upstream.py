"""Upstreams as listed in the directory, and the list of all upstreams."""

import zlib

import msgpack


class UpstreamRun:
    """Identifies one run of an upstream, from its start to its end.

    :ivar id: the upstream's id
    :ivar born: Unix time in milliseconds at which the run started, 0 if
        unknown
    """

    __slots__ = ("id", "born")

    def __init__(self, id_, born):
        self.id = id_
        self.born = born

    @property
    def name(self):
        """Return id and start time as one string."""
        return f"{self.id}@{self.born}" if self.born else self.id

    def __eq__(self, other):
        return (self.id, self.born) == (other.id, other.born)

    def __hash__(self):
        return hash((self.id, self.born))


class Upstream:
    """One run of one upstream.

    :ivar id: unique id, which may stay the same after a restart
    :ivar service: name of the service that it belongs to
    :ivar address: IP and port, which may be reused by another upstream
    :ivar slots: number of requests that it runs at once
    :ivar leaving: whether it accepts no new requests
    :ivar born: Unix time in milliseconds at which it started, 0 if unknown;
        runs with different start times share no state
    :ivar lapsing: whether its entry is missing, and the upstream is retained
        for a while because the entry may have expired in a store outage
    :ivar version: version of its software, "" if unknown
    :ivar cold_until: monotonic time until which it is cold by its entry; a
        time in the past if it is warm
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
        "version",
        "cold_until",
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
        version="",
        cold_until=0.0,
    ):
        self.id = id_
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.leaving = leaving
        self.born = born
        self.lapsing = lapsing
        self.version = version
        self.cold_until = cold_until

    @property
    def run(self):
        """Return the UpstreamRun that identifies this run."""
        return UpstreamRun(self.id, self.born)

    def fields(self):
        """Return the values of the slots up to ``lapsing``, in their order.

        Routers of earlier versions read no more; see UpstreamDelta.pack.
        """
        return [getattr(self, slot) for slot in self.__slots__[:-2]]

    def as_lapsing(self):
        """Return a copy that is marked as lapsing."""
        upstream = Upstream(
            *self.fields(), version=self.version, cold_until=self.cold_until
        )
        upstream.lapsing = True
        return upstream

    def __eq__(self, other):
        if not isinstance(other, Upstream):
            return NotImplemented
        same = self.fields() == other.fields()
        same = same and self.version == other.version
        return same and self.cold_until == other.cold_until


class UpstreamList:
    """All upstreams at one revision of the directory.

    :ivar revision: revision of the directory
    :ivar step: counts the changes that routers made at the same revision,
        such as dropping an upstream whose entry stayed missing for too long
    :ivar upstreams: Upstream by id
    """

    __slots__ = (
        "revision",
        "step",
        "upstreams",
        "_digest",
        "_versions_digest",
    )

    def __init__(self, revision=0, upstreams=(), step=0):
        self.revision = revision
        self.step = step
        self._digest = None
        self._versions_digest = None
        self.upstreams = {upstream.id: upstream for upstream in upstreams}

    @property
    def version(self):
        """Return (revision, step), which is greater for a newer list."""
        return (self.revision, self.step)

    @property
    def digest(self):
        """Return a checksum of all upstreams that are not lapsing.

        Lapsing upstreams are left out since each router drops them at its own
        time.
        """
        if self._digest is None:
            listed = self.upstreams.values()
            rows = [u.fields() for u in listed if not u.lapsing]
            self._digest = zlib.crc32(msgpack.packb(sorted(rows)))
        return self._digest

    @property
    def versions_digest(self):
        """Return a checksum of the versions of all upstreams not lapsing."""
        if self._versions_digest is None:
            listed = self.upstreams.values()
            rows = [(u.id, u.version) for u in listed if not u.lapsing]
            packed = msgpack.packb(sorted(rows))
            self._versions_digest = zlib.crc32(packed)
        return self._versions_digest

    def versions(self, service):
        """Return the versions of a service's upstreams, the leaving ones too.

        A set, in which "" stands for versions that are not known.
        """
        return {
            upstream.version
            for upstream in self.upstreams.values()
            if upstream.service == service
        }
