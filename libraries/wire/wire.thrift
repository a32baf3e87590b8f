// Messages between the processes of a cell, and the commands of the replicated log.
// Regenerate with: thrift --gen cpp:no_skeleton,moveable_types -out libraries/wire/generated libraries/wire/wire.thrift
namespace cpp cranberryshunt.wire

enum JobKind { kService = 1, kBatch = 2, kGang = 3, kInteractive = 4 }

// Outcome of a job or task as callers see it. Every value except kPending is final.
enum Outcome { kPending = 0, kDone = 1, kFailed = 2, kNotRun = 3, kCancelled = 4, kUnknown = 5 }

enum TaskState { kQueued = 1, kPlaced = 2, kRunning = 3, kFinal = 4 }

// State of an attempt, that is, of one run of a task, as a target reports it.
enum AttemptState { kRunning = 1, kDone = 2, kFailed = 3, kStopped = 4, kRefused = 5, kNeverStarted = 6, kUnknown = 7 }

struct Resources {
  1: i64 milli_cpus
  2: i64 memory_bytes
  3: i64 accelerators
  4: i64 slots
}

struct Status {
  1: i32 code            // A ResultCode; 0 is success.
  2: string message
  3: string field        // Offending field of the request, if any.
  4: string leader       // With code not_leader: "ip:port" of the leader, empty if not known.
  5: i64 retry_after_ms
}

struct JobSpec {
  1: string team
  2: JobKind kind
  3: string service_name // Service name that rules refer to.
  4: i32 task_count
  5: Resources task_resources
  6: i64 expected_run_ms // 0: not declared.
  7: i64 deadline_ms     // Relative to submission; 0: none.
  8: string region
  9: string availability_zone
  10: bool exclusive
  11: bool idempotent
  12: string idempotency_key
  13: string family      // Job family for learned estimates.
  14: binary payload     // Empty for an interactive job; its payload stays at the entry.
  15: i64 payload_digest // Digest of a payload that stays at the entry; a second submission with the idempotency key must have the same.
}

struct TaskKey {
  1: string job_id
  2: i32 index
}

struct AttemptKey {
  1: string job_id
  2: i32 index
  3: i32 attempt
}

struct Answer {
  1: binary bytes
  2: i64 length
  3: i64 crc32
  4: bool stored         // False: sent on the caller's connection only, not kept by the cell.
}

// ---- Commands of the replicated log ----

struct SubmitJob {
  1: string job_id
  2: JobSpec spec
  3: i64 spec_digest
  4: string entry_id
  5: i64 submitted_ms    // Wall-clock time of the leader, only for display and the expiry of idempotency keys.
}

struct Placement {
  1: AttemptKey attempt
  2: string worker
  3: string incarnation
  4: i64 fence
}

struct PlaceTasks {
  1: list<Placement> placements
  2: i64 placed_ms
}

struct TaskResult {
  1: AttemptKey attempt
  2: Outcome outcome
  3: i32 code
  4: string reason
  5: Answer answer
}

struct FinishTasks {
  1: list<TaskResult> results
  2: i64 finished_ms
}

// Returns placed tasks to the queue. Their attempts have ended and the fencing tokens of the attempts are void.
struct RequeueTasks {
  1: list<AttemptKey> attempts
  2: string reason
  3: bool never_started  // None of these attempts ran or will run.
}

struct MarkRunning {
  1: list<AttemptKey> attempts
}

struct CancelJobs {
  1: list<string> job_ids
  2: string reason
  3: i64 cancelled_ms
}

struct Worker {
  1: string identity
  2: string incarnation
  3: string address      // "ip:port".
  4: string region
  5: string availability_zone
  6: string rack
  7: Resources capacity
  8: i32 connections
  9: bool leaving
  10: bool draining      // Set by an operator; kept when the worker restarts with a new incarnation.
}

struct UpsertWorkers {
  1: list<Worker> workers
}

struct RemoveWorkers {
  1: list<string> identities
}

struct DrainWorker {
  1: string identity
  2: bool draining
  3: string operator_name
  4: i64 at_ms
}

struct RulesFile {
  1: string path
  2: string content
}

