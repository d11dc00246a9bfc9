/** The messages between members: requests, and one response for each. */
import { MessageType, type MessageOf } from './message-type.js';

/** First request on every connection: proves which data folder each side has. */
export const helloRequestType = new MessageType('HelloRequest', {
  clusterId: 'string',
  memberId: 'string',
  incarnation: 'string',
  /** By what the sender knows the receiver; empty when it knows nothing. */
  expectedIncarnation: 'string',
});
export const helloResponseType = new MessageType('HelloResponse', {
  accepted: 'boolean',
  incarnation: 'string',
  reason: 'string',
});

export const voteRequestType = new MessageType('VoteRequest', {
  term: 'long',
  candidateId: 'string',
  lastIndex: 'long',
  lastTerm: 'long',
  /** Only asks whether the vote would be given; nothing is written. */
  preVote: 'boolean',
  /** The leader asked the candidate to stand, so its lease does not protect it. */
  transfer: 'boolean',
});
export const voteResponseType = new MessageType('VoteResponse', {
  term: 'long',
  granted: 'boolean',
});

export const appendRequestType = new MessageType('AppendRequest', {
  term: 'long',
  leaderId: 'string',
  previousIndex: 'long',
  previousTerm: 'long',
  commitIndex: 'long',
  /** Records one after another. */
  records: 'bytes',
});
export const appendResponseType = new MessageType('AppendResponse', {
  term: 'long',
  accepted: 'boolean',
  /** Last index known to agree with the leader, durable, when accepted. */
  matchIndex: 'long',
  /** Where to try next, when not accepted. */
  nextIndex: 'long',
  /** The member has no snapshot at all, not even of the empty state. */
  needsSnapshot: 'boolean',
});

export const heartbeatRequestType = new MessageType('HeartbeatRequest', {
  term: 'long',
  leaderId: 'string',
  commitIndex: 'long',
  /** The receiver's clock as its last answer gave it, and the session of that clock. */
  echoedTime: 'double',
  echoedSession: 'string',
  /** How long before sending this the leader last knew of a quorum. Milliseconds. */
  sinceQuorumMs: 'double',
});
export const heartbeatResponseType = new MessageType('HeartbeatResponse', {
  term: 'long',
  /** The clock of the answering member, for the next heartbeat to echo. */
  time: 'double',
  /** Names the process whose clock that is. */
  session: 'string',
});

export const snapshotRequestType = new MessageType('SnapshotRequest', {
  term: 'long',
  leaderId: 'string',
  index: 'long',
  snapshotTerm: 'long',
  membership: 'bytes',
  totalBytes: 'long',
  offset: 'long',
  data: 'bytes',
});
export const snapshotResponseType = new MessageType('SnapshotResponse', {
  term: 'long',
  /** Bytes received so far; `totalBytes` once installed and durable. */
  nextOffset: 'long',
  installed: 'boolean',
});

export const proposeRequestType = new MessageType('ProposeRequest', { command: 'bytes' });
export const changeMembershipRequestType = new MessageType('ChangeMembershipRequest', {
  /** A `MembershipAction`. */
  action: 'string',
  memberId: 'string',
  address: 'string',
});
/** Answer to a proposal or a change of members. */
export const outcomeResponseType = new MessageType('OutcomeResponse', {
  /** An `OutcomeKind`. */
  kind: 'string',
  index: 'long',
  result: 'bytes',
  reason: 'string',
});

export const readIndexRequestType = new MessageType('ReadIndexRequest', {});
export const readIndexResponseType = new MessageType('ReadIndexResponse', {
  confirmed: 'boolean',
  index: 'long',
});

export const transferRequestType = new MessageType('TransferRequest', { term: 'long' });
export const transferResponseType = new MessageType('TransferResponse', { accepted: 'boolean' });

export const bootstrapRequestType = new MessageType('BootstrapRequest', {});
export const bootstrapResponseType = new MessageType('BootstrapResponse', {
  incarnation: 'string',
  /** Whether the member has a history, if only the empty one. */
  bootstrapped: 'boolean',
  /** The members with which the history began; empty when that is not known any more. */
  initialMembership: 'bytes',
});

/** Every exchange. The place in this table is the number on the wire. */
export const EXCHANGES = {
  hello: { number: 1, request: helloRequestType, response: helloResponseType },
  vote: { number: 2, request: voteRequestType, response: voteResponseType },
  append: { number: 3, request: appendRequestType, response: appendResponseType },
  heartbeat: { number: 4, request: heartbeatRequestType, response: heartbeatResponseType },
  snapshot: { number: 5, request: snapshotRequestType, response: snapshotResponseType },
  propose: { number: 6, request: proposeRequestType, response: outcomeResponseType },
  changeMembership: {
    number: 7,
    request: changeMembershipRequestType,
    response: outcomeResponseType,
  },
  readIndex: { number: 8, request: readIndexRequestType, response: readIndexResponseType },
  transfer: { number: 9, request: transferRequestType, response: transferResponseType },
  bootstrap: { number: 10, request: bootstrapRequestType, response: bootstrapResponseType },
} as const;

type Exchanges = typeof EXCHANGES;
export type ExchangeName = keyof Exchanges;

type Decoded<T> = T extends MessageType<infer F> ? MessageOf<F> : never;
export type RequestOf<N extends ExchangeName> = Decoded<Exchanges[N]['request']>;
export type ResponseOf<N extends ExchangeName> = Decoded<Exchanges[N]['response']>;
