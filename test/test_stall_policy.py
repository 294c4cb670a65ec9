"""When the own interface lets a silent run go: only once another is sure."""

import asyncio
from unittest import mock

from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.router.runner import Job
from rowanport.router.runner import Runner
from rowanport.router.stall_policy import RunStallPolicy
from rowanport.scheduling import RetryBudget

COST = 100


class SilentRun:
    """A job whose upstream is silent, and what its stall policy asks for.

    :ivar other: the upstream that another run may go to, or None
    """

    def __init__(self, **call):
        fields = {"repeatable": True, "deadline": 60.0, **call}
        self.call = mock.MagicMock(**fields)
        self.job = Job(self.call, {}, None, COST, 1, "key", 0.0, 0)
        self.router = mock.MagicMock()
        self.router.clock.wall.return_value = 10.0
        self.router.ledger.reserve = mock.AsyncMock(return_value="entry")
        self.group = mock.MagicMock(retries=RetryBudget(0.1))
        self.policy = RunStallPolicy(self.router, self.job, self.group, {"a"})

    def gives_up(self):
        return asyncio.run(self.policy.give_up())

    def use_allowance(self):
        while self.group.retries.acquire():
            pass


def test_it_is_let_go_once_all_that_another_run_needs_is_taken():
    run = SilentRun()
    assert run.gives_up()
    assert (run.job.next_entry, run.job.retry_taken) == ("entry", True)


def test_what_another_run_needs_is_taken_once_however_often_it_is_asked():
    run = SilentRun()
    run.gives_up()
    run.use_allowance()
    assert run.gives_up()
    run.router.ledger.reserve.assert_awaited_once()


def test_a_run_that_may_not_be_repeated_is_kept():
    run = SilentRun(repeatable=False)
    assert not run.gives_up()
    run.router.ledger.reserve.assert_not_awaited()


def test_a_run_whose_answer_began_to_go_out_is_kept():
    run = SilentRun()
    run.job.sent = True
    assert not run.gives_up()


def test_a_run_is_kept_where_no_other_upstream_has_room():
    run = SilentRun()
    run.group.pool.choose.return_value = None
    assert not run.gives_up()
    run.group.pool.choose.assert_called_with("key", {"a"})


def test_a_run_is_kept_where_tokens_for_another_are_lacking():
    run = SilentRun()
    error = RequestError(ErrorKind.BUDGET_EXHAUSTED)
    run.router.ledger.reserve.side_effect = error
    assert not run.gives_up()
    assert not run.job.retry_taken


def test_without_an_allowance_no_tokens_are_set_aside():
    # They would lie idle, and be lacking elsewhere, until the silent run ends.
    run = SilentRun()
    run.use_allowance()
    assert not run.gives_up()
    run.router.ledger.reserve.assert_not_awaited()


def test_past_its_callers_deadline_a_silence_ends_a_run():
    run = SilentRun(repeatable=False, deadline=10.0)
    assert run.gives_up()
    run.router.ledger.reserve.assert_not_awaited()


def test_what_was_set_aside_for_a_run_that_did_not_follow_is_given_back():
    run = SilentRun()
    run.job.next_entry = mock.MagicMock(reservation="r1")

    class AnswersAtOnce(Runner):
        async def _run_attempts(self, _job, _responder):
            """The silent run went on after all."""

        attempt = attach = consumed = None

    asyncio.run(AnswersAtOnce(run.router).run(run.job, None))
    run.router.ledger.release.assert_called_once_with("r1")
    assert run.job.next_entry is None
