"""Mean work of the submissions to a pool.

Load pattern: the sizes of submissions differ by a factor of ten, so that the sum over
the arrivals of one second overshoots a steady burst by a factor of two or three, and a
pool borrows machines that it never uses. Their number is a much better measure.
"""

import dataclasses

#: Submissions from which the mean is used.
MIN_COUNT = 20
#: Weight of the number of arrivals times the mean against the sum of their work. The
#: sum keeps a part, since a burst may consist of larger submissions than usual.
COUNT_WEIGHT = 0.7


@dataclasses.dataclass
class MeanWork:
    """Mean work of all submissions of a pool during one leadership.

    :ivar count: number of submissions.
    :ivar core_ms: their work, in core-milliseconds.
    """

    count: int = 0
    core_ms: float = 0.0

    def add(self, core_ms: float) -> None:
        """Include a submission."""
        self.count += 1
        self.core_ms += core_ms

    def smooth(self, core_ms: float, count: int) -> float:
        """Return the work of some arrivals with less noise, in core-milliseconds.

        :param core_ms: sum of their work.
        :param count: their number.
        """
        if self.count < MIN_COUNT:
            return core_ms
        expected_ms = count * self.core_ms / self.count
        return COUNT_WEIGHT * expected_ms + (1 - COUNT_WEIGHT) * core_ms
