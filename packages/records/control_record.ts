/**
 * Records of the stream `control`, which hold all decisions and observations on
 * the fleet and its jobs.
 *
 * @module
 */

import { Name, SetChange } from "@lagoonloom/objects";
import { z } from "zod";

/** Version, generation, epoch or attempt number, none of which decrease. */
const Counter = z.int().min(0);
const Reason = z.string().max(500);
/** Host, with the generation of its state that the record was written for. */
const HostVersion = z.strictObject({ host: Name, generation: Counter });
const JobSize = z.strictObject({
  cores: z.number().min(0),
  memory_gb: z.number().min(0),
  accelerators: z.int().min(0),
});

/** Schema of a record of the stream `control`. */
export const ControlRecord = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("set.changed"),
    expectedVersion: Counter,
    change: SetChange,
    operator: z.string().max(100),
  }),
  z.strictObject({
    type: z.literal("member.joined"),
    member: Name,
    incarnation: z.string().max(64),
    dataCentre: Name,
    peerAddress: z.string().max(100),
    operatorAddress: z.string().max(100),
    /**
     * First watcher, so that the loss of a new member can be reported at once.
     * Ignored unless it is a member of the same data centre.
     */
    watcher: Name.optional(),
  }),
  z.strictObject({
    type: z.literal("member.left"),
    member: Name,
    incarnation: z.string().max(64),
  }),
  z.strictObject({
    type: z.literal("member.lost"),
    member: Name,
    incarnation: z.string().max(64),
    /** Member that reports the loss; refused unless it is the watcher. */
    watcher: Name,
  }),
  z.strictObject({
    type: z.literal("member.watched"),
    member: Name,
    incarnation: z.string().max(64),
    /** New watcher, the only member that may report the loss of this one. */
    watcher: Name,
  }),
  z.strictObject({
    type: z.literal("decider.claimed"),
    scope: Name,
    holder: Name,
    incarnation: z.string().max(64),
    epoch: Counter,
    leaseMs: z.int().min(1).max(600_000),
  }),
  z.strictObject({
    type: z.literal("permit.granted"),
    scope: Name,
    epoch: Counter,
    ...HostVersion.shape,
    purpose: z.enum(["drain", "reboot", "move"]),
    wave: Name.optional(),
    /** Target pool of a move, so that another decider can continue it. */
    to: Name.optional(),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("permit.returned"),
    scope: Name,
    epoch: Counter,
    ...HostVersion.shape,
    outcome: z.enum(["done", "abandoned"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("host.observed"),
    ...HostVersion.shape,
    health: z.enum(["in-service", "failed", "silent", "replaced"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("move.advanced"),
    scope: Name,
    epoch: Counter,
    ...HostVersion.shape,
    to: Name,
    /**
     * A move is started, emptied and finished, in this order, and can be
     * abandoned before it is finished. The owner changes when it is finished.
     */
    step: z.enum(["started", "emptied", "finished", "abandoned"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("wave.changed"),
    scope: Name,
    epoch: Counter,
    wave: Name,
    state: z.enum(["running", "paused", "finished"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("job.submitted"),
    job: z.string().max(100),
    team: Name,
    urgency: z.enum(["urgent", "normal", "deferrable"]),
    declared: JobSize,
    declaredRunS: z.number().positive(),
    dataCentres: z.array(Name).default([]),
  }),
  z.strictObject({
    type: z.literal("job.placed"),
    scope: Name,
    epoch: Counter,
    job: z.string().max(100),
    /** Number of the attempt; records of older attempts are refused. */
    attempt: Counter,
    worker: Name,
    leaseMs: z.int().min(1),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("job.ended"),
    job: z.string().max(100),
    attempt: Counter,
    outcome: z.enum(["succeeded", "failed", "preempted", "lost"]),
    /**
     * Term of the decider, which the outcome `lost` requires: a decider that
     * was paused must not end an attempt whose lease another one has renewed.
     */
    term: z.strictObject({ scope: Name, epoch: Counter }).optional(),
    /** Observed use of resources, if the attempt was observed long enough. */
    used: JobSize.optional(),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("job.cancelled"),
    job: z.string().max(100),
    operator: z.string().max(100),
  }),
  z.strictObject({
    type: z.literal("job.parked"),
    scope: Name,
    epoch: Counter,
    job: z.string().max(100),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("worker.changed"),
    scope: Name,
    epoch: Counter,
    worker: Name,
    state: z.enum(["suspended", "trial", "restored"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("checkpoint"),
    /** Next offset of the encoded state: all lower ones are folded into it. */
    offset: z.int().min(0),
    chunk: z.int().min(0),
    chunks: z.int().min(1),
    data: z.string(),
  }),
]);

/** Record of the stream `control`. */
export type ControlRecord = z.infer<typeof ControlRecord>;

/** Record of the stream `control` of one type, such as `job.placed`. */
export type ControlRecordOf<Type extends ControlRecord["type"]> = Extract<
  ControlRecord,
  { type: Type }
>;
