"""JSON text and HTTP headers of answers to callers."""

import msgspec

from walnutport.lifecycle import answers

__all__ = ['encode_answer', 'write_answer']


def encode_answer(request_id: str, answer: answers.Answer) -> bytes:
    """Return the JSON text of an answer."""
    fields: dict[str, object] = {
        'request_id': request_id,
        'outcome': answer.outcome.value,
        'reason': answer.reason.value,
    }
    if answer.output:
        fields['output'] = msgspec.Raw(answer.output)
    if answer.detail:
        fields['detail'] = answer.detail
    if answer.retry_after_s > 0:
        fields['retry_after_ms'] = int(answer.retry_after_s * 1000)
    return msgspec.json.encode(fields)


def write_answer(request, request_id: str, answer: answers.Answer) -> bytes:
    """Set status and headers of the response and return its JSON text.

    :param request: klein's request that the answer belongs to.
    """
    request.setResponseCode(answer.http_status)
    request.setHeader('content-type', 'application/json')
    request.setHeader('walnutport-outcome', answer.outcome.value)
    if answer.retry_after_s > 0:
        request.setHeader(
            'retry-after', str(max(1, round(answer.retry_after_s)))
        )
    return encode_answer(request_id, answer)
