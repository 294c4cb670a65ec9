"""Where suspects run now, here and at peers."""


class SuspectRuns:
    """The runs of suspects that routers told of.

    A run that ended is told, too; one whose end got lost counts until the
    deadline that it came with.
    """

    def __init__(self):
        self._until = {}

    def __len__(self):
        return len(self._until)

    def add(self, fingerprint, upstream, router, until):
        """Note that a suspect runs.

        :param upstream: name of the upstream's run
        :param router: peer address of the router that sent it
        :param until: steady time at which it is over at the latest
        """
        self._until[fingerprint, upstream, router] = until

    def remove(self, fingerprint, upstream, router):
        """Note that a suspect runs no more; return whether it was counted."""
        key = fingerprint, upstream, router
        return self._until.pop(key, None) is not None

    def expire(self, now):
        """Drop the runs that are over."""
        self._until = {k: t for k, t in self._until.items() if t > now}

    def count(self, fingerprint, now):
        """Return how many runs a request has."""
        return sum(
            1
            for (other, _upstream, _router), until in self._until.items()
            if other == fingerprint and until > now
        )

    def fingerprints_at(self, upstream, now):
        """Return the fingerprints of the suspects that run at an upstream.

        :param upstream: name of the upstream's run
        """
        return [
            fingerprint
            for (fingerprint, other, _router), until in self._until.items()
            if other == upstream and until > now
        ]
