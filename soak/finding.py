"""What the soak found."""

from .history import Record


class Finding(Record):
    """A promise that was broken.

    :ivar promise: its name
    :ivar at: when, in steady seconds
    :ivar evidence: what was seen
    """

    __slots__ = ("promise", "at", "evidence")

    @property
    def key(self):
        """Return what tells it from other findings."""
        return self.promise, self.evidence
