"""Shares of a capacity, and the demand by organisation that they rest on."""

import math

import pytest

from rowanport.admission import Demand
from rowanport.admission import DemandBook
from rowanport.admission import FairShares
from rowanport.admission import refused_part
from rowanport.admission import Shortage
from rowanport.admission.demand import MAX_AGE
from rowanport.admission.demand import REPORTED
from rowanport.admission.shortage import END_SECONDS
from rowanport.admission.shortage import LEAST_REST
from rowanport.admission.shortage import MOST_REST
from rowanport.errors import MessageError
from rowanport.gateway.demand_sync import decode
from rowanport.gateway.demand_sync import encode
from rowanport.rates import DecayingMean

NOW = 100.0
# Bytes a second that a component may send.
MOST_BYTES = 1024
REPORTS_PER_SECOND = 2


def admitted(capacity, demands, others=0.0):
    """Return what is admitted of each organisation's demand."""
    shares = FairShares(capacity, demands, others)
    return {
        name: demand * (1 - shares.excess(name))
        for name, demand in demands.items()
    }


# Shares


def test_an_organisation_below_its_share_keeps_all_of_its_demand():
    # Guards against refusals of those who do not cause the shortage.
    assert admitted(100, {"a": 10, "b": 300, "c": 50}) == pytest.approx(
        {"a": 10, "b": 45, "c": 45}
    )


def test_unused_share_is_lent():
    assert admitted(100, {"a": 10, "b": 90}) == {"a": 10, "b": 90}


def test_nothing_is_beyond_a_share_if_there_is_enough():
    shares = FairShares(100, {"a": 60, "b": 40})
    assert shares.level == math.inf
    assert shares.excess("a") == shares.excess("unknown") == 0


def test_the_demand_of_small_organisations_is_left_to_them():
    # A router reports its eight largest organisations only; without the rest
    # of the demand the large ones would get more than there is.
    shares = FairShares(100, {"a": 200, "b": 10}, others=40)
    assert shares.level == pytest.approx(50)


def test_others_count_as_organisations_and_not_as_one():
    # As one organisation they would get as little as a large one.  None of
    # the nine asks for more than the smallest one that is named.
    shares = FairShares(90, {"a": 90, "b": 10}, others=90)
    assert shares.level == pytest.approx(90 / 11)


def test_no_demand_and_no_capacity_are_no_error():
    assert FairShares(0, {}).excess("a") == 0
    assert FairShares(0, {"a": 1}).excess("a") == 1


def test_less_urgent_requests_of_an_organisation_are_refused_first():
    # Half of the demand is beyond the share; .3 of it is less urgent.
    assert refused_part(0.5, less_urgent=0.0, alike=0.3) == 1.0
    assert refused_part(0.5, less_urgent=0.3, alike=0.7) == pytest.approx(
        0.2 / 0.7
    )
    assert refused_part(0.2, less_urgent=0.3, alike=0.7) == 0.0
    assert refused_part(0.2, less_urgent=0.0, alike=0.0) == 0.2


# Demand


def record(book, demands, service="llm", now=NOW, rank=0):
    for name, amount in demands.items():
        book.record(service, name, rank, amount, now)


def test_own_demand_counts_alone_without_answers_of_collectors():
    book = DemandBook()
    record(book, {"a": 10, "b": 5})
    book.apply({"llm": Demand(900, 50, True, {"c": 900})}, NOW)
    known = book.demand("llm", NOW)
    assert known.organisations == {"c": 900}
    assert known.turned_away
    alone = book.demand("llm", NOW + MAX_AGE + 0.1)
    assert set(alone.organisations) == {"a", "b"}
    assert not alone.turned_away


def test_an_organisation_asks_for_at_least_what_it_asks_of_this_router():
    # A collector may not have heard of the crowd at this router.
    book = DemandBook()
    record(book, {"a": 100})
    book.apply({"llm": Demand(50, 50, False, {"a": 10, "b": 40})}, NOW)
    own = book.report(NOW)["llm"].organisations["a"]
    known = book.demand("llm", NOW)
    assert known.organisations == {"a": own, "b": 40}
    assert known.total == pytest.approx(40 + own)


def test_demand_that_ended_is_forgotten():
    # Guards against memory that grows with each organisation ever seen.
    book = DemandBook()
    record(book, {"a": 100})
    later = NOW + 60
    assert book.report(later)["llm"].organisations == {}
    assert not book._own["llm"].ranks


