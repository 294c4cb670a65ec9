"""One ledger shard at one router."""


class Place:
    """One shard at this router: its holder and when to write next.

    :ivar data: the shard as last read or written
    :ivar version: its version in the store
    :ivar last_sync: when the last round with the store began
    :ivar next_sync: when the next one is due
    :ivar next_read: from when on a round reads the shard first
    :ivar task: the round under way, if any
    :ivar home_until: until when this router counts as its home
    :ivar dead_since: when each holder of this cell was first found dead
    :ivar count: number of the holder among those of this router
    """

    __slots__ = (
        "shard",
        "holder",
        "data",
        "version",
        "last_sync",
        "next_sync",
        "next_read",
        "task",
        "home_until",
        "dead_since",
        "count",
    )

    def __init__(self, shard, holder, count):
        self.shard = shard
        self.holder = holder
        self.data = b""
        self.version = 0
        self.last_sync = 0.0
        self.next_sync = 0.0
        self.next_read = 0.0
        self.task = None
        self.home_until = 0.0
        self.dead_since = {}
        self.count = count

    @property
    def syncing(self):
        """Return whether a round with the store is under way."""
        return self.task is not None and not self.task.done()
