@0xb3a1c4d29e5f7086;
# Messages between daemons. `docs/design.md` section 4.1 describes their use.

struct ViewId {
  number @0 :UInt32;
  nonce @1 :UInt32;
  owner @2 :Text;
}

struct View {
  id @0 :ViewId;
  firstIndex @1 :UInt32;
}

struct Tokens {
  ids @0 :List(UInt32);
  ends @1 :List(UInt32);
  # End of each token in `text`, in bytes.
  text @2 :Text;
}

struct Install {
  # Everything that a holder needs to hold a copy that it did not hold before.
  account @0 :Text;
  head @1 :Data;
  views @2 :List(View);
}

struct Append {
  generation @0 :Text;
  view @1 :ViewId;
  firstIndex @2 :UInt32;
  tokens @3 :Tokens;
  install @4 :Install;
  finish @5 :Data;
  # Empty while the answer has not ended.
}

enum AppendStatus {
  accepted @0;
  unknown @1;
  superseded @2;
  full @3;
}

enum ClaimStatus {
  accepted @0;
  unknown @1;
  account @2;
  cursor @3;
}

struct Journal {
  install @0 :Install;
  tokens @1 :Tokens;
  finish @2 :Data;
}

interface Peer {
  append @0 (entries :List(Append)) -> (statuses :List(AppendStatus));
  claim @1 (cursor :Text, account :Text, owner :Text, nonce :UInt32) -> (status :ClaimStatus, journal :Journal);
  fetch @2 (cursor :Text, account :Text) -> (status :ClaimStatus, viewNumber :UInt32, length :UInt32);
  # Says what a claim would find, without a change.
  heartbeat @3 (body :Data) -> (body :Data);
  config @4 (afterRevision :UInt64) -> (revision :UInt64, document :Data);
  # A revision of 0 says that the peer holds nothing newer.
}
