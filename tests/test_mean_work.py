"""Mean work of the submissions to a pool."""

import random
import statistics

from cranberrywheel.submission.mean_work import MIN_COUNT, MeanWork


def test_few_submissions_are_not_smoothed():
    """Guards against a first burst that is judged by two or three submissions."""
    mean = MeanWork()
    for _ in range(MIN_COUNT - 1):
        mean.add(100.0)
    assert mean.smooth(5_000.0, 2) == 5_000.0


def test_steady_arrivals_of_uneven_size_do_not_look_like_a_larger_burst():
    """Guards against machines that are borrowed for a few large submissions: of a
    steady burst the largest second overshot the mean by a factor of two or three."""
    rng = random.Random(7)
    mean = MeanWork()
    seconds = [[rng.lognormvariate(0, 1.0) for _ in range(12)] for _ in range(200)]
    for second in seconds:
        for core_ms in second:
            mean.add(core_ms)
    sums = [sum(second) for second in seconds]
    smoothed = [mean.smooth(sum(second), len(second)) for second in seconds]
    usual = statistics.mean(sums)
    assert abs(statistics.mean(smoothed) - usual) < 0.05 * usual
    assert max(smoothed) - usual < 0.5 * (max(sums) - usual)


def test_more_arrivals_still_count_in_full():
    """Guards against a burst that is taken for the usual load."""
    mean = MeanWork()
    for _ in range(100):
        mean.add(10.0)
    assert mean.smooth(500.0, 50) == 500.0
