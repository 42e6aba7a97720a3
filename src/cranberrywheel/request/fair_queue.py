"""A bounded queue that serves the team farthest below its share first."""

import collections
import heapq
import math
import typing as t

from cranberrywheel.errors import OverloadedError
from cranberrywheel.request.model import Request

#: Share assumed for teams without one, so that open queues are not starved.
MIN_SHARE = 0.01

#: A team may queue this many times the free places. A bursting team then leaves room
#: for the others: one takes four fifths of the places, five take 95% between them.
PLACES_PER_FREE_PLACE = 4
#: One place in this many is left to urgent requests when all teams wait.
URGENT_PART = 16

#: Use is averaged over this time, because a team whose share is less than one slot
#: reaches it only by holding a slot part of the time. Of 250, 500, 1,000 and 2,000 ms
#: this kept the worst of 51 teams closest to its share.
MEAN_USE_MS = 500
#: The averages are sampled this often, to keep the cost per request low. It is a
#: prime, because 20 ms coincided with regular arrivals and misjudged use by a fifth.
MEAN_USE_INTERVAL_MS = 7

_Requests = collections.OrderedDict[str, Request]


class FairQueue:
    """Waiting requests of one service.

    Urgent requests go before all others. Among requests of the same urgency the team
    with the lowest use relative to its share goes first, which lends unused share to
    the teams that have work. Requests of one team keep their order.

    :param max_queued: bound on waiting requests.
    """

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._requests_by_id: dict[str, Request] = {}
        self._urgent_by_team: dict[str, _Requests] = {}
        self._normal_by_team: dict[str, _Requests] = {}
        self._urgent_count = 0
        self._mean_use_by_team: dict[str, float] = {}
        self._mean_use_ms: int | None = None
        self._start_by_ms: dict[str, int] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._expired: list[Request] = []

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def push(self, request: Request, start_by_ms: int | None = None) -> None:
        """Append a request.

        Expired requests are evicted first when the queue is full; the next
        :meth:`take_expired` returns them.

        :param request: its id must not be queued.
        :param start_by_ms: clock reading from which a start is of no use, because
            the request would not end before its deadline. It then counts as expired.
        :raises OverloadedError: if the queue is full, or if the team holds so much
            of it that the rest must be left to others; urgent requests may use the
            rest.
        """
        if not self._has_place(request):
            self._evict_expired(request.arrived_ms)
        if not self._has_place(request):
            raise OverloadedError(
                f"The queue of service {request.service!r} is full.", "Retry later."
            )
        self._requests_by_id[request.request_id] = request
        self._urgent_count += request.urgent
        by_team = self._requests_by_team(request)
        requests = by_team.get(request.team)
        if requests is None:
            requests = by_team[request.team] = _Requests()
        requests[request.request_id] = request
        if start_by_ms is None:
            start_by_ms = request.deadline_ms
        self._start_by_ms[request.request_id] = start_by_ms
        heapq.heappush(self._deadlines, (start_by_ms, request.request_id))

    def remove(self, request_id: str) -> Request | None:
        """Remove a request, for example when its caller cancelled it.

        :param request_id: any id.
        :returns: the request, or ``None`` if it is not queued.
        """
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return None
        self._urgent_count -= request.urgent
        del self._start_by_ms[request_id]
        by_team = self._requests_by_team(request)
        requests = by_team[request.team]
        del requests[request_id]
        if not requests:
            del by_team[request.team]
        self._compact_deadlines()
        return request

    def pop(
        self,
        now_ms: int,
        shares_by_team: t.Mapping[str, float],
        use_by_team: t.Mapping[str, int],
        may_start: t.Callable[[str], bool],
    ) -> Request | None:
        """Remove and return the request to start next.

        :param now_ms: clock reading; expired requests are never returned.
        :param shares_by_team: fractions of the fleet.
        :param use_by_team: running requests in the whole fleet.
        :param may_start: whether a team is below its upper limit.
        :returns: a request, or ``None`` if no team with work may start any.
        """
        self._evict_expired(now_ms)
        self._update_mean_use(now_ms, use_by_team)
        mean_use_by_team = self._mean_use_by_team
        for by_team in (self._urgent_by_team, self._normal_by_team):
            best_rank, best_team = math.inf, None
            for team in by_team:
                share = shares_by_team.get(team, MIN_SHARE) or MIN_SHARE
                use = use_by_team.get(team, 0)
                mean_use = mean_use_by_team.get(team, 0.0)
                if mean_use > use:
                    # A team whose share is a part of a slot waits until its average
                    # falls. At most one slot counts, so lent share is not paid back.
                    use = min(mean_use, use + 1)
                rank = use / share
                if rank < best_rank and may_start(team):
                    best_rank, best_team = rank, team
            if best_team is not None:
                # Teams of equal rank are served in turn: the scan keeps the first.
                requests = by_team[best_team] = by_team.pop(best_team)
                return self.remove(next(iter(requests)))
        return None

    def estimate_requests_ahead(self, team: str, urgent: bool, share: float) -> float:
        """Estimate how many requests start before one that is pushed now.

        A team waits for its own requests at the rate that its share gives, not for
        the whole queue. Use the result for the predicted wait.

        :param team: team of the request.
        :param urgent: whether the request is urgent.
        :param share: share of the team.
        :returns: a number of requests, at most all that are queued.
        """
        by_team = self._urgent_by_team if urgent else self._normal_by_team
        own = len(by_team.get(team, ()))
        if urgent:
            return min(self._urgent_count, own / (share or MIN_SHARE))
        normal_count = len(self._requests_by_id) - self._urgent_count
        return self._urgent_count + min(normal_count, own / (share or MIN_SHARE))

    def take_expired(self, now_ms: int) -> list[Request]:
        """Remove the requests whose deadline or last useful start has passed.

        :param now_ms: clock reading.
        :returns: each expired request once, also those evicted by other calls.
        """
        self._evict_expired(now_ms)
        expired, self._expired = self._expired, []
        return expired

    def count_urgent(self, arrived_before_ms: int) -> int:
        """Count the urgent requests that have waited for long.

        :param arrived_before_ms: clock reading; later arrivals are not counted.
        """
        count = 0
        for requests in self._urgent_by_team.values():
            for request in requests.values():
                if request.arrived_ms >= arrived_before_ms:
                    break
                count += 1
        return count

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests of each team that has any."""
        counts: collections.Counter[str] = collections.Counter()
        for by_team in (self._urgent_by_team, self._normal_by_team):
            for team, requests in by_team.items():
                counts[team] += len(requests)
        return dict(counts)

    def _has_place(self, request: Request) -> bool:
        free = self._max_queued - len(self._requests_by_id)
        if free <= 0 or request.urgent:
            return free > 0
        free -= self._max_queued // URGENT_PART
        held = len(self._normal_by_team.get(request.team, ()))
        return held < PLACES_PER_FREE_PLACE * free

    def _update_mean_use(self, now_ms: int, use_by_team: t.Mapping[str, int]) -> None:
        elapsed_ms = MEAN_USE_INTERVAL_MS
        if self._mean_use_ms is not None:
            elapsed_ms = now_ms - self._mean_use_ms
        if elapsed_ms < MEAN_USE_INTERVAL_MS:
            return
        self._mean_use_ms = now_ms
        kept = math.exp(-elapsed_ms / MEAN_USE_MS)
        means = self._mean_use_by_team
        self._mean_use_by_team = {
            team: kept * means.get(team, 0.0) + (1 - kept) * use_by_team.get(team, 0)
            for team in means.keys() | use_by_team.keys()
        }

    def _requests_by_team(self, request: Request) -> dict[str, _Requests]:
        return self._urgent_by_team if request.urgent else self._normal_by_team

    def _evict_expired(self, now_ms: int) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            start_by_ms, request_id = heapq.heappop(self._deadlines)
            # A request that came back may have an older entry.
            if self._start_by_ms.get(request_id) == start_by_ms:
                self._expired.append(self._requests_by_id[request_id])
                self.remove(request_id)

    def _compact_deadlines(self) -> None:
        # Removed requests leave their entry behind. Rebuilding at twice the live
        # size keeps the cost per removal constant.
        if len(self._deadlines) > 2 * len(self._requests_by_id) + 64:
            self._deadlines = [
                (start_by_ms, request_id)
                for request_id, start_by_ms in self._start_by_ms.items()
            ]
            heapq.heapify(self._deadlines)
