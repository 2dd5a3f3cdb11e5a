"""LRU store of the answers of finished runs, limited in bytes."""

import collections

from walnutport.lifecycle import answers

__all__ = ['AnswerStore']

# Estimated size of an answer and its entry in the store, without its text.
_OVERHEAD_BYTES = 400


class AnswerStore:
    """Keeps the most recently used answers.

    :param max_bytes: limit of the text and overhead of all answers.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._answer_by_claim: collections.OrderedDict[str, answers.Answer] = (
            collections.OrderedDict()
        )
        self.size_bytes = 0

    def __len__(self) -> int:
        return len(self._answer_by_claim)

    def put(self, claim_id: str, answer: answers.Answer) -> None:
        """Store an answer and evict the least recently used ones."""
        self.remove(claim_id)
        self._answer_by_claim[claim_id] = answer
        self.size_bytes += _size_bytes(answer)
        while self.size_bytes > self._max_bytes:
            _, evicted = self._answer_by_claim.popitem(last=False)
            self.size_bytes -= _size_bytes(evicted)

    def get(self, claim_id: str) -> answers.Answer | None:
        """Return the answer of a claim, or None if it is not stored."""
        answer = self._answer_by_claim.get(claim_id)
        if answer is not None:
            self._answer_by_claim.move_to_end(claim_id)
        return answer

    def remove(self, claim_id: str) -> None:
        """Remove the answer of a claim, if it is stored."""
        removed = self._answer_by_claim.pop(claim_id, None)
        if removed is not None:
            self.size_bytes -= _size_bytes(removed)


def _size_bytes(answer: answers.Answer) -> int:
    return len(answer.output) + len(answer.detail) + _OVERHEAD_BYTES
