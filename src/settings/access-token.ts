/** Bearer tokens of teams, each limited to subtrees of the settings tree. */
import * as z from 'zod';
import { nameSchema } from '../model/service-definition.js';
import { authorSchema, changeIdSchema, reasonSchema, scopeTextSchema } from './change.js';

/** Most tokens kept at once; the controllers refuse to create more. */
export const MAXIMUM_TOKENS = 1_000;

/** SHA-256 of the whole token text, 64 lower-case hexadecimal digits. */
export const tokenHashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'write 64 hexadecimal digits');

/** A token as the controllers keep it. The text itself is nowhere but with its holder. */
export interface AccessToken {
  /** Public part of the token text. */
  readonly tokenId: string;
  readonly team: string;
  /** Subtrees it may change, in the form that `formatScope` writes. */
  readonly scopes: readonly string[];
  readonly hash: string;
  readonly createdBy: string;
  /** Milliseconds since the Unix epoch. */
  readonly createdAt: number;
}

/** Body of `POST /v1/tokens`. The client makes the secret and sends its hash only. */
export const createTokenRequestSchema = z.strictObject({
  changeId: changeIdSchema,
  tokenId: nameSchema,
  team: nameSchema,
  scopes: z.array(scopeTextSchema).min(1).max(64),
  hash: tokenHashSchema,
  author: authorSchema,
  reason: reasonSchema,
});
export type CreateTokenRequest = z.infer<typeof createTokenRequestSchema>;

/** Body of `POST /v1/tokens/{tokenId}/revoke`, the identifier laid in from the path. */
export const revokeTokenRequestSchema = z.strictObject({
  changeId: changeIdSchema,
  tokenId: nameSchema,
  author: authorSchema,
  reason: reasonSchema,
});
export type RevokeTokenRequest = z.infer<typeof revokeTokenRequestSchema>;
