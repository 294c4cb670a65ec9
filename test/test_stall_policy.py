"""RunStallPolicy abandons a stalled run only if a retry is certain."""

import asyncio
from unittest import mock

from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.router.runner import Job
from rowanport.router.runner import Runner
from rowanport.router.stall_policy import RunStallPolicy
from rowanport.scheduling import RetryBudget

COST = 100


class StalledRun:
    """A job whose upstream has stalled, with mocks of what its policy uses."""

    def __init__(self, **call):
        fields = {"repeatable": True, "deadline": 60.0, **call}
        self.call = mock.MagicMock(**fields)
        self.job = Job(self.call, {}, None, COST, 1, "key", 0.0, 0)
        self.router = mock.MagicMock()
        self.router.clock.wall.return_value = 10.0
        self.router.ledger.reserve = mock.AsyncMock(return_value="reserved")
        self.group = mock.MagicMock(retries=RetryBudget(0.1))
        self.policy = RunStallPolicy(self.router, self.job, self.group, {"a"})

    def is_abandoned(self):
        return asyncio.run(self.policy.give_up())

    def use_up_retries(self):
        while self.group.retries.acquire():
            pass


def test_a_run_is_abandoned_once_all_that_a_retry_needs_is_acquired():
    run = StalledRun()
    assert run.is_abandoned()
    assert (run.job.next_reservation, run.job.retry_acquired) == (
        "reserved",
        True,
    )


def test_what_a_retry_needs_is_acquired_once_over_repeated_stalls():
    run = StalledRun()
    run.is_abandoned()
    run.use_up_retries()
    assert run.is_abandoned()
    run.router.ledger.reserve.assert_awaited_once()


def test_a_run_that_may_not_be_repeated_is_kept():
    run = StalledRun(repeatable=False)
    assert not run.is_abandoned()
    run.router.ledger.reserve.assert_not_awaited()


def test_a_run_whose_answer_was_partly_sent_is_kept():
    run = StalledRun()
    run.job.sent = True
    assert not run.is_abandoned()


def test_a_run_is_kept_if_no_other_upstream_has_a_free_slot():
    run = StalledRun()
    run.group.pool.choose.return_value = None
    assert not run.is_abandoned()
    run.group.pool.choose.assert_called_with("key", {"a"})


def test_a_run_is_kept_if_no_tokens_can_be_reserved_for_a_retry():
    run = StalledRun()
    error = RequestError(ErrorKind.BUDGET_EXHAUSTED)
    run.router.ledger.reserve.side_effect = error
    assert not run.is_abandoned()
    assert not run.job.retry_acquired


def test_no_tokens_are_reserved_if_no_retry_is_allowed():
    # They would stay reserved unused, and be missing for other requests, until
    # the stalled run ends.
    run = StalledRun()
    run.use_up_retries()
    assert not run.is_abandoned()
    run.router.ledger.reserve.assert_not_awaited()


def test_a_stalled_run_is_abandoned_after_its_callers_deadline():
    run = StalledRun(repeatable=False, deadline=10.0)
    assert run.is_abandoned()
    run.router.ledger.reserve.assert_not_awaited()


def test_the_reservation_of_a_retry_that_was_not_made_is_released():
    run = StalledRun()
    run.job.next_reservation = mock.MagicMock(reservation="r1")

    class NoRetryRunner(Runner):
        async def _run_attempts(self, _job, _responder):
            """Answer without a retry: the stalled run went on after all."""

        attempt = answer_duplicate = end_run = None

    asyncio.run(NoRetryRunner(run.router).run(run.job, None))
    run.router.ledger.release.assert_called_once_with("r1")
    assert run.job.next_reservation is None
