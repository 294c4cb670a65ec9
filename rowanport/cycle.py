"""Selects a few of many items at a time, so that each gets its turn."""


class Cycle:
    """Goes through a changing list, some items a call.

    :param count: number of items that a call returns at most
    """

    def __init__(self, count):
        self._count = count
        self._next = 0

    def next(self, items):
        """Return the next items; repeated calls cycle through all.

        :param items: list of all items, whose order stays the same
        """
        if self._next >= len(items):
            self._next = 0
        chosen = items[self._next : self._next + self._count]
        self._next += self._count
        return chosen
