/**
 * Mechanisms of the gateway that an operator can switch off one by one, to rule
 * one out as the cause of what is seen. All are on unless a file says otherwise,
 * but for `expectedWait`.
 */
import * as z from 'zod';

const switchSchema = z.boolean().default(true);

export const gatewayMechanismsSchema = z
  .strictObject({
    /** Replicas are chosen by what they say of their load. */
    loadReports: switchSchema,
    /** Replicas are chosen by how long they say that work takes there at the moment. */
    workReports: switchSchema,
    /** Replicas are chosen by how long their answers took. */
    slowness: switchSchema,
    /** A replica with an attempt that has been waiting for long is avoided. */
    stalls: switchSchema,
    /** A replica that could not be used is left alone for a while. */
    resting: switchSchema,
    /** A second replica is asked when the first one is late. */
    hedging: switchSchema,
    /** Late shards are looked at a second time. */
    secondHedge: switchSchema,
    /** A merged answer that holds enough leaves before the target, without late shards. */
    cutOff: switchSchema,
    /** That answer leaves the earlier the later timers run here. */
    learnedMargin: switchSchema,
    /** An attempt whose answer is not wanted any more may end by itself for a moment. */
    lingering: switchSchema,
    /** A part of the requests is refused while most replicas have queues. */
    shedding: switchSchema,
    /**
     * A request to one service waits for a connection for a part of its target, then asks another
     * replica; one that was written to no connection in half of its target is refused as not run.
     */
    boundedConnecting: switchSchema,
    /**
     * A request to one service that no replica can answer before its deadline is refused at once,
     * one that refused is left alone until a slot of it is free, and refused callers are told to
     * come back when room is expected. Off unless a file says so.
     */
    expectedWait: z.boolean().default(false),
    /** A request to one service in flight to a replica whose address another one has is given up there. */
    endedReplicas: switchSchema,
    /** Another replica is asked after a failure or refusal. */
    retries: switchSchema,
    /** A request that finds all replicas full waits for room instead of being refused. */
    waitForRoom: switchSchema,
    /** Connections to replicas that are seldom used are kept open. */
    warmConnections: switchSchema,
    /** A young gateway leaves room for the connections of its earlier process. */
    youngShares: switchSchema,
    /** Requests under which replicas end are refused. */
    quarantine: switchSchema,
    /** Such a request is tried on one replica alone before it is refused. */
    crashTrials: switchSchema,
    /** Requests to many shards are divided among gateways. */
    aggregation: switchSchema,
  })
  .prefault({})
  .describe('{ hedging: true }');
export type GatewayMechanisms = z.infer<typeof gatewayMechanismsSchema>;

/** Those that are on unless a file says otherwise. */
export const ALL_MECHANISMS: GatewayMechanisms = gatewayMechanismsSchema.parse({});
