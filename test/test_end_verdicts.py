"""Verdicts on the ends of answers without a length, from evidence alone."""

import itertools

import pytest

from rowanport.ends import Evidence
from rowanport.ends import Instance
from rowanport.ends import judge
from rowanport.ends import Opened
from rowanport.ends import Peers
from rowanport.ends import Reason
from rowanport.ends import Step

FINAL = (Step.WHOLE, Step.BROKEN)
# New connections that show nothing of the process that answered.
# Words of health checks over a connection that is not closed.
HELD = (Instance.UNNAMED, Instance.SILENT)
NO_WORD = (Opened.REFUSED, Opened.UNREACHABLE, Opened.NOT_ALLOWED)


def evidence_of(earlier_open=False, opened=Opened.REFUSED, **more):
    """Return Evidence with some values set."""
    evidence = Evidence(earlier_open, opened)
    for name, value in more.items():
        setattr(evidence, name, value)
    return evidence


def all_evidence(earlier_open=(False, True)):
    """Yield all Evidence there can be."""
    flags = (False, True)
    for values in itertools.product(
        earlier_open,
        Opened,
        flags,
        (None, *Instance),
        (None, *Peers),
        flags,
        flags,
        flags,
    ):
        earlier, opened, waited, instance, peers, leaving, cut, again = values
        yield evidence_of(
            earlier,
            opened,
            waited=waited,
            instance=instance,
            peers=peers,
            leaving=leaving,
            cut_together=cut,
            may_run_again=again,
        )


def test_each_verdict_is_final_once_all_is_known():
    # Guards against an answer whose end is held back for ever.
    for evidence in all_evidence():
        step, reason = judge(evidence)
        assert (step in FINAL) == (reason is not None)
        asked = evidence.instance is not None and evidence.peers is not None
        if evidence.waited and asked:
            assert step in FINAL


def test_no_answer_is_whole_without_proof_unless_its_upstream_leaves():
    # Guards against half an answer of a killed upstream that looks whole.
    for evidence in all_evidence(earlier_open=(False,)):
        named = evidence.instance is Instance.SAME
        if evidence.leaving or named or evidence.peers is Peers.OPEN:
            continue
        prompt = evidence.opened is Opened.PROMPT
        if not prompt or evidence.instance not in HELD:
            assert judge(evidence)[0] is not Step.WHOLE


@pytest.mark.parametrize("opened", NO_WORD)
def test_an_answer_cut_with_others_is_broken_though_its_upstream_leaves(
    opened,
):
    # Guards against a killed upstream whose leave explains all that ends.
    evidence = evidence_of(opened=opened, leaving=True, cut_together=True)
    evidence.peers = Peers.NOTHING
    assert judge(evidence) == (Step.BROKEN, Reason.CUT_TOGETHER)
    evidence.cut_together = False
    evidence.peers = Peers.CUT
    assert judge(evidence) == (Step.BROKEN, Reason.CUT_TOGETHER)


@pytest.mark.parametrize("opened", NO_WORD)
def test_a_leave_is_no_proof_before_peers_were_asked(opened):
    # Guards against a guess where connections of peers can tell.
    evidence = evidence_of(opened=opened, leaving=True)
    assert judge(evidence) == (Step.ASK_PEERS, None)
    evidence.peers = Peers.OPEN
    assert judge(evidence) == (Step.WHOLE, Reason.PEER_CONNECTION)


@pytest.mark.parametrize("opened", NO_WORD)
def test_the_last_answer_of_a_leaving_upstream_is_whole(opened):
    # Guards against a whole answer that its caller gets as broken.
    evidence = evidence_of(opened=opened, leaving=True, peers=Peers.NOTHING)
    assert judge(evidence) == (Step.WHOLE, Reason.LEAVING)


def test_another_run_proves_the_last_answer_of_a_leaving_upstream():
    # Guards against a guess where another run can tell.
    evidence = evidence_of(leaving=True, may_run_again=True)
    evidence.peers = Peers.NOTHING
    assert judge(evidence) == (Step.BROKEN, Reason.SENT_AGAIN)


def test_an_open_connection_of_the_process_is_proof_enough():
    # Guards against whole answers of busy upstreams that count as broken.
    for opened in (Opened.PROMPT, Opened.LATE, Opened.NOT_ALLOWED):
        evidence = evidence_of(True, opened)
        assert judge(evidence) == (Step.WHOLE, Reason.EARLIER_CONNECTION)


@pytest.mark.parametrize("opened", (Opened.REFUSED, Opened.UNREACHABLE))
def test_open_connections_are_looked_at_again_if_nobody_listens(opened):
    # Guards against ends of killed processes that got lost on the way.
    evidence = evidence_of(True, opened, leaving=True)
    assert judge(evidence) == (Step.WAIT, None)
    evidence.waited = True
    assert judge(evidence)[0] is Step.WHOLE
    evidence.earlier_open = False
    evidence.leaving = False
    evidence.peers = Peers.NOTHING
    assert judge(evidence)[0] is Step.BROKEN


def test_open_connections_are_no_proof_where_nobody_listens():
    # Guards against connections whose ends wait behind bytes on a slow link.
    evidence = evidence_of(True, Opened.REFUSED)
    assert judge(evidence) == (Step.BROKEN, Reason.REFUSED)


def test_a_process_that_may_have_started_since_has_to_name_itself():
    # Guards against the word of another process at the same address.
    evidence = evidence_of(opened=Opened.LATE)
    assert judge(evidence) == (Step.ASK, None)
    evidence.instance = Instance.SAME
    assert judge(evidence) == (Step.WHOLE, Reason.SAME_INSTANCE)
    for instance in set(Instance) - {Instance.SAME}:
        evidence.instance = instance
        evidence.peers = Peers.NOTHING
        assert judge(evidence) == (Step.BROKEN, Reason.NOT_SAME_INSTANCE)


def test_a_new_connection_alone_is_no_proof():
    # Guards against the word of a proxy that has not found out yet that
    # nobody listens behind it.
    evidence = evidence_of(opened=Opened.PROMPT)
    assert judge(evidence) == (Step.ASK, None)
    for instance in (Instance.ANOTHER, Instance.GONE):
        evidence.instance = instance
        evidence.peers = Peers.NOTHING
        assert judge(evidence) == (Step.BROKEN, Reason.NOT_SAME_INSTANCE)


@pytest.mark.parametrize("instance", HELD)
def test_a_new_connection_to_a_busy_upstream_is_proof_enough(instance):
    # Guards against whole answers of upstreams without a slot for a health
    # check that count as broken.
    evidence = evidence_of(opened=Opened.PROMPT, instance=instance)
    assert judge(evidence) == (Step.WHOLE, Reason.NEW_CONNECTION)
