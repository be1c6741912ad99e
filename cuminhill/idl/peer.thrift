// Messages between entry VMs.

struct Member {
    1: string vm
    2: i64 incarnation
    3: i64 counter
    // A compact entry omits the fields that have a default.
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

// Requests, answers and snapshots are JSON, in the form that the log stores.
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

// Tests whether the VM is reachable; has no effect.
struct PingCall {
}

// Appends to the journal on behalf of a VM that cannot reach it; records are pairs of
// key and value in JSON.
struct AppendCall {
    1: binary records
    2: double wait_s
}

// Requests placement advice through the VM that is called.
struct AdviseCall {
    1: string step
    2: list<string> workers
    3: double wait_s
    // Expected time of the call at the service and the placer's term; 0 if unknown.
    4: double cost_s = 0.0
    5: i64 term = 0
}

// Asks whether the process that is called extends no lease for a term, and never will.
// The value of the reply is JSON: `for_s`, how long before the answer the term had ended
// at the latest, in seconds. Earlier builds leave it empty.
struct TermCall {
    1: i64 term
}

// Asks how long ago the process that is called read the lease record that a claim
// inherits, and the newest record of placers before the terms that have left none. The
// value of the reply is JSON: `record_s` and `newest_s`, in seconds.
struct LeaseAgesCall {
    // The claim, and the position of the lease record in the journal.
    1: i64 term
    2: string nonce
    3: i64 offset
}

struct Reply {
    1: string status
    2: binary value
    // Of requests for advice: how long the call waited for earlier ones of the VM, and
    // when the VM expects to have answered all that it has; negative if unknown.
    3: double waited_s = -1.0
    4: double backlog_s = -1.0
}

struct Envelope {
    1: i64 call_id
    2: bool is_reply
    3: string method
    4: binary body
    5: string error
    6: bool refused = false  // the call was not handled and took no effect
}
