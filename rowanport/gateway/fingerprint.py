"""Fingerprints of requests and of the parts of their prompts.

By these all routers identify repetitions of a request, and requests that share
a part of their prompts.
"""

import hashlib

FINGERPRINT_BYTES = 8
# Longest key in bytes that BLAKE2b accepts.
MAX_KEY_BYTES = 64
# What the text of a part's fingerprint begins with.
PART_MARK = "part-"
# Most fingerprints or requests named in one log line.
LOG_LIMIT = 20


class Fingerprints:
    """Computes fingerprints that are the same at all routers.

    The hash is keyed, so that callers cannot construct collisions.  That of a
    request is not negative, that of a part is.

    :param secret: secret shared by all routers
    """

    def __init__(self, secret):
        self._key = secret.encode()[:MAX_KEY_BYTES]

    def compute(self, request, organisation):
        """Return the 64-bit fingerprint of a request.

        :param request: HttpRequest, whose method, path and body are hashed
        :param organisation: name of the caller's organisation, "" if none
        """
        hasher = hashlib.blake2b(
            request.body, digest_size=FINGERPRINT_BYTES, key=self._key
        )
        parts = f"\0{request.method}\0{request.path}\0{organisation}"
        hasher.update(parts.encode())
        return int.from_bytes(hasher.digest(), "big")

    def compute_part(self, service, part):
        """Return the negative 63-bit fingerprint of a part of a prompt.

        :param service: name of the service whose upstreams run the request
        :param part: id of the part, as the caller names it
        """
        text = f"{service}\0{part}".encode()
        digest = hashlib.blake2b(
            text, digest_size=FINGERPRINT_BYTES, key=self._key
        ).digest()
        return -1 - (int.from_bytes(digest, "big") >> 1)


def format_fingerprint(fingerprint):
    """Return a fingerprint as 16 hexadecimal digits, as in log lines.

    That of a part begins with ``part-``.
    """
    if fingerprint < 0:
        return f"{PART_MARK}{-fingerprint:016x}"
    return f"{fingerprint:016x}"


def parse_fingerprint(text):
    """Return the fingerprint that a text stands for.

    :raises ValueError: it stands for none
    """
    if text.startswith(PART_MARK):
        return -int(text.removeprefix(PART_MARK), 16)
    return int(text, 16)


def format_fingerprints(fingerprints):
    """Return some fingerprints as texts for a log line."""
    return [format_fingerprint(one) for one in fingerprints][:LOG_LIMIT]
