"""Turns a caller's HTTP request into a validated call.

Each check raises ``RequestError`` before anything is queued or sent.
"""

import hashlib
import hmac

import msgspec
from twisted.web import http

from walnutport.catalogue import fold
from walnutport.config import settings as config
from walnutport import exceptions
from walnutport import interfaces
from walnutport.lifecycle import answers
from walnutport.service.requests import calls
from walnutport import world

__all__ = ['EVENT_STREAM', 'RequestValidator']

EVENT_STREAM = 'text/event-stream'


class RequestValidator:
    """Validates requests against the settings and the current catalogue."""

    def __init__(
        self, settings: config.CallerSettings, clock: interfaces.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock

    def validate(
        self,
        request,
        entry_id: str,
        request_id: str,
        view: fold.CatalogueView,
        sink: calls.StreamSink,
    ) -> calls.Call:
        """Return the validated call of a request.

        :param sink: receives the events if the caller accepts a stream.
        :raises RequestError: if the request is invalid or not allowed.
        """
        member = _authenticate(view, request)
        contract, pipeline = _find_entry(view, entry_id, member)
        body = self._read_body(request, contract)
        key = request.getHeader('idempotency-key') or ''
        if pipeline.first_non_repeatable_index() is not None and not key:
            raise exceptions.RequestError(
                'this entry needs an Idempotency-Key header',
                400,
                answers.Reason.KEY_MISSING,
            )
        accept = request.getHeader('accept') or ''
        class_id = _select_class(view, request, contract)
        service_class = view.classes_by_id.get(class_id)
        return calls.Call(
            request_id=request_id,
            member=member,
            contract=contract,
            pipeline=pipeline,
            class_id=class_id,
            priority=service_class.weight if service_class else 1.0,
            body=body,
            deadline=self._read_deadline(request, contract),
            key=key,
            sink=sink if EVENT_STREAM in accept else None,
        )

    def _read_body(self, request, contract: world.Contract) -> bytes:
        limit = min(
            self._settings.max_body_bytes, contract.limits.max_body_bytes
        )
        body = request.content.read(limit + 1)
        if len(body) > limit:
            raise exceptions.RequestError(
                f'body exceeds {limit} bytes',
                413,
                answers.Reason.BODY_TOO_LARGE,
            )
        try:
            msgspec.json.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise exceptions.RequestError(
                f'body is not JSON: {error}', 400, answers.Reason.BAD_REQUEST
            ) from None
        return body

    def _read_deadline(self, request, contract: world.Contract) -> float:
        value = request.getHeader('walnutport-deadline-ms')
        if value is None:
            deadline_ms = contract.limits.deadline_ms
        else:
            try:
                deadline_ms = int(value)
            except ValueError:
                raise exceptions.RequestError(
                    'Walnutport-Deadline-Ms is not a whole number',
                    400,
                    answers.Reason.BAD_REQUEST,
                ) from None
        if deadline_ms <= 0:
            raise exceptions.RequestError(
                'deadline is past', 400, answers.Reason.DEADLINE_PAST
            )
        deadline_ms = min(deadline_ms, self._settings.max_deadline_ms)
        return self._clock.monotonic() + deadline_ms / 1000


def _find_entry(
    view: fold.CatalogueView, entry_id: str, member: world.Member
) -> tuple[world.Contract, world.Pipeline]:
    contract = view.contracts_by_id.get(entry_id)
    pipeline = (
        view.pipelines_by_id.get(contract.pipeline_id) if contract else None
    )
    if contract is None or pipeline is None:
        raise exceptions.RequestError(
            f'no entry {entry_id!r}', 404, answers.Reason.UNKNOWN_ENTRY
        )
    if contract.callers and member.member_id not in contract.callers:
        raise exceptions.RequestError(
            'entry is closed to this member', 403, answers.Reason.FORBIDDEN
        )
    return contract, pipeline


def _select_class(
    view: fold.CatalogueView, request, contract: world.Contract
) -> str:
    """Return the class of a call, at most the class of the contract."""
    requested_id = request.getHeader('walnutport-class')
    if not requested_id or requested_id == contract.class_id:
        return contract.class_id
    requested_class = view.classes_by_id.get(requested_id)
    if requested_class is None:
        raise exceptions.RequestError(
            f'no class {requested_id[:64]!r}', 400, answers.Reason.BAD_REQUEST
        )
    contract_class = view.classes_by_id.get(contract.class_id)
    if requested_class.weight > (
        contract_class.weight if contract_class else 1.0
    ):
        raise exceptions.RequestError(
            f'class {requested_id!r} is above the class of the entry',
            403,
            answers.Reason.FORBIDDEN,
        )
    return requested_id


def _authenticate(view: fold.CatalogueView, request) -> world.Member:
    """Return the member that the bearer token belongs to.

    The member is looked up by the SHA-256 digest of the token, and the digest
    that was found is compared in constant time. The time of the lookup does
    not depend on the number of members and reveals nothing of use, since a
    caller cannot choose a token whose digest approaches a known one.

    :raises RequestError: if the token belongs to no member.
    """
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    if scheme.lower() == 'bearer':
        member = view.members_by_digest.get(digest)
        if member is not None and any(
            hmac.compare_digest(known.encode(), digest.encode())
            for known in member.token_digests
        ):
            found = member
    if found is None:
        raise exceptions.RequestError(
            'unknown bearer token',
            http.UNAUTHORIZED,
            answers.Reason.UNAUTHORIZED,
        )
    return found
