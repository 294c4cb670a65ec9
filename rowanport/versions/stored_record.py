"""Encodes the record of versions in the store."""

import msgpack

from ..errors import MessageError


class VersionRecord:
    """Which versions the services had, as the store holds it.

    :ivar since: Unix time from which it names each version
    :ivar gone_at: Unix time at which a version was last listed, None while it
        is, by version, by service
    """

    __slots__ = ("since", "gone_at")

    def __init__(self, since, gone_at):
        self.since = since
        self.gone_at = gone_at

    @property
    def listed(self):
        """Return (service, version) pairs, and whether each is listed."""
        return {
            (service, version): at is None
            for service, versions in self.gone_at.items()
            for version, at in versions.items()
        }

    def pack(self):
        """Return the record as bytes."""
        return msgpack.packb([self.since, self.gone_at])

    @classmethod
    def unpack(cls, data):
        """Return the record of some bytes.

        :raises MessageError: they are malformed
        """
        try:
            since, services = msgpack.unpackb(data)
            gone_at = {
                str(service): {
                    str(version): None if at is None else float(at)
                    for version, at in versions.items()
                }
                for service, versions in services.items()
            }
            return cls(float(since), gone_at)
        except (
            AttributeError,
            TypeError,
            ValueError,
            msgpack.UnpackException,
        ):
            raise MessageError("malformed record of versions") from None
