"""Builders of jobs and targets for the tests of stage scheduling."""

from walnutport.stages import pieces
from walnutport.world import registrations
from walnutport.world import routes

ENCODE = routes.BatchRules(
    slots=1,
    queue_size=2,
    max_pieces=6,
    call_s=0.15,
    piece_s=0.02,
    memory_bytes=27_000_000,
)
RULES = {'encode': ENCODE, 'rank': ENCODE}
CHAIN = (
    routes.StageSpec('encode', (), 8_000),
    routes.StageSpec('rank', (0,), 8_000),
)
SINGLE = (routes.StageSpec('encode', (), 3_000_000),)


def target(
    target_id: str,
    service: str = 'encode',
    data_centre: str = 'a',
    incarnation: int = 1,
    draining: bool = False,
) -> registrations.RegisteredTarget:
    """Return a registered target of a stage service."""
    return registrations.RegisteredTarget(
        target_id=target_id,
        incarnation=incarnation,
        service=service,
        address=('10.0.0.1', 8000 + sum(target_id.encode()) % 500),
        data_centre=data_centre,
        slots=1,
        draining=draining,
        warmup_s=0.0,
    )


def job_spec(
    job_id: str,
    stages: tuple[routes.StageSpec, ...] = SINGLE,
    counts: tuple[int, ...] = (2,),
    urgency: int = 1,
    aim_s: float = 1.0,
    deadline_s: float = 5.0,
    final_s: float = 0.2,
    team: str = 'north',
    content: bytes = b'',
) -> pieces.JobSpec:
    """Return the specification of a job."""
    return pieces.JobSpec(
        job_id=job_id,
        request_id=f'request-{job_id}',
        piece_key=f'key-{job_id}',
        stages=stages,
        piece_counts=counts,
        urgency=urgency,
        aim_s=aim_s,
        deadline_s=deadline_s,
        final_s=final_s,
        team=team,
        content=content,
    )
