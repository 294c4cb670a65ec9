"""What a router says when a peer asks it to relay to an upstream."""

import enum

from ..errors import MessageError


class Verdict(enum.Enum):
    """Whether a router reaches an upstream over its own link, or why not.

    REACHED: it does, and relays.  REFUSED: nobody listens there, while it
    reaches other upstreams.  UNREACHABLE: it gets no connection, while it
    reaches other upstreams.  CUT_OFF: it reaches no upstream.  UNLISTED: no
    upstream in its list that takes requests has this address.  LEAVING: it is
    shutting down.  BUSY: it relays enough, or its own link is congested.
    BACKED_OFF: the upstream, which it reaches, asked it for no requests.
    """

    REACHED = "reached"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut_off"
    UNLISTED = "unlisted"
    LEAVING = "leaving"
    BUSY = "busy"
    BACKED_OFF = "backed_off"

    @classmethod
    def parse(cls, text):
        """Return the Verdict of a peer's message.

        :raises MessageError: the text names none
        """
        try:
            return cls(text)
        except ValueError:
            raise MessageError(f"unknown verdict {text!r}") from None
