"""The events that upstreams make, in all sound styles, and garbage."""

import abc
import random

# A comment of a sound upstream, which a caller ignores.
COMMENT = b": ping\n\n"
# Share of events before which a stream with comments has one.
COMMENT_SHARE = 0.3
# Most bytes of noise: more than a router keeps of one event.
LARGE_NOISE = 300_000
PAGE = b"<html>\r\n<title>502 Bad Gateway</title>\n\n<h1>502</h1></html>\n\n"


class Style(abc.ABC):
    """How an upstream writes the events of a stream.

    :cvar line_end: bytes that end a line
    """

    line_end = b"\n"

    def write(self, number, data):
        """Return the bytes of an event."""
        text = self.lines(number, data).encode()
        return text.replace(b"\n", self.line_end)

    def lines(self, number, data):
        """Return the lines of an event, and the empty one."""
        return f"id: {number}\ndata: {data}\n\n"

    def split(self, answer):
        """Return the events of an answer without their ends, and the rest."""
        *events, rest = answer.split(2 * self.line_end)
        return events, rest


class PlainStyle(Style):
    """The id, the data and an empty line."""


class PairedStyle(Style):
    """Lines end with CR LF."""

    line_end = b"\r\n"


class FieldsStyle(Style):
    """The id stands behind the data, amid fields that callers ignore."""

    def lines(self, number, data):
        return f"event: token\ndata: {data}\nid: {number}\nx-part: a\n\n"


class CommentStyle(Style):
    """Comments stand between the events."""

    def write(self, number, data):
        event = super().write(number, data)
        drawn = random.Random(f"{number} {data}").random()
        return COMMENT + event if drawn < COMMENT_SHARE else event

    def split(self, answer):
        return super().split(answer.replace(COMMENT, b""))


STYLES = {
    PlainStyle(): 0.7,
    PairedStyle(): 0.1,
    FieldsStyle(): 0.1,
    CommentStyle(): 0.1,
}


def style_of(request_id):
    """Return the Style of a request's stream, at whichever upstream."""
    draw = random.Random(f"style {request_id}")
    return draw.choices(list(STYLES), list(STYLES.values()))[0]


def is_event(event, number, data, style):
    """Return whether bytes are an event without its end."""
    end = 2 * style.line_end
    text = style.lines(number, data).encode()
    return event + end == text.replace(b"\n", style.line_end)


def draw_garbage(draw, number):
    """Return bytes that no run made, to stand behind an event.

    :param draw: a Random
    :param number: of the event, 0 for none
    """
    other = f"data: {draw.getrandbits(64):x}\n\n"
    kinds = [
        b"\xff" + draw.randbytes(draw.randint(1, 3000)) + b"\n\n",
        b"\xff" + draw.randbytes(LARGE_NOISE),
        bytes(draw.randint(1, 200)) + b"\n\n",
        PAGE,
        other.encode(),
        f"id: {number + 1}_0\n{other}".encode(),
        f"id: {number + 1}\nid: {number + 2}\n{other}".encode(),
        b"out of memory\n\n",
    ]
    if number > 1:
        kinds.append(f"id: {number - 1}\n{other}".encode())
    return draw.choice(kinds)
