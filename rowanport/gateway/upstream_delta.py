"""Deltas between two lists of upstreams, which routers send each other.

A complete list of many upstreams takes long on a congested link, and only a
few upstreams change at a time.
"""

import zlib

import msgpack

from ..errors import MessageError
from ..warmup import MAX_COLD_SECONDS
from .upstream import Upstream
from .upstream import UpstreamList

# Version that a router without a list reports.
NO_LIST = (0, 0)
# Upstreams whose last change is remembered; a router that missed more changes
# gets the complete list.
MAX_CHANGES = 2000


class UpstreamDelta:
    """The difference between one version of a list and a later one.

    :ivar base: version that it applies to, NO_LIST for a complete list
    :ivar version: version of the resulting list
    :ivar digest: digest of the resulting list
    :ivar changed: the Upstreams that were added or changed
    :ivar removed: ids of the upstreams that were removed
    :ivar versions_digest: versions_digest of the resulting list, None if the
        sender does not know versions
    """

    __slots__ = (
        "base",
        "version",
        "digest",
        "changed",
        "removed",
        "versions_digest",
    )

    def __init__(
        self, base, version, digest, changed, removed, versions_digest=None
    ):
        self.base = tuple(base)
        self.version = tuple(version)
        self.digest = digest
        self.changed = changed
        self.removed = removed
        self.versions_digest = versions_digest

    def pack(self, now=0.0):
        """Return the delta as bytes for a peer.

        The versions of software, and how long upstreams are cold, follow the
        rest, where routers of earlier versions read nothing.

        :param now: monotonic time
        """
        rows = [upstream.fields() for upstream in self.changed]
        fields = [self.base, self.version, self.digest, rows, self.removed]
        versions = [upstream.version for upstream in self.changed]
        cold = {
            upstream.id: upstream.cold_until - now
            for upstream in self.changed
            if upstream.cold_until > now
        }
        parts = [fields, [self.versions_digest, versions]]
        if cold:
            parts.append(cold)
        return b"".join(zlib.compress(msgpack.packb(part)) for part in parts)

    @classmethod
    def unpack(cls, data, now=0.0):
        """Return the delta in a peer's bytes.

        :param now: monotonic time
        :raises MessageError: the bytes are malformed
        """
        try:
            stream = zlib.decompressobj()
            base, version, digest, rows, removed = msgpack.unpackb(
                stream.decompress(data)
            )
            changed = [Upstream(*row) for row in rows]
            versions_digest = None
            if stream.unused_data:
                stream, rest = zlib.decompressobj(), stream.unused_data
                versions_digest = _unpack_versions(
                    stream.decompress(rest), changed
                )
            if stream.unused_data:
                cold = zlib.decompress(stream.unused_data)
                _unpack_cold(cold, changed, now)
            return cls(
                base, version, digest, changed, removed, versions_digest
            )
        except (
            AttributeError,
            ValueError,
            TypeError,
            zlib.error,
            msgpack.UnpackException,
        ):
            raise MessageError("malformed list of upstreams") from None

    def apply(self, known):
        """Return the resulting UpstreamList.

        :param known: the active UpstreamList
        :returns: None if the base of the delta is newer than that
        """
        if known.version < self.base:
            return None
        upstreams = {}
        if self.base != NO_LIST:
            upstreams.update(known.upstreams)
        for name in self.removed:
            upstreams.pop(name, None)
        for upstream in self.changed:
            upstreams[upstream.id] = upstream
        revision, step = self.version
        return UpstreamList(revision, upstreams.values(), step)


def _unpack_versions(data, upstreams):
    """Set the versions of Upstreams; return the versions_digest."""
    digest, versions = msgpack.unpackb(data)
    if len(versions) != len(upstreams):
        raise ValueError("versions of other upstreams")
    for upstream, version in zip(upstreams, versions):
        upstream.version = version
    return digest


def _unpack_cold(data, upstreams, now):
    """Set the cold times of Upstreams."""
    cold = msgpack.unpackb(data)
    for upstream in upstreams:
        seconds = cold.get(upstream.id)
        if seconds is not None:
            upstream.cold_until = now + min(MAX_COLD_SECONDS, float(seconds))


class ChangeLog:
    """Remembers in which version each upstream last changed."""

    def __init__(self):
        self._changed_at = {}
        self._floor = NO_LIST

    def record(self, old, new):
        """Record that one UpstreamList was replaced by another."""
        if old.version == NO_LIST:
            self._floor = new.version
            return
        for name in old.upstreams.keys() | new.upstreams.keys():
            before, after = old.upstreams.get(name), new.upstreams.get(name)
            # Most upstreams are the same objects in both lists.
            if before is not after and before != after:
                # Keeps the dictionary in the order of changes.
                self._changed_at.pop(name, None)
                self._changed_at[name] = new.version
        while len(self._changed_at) > MAX_CHANGES:
            oldest = next(iter(self._changed_at))
            self._floor = self._changed_at.pop(oldest)

    def delta(self, base, known):
        """Return the UpstreamDelta that leads to the active list.

        :param base: version of the list that the delta will be applied to
        :param known: the active UpstreamList
        """
        upstreams = known.upstreams
        if base < self._floor or base == NO_LIST:
            return UpstreamDelta(
                NO_LIST,
                known.version,
                known.digest,
                list(upstreams.values()),
                [],
                known.versions_digest,
            )
        names = [n for n, at in self._changed_at.items() if at > base]
        return UpstreamDelta(
            base,
            known.version,
            known.digest,
            [upstreams[name] for name in names if name in upstreams],
            [name for name in names if name not in upstreams],
            known.versions_digest,
        )
