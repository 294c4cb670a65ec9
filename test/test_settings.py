"""Settings files, policies, keys and wire messages: good and bad."""

import pytest

from rowanport import keys
from rowanport import policy
from rowanport.errors import ErrorKind
from rowanport.errors import MessageError
from rowanport.errors import RequestError
from rowanport.errors import SettingsError
from rowanport.errors import UserError
from rowanport.schema import messages
from rowanport.schema.messages import OrganisationRecord
from rowanport.schema.messages import PolicyCase
from rowanport.settings import example_settings
from rowanport.settings import parse_settings
from rowanport.wire import pack_frame
from rowanport.wire import unpack_frame


def test_the_example_is_fit_and_its_cell_is_its_data_centre():
    parsed = parse_settings(example_settings())
    assert parsed.router.cell == parsed.router.data_centre == "north"


@pytest.mark.parametrize(
    "old, new, blamed",
    (
        (
            "data_centre = north",
            "data_centre = west",
            "[router] data_centre: 'west' is not",
        ),
        ("data_centre = north", "", "[router] data_centre: missing"),
        (
            "data_centre = north",
            "hall = x",
            "[router] hall: is data_centre now",
        ),
        ("peer_port = 8081", "peer_port = 8080", "[router] peer_port: port"),
        ("peer_port = 8081", "peer_port = 70000", "[router] peer_port: 70000"),
        ("peer_port = 8081", "peer_port = x", "[router] peer_port: expected"),
        ("shards = 16", "shard = 16", "[ledger] shard: unknown key"),
        ("[logs]", "[log]", "[log] *: unknown section"),
        ("address = 127.0.0.1", "address = here", "[router] address"),
        ("secret = change-me-change-me", "secret = x", "[router] secret"),
        ("level = info", "level = loud", "[logs] level: not one of"),
        ("advertised =", "advertised = x", "[router] advertised: not an"),
    ),
)
def test_a_mistake_is_named_by_file_section_and_key(old, new, blamed):
    text = example_settings()
    assert old in text
    with pytest.raises(SettingsError) as caught:
        parse_settings(text.replace(old, new, 1), "r1.ini")
    lines = str(caught.value).splitlines()
    assert any(line.startswith(f"r1.ini: {blamed}") for line in lines)


def test_only_the_right_key_matches():
    key = keys.new_key("mines")
    salt = keys.new_salt()
    record = OrganisationRecord(
        "mines", salt, keys.hash_key(salt, key), 1, 0, 0.0
    )
    assert keys.organisation_of(key) == "mines"
    assert keys.matches(record, key)
    assert not keys.matches(record, key + "x")
    assert keys.organisation_of("rp.mines") == ""


def test_a_policy_that_errs_refuses_with_its_own_kind():
    for source in ("request.nothing", "1", '{"run": 1}'):
        with pytest.raises(RequestError) as caught:
            policy.Policy(source).decide(dict(policy.FACTS))
        assert caught.value.kind is ErrorKind.POLICY_FAILED
    for source in ("request.", "x" * 20000):
        with pytest.raises(UserError):
            policy.Policy(source)


def test_a_failed_case_says_what_was_expected_and_got():
    compiled = policy.Policy(policy.DEFAULT_SOURCE)
    good = PolicyCase("good", '{"repeatable": false}', '{"priority": 1}')
    bad = PolicyCase("bad", '{"repeatable": false}', '{"priority": 7}')
    (failure,) = policy.run_cases(compiled, [good, bad])
    assert failure.name == "bad"
    assert failure.expected == {"priority": 7}
    assert failure.got["priority"] == 1


def test_a_frame_survives_the_wire_and_a_malformed_one_is_refused():
    sent = messages.Reserved("r", "h", 5)
    call, got = unpack_frame(pack_frame(3, sent)[4:])
    assert (call, got) == (3, sent)
    for body in (b"", b"\xff", b"\x93\x01\x63\x90", b"\x93\x01\x0b\x90"):
        with pytest.raises(MessageError):
            unpack_frame(body)
    with pytest.raises(MessageError):
        messages.Reserved.from_wire(["r", "h", "5"])
    with pytest.raises(MessageError):
        messages.Reserved.from_wire(["r", "h", True])
