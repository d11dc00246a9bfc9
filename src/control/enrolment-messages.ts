/** Messages with which a controller asks to join a running group. */
import { MessageCodec } from '../protocol/message-codec.js';

/** Asks the receiver to add the sender to the group. */
export interface EnrolMessage {
  readonly kind: 'enrol';
  readonly memberId: string;
  /** `host:port` for internal messages. */
  readonly address: string;
}

/** Response to an {@link EnrolMessage}. */
export interface EnrolledMessage {
  readonly kind: 'enrolled';
  readonly accepted: boolean;
  /** Why the sender was not added; empty when it was. */
  readonly reason: string;
}

/** Any message of an enrolment connection. */
export type EnrolmentMessage = EnrolMessage | EnrolledMessage;

/** Encodes and decodes the messages of an enrolment connection. */
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
