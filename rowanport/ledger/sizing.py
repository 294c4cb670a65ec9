"""How large a grant a holder should have."""


class Sizing:
    """The rules of grant sizes.

    :ivar horizon: seconds of demand that a grant should cover
    :ivar least: smallest draw in tokens while enough is free
    :ivar share: share of the unspent tokens to hold while plenty is free
    """

    __slots__ = ("horizon", "least", "share")

    def __init__(self, horizon=30.0, least=2000, share=0.125):
        self.horizon = horizon
        self.least = least
        self.share = share

    def target(self, free, unspent, demand):
        """Return the grant to aim for, in tokens.

        Wide while plenty is free, so that a long cut refuses nobody; never
        more than half of what is free, so that others find some too.

        :param free: tokens of the budget in no grant
        :param unspent: tokens of the budget not yet spent, granted or not
        :param demand: tokens a second asked of this holder
        """
        wanted = max(unspent * self.share, demand * self.horizon, self.least)
        return min(int(wanted), free // 2)

    def draw(self, free, unspent, need, available, demand):
        """Return how many tokens to draw.

        :param need: tokens that waiting reservations lack
        :param available: tokens that the holder could reserve now
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
            # Half at most while there is demand here too, so that two
            # holders in need do not empty each other in turn.
            return available // 2 if demand > 0 else available
        wide = max(unspent * self.share, demand * self.horizon)
        keep = 4 * int(max(wide, self.least))
        return max(0, available - keep)