struct PublishRules {
  1: string publication_id
  2: i64 base_revision
  3: string version      // Version label that the operator chose.
  4: string operator_name
  5: list<RulesFile> files
  6: i64 at_ms
}

struct AuditRecord {
  1: i64 sequence
  2: i64 at_ms
  3: string actor
  4: string action
  5: string detail
}

struct RecordAudit {
  1: list<AuditRecord> records // The sequence numbers are assigned when the command is applied.
}

struct ExpireKeys {
  1: i64 finished_before_ms
}

// Raises the fence counter and marks the start of a leader's term in the log.
struct BeginTerm {
  1: i64 term
  2: string leader_id
  3: i64 at_ms
}

union Command {
  1: SubmitJob submit_job
  2: PlaceTasks place_tasks
  3: FinishTasks finish_tasks
  4: RequeueTasks requeue_tasks
  5: MarkRunning mark_running
  6: CancelJobs cancel_jobs
  7: UpsertWorkers upsert_workers
  8: RemoveWorkers remove_workers
  9: DrainWorker drain_worker
  10: PublishRules publish_rules
  11: RecordAudit record_audit
  12: ExpireKeys expire_keys
  13: BeginTerm begin_term
}

struct CommandBatch {
  1: list<Command> commands
}

// ---- State as read by entries ----

struct TaskStatus {
  1: i32 index
  2: TaskState state
  3: Outcome outcome
  4: i32 code
  5: string reason
  6: i32 attempt
  7: string worker
  8: Answer answer
}

struct JobStatus {
  1: string job_id
  2: Outcome outcome
  3: i32 code
  4: string reason
  5: bool retryable
  6: list<TaskStatus> tasks
}

// ---- Entry to controller ----

struct SubmitRequest {
  1: string entry_id
  2: string region       // Region of the entry, which counts as that of the caller.
  3: string availability_zone
  4: string job_id       // Chosen by the entry, so that the call is idempotent when it is sent again.
  5: JobSpec spec
  6: bool watch          // Send a SequencedUpdate with a reply to Poll when the job has a final outcome.
}

struct SubmitReply {
  1: Status status
  2: JobStatus job       // The existing job if the idempotency key was used before.
}

struct GetJobRequest {
  1: string entry_id
  2: string job_id       // If empty, team and idempotency_key identify the job.
  3: string team
  4: string idempotency_key
  5: bool watch
}

struct GetJobReply {
  1: Status status
  2: JobStatus job
}

struct CancelReply {
  1: Status status
  2: list<JobStatus> jobs
}

struct AttemptReport {
  1: AttemptKey attempt
  2: i64 fence
  3: AttemptState state
  4: string reason
  5: Answer answer
  6: bool looked_up      // Reply of the target to a lookup, not to a start.
  7: bool payload_missing // With kNeverStarted: the entry does not have the payload.
}

struct WorkerAnnouncement {
  1: Worker worker
  2: i64 clock_ms        // The worker's monotonic clock when it sent the announcement.
  3: i64 used_milli_cpus
  4: i64 used_memory_bytes
  5: list<AttemptReport> attempts
}

struct AnnouncementReply {
  1: Status status
  2: string identity
  3: i64 clock_ms
  4: i64 lease_ms
  5: list<AttemptKey> stop
  6: list<AttemptKey> acknowledge
}

struct EntryReport {
  1: string entry_id
  2: list<WorkerAnnouncement> announcements
  3: list<AttemptReport> results     // Results that the entry itself received from targets.
  4: list<AuditRecord> audit         // For example refused access tokens.
  5: map<string, i64> bytes_between_regions // Bytes sent since the last report, by "from>to".
}

struct ReportReply {
  1: Status status
  2: list<AnnouncementReply> announcements // Same order as in the report.
}

struct StartOrder {
  1: AttemptKey attempt
  2: i64 fence
  3: string worker
  4: string incarnation
  5: string address
  6: i64 start_expiry_clock_ms
  7: i64 lease_until_clock_ms
  8: i64 valid_ms        // How long after its receipt the entry may deliver the order.
  9: JobKind kind
  10: Resources resources
  11: binary payload
  12: bool payload_at_entry
  13: bool idempotent
  14: i32 connections    // Number of connections that the worker accepts; 0: not known.
  15: string region      // Region of the worker.
}

