import { Name, SetChange } from "@lagoonloom/objects";
import { z } from "zod";

const Epoch = z.int().min(0);
const Reason = z.string().max(500);
const Host = z.strictObject({ host: Name, generation: Epoch });
const Size = z.strictObject({
  cores: z.number().min(0),
  memory_gb: z.number().min(0),
  accelerators: z.int().min(0),
});

/** Schema of a record of the stream `control`. */
export const ControlRecord = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("set.changed"),
    expectedVersion: Epoch,
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
     * First watcher, so that no member is without one that could be lost
     * unreported; it has no effect unless it is in the data centre.
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
    /** Member that reports the loss; it has to be the watcher. */
    watcher: Name,
  }),
  z.strictObject({
    type: z.literal("member.watched"),
    member: Name,
    incarnation: z.string().max(64),
    /** Member that alone may report the loss of this one. */
    watcher: Name,
  }),
  z.strictObject({
    type: z.literal("decider.claimed"),
    scope: Name,
    holder: Name,
    incarnation: z.string().max(64),
    epoch: Epoch,
    leaseMs: z.int().min(1).max(600_000),
  }),
  z.strictObject({
    type: z.literal("permit.granted"),
    scope: Name,
    epoch: Epoch,
    ...Host.shape,
    purpose: z.enum(["drain", "reboot", "move"]),
    wave: Name.optional(),
    /** Target pool of a move, so that another decider can go on with it. */
    to: Name.optional(),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("permit.returned"),
    scope: Name,
    epoch: Epoch,
    ...Host.shape,
    outcome: z.enum(["done", "abandoned"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("host.observed"),
    ...Host.shape,
    health: z.enum(["in-service", "failed", "silent", "replaced"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("move.advanced"),
    scope: Name,
    epoch: Epoch,
    ...Host.shape,
    to: Name,
    /** Steps happen in this order; the owner changes at `finished`. */
    step: z.enum(["started", "emptied", "finished", "abandoned"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("wave.changed"),
    scope: Name,
    epoch: Epoch,
    wave: Name,
    state: z.enum(["running", "paused", "finished"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("job.submitted"),
    job: z.string().max(100),
    team: Name,
    urgency: z.enum(["urgent", "normal", "deferrable"]),
    declared: Size,
    declaredRunS: z.number().positive(),
    dataCentres: z.array(Name).default([]),
  }),
  z.strictObject({
    type: z.literal("job.placed"),
    scope: Name,
    epoch: Epoch,
    job: z.string().max(100),
    /** Attempt number of the job, which fences older attempts. */
    attempt: Epoch,
    worker: Name,
    leaseMs: z.int().min(1),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("job.ended"),
    job: z.string().max(100),
    attempt: Epoch,
    outcome: z.enum(["succeeded", "failed", "preempted", "lost"]),
    /**
     * Term of the decider. A loss needs it: a decider that was paused must not
     * end an attempt whose lease another one has renewed.
     */
    term: z.strictObject({ scope: Name, epoch: Epoch }).optional(),
    /** What the attempt was seen to use, if it was seen for long enough. */
    used: Size.optional(),
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
    epoch: Epoch,
    job: z.string().max(100),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("worker.changed"),
    scope: Name,
    epoch: Epoch,
    worker: Name,
    state: z.enum(["suspended", "trial", "restored"]),
    reason: Reason,
  }),
  z.strictObject({
    type: z.literal("checkpoint"),
    /** Offset up to which the state was folded. */
    offset: z.int().min(0),
    chunk: z.int().min(0),
    chunks: z.int().min(1),
    data: z.string(),
  }),
]);

/** Record of the stream `control`. */
export type ControlRecord = z.infer<typeof ControlRecord>;
