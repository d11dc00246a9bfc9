/** Whose credentials a command was made with. */
import * as z from 'zod';
import { nameSchema } from '../model/service-definition.js';

/** `bootstrap`: the token of the controller's settings file, which may do anything. */
export const principalSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('bootstrap') }),
  z.strictObject({ kind: z.literal('token'), tokenId: nameSchema }),
]);
export type Principal = z.infer<typeof principalSchema>;
