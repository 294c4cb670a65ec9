"""What upstreams say of leaving, and how long it holds."""

from test.virtual import LoopClock
from test.virtual import VirtualLoop
from types import SimpleNamespace

import pytest

from rowanport.errors import MessageError
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.notices import UpstreamNotices
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.upstream import Upstream
from rowanport.incarnation import NOTICES_PROTOCOL
from rowanport.notices import Backoff
from rowanport.notices import BackoffBook
from rowanport.notices import LeaveBook
from rowanport.notices import MAX_BACKOFF_SECONDS
from rowanport.notices import parse_backoff
from rowanport.notices import parse_leaving
from rowanport.notices.absences import ABSENCE_SECONDS
from rowanport.notices.backoffs import MAX_SPREAD
from rowanport.notices.backoffs import STEP_SECONDS
from rowanport.notices.backoffs import STEPS
from rowanport.notices.leaves import ANNOUNCE_SECONDS
from rowanport.notices.leaves import CHECK_SECONDS
from rowanport.platform.words import DIALECT
from rowanport.schema.messages import BackoffNews
from rowanport.schema.messages import LeaveRow
from rowanport.schema.messages import LimitRow
from rowanport.schema.messages import SuspectNews
from rowanport.schema.messages import ViewAsk
from rowanport.schema.messages import ViewGive


@pytest.mark.parametrize(
    ("text", "expected"), [(None, False), ("1", True), ("0", False)]
)
def test_a_header_says_whether_an_upstream_leaves(text, expected):
    assert parse_leaving(text) is expected


@pytest.mark.parametrize("text", ["", "yes", "-1", "1.0", "9" * 40])
def test_other_texts_are_rejected(text):
    with pytest.raises(MessageError):
        parse_leaving(text)


# One run


def test_a_notice_holds_for_as_long_as_the_run_is_listed():
    fixture = Fixture()
    fixture.answer(own_answer(server_leaving="1"))
    for _ in range(100):
        fixture.pass_time(60.0)
        fixture.list(fixture.record)
    assert fixture.leaving


def test_the_next_run_under_the_same_name_has_no_notice():
    book = LeaveBook()
    book.record("u1@5", True, 0.0, 1.0)
    assert not book.is_leaving("u1@9")


def test_an_entry_that_expired_and_is_back_does_not_end_a_notice():
    fixture = Fixture()
    fixture.answer(own_answer(server_leaving="1"))
    fixture.list()
    fixture.pass_time(ABSENCE_SECONDS - 0.1)
    fixture.list(fixture.record)
    fixture.pass_time(ABSENCE_SECONDS)
    fixture.list(fixture.record)
    assert fixture.leaving


def test_a_name_that_comes_back_later_is_another_run():
    fixture = Fixture()
    fixture.answer(own_answer(server_leaving="1"))
    fixture.answer(refusal("600"))
    fixture.list()
    fixture.pass_time(ABSENCE_SECONDS)
    fixture.list(fixture.record)
    assert not fixture.leaving
    assert not backs_off(fixture)
    assert not fixture.pool.any_withdrawn


def test_an_answer_that_was_overtaken_takes_nothing_back():
    book = LeaveBook()
    book.record("u1", True, 0.5, 1.0)
    assert not book.record("u1", False, 0.9, 2.0)
    assert book.is_leaving("u1")


def test_an_answer_to_a_later_request_takes_a_notice_back():
    book = LeaveBook()
    book.record("u1", True, 0.5, 1.0)
    assert book.record("u1", False, 1.5, 2.0)
    assert not book.is_leaving("u1")


def test_an_upstream_that_is_listed_as_ready_is_asked_now_and_then():
    book = LeaveBook()
    book.record("u1", True, 0.0, 1.0)
    due = 1.0 + CHECK_SECONDS
    assert not book.due_checks(due - 0.1)
    assert book.due_checks(due) == ["u1"]
    book.begin_check("u1", due)
    assert not book.due_checks(due + 0.1)
    book.update_listed({"u1": True})
    assert not book.due_checks(due + CHECK_SECONDS)


# Peers


def merged(rows, now=100.0):
    """Return a LeaveBook after (leaving, age) rows on one run."""
    book = LeaveBook()
    for leaving, age in rows:
        book.merge(LeaveRow("u1", leaving, age), now)
    return book


def test_news_of_peers_count_by_the_time_of_the_answer():
    assert merged([(True, 5.0)]).is_leaving("u1")
    assert not merged([(True, 5.0), (False, 2.0)]).is_leaving("u1")
    assert merged([(True, 2.0), (False, 5.0)]).is_leaving("u1")


