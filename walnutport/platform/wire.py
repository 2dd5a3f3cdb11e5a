"""Names of the platform: headers, paths, topics and variables."""

# Request headers that callers send.
REQUEST_ID = b'walnutport-request-attempt-id'
DEADLINE_MS = b'walnutport-deadline-ms'
CREDENTIAL = b'walnutport-credential'
PIECES = b'walnutport-pieces'
PIECE_KEY = b'walnutport-piece-key'
TOKEN_COUNTS = b'walnutport-token-counts'
PROMPT_PREFIX = b'walnutport-prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# Id of the caller's attempt that brought the first event of a stream which the
# request goes on with.
RESUMES = b'resumes'

# Request headers for targets that only the system may set.
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

# Response headers.
SEAL = b'walnutport-response-seal'
NOT_EXECUTED = b'walnutport-not-executed'
LOAD = b'walnutport-server-load'
# Requests a second that a target accepts from all hosts together.
RATE_LIMIT = b'server-limit'
# ``1`` in the responses of a target that is shutting down.
LEAVING = b'server-leaving'
# Requests a second that a target can turn away without falling over.
BRITTLE = b'server-brittle'
# Milliseconds for which a target stays cold.
COLD_MS = b'walnutport-cold-ms'
# A longer cold time is taken for a fault of the target.
MAX_COLD_MS = 600_000
RETRY_AFTER = b'retry-after'
STORE_ERA = b'store-era'

# Paths of the system.
READINESS_PATH = b'/readiness'

# Path at which an engine tells about itself.
REPORT_PATH = b'/report'

# Paths of stage targets.
STAGE_RUN_PATH = b'/stage-run'
STAGE_FREE_PATH = b'/stage-free'

# Paths of the store.
LOG_APPEND_PATH = '/log-append'
LOG_READ_PATH = '/log-read'
LOG_NEWEST_PATH = '/log-newest'

# Topics of the store. The system may write only to topics of its own.
OPERATOR_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
HOSTS_TOPIC = 'keyed.walnutport-hosts'
# Where streams began, as records without keys.
BEGUN_TOPIC = 'walnutport-origins'
ORIGIN_HISTORY_TOPIC = 'keyed.walnutport-origins'
DESIRED_KEY = 'config'
# Prefix of the keys of evacuations, before the name of a data centre.
EVACUATE_PREFIX = 'evacuate/'

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'WALNUTPORT_BOOT'