def test_a_report_names_the_largest_and_the_total():
    book = DemandBook()
    record(book, {f"o{n}": n + 1 for n in range(20)})
    report = book.report(NOW)["llm"]
    assert set(report.organisations) == {
        f"o{n}" for n in range(20 - REPORTED, 20)
    }
    assert report.others > 0


def test_collected_reports_are_added_up_and_expire():
    # Guards against demand of routers that were killed.
    book = DemandBook()
    for name in ("r1", "r2"):
        row = Demand(10, 4, False, {"a": 10})
        book.collect(name, {"llm": row}, NOW)
    assert book.summarize(2, NOW)["llm"].organisations == {"a": 20}
    assert book.summarize(2, NOW + MAX_AGE)["llm"].begun == 8
    assert book.summarize(2, NOW + MAX_AGE + 0.1) == {}
    assert not book._reports


def test_routers_that_did_not_report_count_like_those_that_did():
    # Each router reports to one collector at a time, at random.
    book = DemandBook()
    for name in ("r1", "r2"):
        row = Demand(10, 4, False, {"a": 10})
        book.collect(name, {"llm": row}, NOW)
    assert book.summarize(6, NOW)["llm"].organisations == {"a": 60}


def test_a_newer_report_replaces_that_of_the_same_router():
    book = DemandBook()
    for amount in (10, 30):
        row = Demand(amount, 0, False, {"a": amount})
        book.collect("r1", {"llm": row}, NOW)
    assert book.summarize(1, NOW)["llm"].total == 30


def test_states_of_the_fleet_are_averaged():
    # A collector may have missed the one router at which a crowd is.
    book = DemandBook()
    for amount in 20 * (0, 100):
        row = Demand(amount, 0, False, {"a": amount} if amount else {})
        book.apply({"llm": row}, NOW)
    assert 30 < book.demand("llm", NOW).organisations["a"] < 80


def test_the_demand_of_an_organisation_divides_by_rank():
    book = DemandBook()
    record(book, {"a": 30}, rank=0)
    record(book, {"a": 10}, rank=1)
    parts = book.rank_parts("llm", "a", 0, NOW)
    assert parts == pytest.approx((0.25, 0.75))
    assert book.rank_parts("llm", "b", 0, NOW) == (0.0, 0.0)


# The encoding


def test_demand_survives_its_encoding():
    demand = Demand(1000.5, 80.25, True, {7: 900.0, 2**32 - 1: 0.0625})
    (copy,) = decode(encode({5: demand})).values()
    assert copy.organisations == demand.organisations
    assert (copy.total, copy.begun) == (demand.total, demand.begun)
    assert copy.turned_away is True
    assert encode({5: Demand(0, 0, False, {})}) == b""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x01",
        b"\x91\x01",
        b"\x91\x95\x01\x02\x03\xc2\x91\x01",
        b"\x91\x95\x01\xff\x03\xc2\x90",
        b"\x91\x95\x01\x02\x03\x04\x90",
    ],
)
def test_unreadable_demand_is_a_message_error(data):
    # Another error would cost the reporting router the other components.
    with pytest.raises(MessageError):
        decode(data)


def test_the_largest_report_keeps_to_its_bytes():
    book = DemandBook()
    for service in range(9):
        organisations = {2**32 - n: 1e6 for n in range(1, 30)}
        record(book, organisations, 2**32 - 1 - service)
        book.record_begun(2**32 - 1 - service, 1e7, NOW)
    size = len(encode(book.report(NOW)))
    assert REPORTS_PER_SECOND * size <= MOST_BYTES


# Shortages


def test_a_shortage_is_expected_to_last_as_long_as_it_has():
    shortage = Shortage()
    assert shortage.record(NOW) == NOW + LEAST_REST
    for step in range(1, 5):
        end = shortage.record(NOW + 0.5 * step)
    assert end == NOW + 4.0
    for step in range(5, 50):
        end = shortage.record(NOW + 0.5 * step)
    assert end == NOW + 24.5 + MOST_REST


def test_a_shortage_after_a_pause_is_a_new_one():
    shortage = Shortage()
    shortage.record(NOW)
    later = NOW + END_SECONDS + 0.1
    assert shortage.record(later) == later + LEAST_REST


def test_a_decaying_mean_follows_new_values():
    mean = DecayingMean(10.0)
    assert mean.mean is None
    mean.add(1.0, NOW)
    mean.add(3.0, NOW)
    assert mean.mean == pytest.approx(2.0)
    mean.add(3.0, NOW + 100.0)
    assert mean.mean == pytest.approx(3.0, abs=0.01)
