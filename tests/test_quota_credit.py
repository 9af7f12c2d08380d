"""Tests of the tokens that an entry holds, and of what it does without an owner."""

from gentianmill.quota_credit import LocalAllowance, OwnerChoice, QuotaCredit
from gentianmill.quota_members import QuotaMembers
from gentianmill.teams import Team


def test_tokens_expire_after_their_lifetime_from_the_request():
    """Guards against tokens that are used long after their owner refilled them."""
    credit = QuotaCredit()
    credit.on_grant(2, 2, 300, sent_ms=0, now_ms=200)
    assert credit.take(299)
    assert not credit.take(300)


def test_an_owner_cannot_extend_the_lifetime():
    """Guards against a wrong lifetime in a frame."""
    credit = QuotaCredit()
    credit.on_grant(1, 1, 60_000, sent_ms=0, now_ms=0)
    assert not credit.take(301)


def test_a_token_that_is_given_back_keeps_its_expiry():
    """Guards against a token that lives on with each request that is not sent."""
    credit = QuotaCredit()
    credit.on_grant(1, 1, 300, sent_ms=0, now_ms=0)
    assert credit.take(100)
    credit.give_back(200)
    assert credit.held(299) == 1
    assert credit.held(300) == 0
    credit.give_back(301)
    assert credit.held(301) == 0


def test_nothing_is_given_back_that_was_not_taken():
    """Guards against tokens that appear at the entry."""
    credit = QuotaCredit()
    credit.give_back(0)
    assert not credit.held(0)


def test_a_steady_caller_asks_ahead_while_there_is_enough():
    """Guards against a wait for each request, and against hoarding when tokens are few."""
    credit = QuotaCredit()
    for now_ms in range(0, 1000, 10):
        credit.on_demand(now_ms)
    assert credit.wanted(1, 1000) == 1
    credit.on_grant(1, 1, 300, sent_ms=990, now_ms=1000)
    assert credit.wanted(1, 1000) > 20
    credit.on_grant(30, 2, 300, sent_ms=990, now_ms=1000)
    assert credit.wanted(1, 1000) == 1


def test_surplus_is_returned_once():
    """Guards against a token that is returned and used as well."""
    credit = QuotaCredit()
    credit.on_grant(5, 5, 300, sent_ms=0, now_ms=0)
    assert credit.take_surplus(10) == 5
    assert credit.take_surplus(10) == 0
    assert not credit.take(10)


def test_all_local_allowances_fit_beside_leases_and_loans():
    """Guards against entries without an owner that exceed the bound together."""
    team = Team('t', None, 40, 5)
    allowance = LocalAllowance(0)
    passed = [allowance.take(team, 4, 5000 + step) for step in range(50)]
    assert sum(passed) == (40 * 5 * 0.01 + 10) / 4
    assert allowance.take(team, 4, 10_000)


def test_a_new_process_has_no_local_allowance():
    """Guards against an allowance that is used again after each restart."""
    assert not LocalAllowance(0).take(Team('t', None, 1000, 0), 1, 4999)


def test_a_silent_owner_is_followed_by_its_successor_and_other_regions():
    """Guards against a team that waits for an owner that is gone."""
    members = QuotaMembers('a', 'r', 2)
    members.update({'a': 'r', 'b': 'r', 'z': 'q'}, 0)
    choice = OwnerChoice(members)
    first = choice.choose('t', 0)
    choice.on_silent(first, 0)
    second = choice.choose('t', 10)
    assert {first, second} == {'a', 'b'}
    choice.on_declined(second, 't', 10)
    assert choice.choose('t', 20) == 'z'
    choice.on_silent('z', 20)
    assert choice.choose('t', 30) is None
    assert choice.choose('t', 1000) == first
