"""Recovery of an earlier run's record: its reads, contents and logs."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import FAR
from test.prepaid_world import SettledFleet
from test.prepaid_world import World

import msgpack
import pytest
from structlog.testing import capture_logs

from rowanport.prepaid import BudgetRecord
from rowanport.prepaid import HolderRecord
from rowanport.prepaid.allowance import Allowance
from rowanport.prepaid.allowance import GROWTH_DELAY
from rowanport.prepaid.allowance import HOLD_SECONDS
from rowanport.prepaid.allowance import Limit
from rowanport.prepaid.allowance import machine_age
from rowanport.prepaid.allowance import process_age
from rowanport.prepaid.batches import BUDGET_PREFIX


def test_only_routers_with_a_record_do_a_full_read_at_their_start():
    # Of 195 routers nine had a record, but each did a full read.
    fleet = SettledFleet()
    world = fleet.world
    assert world.reads == 0
    for address in fleet.addresses:
        world.kill(address, 1.0)
    world.advance(3.0)
    assert 0 < world.reads <= len(fleet.holders)
    world.close()


@pytest.mark.parametrize("seed", range(6))
def test_a_record_that_a_stale_read_misses_is_recovered(seed):
    world = World(seed, 100000)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    world.old_answers = 10.0
    for address in ADDRESSES:
        world.kill(address, 0.5)
    world.advance(12.0)
    assert world.held() > 0
    assert world.taken() - world.held() < 0.15 * 100000
    world.check()
    world.close()


@pytest.mark.parametrize("power", (False, True), ids=("process", "machine"))
@pytest.mark.parametrize("down", (0.5, 8.0), ids=("recovered", "stranded"))
def test_spent_tokens_of_an_ended_run_are_counted_once(power, down):
    # A router counts spent tokens until its next draw reports them, and that
    # count was lost when it ended.  After a power failure of all routers two
    # budgets with 918 of 1,077,563 tokens left were refused as spent only 10
    # of 404 times.
    world = World(1, 400000)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    used = dict(zip(ADDRESSES, (3000, 4000, 5000, 6000)))
    for address, tokens in used.items():
        keeper = world.routers[address].keeper
        world.loop.run_until_complete(keeper.reserve(BUDGET, tokens))
        keeper.settle(BUDGET, tokens, tokens, tokens)
        world.spent += tokens
    world.advance(1.5)
    before = BudgetRecord.unpack(world.read(BUDGET_PREFIX + BUDGET).data).spent
    assert before < 18000
    for _number in range(2):
        for address in ADDRESSES:
            world.kill(address, down, power)
        world.advance(down + 2.0)
    # Each router reports the count with its next draw.
    for address in ADDRESSES:
        account = world.routers[address].keeper.accounts[BUDGET]
        account.debit(account.available)
    world.advance(2.0)
    record = BudgetRecord.unpack(world.read(BUDGET_PREFIX + BUDGET).data)
    assert record.spent == 18000
    world.check()
    world.close()


def test_a_record_of_an_earlier_version_is_read():
    record = HolderRecord("run", 1, holdings={BUDGET: (100, 10, 20.0)})
    fields = msgpack.unpackb(record.pack())[:6]
    old = HolderRecord.unpack(msgpack.packb(fields))
    assert old.unspent(1.0) == {BUDGET: 70}
    assert old.spent == {}
    assert old.out == {}
    # Its limits grew at once and lapsed earlier.
    assert process_age(old, 2.0, 2.0) == 2.0
    assert process_age(old, 3.0, 3.0) is None
    assert machine_age(old, 2.0, True, 1.5) == 2.0
    assert machine_age(old, 3.0, True, 1.5) is None


def test_a_record_gives_the_exact_spans_that_its_writer_used():
    # Differences of large times have rounding errors.
    for made_at in (0.1, 1234567.8912345, -987654.32109):
        allowance = Allowance(made_at, {}, {})
        record = HolderRecord(
            "run",
            1,
            made_at=made_at,
            holdings={BUDGET: (1000, 10, 100.0)},
            grows_at=allowance.grows_at,
            lapses_at=allowance.lapses_at,
        )
        record = HolderRecord.unpack(record.pack())
        assert record.effective_seconds == HOLD_SECONDS
        limit = Limit(10, 100.0)
        for age in (0.0, GROWTH_DELAY, GROWTH_DELAY + 1.01, HOLD_SECONDS):
            assert record.unspent(age) == {BUDGET: 1000 - limit.at(age)}


def test_a_record_accounts_for_the_tokens_of_its_run():
    record = HolderRecord(
        "run", 1, holdings={BUDGET: (100, 50, 10.0)}, out={BUDGET: (40, 30)}
    )
    (account,) = HolderRecord.unpack(record.pack()).run_accounts(2.0).values()
    assert account.as_log() == {
        "tokens_in": 100,
        "out": 40,
        "under_way": 30,
        "let_go": 30,
        "unspent": 30,
    }
    (account,) = record.run_accounts().values()
    assert (account.let_go, account.unspent) == (60, 0)


def test_the_next_run_logs_the_accounts_of_the_last_one():
    world = World(1, 100000)
    world.start(ADDRESSES[0])
    world.advance(4.0)
    world.request(ADDRESSES[0], 300, 300, FAR)
    world.advance(1.0)
    held = world.held()
    world.kill(ADDRESSES[0], 0.5)
    with capture_logs() as lines:
        world.advance(1.0)
    (line,) = [one for one in lines if one["event"] == "tokens_recovered"]
    account = line["accounts"][BUDGET]
    assert account["under_way"] == account["out"] == 300
    assert account["let_go"] + account["unspent"] == held
    world.close()
