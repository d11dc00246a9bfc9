/**
 * The commands of the replicated history, written as JSON: the tree they carry
 * is JSON already, they are few, and one schema then serves the API and the log.
 */
import * as z from 'zod';
import { createTokenRequestSchema, revokeTokenRequestSchema } from './access-token.js';
import { changeRequestSchema } from './change.js';
import { principalSchema } from './principal.js';

/** A longer command is refused before it is proposed. Bytes. */
export const MAXIMUM_COMMAND_BYTES = 1_048_576;

const envelope = {
  principal: principalSchema,
  /** Wall time at the controller that took the request. Milliseconds since the Unix epoch. */
  at: z.number(),
};

export const configurationCommandSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('change'), ...envelope, request: changeRequestSchema }),
  z.strictObject({
    kind: z.literal('createToken'),
    ...envelope,
    request: createTokenRequestSchema,
  }),
  z.strictObject({
    kind: z.literal('revokeToken'),
    ...envelope,
    request: revokeTokenRequestSchema,
  }),
]);
export type ConfigurationCommand = z.infer<typeof configurationCommandSchema>;
export type CommandOf<K extends ConfigurationCommand['kind']> = Extract<
  ConfigurationCommand,
  { kind: K }
>;

const encoder = new TextEncoder();
const decoder = new TextDecoder();

export function encodeJson(value: unknown): Uint8Array {
  return encoder.encode(JSON.stringify(value));
}

export function decodeJson(bytes: Uint8Array): unknown {
  return JSON.parse(decoder.decode(bytes)) as unknown;
}

export function encodeCommand(command: ConfigurationCommand): Uint8Array {
  return encodeJson(command);
}

/** The command, or undefined when the bytes are none. */
export function decodeCommand(bytes: Uint8Array): ConfigurationCommand | undefined {
  try {
    return configurationCommandSchema.safeParse(decodeJson(bytes)).data;
  } catch {
    return undefined;
  }
}
