// The messages between hosts over TCP. Each struct has the name and the fields of the NamedTuple
// that it encodes; `Message` contains exactly one of them. Fields may be added, but never changed.

struct Hello {
  1: i32 version
  2: string host
  3: string incarnation
  4: string wanted
  5: binary nonce
}

struct Challenge {
  1: string host
  2: string incarnation
  3: binary nonce
  4: binary mac
}

struct Proof {
  1: binary mac
}

struct Recorded {
  1: i32 status
  2: string content_type
  3: binary body
  4: list<list<string>> headers
}

struct ClaimCall {
  1: string key
  2: string team
  3: string profile
  4: binary digest
  5: string claimant
  6: double left_s
}

struct Grant {
  1: double lifetime_s
}

struct Refused {
  1: string kind
  2: string detail
  3: double retry_after
  4: string ran
}

struct SettleCall {
  1: string key
  2: string team
  3: string profile
  4: string claimant
  5: string settlement
  6: Recorded recorded
}

struct Settled {
}

struct RunCall {
  1: string id
  2: string team
  3: string profile
  4: string path
  5: string method
  6: string content_type
  7: bool stream
  8: string key
  9: i64 revision
  10: double left_s
  11: i64 body_bytes
}

struct ReplyHead {
  1: i32 status
  2: string content_type
  3: list<list<string>> headers
  4: bool streamed
}

struct End {
  1: i64 body_bytes
}

struct ChangesCall {
  1: i64 after
}

struct Change {
  1: string key
  2: i64 revision
  3: string value
}

struct ChangesPage {
  1: i64 top
  2: list<Change> changes
  3: bool more
  4: i64 after
  5: string digest
}

struct Message {
  1: Hello Hello
  2: Challenge Challenge
  3: Proof Proof
  4: ClaimCall ClaimCall
  5: Grant Grant
  6: Recorded Recorded
  7: Refused Refused
  8: SettleCall SettleCall
  9: Settled Settled
  10: RunCall RunCall
  11: ReplyHead ReplyHead
  12: End End
  13: ChangesCall ChangesCall
  14: ChangesPage ChangesPage
}