def test_news_that_a_peer_repeats_change_nothing():
    book = merged([(True, 5.0), (False, 2.0)])
    assert not book.merge(LeaveRow("u1", True, 6.0), 101.0)
    assert not book.merge(LeaveRow("u1", False, 1.0), 101.0)
    assert not book.is_leaving("u1")


def test_a_notice_is_announced_until_the_list_says_so_too():
    book = LeaveBook()
    book.record("u1", True, 0.0, 1.0)
    assert [row.upstream for row in book.next_rows(2.0)] == ["u1"]
    assert not book.next_rows(2.0 + ANNOUNCE_SECONDS)
    book.update_listed({"u1": True})
    assert not book.next_rows(3.0)


def test_a_notice_of_a_run_that_is_not_listed_is_not_announced():
    book = LeaveBook()
    book.record("u1", True, 0.0, 1.0)
    book.update_listed({})
    assert not book.next_rows(2.0)
    book.update_listed({"u1": False})
    assert book.next_rows(2.0)


def view_give(**fields):
    """Return a ViewGive with some optional fields."""
    suspects = SuspectNews(0, [])
    parts = (0, b"", 0, b"", 1.0, [], suspects, [], 0, 0, 0, 0)
    return ViewGive(*parts, **fields)


@pytest.mark.parametrize(
    ("fields", "length"),
    [
        ({}, 12),
        ({"evacuations": 7}, 14),
        ({"evacuations": 7, "evacuated": ["a"]}, 14),
        ({"leaves": [LeaveRow("u1", True, 1.0)]}, 15),
    ],
)
def test_peers_of_earlier_protocols_get_messages_as_they_know_them(
    fields, length
):
    give = view_give(**fields)
    assert len(give.to_wire()) == length
    again = ViewGive.unpack(give.pack())
    assert list(again.leaves) == list(give.leaves)
    assert again.evacuations == give.evacuations


def test_a_poll_of_an_earlier_protocol_names_no_leaves():
    suspects = SuspectNews(0, [])
    rows = [LimitRow("u1", 1.0, 0.0)]
    ask = ViewAsk(1, 2, "10.0.0.1:1", 1.0, 0, suspects, rows, 0)
    assert len(ask.to_wire()) == 8
    assert not ViewAsk.unpack(ask.pack()).leaves


class Members:
    """Peers that speak some protocol."""

    def __init__(self, protocol):
        self._protocol = protocol

    def speaks(self, _address, protocol):
        return self._protocol >= protocol

    def predates(self, address, protocol):
        return not self.speaks(address, protocol)


class Answer:
    """The head of an answer of an upstream."""

    def __init__(self, status=200, relay=None, **headers):
        self.status = status
        self.path = SimpleNamespace(relay=relay)
        self.headers = {k.replace("_", "-"): v for k, v in headers.items()}


def refusal(text, **headers):
    """Return an Answer by which an upstream asks to back off."""
    return own_answer(503, retry_after=text, **headers)


def own_answer(status=200, **headers):
    """Return an Answer with the upstream's signature."""
    fields = {DIALECT.request_id: "r1", DIALECT.signature: "s", **headers}
    return Answer(status, **fields)


class Fixture:
    """UpstreamNotices of one upstream, u1, that tell a peer."""

    def __init__(self, protocol=NOTICES_PROTOCOL):
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.pool = UpstreamPool()
        self.record = Upstream("u1", "feed", "10.9.0.1:80", "a", 8, False)
        self.told = []
        self.limits = []
        self.tunnels = []
        self.notices = UpstreamNotices(
            DIALECT,
            SimpleNamespace(
                record_answer=lambda run, text: self.limits.append(text)
            ),
            self.pool,
            SimpleNamespace(tell=self._tell),
            Members(protocol),
            lambda: ["10.0.0.2:82"],
            "10.0.0.1:82",
            self.clock,
            GatewayMetrics(),
            None,
            lambda address, seconds: self.tunnels.append((address, seconds)),
        )
        self.list(self.record)

    def list(self, *records):
        """Apply a list of upstreams."""
        self.notices.retain(records)
        listed = {record.id: record for record in records}
        self.pool.update(listed, self.notices)

    def pass_time(self, seconds):
        """Let time pass."""
        self.loop.now += seconds

    def _tell(self, addresses, message):
        self.told += [(address, message) for address in addresses]

    @property
    def leaving(self):
        return self.pool.get("u1").leaving

    def answer(self, answer, sent_at=0.0):
        """Record an answer to a request."""
        self.notices.record_answer(self.record, answer, "r1", sent_at)