struct StopOrder {
  1: AttemptKey attempt
  2: string worker
  3: string address
  4: bool checkpoint
}

struct ThrottleOrder {
  1: AttemptKey attempt
  2: string worker
  3: string address
  4: i32 percent
}

// Asks an entry to look up the state of an attempt at its target.
struct LookupOrder {
  1: AttemptKey attempt
  2: string worker
  3: string address
  4: bool bar            // If the target does not know the attempt, it is to refuse a later start of it.
}

union Order {
  1: StartOrder start
  2: StopOrder stop
  3: ThrottleOrder throttle
  4: LookupOrder lookup
}

struct SequencedOrder {
  1: i64 sequence
  2: Order order
}

struct KindPressure {
  1: JobKind kind
  2: i64 queued
  3: bool full           // The queue is full: the entry refuses jobs of this kind until the next poll.
  4: i64 retry_after_ms
}

struct PollRequest {
  1: string entry_id
  2: string address      // HTTP address of the entry, for display.
  3: string region
  4: string availability_zone
  5: string incarnation  // New at each start of the entry.
  6: i64 rules_revision  // Revision in force at the entry; 0: none yet.
  7: i64 order_ack       // All orders up to this sequence number were received.
  8: i64 update_ack      // All job updates up to this sequence number were received.
  9: i32 wait_ms
  10: bool draining
  11: i64 session        // Session of the acknowledgements; 0 before the first reply.
}

struct SequencedUpdate {
  1: i64 sequence
  2: JobStatus job
}

struct PollReply {
  1: Status status
  2: i64 rules_lease_ms  // Counted from the time at which the entry sent the request.
  3: i64 rules_revision
  4: list<SequencedOrder> orders
  5: list<SequencedUpdate> updates
  6: list<KindPressure> pressure
  7: i64 session         // A new leader starts a new session; acknowledgements of another session are ignored.
  8: string leader_id
}

struct PublishRequest {
  1: PublishRules publication
}

struct PublishReply {
  1: Status status
  2: i64 revision
  3: bool in_force
  4: string winner       // On a conflict: the operator and the publication that already created the revision.
}

struct RulesReply {
  1: Status status
  2: i64 revision
  3: PublishRules publication
}

struct AuditReply {
  1: Status status
  2: list<AuditRecord> records
}

struct Alert {
  1: string name
  2: string metric
  3: double value
  4: double threshold
  5: i64 firing_since_ms
}

struct KindStats {
  1: JobKind kind
  2: i64 queued
  3: i64 running
  4: double wait_p50_ms
  5: double wait_p99_ms
  6: double share         // Dominant share of the fleet that this kind uses, 0 to 1.
  7: i64 refused
  8: i64 preempted
  9: i64 preempted_run_ms // Run time of the preempted attempts.
}

struct WorkerStats {
  1: Worker worker
  2: Resources reserved
  3: bool live
  4: bool quarantined
  5: string reason
}

struct ClusterReply {
  1: Status status
  2: string leader_id
  3: i64 term
  4: i64 commit_index
  5: list<string> voters
  6: list<string> learners
  7: list<string> entries
  8: list<WorkerStats> workers
  9: list<KindStats> kinds
  10: double packing       // Mean dominant share that is reserved on the workers with at least one task, 0 to 1.
  11: list<Alert> alerts
  12: map<string, i64> bytes_between_regions
  13: i64 rules_revision
  14: list<string> culprits // Workers, job families and teams that cause many faults.
}

// ---- Between controllers ----

enum RaftMessageType {
  kPreVote = 1, kPreVoteReply = 2, kVote = 3, kVoteReply = 4, kAppend = 5, kAppendReply = 6,
  kSnapshotChunk = 7, kSnapshotReply = 8, kTimeoutNow = 9
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: i32 type            // 1: command batch, 2: membership, 3: empty.
  4: binary data
}

struct Member {
  1: string id
  2: string disk_identity
  3: string address       // "ip:port" of its Thrift server.
  4: bool voter
  5: bool promote        // A learner that becomes a voter when its log has caught up.
}

