"""Tests of the crash suspects of one guard."""

from gentianmill.suspects import Strike, SuspectList, SuspectVerdict

WINDOW_MS = 1000


def test_suspect_runs_while_no_other_suspect_runs():
    """Guards against a crash that convicts the wrong one of two suspects."""
    suspects = SuspectList(WINDOW_MS)
    for digest in (b'a', b'b'):
        suspects.start(digest)
    suspects.crash(0)
    assert suspects.check(b'a', 1) is SuspectVerdict.run
    suspects.start(b'a')
    assert suspects.check(b'b', 2) is SuspectVerdict.wait
    assert suspects.check(b'ordinary', 2) is SuspectVerdict.run
    assert suspects.finish(b'a', 3) == Strike(b'a', convicted=False, cleared=True)
    assert suspects.check(b'b', 4) is SuspectVerdict.run


def test_second_crash_with_one_suspect_convicts_it():
    """Guards against a resent request that crashes one upstream after another."""
    suspects = SuspectList(WINDOW_MS)
    suspects.start(b'a')
    suspects.crash(0)
    suspects.start(b'a')
    suspects.start(b'ordinary')
    assert suspects.crash(1) == [Strike(b'a', convicted=True, cleared=False)]
    assert suspects.check(b'a', 2) is SuspectVerdict.refuse
    assert suspects.check(b'ordinary', 2) is SuspectVerdict.run
    assert suspects.check(b'a', 2 + WINDOW_MS) is SuspectVerdict.run


def test_strikes_of_other_guards_count():
    """Guards against a suspect that starts afresh on each upstream."""
    suspects = SuspectList(WINDOW_MS)
    suspects.merge(Strike(b'a', convicted=False, cleared=False), 0)
    suspects.start(b'a')
    assert suspects.crash(1) == [Strike(b'a', convicted=True, cleared=False)]
    suspects.merge(Strike(b'b', convicted=True, cleared=False), 2)
    assert suspects.check(b'b', 3) is SuspectVerdict.refuse


def test_late_clearing_does_not_acquit():
    """Guards against a delayed strike that reopens a confirmed cause."""
    suspects = SuspectList(WINDOW_MS)
    suspects.merge(Strike(b'a', convicted=True, cleared=False), 0)
    suspects.merge(Strike(b'a', convicted=False, cleared=True), 1)
    suspects.merge(Strike(b'a', convicted=False, cleared=False), 1)
    assert suspects.check(b'a', 2) is SuspectVerdict.refuse