def test_a_notice_marks_the_upstream_and_is_told_once():
    fixture = Fixture()
    for _ in range(3):
        fixture.answer(own_answer(server_leaving="1"))
    assert fixture.leaving
    assert len(fixture.told) == 1


def test_peers_that_do_not_know_the_message_are_told_nothing():
    fixture = Fixture(NOTICES_PROTOCOL - 1)
    fixture.answer(own_answer(server_leaving="1"))
    assert fixture.leaving
    assert not fixture.told
    assert not fixture.notices.rows_for("10.0.0.2:82")


@pytest.mark.parametrize(
    "answer",
    [
        own_answer(421, server_leaving="1"),
        Answer(200, server_leaving="1"),
        Answer(503, **{DIALECT.request_id: "r1", "server-leaving": "1"}),
        Answer(200, **{DIALECT.signature: "s", "server-leaving": "1"}),
        own_answer(200, server_leaving="soon"),
    ],
)
def test_what_is_not_the_upstreams_own_word_marks_nothing(answer):
    fixture = Fixture()
    fixture.answer(answer)
    assert not fixture.leaving


def ask(fixture, status, sent_at=0.0, **headers):
    """Record the answer to a health check."""
    answer = Answer(status, **headers)
    fixture.notices.record_question(fixture.record, answer, sent_at)


@pytest.mark.parametrize("status", [200, 503])
def test_a_health_check_tells_that_an_upstream_leaves(status):
    fixture = Fixture()
    ask(fixture, status, server_leaving="1")
    assert fixture.leaving


def test_a_health_check_of_another_upstream_tells_nothing():
    fixture = Fixture()
    other = {DIALECT.instance: "u2", "server-leaving": "1"}
    ask(fixture, 200, **other)
    assert not fixture.leaving


def test_a_good_health_check_takes_a_notice_back():
    fixture = Fixture()
    fixture.answer(own_answer(server_leaving="1"))
    later = fixture.clock.steady() + 1.0
    ask(fixture, 503, later, **{DIALECT.instance: "u1"})
    assert fixture.leaving
    ask(fixture, 200, later, **{DIALECT.instance: "u1"})
    assert not fixture.leaving
    assert len(fixture.told) == 2


def test_an_entry_that_says_ready_does_not_overrule_a_notice():
    fixture = Fixture()
    fixture.answer(own_answer(server_leaving="1"))
    for _ in range(2):
        fixture.list()
        fixture.list(fixture.record)
    assert fixture.leaving
    assert not fixture.pool.of_service("feed")


# Back-offs


@pytest.mark.parametrize(
    ("text", "seconds"),
    [(None, 0.0), ("0", 0.0), ("3", 3.0), ("0.25", 0.25)]
    + [("86400", MAX_BACKOFF_SECONDS)],
)
def test_a_header_says_for_how_long_to_back_off(text, seconds):
    assert parse_backoff(text) == seconds


@pytest.mark.parametrize(
    "text",
    ["", "-1", "soon", "nan", "inf", "1e3", "1,5", "9" * 30, "2 2"]
    + ["Wed, 21 Oct 2026 07:28:00 GMT"],
)
def test_other_times_are_rejected(text):
    with pytest.raises(MessageError):
        parse_backoff(text)


def test_nothing_is_sent_within_a_back_off():
    backoff = Backoff()
    assert backoff.record(3.0, 10.0, 0.5)
    for now in (10.0, 11.0, 12.99):
        assert not backoff.acquire(now)
    assert backoff.until == 13.0
    assert 13.0 < backoff.available_at(10.0) < 13.0 + MAX_SPREAD


def test_the_later_end_counts_if_a_shorter_time_follows():
    backoff = Backoff()
    backoff.record(4.0, 10.0, 0.0)
    assert not backoff.record(1.0, 11.0, 0.0)
    assert not backoff.acquire(13.9)
    assert backoff.record(4.0, 11.0, 0.0)
    assert not backoff.acquire(14.9)


def sends_after_backoff(backoff, begun, seconds):
    """Return the times of sends by a router that sends as often as it may."""
    times = []
    for step in range(int(seconds / 0.01)):
        now = begun + 0.01 * step
        if backoff.acquire(now):
            times.append(now)
    return times


def test_few_requests_are_sent_first_after_a_back_off():
    backoff = Backoff()
    backoff.record(2.0, 10.0, 0.0)
    # The first one may come long after the end.
    times = sends_after_backoff(backoff, 12.7, STEPS * STEP_SECONDS)
    counts = [
        sum(at < times[0] + steps * STEP_SECONDS - 0.005 for at in times)
        for steps in (1, 2, 3)
    ]
    assert counts == [1, 3, 7]


