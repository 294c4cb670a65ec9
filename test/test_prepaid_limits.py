"""Outflow limits, the records that contain them, and what these prove."""

import itertools
from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import FAR
from test.prepaid_world import make_world
from test.prepaid_world import refusal
from test.prepaid_world import World

import pytest

from rowanport.errors import MessageError
from rowanport.prepaid import Account
from rowanport.prepaid import batches
from rowanport.prepaid import BudgetRecord
from rowanport.prepaid import HolderRecord
from rowanport.prepaid.account import GROWTH_SHARE
from rowanport.prepaid.allowance import Allowance
from rowanport.prepaid.allowance import Allowances
from rowanport.prepaid.allowance import GROWTH_DELAY
from rowanport.prepaid.allowance import HOLD_SECONDS
from rowanport.prepaid.allowance import LEASE_SPANS
from rowanport.prepaid.allowance import Limit
from rowanport.prepaid.allowance import machine_age
from rowanport.prepaid.allowance import process_age
from rowanport.store import Value


def test_limits_lapse_and_do_not_apply_to_borrowed_tokens():
    account = Account(BUDGET)
    account.credit(100)
    allowances = Allowances()
    assert allowances.headroom(account, 0.0) is None
    allowances.add(Allowance(0.0, {BUDGET: Limit(30)}, {BUDGET: 100}))
    assert allowances.headroom(account, 1.0) == 30
    account.credit(50)
    assert allowances.headroom(account, 1.0) == 80
    assert account.reserve(80, allowances.headroom(account, 1.0), 1.0)
    assert not account.reserve(1, allowances.headroom(account, 1.0), 1.0)
    assert allowances.headroom(account, HOLD_SECONDS + 0.1) is None


@pytest.mark.parametrize("power", (False, True), ids=("process", "machine"))
def test_what_a_batch_draws_does_not_go_beyond_the_limit_in_its_record(power):
    # Tokens drawn by a batch could leave beyond the limit in the batch's own
    # record until the next record was written (docs/incidents/005).
    world = World(1, 10000)
    address = ADDRESSES[0]
    for other in ADDRESSES:
        world.start(other)
    account = None
    while account is None or not account.inflow:
        world.advance(0.01)
        account = world.routers[address].keeper.accounts.get(BUDGET)
    world.request(address, account.available, account.available, 1.0)
    world.advance(0.05)
    world.kill(address, 0.9, power)
    world.advance(4.0)
    world.check()
    world.close()


def test_a_limit_grows_from_some_age_of_its_record_on():
    account = Account(BUDGET)
    account.credit(100)
    allowances = Allowances()
    allowances.add(Allowance(1.0, {BUDGET: Limit(10, 20.0)}, {BUDGET: 100}))
    grows_at = 1.0 + GROWTH_DELAY
    for now in (1.0, 2.0, grows_at):
        assert allowances.headroom(account, now) == 10
    now = grows_at + 1.5
    assert allowances.headroom(account, now) == 40
    assert account.reserve(40, allowances.headroom(account, now), now)
    assert allowances.headroom(account, now) == 0
    # 20 more may leave a second later, all of them once the limit has lapsed.
    at = allowances.allowed_at(account, 20, now)
    assert now + 1.0 <= at <= now + 1.1
    assert allowances.headroom(account, at) >= 20
    account.credit(1000)
    allowances.add(Allowance(1.0, {BUDGET: Limit(10, 20.0)}, {BUDGET: 1100}))
    assert allowances.allowed_at(account, 1060, now) == 1.0 + HOLD_SECONDS
    record = HolderRecord(
        "run", 1, holdings={BUDGET: (1000, 10, 20.0)}, grows_at=GROWTH_DELAY
    )
    assert record.unspent(1.5) == {BUDGET: 990}
    assert record.unspent(GROWTH_DELAY + 1.5) == {BUDGET: 960}
    grown = int(20 * (HOLD_SECONDS - GROWTH_DELAY))
    assert record.unspent(HOLD_SECONDS) == {BUDGET: 990 - grown}


