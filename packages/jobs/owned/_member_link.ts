/**
 * Links of a member to the store and the executors, with faults.
 *
 * @module
 */

import type { ExecutorClient, Store } from "../ports.ts";
import { type Process, runOutside } from "./_process_clocks.ts";

/** What happens to one call on a link. */
export type CallFault = {
  /** Whether the call has no effect. */
  isLost?: boolean;
  /** Whether there is no answer. */
  isAnswerLost?: boolean;
  /** Time until the call takes effect, in milliseconds. */
  beforeMs: number;
  /** Time from then until its answer is there, in milliseconds. */
  afterMs: number;
};

/** Link of a member, on which a test decides what happens to each call. */
export type LinkOptions = {
  process: Process;
  /** Whether nothing passes to or from an executor, or the store, now. */
  isCut(target: string): boolean;
  /** Draws the fault of a call to an executor, or to the store. */
  drawFault(target: string, method: string): CallFault;
  /** Called after each call that has reached its target. */
  onCarriedOut(target: string): void;
};

/** Name of the store among the targets of a member's calls. */
export const STORE = "store";

/** Times without an answer after which calls end. */
const GROUP_TIMEOUT_MS = 1_000;
const READ_TIMEOUT_MS = 800;
const EXECUTOR_TIMEOUT_MS = 700;

/** Makes calls of a member, each with the fault that the test draws. */
async function pass<Outcome>(
  { process, isCut, drawFault, onCarriedOut }: LinkOptions,
  { target, method, timeoutMs, lost, call }: {
    target: string;
    method: string;
    timeoutMs: number;
    lost: Outcome;
    call(): Promise<Outcome>;
  },
): Promise<Outcome> {
  const outcome = await runOutside(() =>
    new Promise<Outcome>((resolve) => {
      const fault = drawFault(target, method);
      const timer = setTimeout(() => resolve(lost), timeoutMs);
      if (fault.isLost === true || isCut(target)) return;
      const answer = (outcome: Outcome) => {
        // A cut that has begun meanwhile takes the answer as well.
        if (isCut(target)) return;
        setTimeout(() => {
          clearTimeout(timer);
          resolve(outcome);
        }, fault.afterMs);
      };
      setTimeout(() => {
        const answered = call();
        onCarriedOut(target);
        if (fault.isAnswerLost !== true) void answered.then(answer);
      }, fault.beforeMs);
    })
  );
  await process.whenRunning();
  return outcome;
}

/** Returns the store as a member reaches it. */
export function linkStore(
  store: Store,
  group: Pick<Store, "join" | "leave" | "owners">,
  options: LinkOptions,
): Store {
  const failed = { type: "failed" as const, reason: "no answer" };
  const target = STORE;
  return {
    append: (partition, append) =>
      pass(options, {
        target,
        method: "append",
        timeoutMs: append.timeoutMs,
        lost: { type: "unknown", reason: "no answer" },
        call: () => store.append(partition, append),
      }),
    read: (partition, read) =>
      pass(options, {
        target,
        method: "read",
        timeoutMs: READ_TIMEOUT_MS + read.waitMs,
        lost: failed,
        call: () => store.read(partition, read),
      }),
    readNewest: (partition) =>
      pass(options, {
        target,
        method: "readNewest",
        timeoutMs: READ_TIMEOUT_MS,
        lost: failed,
        call: () => store.readNewest(partition),
      }),
    join: (join) =>
      pass(options, {
        target,
        method: "join",
        timeoutMs: GROUP_TIMEOUT_MS,
        lost: failed,
        call: () => group.join(join),
      }),
    leave: (leave) =>
      pass(options, {
        target,
        method: "leave",
        timeoutMs: GROUP_TIMEOUT_MS,
        lost: undefined,
        call: () => group.leave(leave),
      }),
    owners: (name) =>
      pass(options, {
        target,
        method: "owners",
        timeoutMs: GROUP_TIMEOUT_MS,
        lost: undefined,
        call: () => group.owners(name),
      }),
  };
}

/** Returns the executors as a member reaches them. */
export function linkExecutors(
  executors: ExecutorClient,
  options: LinkOptions,
): ExecutorClient {
  const lost = { type: "unknown" as const, reason: "no answer" };
  const timeoutMs = EXECUTOR_TIMEOUT_MS;
  return {
    start: (target, request) =>
      pass(options, {
        target: target.id,
        method: "start",
        timeoutMs,
        lost,
        call: () => executors.start(target, request),
      }),
    stop: (target, request) =>
      pass(options, {
        target: target.id,
        method: "stop",
        timeoutMs,
        lost,
        call: () => executors.stop(target, request),
      }),
    throttle: (target, request) =>
      pass(options, {
        target: target.id,
        method: "throttle",
        timeoutMs,
        lost,
        call: () => executors.throttle(target, request),
      }),
    poll: (target, request) =>
      pass(options, {
        target: target.id,
        method: "poll",
        timeoutMs: timeoutMs + request.waitMs,
        lost,
        call: () => executors.poll(target, request),
      }),
  };
}
