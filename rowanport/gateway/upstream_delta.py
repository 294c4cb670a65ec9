"""What changed between two lists of upstreams, as routers tell each other.

A list of many upstreams passes slowly on a full link, and changes by a few at
a time.
"""

import zlib

import msgpack

from ..errors import MessageError
from .upstream import Upstream
from .upstream import UpstreamList

# Version of a list that is told to who has none.
NO_LIST = (0, 0)
# Upstreams whose last change is remembered; who missed more is told the whole
# list.
CHANGES_KEPT = 2000


class UpstreamDelta:
    """What leads from one version of a list to a later one.

    :ivar base: version that it starts from, NO_LIST if it is a whole list
    :ivar version: version that it leads to
    :ivar digest: of the list that it leads to
    :ivar changed: the Upstreams that changed or came
    :ivar gone: ids of those that went
    """

    __slots__ = ("base", "version", "digest", "changed", "gone")

    def __init__(self, base, version, digest, changed, gone):
        self.base = tuple(base)
        self.version = tuple(version)
        self.digest = digest
        self.changed = changed
        self.gone = gone

    def pack(self):
        """Return the bytes for a peer."""
        rows = [upstream.fields() for upstream in self.changed]
        fields = [self.base, self.version, self.digest, rows, self.gone]
        return zlib.compress(msgpack.packb(fields))

    @classmethod
    def unpack(cls, data):
        """Return the delta in a peer's bytes; raise MessageError if unfit."""
        try:
            base, version, digest, rows, gone = msgpack.unpackb(
                zlib.decompress(data)
            )
            changed = [Upstream(*row) for row in rows]
            return cls(base, version, digest, changed, gone)
        except (
            ValueError,
            TypeError,
            zlib.error,
            msgpack.UnpackException,
        ):
            raise MessageError("malformed list of upstreams") from None

    def apply(self, known):
        """Return the UpstreamList that it leads to.

        :param known: the UpstreamList in force
        :returns: None if it starts from a later one than that
        """
        if known.version < self.base:
            return None
        upstreams = {}
        if self.base != NO_LIST:
            upstreams.update(known.upstreams)
        for name in self.gone:
            upstreams.pop(name, None)
        for upstream in self.changed:
            upstreams[upstream.id] = upstream
        revision, step = self.version
        return UpstreamList(revision, upstreams.values(), step)


class ChangeLog:
    """When each upstream of a list last changed."""

    def __init__(self):
        self._changed_at = {}
        self._floor = NO_LIST

    def note(self, old, new):
        """Note that an UpstreamList took the place of another one."""
        if old.version == NO_LIST:
            self._floor = new.version
            return
        for name in old.upstreams.keys() | new.upstreams.keys():
            before, after = old.upstreams.get(name), new.upstreams.get(name)
            # Most of a list are the same objects as in the one before.
            if before is not after and before != after:
                # The latest changes stay at the end.
                self._changed_at.pop(name, None)
                self._changed_at[name] = new.version
        while len(self._changed_at) > CHANGES_KEPT:
            oldest = next(iter(self._changed_at))
            self._floor = self._changed_at.pop(oldest)

    def delta(self, base, known):
        """Return the UpstreamDelta to the list in force.

        :param base: version of the list that is to be changed
        :param known: the UpstreamList in force
        """
        upstreams = known.upstreams
        if base < self._floor or base == NO_LIST:
            return UpstreamDelta(
                NO_LIST,
                known.version,
                known.digest,
                list(upstreams.values()),
                [],
            )
        names = [n for n, at in self._changed_at.items() if at > base]
        return UpstreamDelta(
            base,
            known.version,
            known.digest,
            [upstreams[name] for name in names if name in upstreams],
            [name for name in names if name not in upstreams],
        )
