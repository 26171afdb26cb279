// Messages between hosts of a fleet. Times are sent as ages in milliseconds, not as clock readings,
// because the clocks of two hosts are never compared. Fields may be added but never changed.

struct HostState {
  1: string name
  2: i64 incarnation
  3: string domain
  4: string region
  5: string callers
  6: string inner
  7: bool ready
  8: bool leaving
  9: i32 age_ms
  10: i32 capacity
  11: i32 rate_mhz
  12: i32 period_ms
}

struct EndpointUse {
  1: string endpoint
  2: i32 running
  3: i32 unread
  4: i32 held
  5: list<i64> parts
  6: list<i32> tokens
  7: i32 read
  8: i64 born_ms
}

struct RegionOffer {
  1: string service_name
  2: i32 wait_ms
  3: i32 free
  4: i32 room
  5: i32 read_ns
  6: i32 token_us
  7: i32 running
}

struct Heartbeat {
  1: HostState sender
  2: i64 version
  3: i64 revision
  4: i32 read_age_ms
  5: list<HostState> others
  7: list<RegionOffer> offers
  8: i32 rate_mhz
  9: i64 digest
  10: i32 known
  11: i64 epoch
  12: i32 domain_hosts
  13: i32 region_hosts
}

struct EndpointUses {
  1: string host
  2: list<EndpointUse> uses
}

struct StoredDocument {
  1: string key
  2: i64 revision
  3: binary value
  4: bool removed
  5: i64 epoch
}

struct StoredSnapshot {
  1: i64 revision
  2: list<StoredDocument> documents
  3: bool whole
  4: i64 digest
  5: i64 epoch
}

struct EndpointCrash {
  1: string life
  2: list<i64> digests
  3: i32 age_ms
}

struct ServedDigest {
  1: i64 digest
  2: i32 age_ms
}

struct CrashReport {
  1: string host
  2: list<EndpointCrash> crashes
  3: list<i64> served
  4: list<ServedDigest> excused
}

struct EndpointPartCrash {
  1: string life
  2: list<i64> parts
  3: i32 age_ms
  4: list<i32> lasted_ms
}

struct PartServed {
  1: i64 part
  2: i32 age_ms
}

struct PartReport {
  1: string host
  2: list<EndpointPartCrash> crashes
  3: list<PartServed> served
}

struct EndpointStatement {
  1: string life
  2: i64 limit_milli
  3: i32 limit_age_ms
  4: bool leaving
}

struct StatementReport {
  1: string host
  2: list<EndpointStatement> statements
}

struct SuspectSend {
  1: i64 digest
  2: string life
  3: i32 level
  4: i32 left_ms
}

struct SuspectReport {
  1: string host
  2: list<SuspectSend> runs
}

struct StreamsBegun {
  1: string host
  2: string service_name
  3: string version
  4: list<i64> keys
  5: list<i32> left_ms
}

struct StreamQuery {
  1: string host
  2: i64 number
  3: i64 key
  4: string service_name
  5: i32 life_ms
}

struct StreamReply {
  1: string host
  2: i64 number
  3: bool is_known
  4: string service_name
  5: string version
  6: string only_version
}

struct Message {
  1: Heartbeat Heartbeat
  2: StoredSnapshot StoredSnapshot
  3: EndpointUses EndpointUses
  4: CrashReport CrashReport
  5: StatementReport StatementReport
  6: SuspectReport SuspectReport
  7: StreamsBegun StreamsBegun
  8: StreamQuery StreamQuery
  9: StreamReply StreamReply
  10: PartReport PartReport
}
