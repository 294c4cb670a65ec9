"""Max-min fair shares of a capacity."""

import math

# Most organisations that the demand of those not named is divided into.
MAX_OTHERS = 1000


class FairShares:
    """Max-min fair shares of a capacity, by organisation.

    An organisation that asks for less than the level gets all of it; the
    others get the level each.

    :param capacity: units a second that can be done
    :param demands: units a second that are asked for, by organisation
    :param others: units a second that further organisations ask for together;
        each of them asks for no more than any in ``demands``
    :ivar level: most units a second that an organisation gets, infinite if
        there is enough for all
    """

    __slots__ = ("level", "_demands")

    def __init__(self, capacity, demands, others=0.0):
        self._demands = demands
        groups = [(demand, 1) for demand in demands.values() if demand > 0]
        if others > 0:
            groups.append(_divide(others, min(groups, default=(others, 1))[0]))
        self.level = _level(max(0.0, capacity), sorted(groups))

    def excess(self, organisation):
        """Return the part of an organisation's demand beyond its share."""
        demand = self._demands.get(organisation, 0.0)
        if demand <= self.level:
            return 0.0
        return 1.0 - self.level / demand


def _divide(others, most):
    """Return (demand, number) of the organisations that are not named."""
    number = min(MAX_OTHERS, max(1, math.ceil(others / most)))
    return others / number, number


def _level(capacity, groups):
    """Return the level up to which demands are met.

    :param groups: (demand, number of organisations), the smallest first
    """
    left = capacity
    count = sum(number for _demand, number in groups)
    for demand, number in groups:
        if demand * count > left:
            return left / count
        left -= demand * number
        count -= number
    return math.inf


def refused_part(excess, less_urgent, alike):
    """Return the probability with which a request is refused for shares.

    Of an organisation's demand, the less urgent is refused first.

    :param excess: part of the organisation's demand that is to be refused
    :param less_urgent: part of it that is less urgent than the request
    :param alike: part of it that is as urgent as the request
    """
    if alike <= 0:
        return excess
    return min(1.0, max(0.0, (excess - less_urgent) / alike))
