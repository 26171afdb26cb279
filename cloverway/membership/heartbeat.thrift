// The heartbeat that hosts send to each other in a datagram. Times are sent as ages, never as clock
// readings, because the clocks of two hosts are not comparable. Tables are sent as columns, because
// the elements of a list of numbers have no field headers.

struct Loads {
  1: list<i32> endpoints
  2: list<i32> tags
  3: list<i16> ages
  4: list<i16> running
  5: list<i16> waiting
}

struct Detail {
  1: string name
  2: string incarnation
  3: byte flags
  4: i16 slots
  5: list<string> models
  6: i32 started
  7: i16 age
}

// Counts are indexes into heartbeats.COUNT_STEPS: exact when small, within a tenth when large.
struct Summary {
  1: string domain
  2: i16 age
  3: i64 revision
  4: list<i32> hosts
  5: list<i64> incarnations
  6: list<byte> levels
  7: list<i32> targets
  8: list<byte> ready
  9: list<byte> free
  10: list<byte> waiting
}

// The incarnation of an endpoint that crashed, and the digests of the requests that it was running.
struct End {
  1: string life
  2: list<i64> digests
  3: i32 age
}

// `wanted` are the hashed names of endpoints whose details the sender lacks, `ends` the crashes of
// endpoints, `excused` requests of such crashes that the sender knows to have been served, and
// `retired` an incarnation of the receiving host that was replaced.
struct Heartbeat {
  1: string host
  2: i64 incarnation
  3: i32 sequence
  4: byte flags
  5: byte load
  6: i64 revision
  7: list<i32> heard
  8: list<i32> heard_sequences
  9: list<i32> doubted
  10: Loads loads
  11: list<Detail> details
  12: list<i32> wanted
  13: list<Summary> summaries
  14: i64 retired
  15: list<End> ends
  16: list<i64> served
  17: list<i64> excused
  18: list<i32> excused_ages
}
