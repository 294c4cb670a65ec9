"""Filters the headers that pass between callers and upstreams."""

# Headers that apply to a single connection.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)


class HeaderFilter:
    """Removes hop-by-hop headers and those reserved for routers.

    All others are forwarded unchanged and in their order.

    :param dialect: a Dialect
    """

    def __init__(self, dialect):
        self._end_to_end = _encode(dialect.end_to_end)
        self._blocked_request = HOP_BY_HOP | _encode(
            dialect.router_request_headers
        )
        self._blocked_answer = HOP_BY_HOP | _encode(
            dialect.router_answer_headers
        )

    def request_fields(self, fields):
        """Return the headers of a caller's request to forward to an upstream.

        :param fields: (name, value) pairs of bytes
        """
        # Upstreams that read headers as CGI variables do not distinguish "_"
        # and "-", so a caller could spoof a router's headers with either.
        return [
            (name, value)
            for name, value, lower in self._end_to_end_fields(fields)
            if lower.replace(b"_", b"-") not in self._blocked_request
        ]

    def answer_fields(self, fields):
        """Return the headers of an upstream's answer to forward to the caller.

        :param fields: (name, value) pairs of bytes
        """
        return [
            (name, value)
            for name, value, lower in self._end_to_end_fields(fields)
            if lower not in self._blocked_answer
        ]

    def _end_to_end_fields(self, fields):
        """Return (name, value, lower-case name) of all but named headers.

        A Connection header may name further hop-by-hop headers.  Those by
        which routers decide are kept all the same: otherwise an upstream would
        not see the token count for which tokens were reserved, for example.
        """
        rows = [(name, value, name.lower()) for name, value in fields]
        named = set()
        for _name, value, lower in rows:
            if lower == b"connection":
                named.update(_connection_options(value))
        named -= self._end_to_end
        return [row for row in rows if row[2] not in named]


def _connection_options(value):
    return [option.strip().lower() for option in value.split(b",")]


def _encode(names):
    return frozenset(name.encode() for name in names)
