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

FREEZE_POLL_S = 0.05


def digest(body: bytes) -> str:
    """Return the digest that a task's answer carries of its request body."""
    return hashlib.sha256(body).hexdigest()


def _json(body: t.Any, status: int = 200, **headers: str) -> werkzeug.Response:
    response = werkzeug.Response(
        json.dumps(body), status=status, content_type="application/json"
    )
    for name, value in headers.items():
        response.headers[name.replace("_", "-")] = value
    return response


def read_order(
    request: werkzeug.Request, task_id: str, default_run_ms: int
) -> StartOrder:
    """Read a start from the headers and, if it is JSON, the body.

    The body may state ``request`` and the true ``run_ms``; the header ``Run-Ms``
    carries what the operators declared.
    """
    headers, body = request.headers, request.get_data()
    stated: dict[str, t.Any] = {}
    try:
        parsed = json.loads(body) if body else {}
        stated = parsed if isinstance(parsed, dict) else {}
    except ValueError:
        pass
    run_ms = stated.get("run_ms") or headers.get("Run-Ms") or default_run_ms
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
        request=str(stated.get("request", "")),
        body_digest=digest(body),
    )


class WorkerApp:
    """WSGI application of one worker stand-in."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self._routes = Map(
            [
                Rule("/v1/start-token", endpoint=self._token, methods=["GET"]),
                Rule("/v1/tasks", endpoint=self._list, methods=["GET"]),
                Rule("/v1/tasks/<task_id>", endpoint=self._run, methods=["PUT"]),
                Rule("/v1/tasks/<task_id>", endpoint=self._get, methods=["GET"]),
                Rule(
                    "/v1/tasks/<task_id>/result",
                    endpoint=self._result,
                    methods=["GET"],
                ),
                Rule(
                    "/v1/tasks/<task_id>/<any(lease,stop,checkpoint,throttle):action>",
                    endpoint=self._act,
                    methods=["POST"],
                ),
                Rule("/v1/usage", endpoint=self._usage, methods=["GET"]),
                Rule(
                    "/v1/control/<any(drain,undrain,reboot):action>",
                    endpoint=self._control,
                    methods=["POST"],
                ),
                Rule("/v1/faults", endpoint=self._faults, methods=["PUT"]),
            ]
        )

    def __call__(self, environ: t.Any, start_response: t.Any) -> t.Any:
        request = werkzeug.Request(environ)
        try:
            endpoint, values = self._routes.bind_to_environ(environ).match()
            if endpoint not in (self._faults, self._control):
                while self.worker.faults.freeze:
                    time.sleep(FREEZE_POLL_S)
                if not self.worker.is_up():
                    return _json({}, 503)(environ, start_response)
            response = endpoint(request, **values)
        except StartRefusedError as error:
            response = self._refusal(error.kind)
        except HTTPException as error:
            response = t.cast(werkzeug.Response, error.get_response(environ))
        return response(environ, start_response)

    def _refusal(self, kind: str) -> werkzeug.Response:
        response = _json(
            {"kind": kind, "outcome": "not-run"}, 409, **self._state_headers()
        )
        response.content_type = "application/problem+json"
        return response

    def _state_headers(self) -> dict[str, str]:
        return {
            "Next_Start_Token": self.worker.start_token(),
            "Slots_Free": str(self.worker.slots_free()),
        }

    def _token(self, request: werkzeug.Request) -> werkzeug.Response:
        token = self.worker.start_token()
        return _json({"token": token, "lifetime_ms": TOKEN_LIFETIME_MS})

    def _run(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        order = read_order(request, task_id, self.worker.config.run_ms)
        task = self.worker.start(order)
        self.worker.wait(task)
        return self._answer(request, task)

    def _answer(self, request: werkzeug.Request, task: Task) -> werkzeug.Response:
        faults = self.worker.faults
        while self.worker.faults.freeze:
            time.sleep(FREEZE_POLL_S)
        if faults.late_ms:
            time.sleep(faults.late_ms / 1000)
        shown = self._damage(request, task)
        headers = {"Task_Id": shown.order.task_id, **self._state_headers()}
        if shown.state == "finished":
            return _json(self._result_body(shown), 200, **headers)
        kind = shown.reason if shown.state == "stopped" else "task-failed"
        return _json({"kind": kind, "task": shown.order.task_id}, 500, **headers)

    def _result_body(self, task: Task) -> dict[str, t.Any]:
        return {
            "task": task.order.task_id,
            "digest": task.order.body_digest,
            "request": task.order.request,
            "worker": self.worker.config.name,
        }

    def _damage(self, request: werkzeug.Request, task: Task) -> Task:
        """Apply one pending answer fault; returns the task whose answer to send."""
        faults = self.worker.faults
        with self.worker.changed:
            if faults.lose_answers > 0:
                faults.lose_answers -= 1
                request.environ.setdefault(WIRE_FAULT, []).append(DROP)
            elif faults.truncate > 0:
                faults.truncate -= 1
                request.environ.setdefault(WIRE_FAULT, []).append(TRUNCATE)
            elif faults.cross > 0 and (other := self.worker.find_other(task)):
                faults.cross -= 1
                return other
        return task

    @staticmethod
    def _row(task: Task) -> dict[str, t.Any]:
        return {
            "id": task.order.task_id,
            "state": task.state,
            "reason": task.reason,
            "team": task.order.team,
            "queue": task.order.queue,
        }

    def _list(self, request: werkzeug.Request) -> werkzeug.Response:
        rows = [self._row(task) for task in self.worker.running()]
        return _json({"tasks": rows, "draining": self.worker.draining})

    def _find(self, task_id: str) -> Task:
        task = self.worker.find(task_id)
        if task is None:
            raise NotFound()
        return task

    def _get(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        return _json(self._row(self._find(task_id)))

    def _result(self, request: werkzeug.Request, task_id: str) -> werkzeug.Response:
        task = self._find(task_id)
        if task.state == "running":
            return _json({"kind": "running"}, 409)
        return self._answer(request, task)

    def _act(
        self, request: werkzeug.Request, task_id: str, action: str
    ) -> werkzeug.Response:
        task = self._find(task_id)
        if action == "lease":
            lease_ms = int(request.headers.get("Task-Lease-Ms", 10_000))
            token = request.headers.get("Start-Token", "")
            self.worker.renew(task, token, lease_ms)
        elif action == "stop":
            self.worker.stop(task)
            self.worker.wait(task)
        elif action == "checkpoint":
            self.worker.checkpoint(task)
        else:
            self.worker.throttle(task)
        return _json(self._row(task), **self._state_headers())

    def _usage(self, request: werkzeug.Request) -> werkzeug.Response:
        lag_ms = self.worker.config.usage_lag_ms
        return _json({"age_ms": lag_ms, "tasks": self.worker.usage()})

    def _control(self, request: werkzeug.Request, action: str) -> werkzeug.Response:
        self.worker.control(action)
        return _json({"draining": self.worker.draining})

    def _faults(self, request: werkzeug.Request) -> werkzeug.Response:
        self.worker.faults = WorkerFaults(**request.get_json())
        return _json(dataclasses.asdict(self.worker.faults))
