"""HTTP service of the worker stand-in."""

import dataclasses
import hashlib
import json
import time
import typing as t

import werkzeug
from werkzeug.exceptions import HTTPException, NotFound
from werkzeug.routing import Map, Rule

from cranberrywheel_standin.serving import DROP, TRUNCATE, WIRE_FAULT
from cranberrywheel_standin.worker import (
    TOKEN_LIFETIME_MS,
    StartOrder,
    StartRefusedError,
    Task,
    Worker,
    WorkerFaults,
)

#: Interval at which a frozen call checks whether the freeze is over.
FREEZE_POLL_INTERVAL_S = 0.05


def compute_digest(body: bytes) -> str:
    """Return the digest of a request body that the task's answer repeats."""
    return hashlib.sha256(body).hexdigest()


def _build_json_response(
    body: t.Any, status: int = 200, **headers: str
) -> werkzeug.Response:
    response = werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )
    for name, value in headers.items():
        response.headers[name.replace("_", "-")] = value
    return response


def parse_start_order(
    request: werkzeug.Request, task_id: str, default_run_ms: int
) -> StartOrder:
    """Parse a start from the request headers and, if it is JSON, the body.

    The body may state ``request`` and the real ``run_ms``; the header ``Run-Ms``
    carries the run time that the operators declared.

    :param default_run_ms: run time if neither states one.
    """
    headers, body = request.headers, request.get_data()
    stated_values: dict[str, t.Any] = {}
    try:
        parsed = json.loads(body) if body else {}
        stated_values = parsed if isinstance(parsed, dict) else {}
    except ValueError:
        pass
    run_ms = stated_values.get("run_ms") or headers.get("Run-Ms") or default_run_ms
    return StartOrder(
        task_id=task_id,
        token=headers.get("Start-Token", ""),
        lease_ms=int(headers.get("Task-Lease-Ms", 10_000)),
        deadline_ms=int(headers.get("Deadline-Ms", 0)),
        team=headers.get("Team", ""),
        queue=headers.get("Queue", ""),
        run_ms=int(run_ms),
        cores=float(headers.get("Cores", 1)),
        memory_mb=int(headers.get("Memory-Mb", 0)),
        checkpoint=headers.get("Checkpoint", ""),
        request=str(stated_values.get("request", "")),
        body_digest=compute_digest(body),
    )


