// Messages between rattanrelay instances.
// `service` is a reserved word of the IDL, so the field is called `svc`.

struct DocumentRevision { 1: string name, 2: i64 revision }
struct BlockedRequest { 1: string fingerprint, 2: i64 seconds_left }

// `sender` is the number of a process that the receiver knows from its view; `instance` and
// `incarnation` are then omitted. A peer that sends this field also accepts it.
struct Heartbeat {
  1: string instance, 2: string incarnation, 3: i64 epoch, 4: i64 sequence,
  5: list<DocumentRevision> digest, 6: list<BlockedRequest> blocked,
  7: i64 sender, 8: i64 acked, 9: list<string> holding, 10: bool whole
}
struct HeartbeatAck {
  1: string instance, 2: string incarnation, 3: i64 epoch, 4: i64 sequence,
  5: list<DocumentRevision> digest, 6: list<string> holding,
  7: i64 sender, 8: i64 carried, 9: list<BlockedRequest> blocked, 10: bool whole
}

struct Target { 1: string shard, 2: string searcher }
struct SubQuery {
  1: string query_id, 2: string svc, 3: string snapshot, 4: string tenant, 5: binary body,
  6: i64 deadline_ms, 7: i64 epoch, 8: list<Target> targets, 9: string kind, 10: bool canary
}
struct ShardResult {
  1: string query_id, 2: string shard, 3: string searcher, 4: string status, 5: string reason,
  6: string snapshot, 7: binary payload, 8: list<string> held, 9: i64 service_us,
  10: i64 queue_us, 11: i32 in_flight, 12: i32 limit
}
struct ShardResults { 1: list<ShardResult> results }
struct Cancel { 1: string query_id, 2: string shard, 3: string searcher }

struct Action {
  1: string key, 2: string svc, 3: string route, 4: string tenant, 5: binary body,
  6: i64 deadline_ms, 7: string request_id
}
struct ActionResult { 1: string outcome, 2: string code, 3: string message, 4: binary payload }

struct RunAction {
  1: string request_id, 2: string svc, 3: string shard, 4: string searcher, 5: string tenant,
  6: binary body, 7: i64 deadline_ms, 8: i64 epoch
}

struct BeginTrial { 1: string trial, 2: string fingerprint, 3: i64 left_ms }
struct TrialVerdict { 1: string verdict }
struct EndTrial { 1: string trial, 2: string fingerprint, 3: string outcome }
struct ShareLosses { 1: string fingerprint, 2: list<BlockedRequest> losses }
struct KnownLosses { 1: list<BlockedRequest> losses }

struct Pull { 1: string name, 2: i64 revision }
struct Document { 1: string name, 2: i64 revision, 3: binary value }
struct Accepted { 1: bool accepted }
struct Failure { 1: string code, 2: string message, 3: string step, 4: string peer, 5: string ran }

struct HeaderField { 1: string name, 2: string value }
struct GatherShards {
  1: string request_id, 2: string kind, 3: string method, 4: string target,
  5: list<HeaderField> headers, 6: binary body, 7: list<string> shards, 8: i32 attempts,
  9: i32 top_k, 10: i64 target_us, 11: i64 answer_us, 12: i64 deadline_us,
  13: i64 first_us, 14: binary marks
}
struct GatheredPart {
  1: string shard, 2: string signature, 3: string reason, 4: bool may_have_run, 5: bool reached
}
struct GatheredParts { 1: list<GatheredPart> parts, 2: binary records }

struct FollowStore { 1: bool whole }
struct StoreChange {
  1: string prefix, 2: bool whole, 3: i64 revision, 4: binary items, 5: i64 age_us,
  6: i64 era, 7: i64 unknown_us
}

struct Quarantined { 1: list<BlockedRequest> requests }

struct BorrowPermit { 1: string searcher, 2: i64 started, 3: i64 limit_milli, 4: i64 heard_us }
struct KnownRate { 1: i64 limit_milli, 2: i64 heard_us, 3: bool lent, 4: i64 wait_us }

struct AskConfigurationAge { 1: i64 version }
struct ConfigurationAge { 1: i64 version, 2: i64 age_us }

struct AskQuota {
  1: string workspace, 2: string asker, 3: i32 purpose, 4: i64 stamp, 5: i64 idle_us
}
struct QuotaReply {
  1: bool granted, 2: bool decided, 3: string holder, 4: i64 wait_us, 5: i64 weight_ppb,
  6: i64 term, 7: i64 idle_us, 8: bool unlisted, 9: bool reserved
}
