"""What tells one request from another."""

from rowanport.gateway.fingerprint import Fingerprints
from rowanport.gateway.fingerprint import format_fingerprint


class Request:
    """The parts of an HttpRequest that count, and one that does not."""

    def __init__(self, method="POST", path="/a/", body=b"x", fields=()):
        self.method = method
        self.path = path
        self.body = body
        self.fields = fields


PRINTS = Fingerprints("a secret")


def test_a_request_sent_again_has_the_same_fingerprint_everywhere():
    first = PRINTS.compute(Request(fields=[("id", "1")]), "org")
    again = Fingerprints("a secret").compute(
        Request(fields=[("id", "2")]), "org"
    )
    assert first == again


def test_method_path_body_and_caller_tell_requests_apart():
    prints = {
        PRINTS.compute(Request(), "org"),
        PRINTS.compute(Request(), "other"),
        PRINTS.compute(Request(method="GET"), "org"),
        PRINTS.compute(Request(path="/b/"), "org"),
        PRINTS.compute(Request(body=b"y"), "org"),
    }
    assert len(prints) == 5


def test_another_secret_gives_other_fingerprints():
    other = Fingerprints("another secret").compute(Request(), "org")
    assert other != PRINTS.compute(Request(), "org")


def test_a_fingerprint_is_shown_as_sixteen_digits():
    assert format_fingerprint(255) == "00000000000000ff"