struct Membership {
  1: list<Member> members
}

struct RaftMessage {
  1: RaftMessageType type
  2: string sender
  3: string sender_disk
  4: string receiver
  5: i64 term
  6: i64 log_index        // Append: index before the first entry. Vote: last index of the sender's log.
  7: i64 log_term
  8: i64 commit
  9: bool accepted
  10: i64 hint_index      // Last index from which the leader may continue after a rejected append.
  11: list<LogEntry> entries
  12: i64 sent_at_ms      // Clock of the sender, returned in replies to measure the leader lease.
  13: binary data         // Snapshot chunk.
  14: i64 offset
  15: bool last
  16: Membership membership // Membership of a snapshot; in votes and probing appends, that of the sender.
}

struct MembershipChange {
  1: string operator_name
  2: Member member
  3: bool remove
}


// ---- Step graphs on called workers ----
//
// A graph job is a set of steps with dependencies. Its tasks run on workers that the leader calls directly or through
// another controller.

struct GraphStep {
  1: i32 task_count
  2: i64 milli_cpus            // Per task, as are the other amounts.
  3: i64 memory_mb
  4: i64 accelerators
  5: i64 estimate_ms           // Declared run time of a task; 0: not declared.
  6: list<i32> depends_on      // Indices of the steps whose tasks must all be done first.
  7: bool checkpoints
  8: bool gang                 // All tasks of the step start together and end together.
  9: bool same_rack            // The tasks run slower when they are on several racks.
  10: string required_label
  11: string data_rack         // The tasks run slower on any other rack.
  12: i32 max_per_worker       // 0: no limit.
  13: bool speculative
  14: bool long_running        // The tasks run until the job is cancelled; a run that ends for any other reason is restarted.
  15: string image
  16: i64 tail_target_ms
  17: bool fills               // The processors of its tasks do not count against the capacity of a worker.
  18: i32 may_be_unavailable
}

struct GraphJob {
  1: string payload            // Passed to each task unchanged.
  2: list<GraphStep> steps
  3: i32 occurrences           // At least 1.
  4: i64 first_due_ms          // Unix time of the first occurrence; 0: due at once.
  5: i64 interval_ms
}

struct QueueAdvice {
  1: double base_ms            // Time that the advice service takes for a call without the time per worker.
  2: double per_worker_ms
  3: i64 ticket_valid_ms
}

struct JobQueue {
  1: string name
  2: string host
  3: string path_prefix
  4: i64 timeout_ms
  5: i64 latency_target_ms
  6: i32 priority              // 0 is the most urgent.
  7: string service_name       // The workers of this service run the tasks of the queue.
  8: i32 max_attempts
  9: double stretch            // Latency objective as a multiple of the run time of the critical path.
  10: bool needs_advice
  11: QueueAdvice advice
  12: bool allows_anonymous    // Callers may leave out their key.
}

struct WorkerService {
  1: string name
  2: bool checks_capacity      // Its workers refuse tasks that do not fit.
}

// What the tasks of an account may occupy on all workers together. 0: no limit.
struct AccountLimit {
  1: i64 milli_cpus
  2: i64 memory_mb
  3: i64 accelerators
}

// A client account, for which jobs are submitted and counted.
struct ClientAccount {
  1: string name
  2: list<string> key_digests  // SHA-256 digests of its keys, in lower-case hexadecimal.
  3: i32 priority              // As configured; not used yet.
  4: double weight             // Jobs a second that count as within its share.
  5: AccountLimit limit
}

struct RoutingTable {
  1: i64 version               // 0: none yet.
  2: list<JobQueue> queues
  3: list<WorkerService> services
  4: binary document           // As the operator sent it.
  5: list<ClientAccount> accounts
  6: bool checks_keys          // The configuration has accounts, so callers must present a key.
}

// One incarnation of a worker.
struct CalledWorker {
  1: string id
  2: i64 born_ms               // Unix time of its start; distinguishes the incarnations under one id.
  3: string service_name
  4: string address
  5: string availability_zone
  6: i64 milli_cpus
  7: i64 memory_mb
  8: i64 accelerators
  9: list<string> labels
  10: bool leaving
  11: string machine
  12: string rack
}

