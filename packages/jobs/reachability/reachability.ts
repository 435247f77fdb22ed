/**
 * Lets an owner give up its partitions while the other owners get no answer
 * from it, although it renews its membership at the store.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { OwnerDirectory } from "../owned/owner_directory.ts";
import type { Store } from "../ports.ts";
import { REACH_PARTITION } from "./failure_report.ts";
import { countReporters, isIsolated, MIN_REPORTERS } from "./is_isolated.ts";
import { followReports, type ReportFollower } from "./report_follower.ts";
import {
  createSilenceReporter,
  type SilenceReporter,
} from "./report_silent_owners.ts";

/** Interval between two decisions. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Time for which a member must be isolated before it gives up its partitions.
 * The reports of a cut come one by one, so that some owners are reported by
 * most before others are, although nobody reaches more than its own side.
 */
const SETTLE_MS = 4_000;

/** Shortest time for which an isolated member stays out of the owners. */
const MIN_ASIDE_MS = 5_000;

/** Longest such time; it doubles with each time in a row. */
const MAX_ASIDE_MS = 60_000;

/** Time in the group after which the next such time is the shortest one. */
const RESET_MS = 300_000;

/** Reachability of this member and of the owners. */
export type Reachability =
  & Pick<SilenceReporter, "noteFailure" | "noteAnswer" | "close">
  & {
    /** Whether this member may own partitions, at first always. */
    mayOwn(): boolean;
  };

/** Options of {@linkcode createReachability}. */
export type ReachabilityOptions = {
  store: Store;
  events: JobEventLog;
  ownAddress: string;
  /** Whether this member is in the group of owners. */
  isInGroup(): boolean;
  directory: Pick<OwnerDirectory, "readMembers">;
  /** Calls a member; returns whether it answered. */
  reach(address: string, timeoutMs: number): Promise<boolean>;
};

/** Time outside the group of a member that was isolated. */
type Withdrawal = { sinceMs: number; minMs: number };

/**
 * Starts to observe the calls to other members, and to decide whether this one
 * may own partitions. Only owners, and members that have been isolated, follow
 * the reports.
 *
 * @example
 * ```ts
 * const reachability = createReachability(options);
 * if (!reachability.mayOwn()) leaveGroup();
 * ```
 */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { store, events, ownAddress, directory, reach } = options;
  let isClosed = false;
  let withdrawal: Withdrawal | undefined;
  /** Time since which this member has been isolated at each decision. */
  let isolatedSinceMs: number | undefined;
  let lastWithdrawal: Withdrawal & { endedAtMs: number } | undefined;
  let follower: ReportFollower | undefined;

  const readOwners = async () =>
    (await directory.readMembers())?.map(({ address }) => address);

  const reporter = createSilenceReporter({
    store,
    events,
    ownAddress,
    readOwners,
    reach,
    // What an isolated member says of others tells of its own state only.
    mayReport: () => withdrawal === undefined,
  });

  const follow = () =>
    followReports(store, {
      onReport: (target) => {
        if (withdrawal === undefined) reporter.probe(target);
      },
      onFailure: (reason) =>
        events.log("platformSilent", { topic: REACH_PARTITION.topic, reason }),
    });

  /** Returns how long to stay out of the group, longer with each time. */
  const nextAsideMs = (): number => {
    if (lastWithdrawal === undefined) return MIN_ASIDE_MS;
    const { minMs, endedAtMs } = lastWithdrawal;
    const isRecent = performance.now() - endedAtMs < RESET_MS;
    return isRecent ? Math.min(2 * minMs, MAX_ASIDE_MS) : MIN_ASIDE_MS;
  };

  const withdrawIfIsolated = async ({ reporters }: ReportFollower) => {
    const reportCount = reporters().get(ownAddress)?.size ?? 0;
    const owners = reportCount < MIN_REPORTERS ? [] : await readOwners();
    const view = { owners: owners ?? [], reporters: reporters() };
    if (owners === undefined || !isIsolated(ownAddress, view)) {
      isolatedSinceMs = undefined;
      return;
    }
    isolatedSinceMs ??= performance.now();
    if (performance.now() - isolatedSinceMs < SETTLE_MS) return;
    isolatedSinceMs = undefined;
    withdrawal = { sinceMs: performance.now(), minMs: nextAsideMs() };
    events.log("ownerIsolated", {
      reporters: countReporters(ownAddress, view),
      owners: owners.length,
      asideMs: withdrawal.minMs,
    });
  };

  const returnIfReached = async (
    { sinceMs, minMs }: Withdrawal,
    { reporters }: ReportFollower,
  ) => {
    const asideMs = performance.now() - sinceMs;
    if (asideMs < MIN_ASIDE_MS) return;
    const owners = await readOwners();
    if (owners === undefined) return;
    const isReported =
      countReporters(ownAddress, { owners, reporters: reporters() }) > 0;
    // Without another owner, no job would run.
    const isNeeded = owners.every((owner) => owner === ownAddress);
    if (!isNeeded && (isReported || asideMs < minMs)) return;
    lastWithdrawal = { sinceMs, minMs, endedAtMs: performance.now() };
    withdrawal = undefined;
    events.log("ownerReached", { asideMs: Math.round(asideMs) });
  };

  const check = async () => {
    if (withdrawal === undefined && !options.isInGroup()) {
      follower?.close();
      follower = undefined;
      return;
    }
    follower ??= follow();
    await (withdrawal === undefined
      ? withdrawIfIsolated(follower)
      : returnIfReached(withdrawal, follower));
  };

  const run = async () => {
    while (!isClosed) {
      await sleep(CHECK_INTERVAL_MS);
      if (!isClosed) await check();
    }
  };
  void run();

  return {
    noteFailure: reporter.noteFailure,
    noteAnswer: reporter.noteAnswer,
    mayOwn: () => withdrawal === undefined,
    close() {
      isClosed = true;
      reporter.close();
      follower?.close();
    },
  };
}