def test_a_request_waits_for_a_limit_that_soon_allows_it():
    # In a cut from the store requests were refused though limits would have
    # let out their tokens some tenths of a second later.  Their retries were
    # refused again, as callers wait for a third of their time at most.
    world = make_world()
    keeper = world.routers[ADDRESSES[0]].keeper
    account = keeper.accounts[BUDGET]
    world.store_down = True
    headroom = keeper.headroom(account)
    world.request(ADDRESSES[0], headroom, headroom, 0.1)
    world.advance(GROWTH_DELAY)
    grown = 0.3 * GROWTH_SHARE * account.total / len(ADDRESSES)
    soon = int(keeper.headroom(account) + grown)
    assert keeper.headroom(account) < soon <= account.available
    for address in ADDRESSES[1:]:
        # Peers lend nothing.
        world.routers[address].keeper.accounts[BUDGET].recalled = True
    world.request(ADDRESSES[0], soon, soon, 0.1)
    world.advance(0.6)
    assert (world.served, world.refusals) == (2, 0)
    # If a limit holds tokens back for longer, the request is refused at once,
    # with the time to retry.
    error = refusal(world, ADDRESSES[0], account.available)
    back = error.come_back_at - world.loop.now
    assert 0.0 < back < HOLD_SECONDS
    world.check()
    world.close()


def test_the_limit_of_an_uncertain_write_applies_too():
    account = Account(BUDGET)
    account.credit(100)
    allowances = Allowances()
    confirmed = Allowance(0.0, {BUDGET: Limit(50)}, {BUDGET: 100})
    allowances.add(confirmed)
    allowances.confirm(confirmed)
    allowances.add(Allowance(1.0, {BUDGET: Limit(30)}, {BUDGET: 100}))
    assert allowances.headroom(account, 1.5) == 30
    # The older record's limit has lapsed, the uncertain one's has not.
    assert allowances.headroom(account, HOLD_SECONDS + 0.5) == 30
    assert allowances.headroom(account, HOLD_SECONDS + 1.5) is None


def test_a_router_starts_with_an_unreadable_record_of_its_own():
    world = make_world()
    key = batches.HOLDER_PREFIX + ADDRESSES[0]
    world.kill(ADDRESSES[0], 0.5)
    world.revision += 1
    world.values[key] = (Value(b"\xc1", world.revision), None)
    world.advance(3.0)
    account = world.routers[ADDRESSES[0]].keeper.accounts[BUDGET]
    assert account.inflow > 0
    world.check()
    world.close()


def test_the_age_of_a_killed_process_is_proved_by_the_monotonic_clock():
    record = HolderRecord(
        "run", 1, made_at=50.0, wall=1000.0, lapses_at=50.0 + HOLD_SECONDS
    )
    assert process_age(record, 51.0, 1001.0) == 1.0
    late = HOLD_SECONDS + 0.1
    assert process_age(record, 50.0 + late, 1000.0 + late) is None
    # A monotonic clock that was reset makes the record look recent.
    assert process_age(record, 51.0, 1600.0) is None
    assert process_age(record, 2.0, 1600.0) is None


def test_the_age_of_a_restarted_machine_is_proved_by_leases_and_clocks():
    record = HolderRecord("run", 1, earliest=1000.0, lapses_at=HOLD_SECONDS)
    for shorter, longer in itertools.pairwise(LEASE_SPANS):
        recent, old = 1000.0 + shorter - 0.1, 1000.0 + shorter + 0.1
        assert machine_age(record, shorter, True, recent) == shorter
        # The larger of the ages by leases and by clocks is returned.
        assert machine_age(record, longer, True, recent) == longer
        assert machine_age(record, shorter, True, old) == longer
    shortest, longest = LEASE_SPANS[0], LEASE_SPANS[-1]
    assert machine_age(record, None, True, 1001.0) is None
    assert machine_age(record, shortest, False, 1001.0) is None
    assert machine_age(record, shortest, True, 1000.1 + longest) is None
    assert machine_age(record, shortest, True, 999.0) is None


def test_one_jumping_clock_does_not_shorten_an_elapsed_time():
    world = make_world()
    one, other = (world.routers[address] for address in ADDRESSES[:2])
    world.jumps[ADDRESSES[0]] = 2.4
    world.advance(0.5)
    assert one.clocks.earliest() <= world.loop.now + 0.3
    assert other.clocks.latest() >= world.loop.now + 2.0
    world.close()


def test_a_lease_is_renewed_for_each_record_and_granted_once():
    world = make_world()
    granted = len(world.leases)
    world.advance(4.0)
    assert len(world.leases) == granted
    # A lease that expired, as in an outage, is replaced.
    world.store_down = True
    world.advance(1.0)
    for lease in world.leases:
        world.leases[lease] = -FAR
    world.store_down = False
    world.advance(3.0)
    assert len(world.leases) > granted
    assert world.routers[ADDRESSES[0]].keeper.accounts[BUDGET].available
    world.check()
    world.close()


