@0xc5b1f0a4d2e97a31;
# Control messages between processes; see heatheryoke.core.messages for their meaning.

struct Registration {
  flow @0 :Data;
  owner @1 :Text;
  generation @2 :UInt32;
  localPort @3 :UInt16;
  answered @4 :Bool;
  closed @5 :Bool;
  feeds @6 :List(Data);
}

struct ClaimRecord {
  requestId @0 :Data;
  runner @1 :Text;
  attempt @2 :UInt64;
  remainingS @3 :Float64;
}

struct Accusation {
  accuser @0 :Text;
  host @1 :Text;
  counter @2 :UInt64;
  suspected @3 :Bool;
}

struct Hint {
  flow @0 :Data;
  ownerId @1 :UInt64;
}

struct Registrations {
  batch @0 :UInt64;
  entries @1 :List(Registration);
}

struct RegistrationsAck {
  batch @0 :UInt64;
}

struct Yield {
  flow @0 :Data;
  owner @1 :Text;
  generation @2 :UInt32 = 4294967295;
  answered @3 :Bool;
}

struct RecoveryRequest {
  host @0 :Text;
  incarnation @1 :UInt64;
  question @2 :UInt64;
}

struct RecoveryReply {
  question @0 :UInt64;
  part @1 :UInt32;
  parts @2 :UInt32;
  complete @3 :Bool;
  handedOver @4 :Bool;
  entries @5 :List(Registration);
  claims @6 :List(ClaimRecord);
  knowsHistory @7 :Bool;
  history @8 :List(FormerTopology);
}

struct FormerTopology {
  ageS @0 :Float64;
  change @1 :Data;
}

struct ClaimHandover {
  host @0 :Text;
  part @1 :UInt32;
  claims @2 :List(ClaimRecord);
}

struct ClaimHandoverAck {
  host @0 :Text;
  part @1 :UInt32;
}

struct ClaimHandoverDone {
  host @0 :Text;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  digest @2 :UInt32;
}

struct Accusations {
  span @0 :UInt32;
  entries @1 :List(Accusation);
}

struct EpochNotice {
  span @0 :UInt32;
}

struct ConfigurationRequest {
  have @0 :UInt64;
}

struct ConfigurationPart {
  version @0 :UInt64;
  base @1 :UInt64;
  part @2 :UInt32;
  parts @3 :UInt32;
  data @4 :Data;
}

struct ClaimRequest {
  service @0 :Text;
  requestId @1 :Data;
  runner @2 :Text;
  attempt @3 :UInt64;
  supersedes @4 :UInt64;
  lacksHistory @5 :Bool;
}

struct WitnessSet {
  hosts @0 :List(Text);
}

struct ClaimReply {
  requestId @0 :Data;
  witness @1 :Text;
  attempt @2 :UInt64;
  verdict @3 :UInt8;
  holder @4 :Text;
  holderAttempt @5 :UInt64;
  knowsHistory @6 :Bool;
  formerSets @7 :List(WitnessSet);
}

struct ClaimRelease {
  requestId @0 :Data;
  runner @1 :Text;
  attempt @2 :UInt64;
}

struct ResultRequest {
  requestId @0 :Data;
  holderAttempt @1 :UInt64;
  ageS @2 :Float64;
}

struct ResultReply {
  requestId @0 :Data;
  holderAttempt @1 :UInt64;
  state @2 :UInt8;
  answer @3 :Data;
}

struct Control {
  union {
    hint @0 :Hint;
    registrations @1 :Registrations;
    registrationsAck @2 :RegistrationsAck;
    yield @3 :Yield;
    recoveryRequest @4 :RecoveryRequest;
    recoveryReply @5 :RecoveryReply;
    heartbeat @6 :Heartbeat;
    accusations @7 :Accusations;
    epochNotice @8 :EpochNotice;
    configurationRequest @9 :ConfigurationRequest;
    configurationPart @10 :ConfigurationPart;
    claimRequest @11 :ClaimRequest;
    claimReply @12 :ClaimReply;
    claimRelease @13 :ClaimRelease;
    resultRequest @14 :ResultRequest;
    resultReply @15 :ResultReply;
    claimHandover @16 :ClaimHandover;
    claimHandoverAck @17 :ClaimHandoverAck;
    claimHandoverDone @18 :ClaimHandoverDone;
  }
}
