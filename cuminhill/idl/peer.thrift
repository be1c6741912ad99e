// Messages between entry VMs.

struct Member {
    1: string vm
    2: i64 incarnation
    3: i64 counter
    // Fields with a default are left out of a brief entry.
    4: string state = "alive"
    5: string address = ""
    6: string failure_domain = ""
    7: list<string> shards = []
    8: double free_cores = 0.0
    9: i64 config_revision = 0
    10: i64 log_offset = 0
}

struct Heartbeat {
    1: Member sender
    2: list<Member> members
}

// request, answer and snapshots travel in the JSON form that the log also holds.
struct SubmitCall {
    1: string shard
    2: binary request
    3: double wait_s
}

struct LookupCall {
    1: string request_id
    2: double wait_s
}

struct CancelCall {
    1: string request_id
}

struct ExplainCall {
    1: string request_id
}

struct SnapshotCall {
    1: string stream
}

// Asks whether the VM answers; it has no effect.
struct PingCall {
}

// An append to the journal for a VM that does not reach it; records are pairs of key
// and value in JSON.
struct AppendCall {
    1: binary records
    2: double wait_s
}

// A call for placement advice, made through the VM that is called.
struct AdviseCall {
    1: string step
    2: list<string> workers
    3: double wait_s
}

struct Reply {
    1: string status
    2: binary value
}

struct Envelope {
    1: i64 call_id
    2: bool is_reply
    3: string method
    4: binary body
    5: string error
    6: bool refused = false  // the call was not handled and took no effect
}
