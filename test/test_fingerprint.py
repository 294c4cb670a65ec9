"""Fingerprints of requests."""

from rowanport.gateway.fingerprint import Fingerprints
from rowanport.gateway.fingerprint import format_fingerprint


class Request:
    """Stub of an HttpRequest; its fields are not part of the fingerprint."""

    def __init__(self, method="POST", path="/a/", body=b"x", fields=()):
        self.method = method
        self.path = path
        self.body = body
        self.fields = fields


FINGERPRINTS = Fingerprints("a secret")


def test_a_request_sent_again_has_the_same_fingerprint_everywhere():
    first = FINGERPRINTS.compute(Request(fields=[("id", "1")]), "org")
    again = Fingerprints("a secret").compute(
        Request(fields=[("id", "2")]), "org"
    )
    assert first == again


def test_the_fingerprint_depends_on_method_path_body_and_organisation():
    fingerprints = {
        FINGERPRINTS.compute(Request(), "org"),
        FINGERPRINTS.compute(Request(), "other"),
        FINGERPRINTS.compute(Request(method="GET"), "org"),
        FINGERPRINTS.compute(Request(path="/b/"), "org"),
        FINGERPRINTS.compute(Request(body=b"y"), "org"),
    }
    assert len(fingerprints) == 5


def test_another_secret_gives_other_fingerprints():
    other = Fingerprints("another secret").compute(Request(), "org")
    assert other != FINGERPRINTS.compute(Request(), "org")


def test_a_fingerprint_is_formatted_as_sixteen_digits():
    assert format_fingerprint(255) == "00000000000000ff"