class WorkerApp:
    """WSGI application of one worker stand-in."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self._routes = Map(
            [
                Rule(
                    "/v1/start-token", endpoint=self._get_start_token, methods=["GET"]
                ),
                Rule("/v1/tasks", endpoint=self._list_tasks, methods=["GET"]),
                Rule("/v1/tasks/<task_id>", endpoint=self._run_task, methods=["PUT"]),
                Rule("/v1/tasks/<task_id>", endpoint=self._get_task, methods=["GET"]),
                Rule(
                    "/v1/tasks/<task_id>/result",
                    endpoint=self._get_result,
                    methods=["GET"],
                ),
                Rule(
                    "/v1/tasks/<task_id>/<any(lease,stop,checkpoint,throttle):action>",
                    endpoint=self._control_task,
                    methods=["POST"],
                ),
                Rule("/v1/usage", endpoint=self._get_usage, methods=["GET"]),
                Rule(
                    "/v1/control/<any(drain,undrain,reboot):action>",
                    endpoint=self._apply_control,
                    methods=["POST"],
                ),
                Rule("/v1/faults", endpoint=self._set_faults, methods=["PUT"]),
            ]
        )

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = werkzeug.Request(environ)
        try:
            endpoint, values = self._routes.bind_to_environ(environ).match()
            if endpoint not in (self._set_faults, self._apply_control):
                while self.worker.faults.freeze:
                    time.sleep(FREEZE_POLL_INTERVAL_S)
                if not self.worker.is_up():
                    return _build_json_response({}, 503)(environ, start_response)
            response = endpoint(request, **values)
        except StartRefusedError as error:
            response = self._build_refusal(error.kind)
        except HTTPException as error:
            response = t.cast(werkzeug.Response, error.get_response(environ))
        return response(environ, start_response)

    def _build_refusal(self, kind: str) -> werkzeug.Response:
        response = _build_json_response(
            {"kind": kind, "outcome": "not-run"}, 409, **self._build_state_headers()
        )
        response.content_type = "application/problem+json"
        return response

    def _build_state_headers(self) -> dict[str, str]:
        return {
            "Next_Start_Token": self.worker.issue_start_token(),
            "Slots_Free": str(self.worker.count_free_slots()),
        }

    def _get_start_token(self, request: werkzeug.Request) -> werkzeug.Response:
        token = self.worker.issue_start_token()
        return _build_json_response({"token": token, "lifetime_ms": TOKEN_LIFETIME_MS})

    def _run_task(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        order = parse_start_order(request, task_id, self.worker.config.run_ms)
        task = self.worker.start(order)
        self.worker.wait_until_ended(task)
        return self._build_task_answer(request, task)

    def _build_task_answer(
        self, request: werkzeug.Request, task: Task
    ) -> werkzeug.Response:
        faults = self.worker.faults
        while self.worker.faults.freeze:
            time.sleep(FREEZE_POLL_INTERVAL_S)
        if faults.late_ms:
            time.sleep(faults.late_ms / 1000)
        answered_task = self._apply_answer_fault(request, task)
        headers = {
            "Task_Id": answered_task.order.task_id,
            **self._build_state_headers(),
        }
        if answered_task.state == "finished":
            return _build_json_response(
                self._build_result_body(answered_task), 200, **headers
            )
        kind = (
            answered_task.reason if answered_task.state == "stopped" else "task-failed"
        )
        return _build_json_response(
            {"kind": kind, "task": answered_task.order.task_id}, 500, **headers
        )

    def _build_result_body(self, task: Task) -> dict[str, t.Any]:
        return {
            "task": task.order.task_id,
            "digest": task.order.body_digest,
            "request": task.order.request,
            "worker": self.worker.config.name,
        }

    def _apply_answer_fault(self, request: werkzeug.Request, task: Task) -> Task:
        """Apply the next injected answer fault, if any.

        :returns: the task whose result is sent; another one for a crossed answer.
        """
        faults = self.worker.faults
        with self.worker.changed:
            if faults.lose_answers > 0:
                faults.lose_answers -= 1
                request.environ.setdefault(WIRE_FAULT, []).append(DROP)
            elif faults.truncate > 0:
                faults.truncate -= 1
                request.environ.setdefault(WIRE_FAULT, []).append(TRUNCATE)
            elif faults.cross > 0 and (other := self.worker.find_latest_other(task)):
                faults.cross -= 1
                return other
        return task

    @staticmethod
    def _describe_task(task: Task) -> dict[str, t.Any]:
        return {
            "id": task.order.task_id,
            "state": task.state,
            "reason": task.reason,
            "team": task.order.team,
            "queue": task.order.queue,
        }

    def _list_tasks(self, request: werkzeug.Request) -> werkzeug.Response:
        rows = [self._describe_task(task) for task in self.worker.list_running()]
        return _build_json_response({"tasks": rows, "draining": self.worker.draining})

    def _find_task(self, task_id: str) -> Task:
        task = self.worker.find_task(task_id)
        if task is None:
            raise NotFound()
        return task

    def _get_task(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        return _build_json_response(self._describe_task(self._find_task(task_id)))

    def _get_result(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        task = self._find_task(task_id)
        if task.state == "running":
            return _build_json_response({"kind": "running"}, 409)
        return self._build_task_answer(request, task)

    def _control_task(
        self, request: werkzeug.Request, task_id: str, action: str
    ) -> werkzeug.Response:
        task = self._find_task(task_id)
        if action == "lease":
            lease_ms = int(request.headers.get("Task-Lease-Ms", 10_000))
            token = request.headers.get("Start-Token", "")
            self.worker.renew(task, token, lease_ms)
        elif action == "stop":
            self.worker.request_stop(task)
            self.worker.wait_until_ended(task)
        elif action == "checkpoint":
            self.worker.checkpoint(task)
        else:
            self.worker.throttle(task)
        return _build_json_response(
            self._describe_task(task), **self._build_state_headers()
        )

    def _get_usage(self, request: werkzeug.Request) -> werkzeug.Response:
        lag_ms = self.worker.config.usage_lag_ms
        return _build_json_response(
            {"age_ms": lag_ms, "tasks": self.worker.list_usage()}
        )

    def _apply_control(
        self, request: werkzeug.Request, action: str
    ) -> werkzeug.Response:
        self.worker.apply_control(action)
        return _build_json_response({"draining": self.worker.draining})

    def _set_faults(self, request: werkzeug.Request) -> werkzeug.Response:
        self.worker.faults = WorkerFaults(**request.get_json())
        return _build_json_response(dataclasses.asdict(self.worker.faults))
