"""One ledger shard at one router."""


class ShardState:
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
        "sync_task",
        "home_until",
        "dead_since",
        "holder_number",
    )

    def __init__(self, shard, holder, holder_number):
        self.shard = shard
        self.holder = holder
        self.data = b""
        self.version = 0
        self.last_sync = 0.0
        self.next_sync = 0.0
        self.next_read = 0.0
        self.sync_task = None
        self.home_until = 0.0
        self.dead_since = {}
        self.holder_number = holder_number

    @property
    def syncing(self):
        """Return whether a round with the store is under way."""
        return self.sync_task is not None and not self.sync_task.done()
