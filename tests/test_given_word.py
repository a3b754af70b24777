"""A node's word to use no leader of a former term."""

import pytest

from bramblebeam.core.gateway.given_word import WORD_SECONDS, GivenWord

NOW = 100.0


@pytest.mark.parametrize(
    ("term", "after", "is_barred"),
    [
        pytest.param(2, 0.0, True, id="a former term"),
        pytest.param(3, 0.0, False, id="the term itself"),
        pytest.param(4, 0.0, False, id="a later one"),
        pytest.param(2, WORD_SECONDS - 0.1, True, id="while the order may come"),
        pytest.param(2, WORD_SECONDS, False, id="once it can't come any more"),
    ],
)
def test_what_a_word_bars(term: int, after: float, is_barred: bool) -> None:
    word = GivenWord()
    word.give(3, NOW)
    assert word.bars(term, NOW + after) is is_barred


def test_nothing_is_barred_before_a_word_is_given() -> None:
    assert not GivenWord().bars(0, NOW)


def test_a_word_for_a_lower_term_takes_none_back_that_still_counts() -> None:
    word = GivenWord()
    word.give(5, NOW)
    word.give(3, NOW + 1.0)
    assert word.bars(4, NOW + 2.0)
    word.give(3, NOW + 1.0 + WORD_SECONDS)
    assert not word.bars(4, NOW + 2.0 + WORD_SECONDS)