def test_the_limit_ends_some_time_after_a_back_off():
    backoff = Backoff()
    backoff.record(2.0, 10.0, 0.0)
    assert backoff.acquire(12.0)
    assert not backoff.acquire(12.0)
    assert all(backoff.acquire(backoff.ends_at) for _ in range(100))


def test_a_refusal_after_a_back_off_begins_the_next_one():
    backoff = Backoff()
    backoff.record(2.0, 10.0, 0.0)
    assert backoff.acquire(12.1)
    assert backoff.record(2.0, 12.2, 0.0)
    assert not backoff.acquire(14.1)
    assert backoff.acquire(14.2)


def test_routers_return_at_different_times():
    begins = set()
    for spread in (0.0, 0.3, 0.6, 0.9):
        backoff = Backoff()
        backoff.record(3.0, 10.0, spread)
        begins.add(backoff.available_at(10.0))
    assert len(begins) == 4


def test_a_back_off_is_dropped_once_it_has_no_effect():
    book = BackoffBook()
    backoff = book.record("u1", 2.0, 10.0, 0.0)
    assert book.count(11.0) == 1
    assert not book.drop_ended(12.1)
    assert book.drop_ended(backoff.ends_at) == ["u1"]
    assert book.get("u1") is None


def backs_off(fixture):
    """Return whether u1 gets no request now."""
    return fixture.pool.get("u1").is_backed_off(fixture.clock.steady())


def test_a_refusal_begins_a_back_off_that_peers_are_not_told_of():
    fixture = Fixture()
    fixture.answer(refusal("3"))
    assert backs_off(fixture)
    assert not fixture.told
    assert not fixture.pool.candidates("feed", (), fixture.clock.steady())


def test_the_next_run_under_the_same_name_starts_without_a_back_off():
    fixture = Fixture()
    fixture.answer(refusal("3"))
    again = Upstream("u1", "feed", "10.9.0.1:80", "a", 8, False, born=9)
    fixture.list(again)
    assert not backs_off(fixture)


def test_an_entry_that_expired_and_is_back_does_not_end_a_back_off():
    fixture = Fixture()
    fixture.answer(refusal("3"))
    fixture.list()
    fixture.list(fixture.record)
    assert backs_off(fixture)


@pytest.mark.parametrize(
    "answer",
    [
        own_answer(421, retry_after="3"),
        own_answer(200, retry_after="3"),
        own_answer(500, retry_after="3"),
        Answer(503, **{DIALECT.request_id: "r1", "retry-after": "3"}),
        refusal("soon"),
        refusal("0"),
        own_answer(503),
    ],
)
def test_other_answers_begin_no_back_off(answer):
    fixture = Fixture()
    fixture.answer(answer)
    assert not backs_off(fixture)


def test_a_refused_health_check_begins_a_back_off():
    fixture = Fixture()
    ask(fixture, 503, retry_after="3")
    assert backs_off(fixture)
    assert not fixture.leaving


def test_the_router_that_relayed_a_refusal_is_told():
    relay = "north/10.0.0.3:82/nonce.5"
    fixture = Fixture()
    fixture.answer(refusal("2.5", relay=relay))
    ((address, message),) = fixture.told
    assert address == "10.0.0.3:82"
    other = Fixture()
    other.notices.receive_backoff(BackoffNews.unpack(message.pack()))
    assert backs_off(other)


def test_a_service_is_backed_off_only_if_all_that_do_not_leave_are():
    fixture = Fixture()
    second = Upstream("u2", "feed", "10.9.0.2:80", "a", 8, False)
    fixture.list(fixture.record, second)
    now = fixture.clock.steady()
    fixture.answer(refusal("3"))
    assert fixture.pool.available_at("feed", now) is None
    fixture.pool.set_leaving("u2", True)
    assert fixture.pool.available_at("feed", now) > now
    assert fixture.pool.left_out("feed", now) == {
        "leaving": ["u2"],
        "backed_off": ["u1"],
    }


def test_users_of_tunnels_are_told_how_long_sends_are_limited():
    fixture = Fixture()
    fixture.answer(refusal("3"))
    address, seconds = fixture.tunnels[0]
    assert address == fixture.record.address
    # The back-off, its spread, and the steps after it.
    assert 4.5 <= seconds <= 4.8
    fixture.answer(refusal("2"))
    assert len(fixture.tunnels) == 1
