"""What the routers that ask this one know, and what is on its way to them."""

# Seconds since a router's last question for which it is told news at once.
TELL_SECONDS = 0.6
# Seconds after which what was told is told again to who still asks for it.
TELL_AGAIN = 1.0
# Seconds for which a router that asks no more is remembered.
FORGET_AFTER = 10.0


class Asker:
    """One router that asks.

    :ivar config: version of the configuration that it knew last
    :ivar upstreams: version of the list of upstreams that it knew last
    :ivar asked_at: steady time of its last question
    :ivar told_config: the newest version of these that was told, and when
    :ivar told_upstreams: the same of the lists
    """

    __slots__ = (
        "config",
        "upstreams",
        "asked_at",
        "told_config",
        "told_upstreams",
    )

    def __init__(self):
        self.config = 0
        self.upstreams = (0, 0)
        self.asked_at = 0.0
        self.told_config = (0, 0.0)
        self.told_upstreams = ((0, 0), 0.0)

    def begin_config_send(self, version, now):
        """Return whether a version is to be told, and note that it is."""
        if not _is_news(version, self.config, self.told_config, now):
            return False
        self.told_config = (version, now)
        return True

    def begin_upstreams_send(self, version, now):
        """Return whether a list is to be told, and note that it is."""
        if not _is_news(version, self.upstreams, self.told_upstreams, now):
            return False
        self.told_upstreams = (version, now)
        return True


def _is_news(version, known, told, now):
    """Return whether a version is neither known nor on its way."""
    if version <= known:
        return False
    told_version, told_at = told
    return version > told_version or now > told_at + TELL_AGAIN


class Askers:
    """The routers that asked this one lately, by address."""

    def __init__(self):
        self._askers = {}

    def hear(self, address, config, upstreams, now):
        """Note what a router that asks knows; return its Asker."""
        asker = self._askers.get(address)
        if asker is None:
            self._forget(now)
            asker = self._askers[address] = Asker()
        if upstreams < asker.upstreams:
            # It started again, or asks for the whole list.
            asker.told_upstreams = ((0, 0), 0.0)
        asker.config = config
        asker.upstreams = upstreams
        asker.asked_at = now
        return asker

    def recent(self, now):
        """Return (address, Asker) of those that are told news at once."""
        return [
            (address, asker)
            for address, asker in self._askers.items()
            if now <= asker.asked_at + TELL_SECONDS
        ]

    def _forget(self, now):
        self._askers = {
            address: asker
            for address, asker in self._askers.items()
            if now <= asker.asked_at + FORGET_AFTER
        }
