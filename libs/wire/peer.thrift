// Messages between instances. Fields are only ever added, with new numbers, so that old and new versions can talk.
// Times are milliseconds since the epoch; enumerators are the numbers that the C++ headers give them.

namespace cpp parsleyshift.wire_format

struct member_update
{
    1: string instance
    2: i64 started
    3: i32 state
    4: i32 refutation
    5: string peer_address
    6: string address
    7: string availability_zone
    8: string region
    9: i32 entry_slot = -1
    10: i32 schema = 2
    11: i32 busy_percent
}

struct failure
{
    1: i32 kind
    2: string detail
    3: optional i64 retry_after_ms
}

struct probe
{
    1: i64 sequence
    2: list<member_update> updates
}

struct probe_ack
{
    1: i64 sequence
    2: string about
    3: list<member_update> updates
}

struct probe_request
{
    1: i64 sequence
    2: string target
    3: string target_address
}

struct member_updates
{
    1: list<member_update> updates
    2: bool wants_all
}

struct configuration_digest
{
    1: i64 highest
    // One little-endian 64-bit hash for each bucket; a list of integers would take a quarter more.
    2: binary bucket_hashes
}

struct configuration_pull
{
    1: list<i32> buckets
    2: i64 after
    3: i64 highest
}

struct shared_record
{
    1: string kind
    2: string name
    3: i64 changed
    4: i32 schema = 1
    5: bool withdrawn
    6: string body
    7: bool active
    8: bool accepted = true
}

struct configuration_records
{
    1: i64 highest
    2: list<shared_record> records
    3: bool complete
    4: i64 after
    5: bool answer
}

struct work_description
{
    1: i64 request
    2: string customer
    3: string service_name
    4: string model
    5: string work_class
    6: i64 prompt_tokens
    7: i64 max_tokens
    8: list<i64> prefixes
    9: i64 start_by = 9223372036854775807
    10: i64 expected_tokens
    11: bool plain
    12: bool restricted
    13: list<string> regions
    14: i64 timely_start = 9223372036854775807
    15: i64 gap_objective
}

struct endpoint_notice
{
    1: string endpoint
    2: bool limited
    3: double starts_per_second
    4: i64 age
    5: bool brittle
    6: bool leaving
    7: i64 started
    8: i64 cold_left
}

struct permit_request
{
    1: string pool
    2: work_description work
    3: list<endpoint_notice> notices
    4: list<string> excluded
}

struct permit_grant
{
    1: i64 request
    2: i64 permit
    3: string endpoint
    4: i32 priority
    5: i64 reserved
    6: i64 expires
}

struct permit_denial
{
    1: i64 request
    2: failure why
}

struct permit_withdrawal
{
    1: string pool
    2: i64 request
}

struct permit_return
{
    1: string pool
    2: i64 permit
    3: string endpoint
    4: string customer
    5: string work_class
    6: i64 tokens
    7: bool completed
}

struct permit_registration
{
    1: string pool
    2: i64 permit
    3: string endpoint
    4: work_description work
    5: i64 tokens_so_far
    6: i32 priority
    7: i64 usual_gap
    8: i64 longest_gap
    9: i64 first_event_latency
}

struct order_forward
{
    1: i64 request
    2: string customer
    3: string service_name
    4: string operation
    5: string payload
    6: string key
    7: bool place = true
}

struct order_reply
{
    1: i64 request
    2: i32 what
    3: string result
    4: optional failure why
    5: i64 settled_after = 9223372036854775807
}

struct budget_loan
{
    1: string customer
    2: i64 sequence
    3: i64 tokens
    4: i64 receiver
}

struct budget_request
{
    1: string customer
    2: i64 tokens
}

struct quarantine_notice
{
    1: i64 request
    2: list<string> deaths
    3: i64 expires
    4: list<i64> times
    5: i64 cleared
    6: bool prompt_part
}

struct permit_queued
{
    1: i64 request
}

struct stream_takeover
{
    1: i64 attempt
}

struct endpoint_health_notice
{
    1: string pool
    2: string endpoint
    3: double weight = 1.0
    4: i64 expires
}

struct source_pull
{
    1: i64 number
    2: i64 known
    3: bool accepts_listing
    4: bool accepts_compressed
    5: bool accepts_notice
    6: i64 known_era
}

struct source_change
{
    1: string key
    2: string value
    3: bool removed
    4: i64 changed
    5: bool compressed
}

struct source_answer
{
    1: i64 number
    2: bool available
    3: i64 as_of
    4: i64 age
    5: list<source_change> changes
    6: bool complete
    7: bool lists_all
    8: list<string> unchanged_keys
    9: bool follows
    10: i64 era
    11: bool in_progress
}

union message
{
    1: probe probe_value
    2: probe_ack probe_ack_value
    3: probe_request probe_request_value
    4: member_updates member_updates_value
    5: configuration_digest configuration_digest_value
    6: configuration_pull configuration_pull_value
    7: configuration_records configuration_records_value
    8: permit_request permit_request_value
    9: permit_grant permit_grant_value
    10: permit_denial permit_denial_value
    11: permit_withdrawal permit_withdrawal_value
    12: permit_return permit_return_value
    13: permit_registration permit_registration_value
    14: order_forward order_forward_value
    15: order_reply order_reply_value
    16: budget_loan budget_loan_value
    17: budget_request budget_request_value
    18: quarantine_notice quarantine_notice_value
    19: permit_queued permit_queued_value
    20: stream_takeover stream_takeover_value
    21: endpoint_health_notice endpoint_health_notice_value
    22: source_pull source_pull_value
    23: source_answer source_answer_value
    24: endpoint_notice endpoint_notice_value
}

struct envelope
{
    1: string sender
    2: i64 started
    3: string peer_address
    4: i64 highest
    5: message content
}
