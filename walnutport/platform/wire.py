"""Names on the wire."""

# Headers of callers.
REQUEST_ID = b'walnutport-request-attempt-id'
DEADLINE_MS = b'walnutport-deadline-ms'
CREDENTIAL = b'walnutport-credential'
PIECES = b'walnutport-pieces'
PIECE_KEY = b'walnutport-piece-key'
TOKEN_COUNTS = b'walnutport-token-counts'
PROMPT_PREFIX = b'walnutport-prompt-prefix'
LAST_EVENT_ID = b'last-event-id'

# Headers that only the system sets for targets.
TENANT = b'walnutport-tenant'
EXPECT_INSTANCE = b'walnutport-expect-instance'
EXPECT_VERSION = b'walnutport-expect-version'
PRIORITY = b'walnutport-request-priority'
INPUTS = b'walnutport-inputs'
SYSTEM_HEADERS = frozenset(
    (
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        INPUTS,
        b'walnutport-pin-ms',
        b'walnutport-hold',
        b'walnutport-kv-backup',
        b'walnutport-not-executed',
        b'kv-from',
        b'kv-fetch',
    )
)

# Headers of targets.
SEAL = b'walnutport-response-seal'
NOT_RUN = b'walnutport-not-executed'
LOAD = b'walnutport-server-load'
RETRY_AFTER = b'retry-after'

# Calls to the system.
READINESS_PATH = b'/readiness'

# Calls to stage targets.
STAGE_RUN_PATH = b'/stage-run'
STAGE_FREE_PATH = b'/stage-free'

# Calls to the store.
LOG_APPEND_PATH = '/log-append'
LOG_READ_PATH = '/log-read'
LOG_NEWEST_PATH = '/log-newest'

# Topics of the store. The system may write only to topics of its own.
OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.walnutport-hosts'
DESIRED_KEY = 'config'

# The variable that names the settings file.
SETTINGS_VARIABLE = 'WALNUTPORT_BOOT'