struct GraphTaskKey {
  1: i64 job                   // The job's id as a number.
  2: i32 occurrence
  3: i32 step
  4: i32 index
}

enum RunEnd {
  kDone = 1, kFailed = 2, kStopped = 3, kLapsed = 4, kBroken = 5, kAlone = 6,
  kLost = 7,                   // The worker ended or no longer counts as live.
  kNotStarted = 8              // Never started and never will.
}

struct RunStart {
  1: GraphTaskKey task
  2: i32 run
  3: i64 worker                // Number that the state assigned to this incarnation of the worker.
}

struct RunResult {
  1: GraphTaskKey task
  2: i32 run
  3: RunEnd how
  4: string checkpoint
}

struct AcceptedGraphJob {
  1: i64 id
  2: JobQueue queue            // The settings of the queue when the job was accepted.
  3: GraphJob job
  4: optional i64 submitted_ms // When it was first submitted, in the time of the batches.
  5: string account            // Empty: submitted without a key.
  6: bool over_rate            // Submitted beyond the rate of its account.
}

// One log entry of a cell with called workers. The fields are applied in their order.
struct GraphBatch {
  1: i64 at_ms                 // Time for which the cell has had a leader, for retention only.
  2: optional RoutingTable table
  3: list<CalledWorker> workers
  4: list<i64> removed_workers
  5: list<AcceptedGraphJob> jobs
  6: list<i64> cancelled_jobs
  7: list<RunStart> starts
  8: list<RunResult> results
  9: list<i64> expired_jobs
}

struct GraphTaskImage {
  1: i32 last_run
  2: i32 failures
  3: bool done
  4: i32 run                   // 0: not running.
  5: i64 worker
  6: string checkpoint
  7: i32 failed_run            // Last run of a gang whose failure was counted.
  8: i32 crashes               // Runs whose worker crashed.
  9: i32 crashed_run           // The last of them.
  10: i32 lost_run             // Last run that ended as lost, and its worker.
  11: i64 lost_worker
  12: i32 alone_crashes        // Crashes of workers that it had for itself.
  13: i64 alone_crash_ms       // Time of the last of them, in the time of the batches.
  14: i64 started_ms           // Start of the last run, in the time of the batches.
}

struct GraphJobImage {
  1: AcceptedGraphJob accepted
  2: i32 state
  3: i64 finished_ms
  4: list<GraphTaskImage> tasks
  5: bool started
}

struct CalledWorkerImage {
  1: i64 number
  2: CalledWorker worker
}

struct GraphSnapshot {
  1: RoutingTable table
  2: i64 next_worker
  3: list<CalledWorkerImage> workers
  4: list<GraphJobImage> jobs
  5: list<i64> recent_crashes  // In the time of the batches.
  6: list<i64> recent_external_crashes  // Of those that no task on the worker can have caused.
  7: i64 last_batch_ms
  8: map<string, i64> departed_workers  // Numbers, by worker id, of those with open runs.
}

enum GraphJobState { kQueued = 1, kRunning = 2, kCompleted = 3, kFailed = 4, kCancelled = 5 }

enum GraphOperation { kSubmit = 1, kShow = 2, kCancel = 3, kCountPending = 4 }

struct GraphRequest {
  1: GraphOperation operation
  2: string host
  3: string path
  4: GraphJob job              // With kSubmit.
  5: i64 waited_ms             // How long the caller has already waited.
  6: i64 request_id            // With kSubmit: the same in all attempts of an entry to submit one request; 0: none.
  7: bool earlier_attempt_open // An earlier attempt was not answered and may still arrive.
  8: string key_digest         // SHA-256 digest of the caller's key, in lower-case hexadecimal; empty: none.
}

struct GraphReply {
  1: Status status             // Codes not_found (no such queue), gone (no such job), queue_full, invalid_field.
  2: GraphJobState state
  3: i64 pending
  4: bool may_be_accepted      // With an error: the job may nevertheless be stored.
  5: bool refuses_earlier_attempts  // With an error: this controller refuses attempts of the request that arrive late.
  6: i64 process_id            // Random number of the controller's process.
}

