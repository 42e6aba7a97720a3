"""A bounded queue with weighted fair scheduling between teams."""

import collections
import heapq
import math
import typing as t

from cranberrywheel.errors import OverloadedError
from cranberrywheel.request.model import Request

#: Share of the fleet assumed for teams without one, so that requests on open queues
#: are not starved.
DEFAULT_SHARE = 0.01

#: A team may queue this many requests per free entry of the queue, which leaves
#: entries to other teams during a burst: a single team fills at most four fifths of
#: the queue, and five teams fill at most 95% between them.
MAX_QUEUED_PER_FREE_ENTRY = 4
#: One queue entry in this many is reserved for urgent requests.
URGENT_RESERVE_DIVISOR = 16

#: Time constant of the average usage. Usage is averaged because a team whose share is
#: less than one slot receives it only by holding a slot part of the time. Compared
#: with 250, 1,000 and 2,000 ms, 500 ms keeps the worst of 51 teams closest to its
#: share.
USAGE_TIME_CONSTANT_MS = 500
#: Shortest time between two samples of the usage, which bounds the cost per request.
#: It is a prime number: a period of 20 ms coincides with regular arrivals and
#: misestimates usage by a fifth.
USAGE_SAMPLE_INTERVAL_MS = 7

_Requests = collections.OrderedDict[str, Request]


