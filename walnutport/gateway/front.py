"""Takes the requests of callers and sees each to its one answer."""

from collections.abc import Callable
import hashlib
import time

from twisted.internet import defer
from twisted.python import failure as twisted_failure

from walnutport.admission import returns
from walnutport import exceptions
from walnutport.gateway import attempts
from walnutport.gateway import calls
from walnutport.gateway import cells
from walnutport.gateway import metrics
from walnutport.gateway import news
from walnutport.http1 import server
from walnutport import interfaces
from walnutport.platform import headers
from walnutport.quarantine import suspects
from walnutport.relay import resumable
from walnutport.retries import window
from walnutport.routing import engines
from walnutport.routing import outcomes
from walnutport.stages import pieces
from walnutport.world import requests
from walnutport.world import routes
from walnutport.world import workers

__all__ = ['Front']

# Waits that callers are asked to keep before they come back.
RETRY_SOON_S = 0.15
RETRY_NO_TARGET_S = 0.4
RETRY_STARTING_S = 0.5
# A caller honours a wait of at most a third of the time that it has left.
RETRY_SHARE = 0.33
# Targets that are tried in vain before a request is refused.
MOST_UNREACHABLE = 3
# An answer is sent this long before the caller's own deadline.
DEADLINE_MARGIN_S = 0.03

_Status = attempts.AttemptStatus


