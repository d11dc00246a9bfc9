/** Messages by which a controller becomes a member of a running group. */
import { MessageCodec } from '../protocol/message-codec.js';

/** The sender wants to be taken in. */
export interface EnrolMessage {
  readonly kind: 'enrol';
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
}

/** What became of it. */
export interface EnrolledMessage {
  readonly kind: 'enrolled';
  readonly accepted: boolean;
  readonly reason: string;
}

export type EnrolmentMessage = EnrolMessage | EnrolledMessage;

export const ENROLMENT_CODEC = new MessageCodec<EnrolmentMessage>({
  enrol: {
    tag: 60,
    fields: [
      { name: 'memberId', type: 'string' },
      { name: 'address', type: 'string' },
    ],
  },
  enrolled: {
    tag: 61,
    fields: [
      { name: 'accepted', type: 'boolean' },
      { name: 'reason', type: 'string' },
    ],
  },
});
