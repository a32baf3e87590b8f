// Records of the replicated state and the format of its snapshots.
// Regenerate with:
// thrift -I libraries/wire --gen cpp:no_skeleton,moveable_types -out libraries/state/generated libraries/state/snapshot.thrift
include "wire.thrift"
namespace cpp cranberryshunt.state

struct TaskRecord {
  1: i32 index
  2: wire.TaskState state
  3: wire.Outcome outcome
  4: i32 code
  5: string reason
  6: i32 attempt         // Number of placements so far.
  7: i64 fence
  8: string worker
  9: string incarnation
  10: wire.Answer answer
  11: bool may_have_run  // An earlier attempt may have started, so the task must not finish as not_run.
  12: i64 placed_ms
}

struct JobRecord {
  1: string job_id
  2: wire.JobSpec spec
  3: i64 spec_digest
  4: string entry_id
  5: i64 submitted_ms
  6: list<TaskRecord> tasks
  7: i32 open_tasks      // Tasks that are not final.
  8: bool cancelled
  9: string cancel_reason
  10: i64 finished_ms
}

// The first result of a publication, which is returned again when it is resent.
struct PublicationRecord {
  1: string publication_id
  2: i64 digest
  3: i32 code
  4: i64 revision
  5: string winner
}

struct Snapshot {
  1: i64 index
  2: i64 fence
  3: i64 term
  4: list<JobRecord> jobs
  5: list<wire.Worker> workers
  6: i64 rules_revision
  7: wire.PublishRules publication
  8: list<PublicationRecord> publications // Oldest first.
  9: i64 audit_sequence
  10: list<wire.AuditRecord> audit
  11: i64 now_ms         // The newest time in any applied command.
}