def test_a_lease_whose_renewal_has_no_answer_is_not_used_again():
    # The late renewal may extend the lease beyond the time of the limits.
    world = make_world()
    granted = len(world.leases)
    world.lease_fates = ["late"]
    world.advance(4.0)
    (late,) = world.late_renewals
    assert len(world.leases) > granted
    assert late not in [lease for _value, lease in world.values.values()]
    world.check()
    world.close()


def test_restarted_machines_give_back_what_they_left():
    world = make_world()
    taken = world.taken()
    for address in ADDRESSES:
        world.kill(address, 0.9, power=True)
    world.advance(4.0)
    assert world.taken() - world.held() < 0.3 * taken
    world.check()
    world.close()


@pytest.mark.parametrize("down", (0.9, 8.0))
def test_an_outage_that_delays_leases_does_not_shorten_an_age(down):
    # Leases do not expire while the store is down, so the clocks decide: what
    # limits allow in all that time is not recovered.
    world = make_world()
    router = world.routers[ADDRESSES[0]]
    account = router.keeper.accounts[BUDGET]
    pace = account.limit_growth(len(ADDRESSES), world.loop.now)
    before = world.held()
    world.store_down = True
    world.advance(4.0)
    for address in ADDRESSES:
        world.kill(address, down, power=True)
    world.store_down = False
    world.advance(down + 3.0)
    age = 4.0 + down
    let_go = before if age > HOLD_SECONDS else len(ADDRESSES) * pace * age
    assert world.taken() - world.held() >= 0.9 * let_go
    world.check()
    world.close()


@pytest.mark.parametrize(
    "data", (b"\xc1", b"\x93\x01\x02", b"\x93\x01\x02\x03", b"\x01")
)
def test_a_malformed_record_is_an_error(data):
    for kind in (BudgetRecord, HolderRecord):
        with pytest.raises(MessageError):
            kind.unpack(data)


def test_limits_follow_used_tokens_not_reserved_ones():
    # A request reserves the most that it may use; these use a third of it.
    # Limits followed the reserved tokens, so a power failure cost three times
    # the tokens used in that time.
    account = Account(BUDGET)
    account.set_total(1000000)
    account.credit(900000)
    for number in range(20):
        assert account.reserve(9000, None, number / 2)
        account.settle(9000, 3000, number / 2 + 0.4, 3000)
    used_a_second = 3000 * 2
    assert account.limit_growth(4, 10.0) < 1.6 * used_a_second
    # Also for lent tokens of which the unused part was returned.
    lender = Account(BUDGET)
    lender.set_total(1000000)
    lender.credit(900000)
    for number in range(20):
        lender.lend(9000, None, number / 2, draws=False)
        lender.credit_returned(6000, number / 2 + 0.4)
    assert lender.limit_growth(4, 10.0) < 1.6 * used_a_second


def test_a_record_raises_the_limit_for_a_waiting_request():
    # Half a second after a record, no new one was written for a request that
    # needed a little more than the limit.  It waited and was refused, though
    # its router held the tokens and reached the store.
    world = make_world()
    keeper = world.routers[ADDRESSES[0]].keeper
    account = keeper.accounts[BUDGET]
    world.cuts |= {frozenset((ADDRESSES[0], a)) for a in ADDRESSES[1:]}
    for _ in range(10):
        newest = keeper._refill._allowances.newest()
        while not 0.4 < world.loop.now - newest.made_at < 0.6:
            world.advance(0.01)
            newest = keeper._refill._allowances.newest()
        tokens = int(1.4 * keeper.headroom(account))
        world.request(ADDRESSES[0], tokens, 0, 0.1)
        world.advance(0.5)
    assert (world.served, world.refusals) == (10, 0)
    world.check()
    world.close()


def test_a_router_held_back_by_a_limit_borrows_in_a_cut():
    # In a cut from the store a router refused requests because of its limit,
    # though its peers could have lent as much: it asked them only if it held
    # too few tokens.
    world = make_world()
    keeper = world.routers[ADDRESSES[0]].keeper
    headroom = keeper.headroom(keeper.accounts[BUDGET])
    world.store_down = True
    world.request(ADDRESSES[0], 2 * headroom, 2 * headroom, 0.1)
    world.advance(0.2)
    assert (world.served, world.refusals) == (1, 0)
    world.check()
    world.close()
