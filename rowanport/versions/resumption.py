"""Decides at which version a stream that a caller takes up may go on."""

from .streams import AMBIGUOUS


class Knowledge:
    """What one router knows of a stream.

    :ivar version: the version at which it began, AMBIGUOUS, or None
    :ivar versions: set of the versions that its service had in the last hour
    :ivar watched: seconds for which that router knows all of them
    """

    __slots__ = ("version", "versions", "watched")

    def __init__(self, version, versions, watched):
        self.version = version
        self.versions = versions
        self.watched = watched


class Resolution:
    """The decision on a stream that is taken up.

    :ivar version: the version at which it may go on, None if at none
    :ivar reason: why, as a label
    """

    __slots__ = ("version", "reason")

    def __init__(self, version, reason):
        self.version = version
        self.reason = reason


def resolve(known, keepers_answered, span):
    """Return the Resolution by what this router and its peers know.

    :param known: their Knowledge
    :param keepers_answered: whether all routers to which a stream with that
        id is announced are among them
    :param span: seconds for which some router has to know all versions; what
        it does not know of is older than each answer under way
    """
    versions = {item.version for item in known} - {None}
    if len(versions) > 1 or AMBIGUOUS in versions:
        return Resolution(None, "ambiguous")
    if versions:
        return Resolution(versions.pop(), "known")
    # Nobody knows it.  It can only go on if there was one version all along.
    if not keepers_answered:
        return Resolution(None, "unanswered")
    if all(item.watched < span for item in known):
        return Resolution(None, "unknown")
    possible = set().union(*(item.versions for item in known))
    if len(possible) != 1 or "" in possible:
        return Resolution(None, "unknown")
    return Resolution(possible.pop(), "single")