class Front:
    """Serves the requests of callers.

    :param budget_for: creates the retry budget of a service.
    :param confirm_death: finds out whether a target died during an attempt,
        and ends the attempt in the book of suspects.
    """

    def __init__(
        self,
        reactor,
        log,
        follower: news.NewsFollower,
        sender: attempts.Attempts,
        stages: cells.StageClient,
        standings: outcomes.TargetOutcomes,
        suspect_book: suspects.SuspectBook,
        budget_for: Callable[[], window.WindowBudget],
        counters: metrics.EntryMetrics,
        data_centre: str,
        rng,
        confirm_death: Callable[[workers.RegisteredTarget, str], None],
    ) -> None:
        self._reactor = reactor
        self._log = log
        self._follower = follower
        self._sender = sender
        self._stages = stages
        self._standings = standings
        self._suspects = suspect_book
        self._budget_for = budget_for
        self._metrics = counters
        self._data_centre = data_centre
        self._rng = rng
        self._confirm_death = confirm_death
        self._budget_by_service: dict[str, window.WindowBudget] = {}
        self._forecast = engines.FirstEventForecast()
        self._returns = returns.ReturnBook()
        self.in_flight: set[calls.CallerCall] = set()

    def handle(self, request: server.ServerRequest) -> None:
        """Take one request."""
        try:
            call = self._admit(request)
        except exceptions.WireError as problem:
            self._log.notable('request_malformed', problem=str(problem))
            request.respond(400, [], b'')
            return
        if call is None:
            return
        self._metrics.started(call)
        self.in_flight.add(call)
        task = defer.Deferred.fromCoroutine(self._serve(call))
        timer = self._reactor.callLater(
            max(0.0, call.deadline_at - time.monotonic()),
            self._expire,
            call,
            task,
        )
        request.on_gone = lambda: self._leave(call, task)
        task.addErrback(self._broke, call)
        task.addBoth(lambda result: self._finish(call, timer))

    def _admit(self, request: server.ServerRequest) -> calls.CallerCall | None:
        """Find route and team, or answer why there are none."""
        desired = self._follower.desired
        if desired is None:
            self._log.notable('refused', reason='no_desired_state')
            request.respond(
                503, headers.own_headers('', RETRY_STARTING_S), b''
            )
            return None
        fields = headers.request_fields(request.headers)
        path = request.target.split(b'?', 1)[0].decode('latin-1')
        host = (request.header(b'host') or b'').decode('latin-1').lower()
        route = desired.route_for(host.rsplit(':', 1)[0], path)
        if route is None:
            self._reject(request, fields, 404, 'no_route', desired)
            return None
        team = None
        if desired.team_by_key is not None and not route.anonymous:
            team = desired.team_by_key.get(fields.api_key)
            if team is None:
                self._reject(request, fields, 401, 'unknown_key', desired)
                return None
        return self._call(request, fields, route, team, path)

    def _call(
        self,
        request: server.ServerRequest,
        fields: requests.RequestFields,
        route: routes.Route,
        team: routes.Team | None,
        path: str,
    ) -> calls.CallerCall:
        arrived_at = request.started_at
        wait_s = route.timeout_s
        if fields.wait_s is not None:
            wait_s = min(wait_s, fields.wait_s - DEADLINE_MARGIN_S)
        spent_s = self._returns.spent_s(route.name, fields.wait_s)
        urgency = route.priority
        if team is not None and team.priority is not None:
            urgency = team.priority
        content = b'\n'.join(
            (
                request.method,
                request.target,
                fields.api_key.encode(),
                request.body,
            )
        )
        return calls.CallerCall(
            request=request,
            fields=fields,
            route=route,
            service=self._service_of(route),
            team=None if team is None else team.name,
            urgency=urgency,
            digest=hashlib.blake2b(content, digest_size=16).digest(),
            arrived_at=arrived_at,
            deadline_at=arrived_at + wait_s,
            aim_at=arrived_at + route.aim_s - spent_s,
            returned=spent_s > 0,
        )

    def _service_of(self, route: routes.Route) -> str:
        weights = route.weight_by_service
        if len(weights) == 1:
            return next(iter(weights))
        names = list(weights)
        return self._rng.choices(names, [weights[name] for name in names])[0]

    def _reject(
        self,
        request: server.ServerRequest,
        fields: requests.RequestFields,
        status: int,
        reason: str,
        desired: routes.DesiredState,
    ) -> None:
        self._log.notable(
            'rejected',
            id=fields.request_id,
            status=status,
            reason=reason,
            version=desired.version,
            age_s=round(time.monotonic() - self._follower.desired_at, 2),
        )
        self._metrics.rejected(reason)
        request.respond(
            status, headers.own_headers(fields.request_id, None), b''
        )

    async def _serve(self, call: calls.CallerCall) -> None:
        now = time.monotonic()
        state = self._suspects.state(call.digest, now)
        if state is interfaces.SuspicionState.QUARANTINED:
            self._refuse(call, 'quarantined', call.left_s())
            return
        if call.left_s() <= 0:
            self._refuse(call, 'deadline', RETRY_SOON_S)
            return
        self._budget(call.service).first(now)
        if call.route.stages:
            await self._serve_staged(call)
        elif call.route.kind is routes.RequestKind.STREAM:
            await self._serve_stream(call)
        else:
            await self._serve_plain(call)

    async def _serve_plain(self, call: calls.CallerCall) -> None:
        result = None
        while True:
            target = self._choose_plain(call)
            if target is None:
                break
            started_at = time.monotonic()
            result = await self._attempt(call, target)
            if result.status is _Status.ANSWERED:
                self._judge_answer(call, result, started_at)
                if result.head.status < 500 or not self._may_repeat(
                    call, result
                ):
                    call.pass_on(result.head, result.body)
                    return
            elif not self._may_repeat(call, result):
                break
        self._give_up(call, result)

    async def _serve_staged(self, call: calls.CallerCall) -> None:
        counts = call.fields.piece_counts
        if counts is None or len(counts) != len(call.route.stages):
            call.answer(400, 'malformed')
            return
        now = time.monotonic()
        order = pieces.JobOrder(
            job_id=self._stages.new_job_id(),
            request_id=call.request_id,
            piece_key=call.fields.piece_key,
            stages=call.route.stages,
            piece_counts=counts,
            urgency=call.urgency,
            aim_s=call.aim_at - now,
            deadline_s=call.deadline_at - now,
            final_s=self._forecast.expected_s(call.fields.prompt),
            team=call.team or '',
            final_service=call.service,
            prompt=call.fields.prompt,
            returned=call.returned,
        )
        with cells.StageRun(self._stages, order) as run:
            try:
                result = await run.results()
            except cells.StagesRefusedError as problem:
                self._refuse(
                    call,
                    problem.reason,
                    problem.retry_after_s,
                    cell=run.cell,
                    owner=run.owner,
                    forecast_s=round(problem.forecast_s, 3),
                    aim_left_s=round(call.aim_at - time.monotonic(), 3),
                    returned=call.returned,
                )
                return
            call.stages_s = time.monotonic() - now
            call.engine_id = result.target_id
            call.inputs = tuple(found.handle for found in result.results)
            call.input_bytes_by_place = pieces.bytes_by_place(result.results)
            await self._serve_stream(call, run.release)

    async def _serve_stream(
        self,
        call: calls.CallerCall,
        on_inputs_read: Callable[[], None] = lambda: None,
    ) -> None:
        relay = resumable.EventRelay(call.fields.last_event_id)
        resume_after: int | None = None
        result = None
        while True:
            target = self._choose_engine(call)
            if target is None:
                break
            started_at = time.monotonic()

            def first_event() -> None:
                call.first_event_at = time.monotonic()
                self._forecast.observe(
                    call.fields.prompt, call.first_event_at - started_at
                )
                self._metrics.first_event(call, call.first_event_at)
                on_inputs_read()

            result = await self._attempt(
                call, target, relay, first_event, resume_after
            )
            if result.status is _Status.STREAMED:
                call.outcome = 'streamed'
                call.request.finish()
                return
            if result.status is _Status.ANSWERED:
                self._judge_answer(call, result, started_at)
                if (
                    result.head.status < 500
                    or call.request.head_sent
                    or not self._may_repeat(call, result)
                ):
                    if call.request.head_sent:
                        break
                    call.pass_on(result.head, result.body)
                    return
            elif not self._may_repeat(call, result):
                break
            relay.next_run()
            if call.request.head_sent and relay.last_id is not None:
                resume_after = relay.last_id
        self._give_up(call, result)

    async def _attempt(
        self,
        call: calls.CallerCall,
        target: workers.RegisteredTarget,
        relay: resumable.EventRelay | None = None,
        on_first_event: Callable[[], None] = lambda: None,
        resume_after: int | None = None,
    ) -> attempts.AttemptResult:
        now = time.monotonic()
        number = len(call.targets) + 1
        attempt_id = f'{call.request_id}/{number}'
        self._log.routine(
            'placed',
            id=call.request_id,
            target=target.target_id,
            attempt=number,
            left_s=round(call.left_s(), 3),
            load=round(self._standings.standing(target).expected_load(now), 1),
        )
        self._standings.started(target)
        self._suspects.attempt_started(
            call.digest, target.target_id, attempt_id, now
        )
        ok = False
        reset = False
        try:
            result = await self._sender.send(
                call, target, relay, on_first_event, resume_after
            )
            reset = result.reset
            ok = result.status in (_Status.ANSWERED, _Status.STREAMED)
            if result.status is _Status.STREAMED:
                self._standings.succeeded(
                    target, time.monotonic() - now, result.load, now
                )
            elif not ok:
                self._note_failure(call, result)
            return result
        finally:
            self._standings.ended(target)
            if reset:
                self._confirm_death(target, attempt_id)
            else:
                self._suspects.attempt_finished(
                    attempt_id, ok, time.monotonic()
                )

    def _judge_answer(
        self,
        call: calls.CallerCall,
        result: attempts.AttemptResult,
        started_at: float,
    ) -> None:
        now = time.monotonic()
        if result.head.status >= 500:
            self._standings.failed(result.target, now, unreachable=False)
        else:
            self._standings.succeeded(
                result.target, now - started_at, result.load, now
            )

    def _note_failure(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> None:
        now = time.monotonic()
        self._standings.reported(result.target, result.load, now)
        ejected = False
        if result.detail != 'deadline':
            ejected = self._standings.failed(
                result.target,
                now,
                unreachable=result.status
                in (_Status.NOT_SENT, _Status.WRONG_TARGET),
            )
        self._log.notable(
            'attempt_failed',
            id=call.request_id,
            target=result.target.target_id,
            status=result.status.value,
            detail=result.detail,
            ejected=ejected,
        )

    def _choose_plain(
        self, call: calls.CallerCall
    ) -> workers.RegisteredTarget | None:
        return self._standings.choose(
            self._follower.registry.usable(call.service),
            time.monotonic(),
            call.tried(),
            self._data_centre,
        )

    def _choose_engine(
        self, call: calls.CallerCall
    ) -> workers.RegisteredTarget | None:
        now = time.monotonic()
        advised = self._follower.registry.targets.get(call.engine_id)
        if (
            advised is not None
            and not call.tried()
            and not advised.draining
            and self._standings.standing(advised).ejected_until <= now
        ):
            return advised
        return engines.choose_engine(
            self._follower.registry.usable(call.service),
            self._standings,
            call.fields.prompt,
            call.input_bytes_by_place,
            now,
            call.tried(),
        )

    def place(
        self,
        order: pieces.JobOrder,
        result: pieces.JobResult,
        book: engines.EngineBook,
    ) -> str:
        """Choose the engine for a request of any host after its stages."""
        engine = engines.choose_engine(
            self._follower.registry.usable(order.final_service),
            self._standings,
            order.prompt,
            pieces.bytes_by_place(result.results),
            time.monotonic(),
            pending_tokens=book.pending_tokens,
        )
        if engine is None:
            return ''
        book.placed(
            order.job_id,
            engine.target_id,
            engines.likely_read_tokens(order.prompt),
        )
        return engine.target_id

    def _may_repeat(
        self, call: calls.CallerCall, result: attempts.AttemptResult
    ) -> bool:
        """Whether the request may go to another target now."""
        now = time.monotonic()
        if call.request.gone or call.left_s() <= 0:
            return False
        if result.status is _Status.NOT_SENT:
            call.unreachable.add(result.target.target_id)
            return len(call.unreachable) <= MOST_UNREACHABLE
        if len(call.targets) >= call.route.max_targets:
            return False
        unsafe = result.status in (
            _Status.LOST,
            _Status.BROKEN,
            _Status.ANSWERED,
        )
        if unsafe and not call.route.repeatable:
            return False
        if result.status is _Status.INPUTS_GONE:
            return False
        state = self._suspects.state(call.digest, now)
        if state is interfaces.SuspicionState.QUARANTINED:
            return False
        allowed = self._budget(call.service).take(now)
        self._log.notable(
            'repeat' if allowed else 'repeat_denied',
            id=call.request_id,
            after=result.status.value,
            budget=round(self._budget(call.service).left(now), 1),
        )
        return allowed

    def _give_up(
        self, call: calls.CallerCall, result: attempts.AttemptResult | None
    ) -> None:
        """Answer a request for which nothing more is tried."""
        if call.request.head_sent:
            call.outcome = 'broken'
            call.request.abort()
            return
        if result is None:
            self._refuse(call, 'no_target', RETRY_NO_TARGET_S)
        elif call.may_have_run:
            call.answer(502, 'lost')
        else:
            self._refuse(call, result.status.value, RETRY_SOON_S)

    def _refuse(
        self,
        call: calls.CallerCall,
        reason: str,
        retry_after_s: float,
        **inputs: object,
    ) -> None:
        """Answer that the request has not run and when to come back."""
        most_s = max(0.0, call.left_s() * RETRY_SHARE)
        spread = 0.8 + 0.4 * self._rng.random()
        wait_s = min(retry_after_s * spread, most_s)
        self._log.notable(
            'refused',
            id=call.request_id,
            reason=reason,
            retry_after_s=round(wait_s, 3),
            left_s=round(call.left_s(), 3),
            **inputs,
        )
        call.answer(503, reason, wait_s)

    def _expire(self, call: calls.CallerCall, task: defer.Deferred) -> None:
        if call.request.answered:
            return
        if call.request.head_sent:
            call.outcome = 'cut_at_deadline'
            call.request.abort()
        elif call.may_have_run:
            call.answer(504, 'timeout')
        else:
            self._refuse(call, 'deadline', 0.0)
        task.cancel()

    def _leave(self, call: calls.CallerCall, task: defer.Deferred) -> None:
        call.outcome = 'caller_left'
        task.cancel()

    def _broke(
        self, failure: twisted_failure.Failure, call: calls.CallerCall
    ) -> None:
        if failure.check(defer.CancelledError):
            return
        self._log.notable(
            'error',
            id=call.request_id,
            problem=failure.getErrorMessage(),
            trace=failure.getTraceback()[-1500:],
        )
        if call.request.head_sent:
            call.request.abort()
        else:
            call.answer(502 if call.may_have_run else 503, 'error', 0.2)

    def _finish(self, call: calls.CallerCall, timer) -> None:
        if timer.active():
            timer.cancel()
        self.in_flight.discard(call)
        now = time.monotonic()
        took_s = now - call.arrived_at
        self._metrics.finished(call, took_s)
        first_at = call.first_event_at or now
        write = (
            self._log.routine
            if call.outcome in ('answered', 'streamed')
            else self._log.notable
        )
        write(
            'finished',
            id=call.request_id,
            route=call.route.name,
            team=call.team,
            outcome=call.outcome,
            took_s=round(took_s, 3),
            stages_s=round(call.stages_s, 3),
            first_s=round(first_at - call.arrived_at, 3),
            late=first_at > call.aim_at,
            tokens=engines.unshared_tokens(call.fields.prompt),
            targets=call.targets,
        )

    def _budget(self, service: str) -> window.WindowBudget:
        found = self._budget_by_service.get(service)
        if found is None:
            found = self._budget_for()
            self._budget_by_service[service] = found
        return found

    def keep_routes(self, desired: routes.DesiredState) -> None:
        """Forget what was learnt of routes that are gone."""
        self._returns.keep({route.name for route in desired.routes})

    def set_slack(self, slack: float) -> None:
        """Take over this host's share of the fleet-wide slack."""
        for budget in self._budget_by_service.values():
            budget.slack = slack
