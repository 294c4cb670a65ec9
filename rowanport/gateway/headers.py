"""Which headers pass between callers and upstreams."""

# Headers that concern one connection only.
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
    """Drops the headers that are the routers' own or a connection's.

    All others pass unaltered and in their order.

    :param dialect: a Dialect
    """

    def __init__(self, dialect):
        self._end_to_end = _encode(dialect.end_to_end)
        self._request = HOP_BY_HOP | _encode(dialect.routers_own)
        self._answer = HOP_BY_HOP | _encode(dialect.answers_own)

    def request_fields(self, fields):
        """Return the headers of a caller's request for an upstream.

        :param fields: (name, value) pairs of bytes
        """
        # Upstreams that read headers as CGI variables take "_" for "-": a
        # caller must not give a router's orders by that spelling either.
        return [
            (name, value)
            for name, value, plain in self._end_to_end_fields(fields)
            if plain.replace(b"_", b"-") not in self._request
        ]

    def answer_fields(self, fields):
        """Return the headers of an upstream's answer for the caller.

        :param fields: (name, value) pairs of bytes
        """
        return [
            (name, value)
            for name, value, plain in self._end_to_end_fields(fields)
            if plain not in self._answer
        ]

    def _end_to_end_fields(self, fields):
        """Return (name, value, lower-case name) of what passes a connection.

        A sender may name further headers of one connection, but none that
        routers decide by: an upstream would not see the tokens that were set
        aside for the request.
        """
        rows = [(name, value, name.lower()) for name, value in fields]
        named = set()
        for _name, value, plain in rows:
            if plain == b"connection":
                named.update(_connection_options(value))
        named -= self._end_to_end
        return [row for row in rows if row[2] not in named]


def _connection_options(value):
    return [option.strip().lower() for option in value.split(b",")]


def _encode(names):
    return frozenset(name.encode() for name in names)