class FairQueue:
    """Waiting requests of one service.

    Urgent requests are served before all others. Among requests of equal urgency the
    team with the lowest usage relative to its share is served first, so that teams
    with work can use the unused share of the others. Requests of one team are served
    in the order of arrival.

    :param max_queued: largest number of waiting requests.
    """

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._requests_by_id: dict[str, Request] = {}
        self._urgent_by_team: dict[str, _Requests] = {}
        self._normal_by_team: dict[str, _Requests] = {}
        self._urgent_count = 0
        self._mean_usage_by_team: dict[str, float] = {}
        self._usage_sampled_ms: int | None = None
        self._latest_start_ms_by_id: dict[str, int] = {}
        self._deadlines: list[tuple[int, str]] = []
        self._expired: list[Request] = []

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def push(self, request: Request, latest_start_ms: int | None = None) -> None:
        """Append a request.

        If the queue is full, expired requests are evicted first; the next call of
        :meth:`take_expired` returns them.

        :param request: the request; its id must not be queued already.
        :param latest_start_ms: clock reading in milliseconds from which the request
            counts as expired, because it could no longer end before its deadline.
            Defaults to the deadline.
        :raises OverloadedError: if the queue is full, or if the request is not urgent
            and the remaining entries are reserved for other teams and for urgent
            requests.
        """
        if not self._has_capacity_for(request):
            self._evict_expired(request.arrived_ms)
        if not self._has_capacity_for(request):
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
        if latest_start_ms is None:
            latest_start_ms = request.deadline_ms
        self._latest_start_ms_by_id[request.request_id] = latest_start_ms
        heapq.heappush(self._deadlines, (latest_start_ms, request.request_id))

    def remove(self, request_id: str) -> Request | None:
        """Remove a request, for example after its caller cancelled it.

        :param request_id: a request id, queued or not.
        :returns: the request, or ``None`` if it is not queued.
        """
        request = self._requests_by_id.pop(request_id, None)
        if request is None:
            return None
        self._urgent_count -= request.urgent
        del self._latest_start_ms_by_id[request_id]
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
        usage_by_team: t.Mapping[str, int],
        may_start: t.Callable[[str], bool],
    ) -> Request | None:
        """Remove and return the request to start next.

        :param now_ms: clock reading in milliseconds; a request that has expired by
            then is never returned.
        :param shares_by_team: share of each team as a fraction of the fleet.
        :param usage_by_team: number of running requests of each team in the fleet.
        :param may_start: returns whether a team is below its upper limit.
        :returns: a request, or ``None`` if no team with queued requests may start one.
        """
        self._evict_expired(now_ms)
        self._update_mean_usage(now_ms, usage_by_team)
        mean_usage_by_team = self._mean_usage_by_team
        for by_team in (self._urgent_by_team, self._normal_by_team):
            best_rank, best_team = math.inf, None
            for team in by_team:
                share = shares_by_team.get(team, DEFAULT_SHARE) or DEFAULT_SHARE
                usage = usage_by_team.get(team, 0)
                mean_usage = mean_usage_by_team.get(team, 0.0)
                if mean_usage > usage:
                    # A team whose share is less than one slot has to wait until its
                    # average usage falls. The average adds at most one slot, so that
                    # a team is not penalised for earlier use of idle shares.
                    usage = min(mean_usage, usage + 1)
                rank = usage / share
                if rank < best_rank and may_start(team):
                    best_rank, best_team = rank, team
            if best_team is not None:
                # The scan prefers the first team of the lowest rank. Moving the
                # chosen team to the end serves teams of equal rank round-robin.
                requests = by_team[best_team] = by_team.pop(best_team)
                return self.remove(next(iter(requests)))
        return None

    def estimate_requests_ahead(self, team: str, urgent: bool, share: float) -> float:
        """Estimate how many queued requests start before one that is pushed now.

        The estimate divides the queued requests of the team by its share, because a
        team does not wait for the whole queue. It serves to predict the wait.

        :param team: team of the request.
        :param urgent: whether the request is urgent.
        :param share: share of the team as a fraction of the fleet.
        :returns: a number of requests, at most the length of the queue.
        """
        by_team = self._urgent_by_team if urgent else self._normal_by_team
        own_queued = len(by_team.get(team, ()))
        if urgent:
            return min(self._urgent_count, own_queued / (share or DEFAULT_SHARE))
        normal_count = len(self._requests_by_id) - self._urgent_count
        return self._urgent_count + min(
            normal_count, own_queued / (share or DEFAULT_SHARE)
        )

    def take_expired(self, now_ms: int) -> list[Request]:
        """Remove the requests whose latest start has passed.

        :param now_ms: clock reading in milliseconds.
        :returns: the requests that expired since the last call, including those that
            other methods evicted.
        """
        self._evict_expired(now_ms)
        expired, self._expired = self._expired, []
        return expired

    def count_urgent(self, arrived_before_ms: int) -> int:
        """Count the urgent requests that arrived before a given time.

        :param arrived_before_ms: clock reading in milliseconds.
        """
        count = 0
        for requests in self._urgent_by_team.values():
            for request in requests.values():
                if request.arrived_ms >= arrived_before_ms:
                    break
                count += 1
        return count

    def queued_by_team(self) -> dict[str, int]:
        """Return the number of waiting requests by team, without zero entries."""
        counts: collections.Counter[str] = collections.Counter()
        for by_team in (self._urgent_by_team, self._normal_by_team):
            for team, requests in by_team.items():
                counts[team] += len(requests)
        return dict(counts)

    def _has_capacity_for(self, request: Request) -> bool:
        free_entries = self._max_queued - len(self._requests_by_id)
        if free_entries <= 0 or request.urgent:
            return free_entries > 0
        free_entries -= self._max_queued // URGENT_RESERVE_DIVISOR
        queued = len(self._normal_by_team.get(request.team, ()))
        return queued < MAX_QUEUED_PER_FREE_ENTRY * free_entries

    def _update_mean_usage(
        self, now_ms: int, usage_by_team: t.Mapping[str, int]
    ) -> None:
        elapsed_ms = USAGE_SAMPLE_INTERVAL_MS
        if self._usage_sampled_ms is not None:
            elapsed_ms = now_ms - self._usage_sampled_ms
        if elapsed_ms < USAGE_SAMPLE_INTERVAL_MS:
            return
        self._usage_sampled_ms = now_ms
        decay = math.exp(-elapsed_ms / USAGE_TIME_CONSTANT_MS)
        means = self._mean_usage_by_team
        self._mean_usage_by_team = {
            team: decay * means.get(team, 0.0)
            + (1 - decay) * usage_by_team.get(team, 0)
            for team in means.keys() | usage_by_team.keys()
        }

    def _requests_by_team(self, request: Request) -> dict[str, _Requests]:
        return self._urgent_by_team if request.urgent else self._normal_by_team

    def _evict_expired(self, now_ms: int) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            latest_start_ms, request_id = heapq.heappop(self._deadlines)
            # An entry of an earlier push of the same request id is ignored.
            if self._latest_start_ms_by_id.get(request_id) == latest_start_ms:
                self._expired.append(self._requests_by_id[request_id])
                self.remove(request_id)

    def _compact_deadlines(self) -> None:
        # Removed requests leave their heap entries behind. Rebuilding the heap once
        # it exceeds twice the number of queued requests keeps the amortised cost of
        # a removal constant.
        if len(self._deadlines) > 2 * len(self._requests_by_id) + 64:
            self._deadlines = [
                (latest_start_ms, request_id)
                for request_id, latest_start_ms in self._latest_start_ms_by_id.items()
            ]
            heapq.heapify(self._deadlines)