// A call of the advice service. The service accepts one call at a time from each host.
struct AdviceOrder {
  1: i64 id
  2: string address
  3: string step
  4: list<string> workers
  5: i64 expected_ms
}

struct AdviceTicket {
  1: string worker
  2: string ticket
}

struct AdviceResult {
  1: i64 id
  2: bool answered
  3: list<AdviceTicket> allowed
  4: i64 age_ms                // Time since the answer arrived at the calling controller.
}

struct AdvicePoll {
  1: string caller
  2: list<AdviceResult> results
  3: i32 wait_ms
}

struct AdviceOrders {
  1: Status status
  2: list<AdviceOrder> orders
  3: list<string> controllers  // Addresses of the members.
}

struct RelayedHold {
  1: i64 acknowledged_end
  2: i64 lease_until_ms        // On the worker's clock; 0: the lease is unchanged.
  3: i64 wait_ms
}

struct RelayedStart {
  1: GraphTaskKey task
  2: i32 run
  3: binary payload
  4: string checkpoint
  5: string ticket
  6: i64 lease_until_ms
}

struct RelayedStop {
  1: GraphTaskKey task
  2: i32 run
}

// An order of the leader to a worker that another controller sends. Exactly one of hold, start and stop is set.
struct RelayedOrder {
  1: i64 id
  2: string worker
  3: string address
  4: i64 fence
  5: i64 timeout_ms
  6: optional RelayedHold hold
  7: optional RelayedStart start
  8: optional RelayedStop stop
  9: i64 born_ms               // Birth of the incarnation that the order is meant for; 0 if unknown.
}

struct RelayedRun {
  1: GraphTaskKey task
  2: i32 run
  3: string checkpoint
  4: i32 percent
  5: i64 usage
}

struct RelayedEnd {
  1: i64 number
  2: GraphTaskKey task
  3: i32 run
  4: RunEnd how
  5: string checkpoint
}

struct RelayedReply {
  1: i64 id
  2: i32 answer                // A cell::WorkerAnswer.
  3: i64 clock_ms
  4: i64 born_ms
  5: list<RelayedRun> running
  6: list<RelayedEnd> ended
  7: i32 unreadable_rows
  8: string detail
  9: bool reused_connection    // The order was written only to a connection with earlier answers.
}

exception NotAuthenticated { 1: string message }

service ControllerService {
  // Mutual authentication; see section 7 of the design page. Any other call before it closes the connection.
  binary Challenge(1: string client_id, 2: binary client_nonce)
  binary Authenticate(1: binary client_proof) throws (1: NotAuthenticated error)

  SubmitReply Submit(1: SubmitRequest request)
  ReportReply Report(1: EntryReport report)
  PollReply Poll(1: PollRequest request)
  GetJobReply GetJob(1: GetJobRequest request)
  CancelReply CancelJobs(1: string entry_id, 2: list<string> job_ids, 3: string reason)
  PublishReply Publish(1: PublishRequest request, 2: i32 wait_ms)
  RulesReply GetRules(1: i64 if_newer_than)
  AuditReply GetAudit(1: i64 after_sequence, 2: i32 limit)
  ClusterReply GetCluster()
  Status Drain(1: DrainWorker request)
  Status ChangeMembership(1: MembershipChange change)
  void DeliverRaft(1: list<RaftMessage> messages)
  GraphReply CallGraph(1: GraphRequest request)
  AdviceOrders PollAdvice(1: AdvicePoll poll)
  // Passes orders of the leader at `leader` ("ip:port") to workers. Their replies are returned with RelayReplies.
  void RelayOrders(1: string leader, 2: list<RelayedOrder> orders)
  void RelayReplies(1: list<RelayedReply> replies)
  // Adds a controller to the cell, or reports to the leader that the controller is alive.
  Status Join(1: Member member)
  // Reports to the leader that the process of a member is about to end. The code of the reply is kOk once it has no
  // vote, kNotReady while another member takes its place, and kUnavailable if none can. May be repeated.
  Status Leave(1: Member member)
}
