"""Sizes of grants, draws and returns."""


class Sizing:
    """Parameters and rules for the size of a grant.

    :ivar horizon: seconds of demand that a grant should cover
    :ivar least: smallest grant to aim for, in tokens
    :ivar share: share of the unspent tokens to aim for
    """

    __slots__ = ("horizon", "least", "share")

    def __init__(self, horizon=30.0, least=2000, share=0.125):
        self.horizon = horizon
        self.least = least
        self.share = share

    def target(self, free, unspent, demand):
        """Return the grant to aim for, in tokens.

        It is large while many tokens are free, so that requests are served
        through a long loss of the store, but at most half of what is free,
        to leave some to other holders.

        :param free: unspent tokens of the budget that are not granted
        :param unspent: unspent tokens of the budget, including granted ones
        :param demand: demand at this holder, in tokens per second
        """
        wanted = max(unspent * self.share, demand * self.horizon, self.least)
        return min(int(wanted), free // 2)

    def draw(self, free, unspent, need, available, demand):
        """Return how many tokens to draw.

        :param need: tokens that waiting reservations still need
        :param available: tokens that the holder can reserve now
        """
        target = self.target(free, unspent, demand)
        if need <= 0 and available * 2 >= target:
            return 0
        return min(free, max(need, target - max(available, 0)))

    def excess(self, free, unspent, available, demand, wanted):
        """Return how many tokens to give back to the shard.

        :param wanted: whether another holder marked the budget as wanted
        """
        if available <= 0:
            return 0
        if wanted:
            # While there is demand here too, return only half, so that two
            # holders short of tokens do not drain each other in turn.
            return available // 2 if demand > 0 else available
        base = max(unspent * self.share, demand * self.horizon)
        keep = 4 * int(max(base, self.least))
        return max(0, available - keep)
