/** How strictly API keys and rate limits of tenants are kept; the same at gateways and controllers. */
import * as z from 'zod';

/** How far the requests of a tenant may exceed its limit in a window, over all gateways. */
const quotaSchema = z.strictObject({
  /** Milliseconds. */
  windowMs: z.int().min(1_000).default(5_000),
  /** Beyond the limit, as a part of it. */
  overrun: z.number().min(0).max(1).default(0.1),
  /** Beyond that, requests. */
  slack: z.int().min(0).default(20),
});
/** See `quotaSchema`. */
export type QuotaSettings = z.infer<typeof quotaSchema>;

/** The `tenants` part of the settings of gateways and controllers. */
export const tenantSettingsSchema = z
  .strictObject({
    /**
     * No gateway accepts a key later than this after the document that takes it away was
     * acknowledged, whatever it is cut off from. Absent: a gateway that is cut off goes by the
     * document that it has. Milliseconds.
     */
    revocationBoundMs: z.int().min(1_000).optional().describe('5000'),
    /** Absent: limits are not kept. */
    quota: quotaSchema.optional().describe('{ windowMs: 5000, overrun: 0.1, slack: 20 }'),
  })
  .prefault({})
  .describe('{ revocationBoundMs: 5000, quota: { windowMs: 5000, overrun: 0.1, slack: 20 } }');
