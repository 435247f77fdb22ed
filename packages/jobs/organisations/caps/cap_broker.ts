/**
 * Broker of the caps: tells the owners of all partitions what tasks of each
 * organisation they may run. It makes no calls itself.
 *
 * @module
 */

import { NOTHING } from "./_amounts.ts";
import type { Size } from "../../submission.ts";
import { type CapLedger, type CapUse, createCapLedger } from "./cap_ledger.ts";
import type { OrganisationCaps } from "./organisation_caps.ts";
import type { LimitMessage } from "./organisation_limits.ts";

/** Answer of a partition's owner to a {@linkcode LimitMessage}. */
export type LimitAnswer = {
  /** Epoch of the owner. */
  ownerEpoch: number;
  /** Whether the owner has heard a later broker. */
  isOutdated: boolean;
  /**
   * Use by organisation. If the message named the owner's epoch, organisations
   * without any use are left out, otherwise those without any use or limit.
   */
  uses: ReadonlyMap<string, CapUse>;
};

/** Owner of a partition, as the broker knows it. */
type KnownOwner = {
  epoch: number;
  /** Limits that it keeps to; undefined if a message had no answer. */
  limits: Map<string, Size> | undefined;
};

/** Broker of the caps of all organisations. */
export type CapBroker = {
  /**
   * Returns the messages to send to owners that have no open call; if
   * `onlyLimits` is set, those that change a limit.
   */
  nextMessages(
    options?: { onlyLimits: boolean },
  ): Map<number, LimitMessage>;
  /** Handles the answer to a message; undefined if there was none. */
  handleAnswer(
    partition: number,
    message: LimitMessage,
    answer: LimitAnswer | undefined,
  ): void;
  /** Returns what may run of each organisation at the owners that answered. */
  mayRun(): Map<string, Size>;
  /** Whether a later broker has taken over. */
  isSuperseded(): boolean;
};

/**
 * Creates a broker that has heard no owner. A message raises limits only as far
 * as the cap is free, whatever becomes of it and of earlier ones: an owner
 * counts with the highest limit that it may have got until it answers.
 *
 * @example
 * ```ts
 * const broker = createCapBroker({ epoch: 7, caps, partitions });
 * for (const [partition, message] of broker.nextMessages()) send(message);
 * ```
 */
export function createCapBroker(
  { epoch, caps, partitions }: {
    epoch: number;
    caps: OrganisationCaps;
    /** Returns the partitions whose owners start tasks. */
    partitions(): ReadonlySet<number>;
  },
): CapBroker {
  const ledgers = new Map<string, CapLedger>();
  const owners = new Map<number, KnownOwner>();
  const openCalls = new Set<number>();
  let sequence = 0;
  let isSuperseded = false;

  const ledgerOf = (organisation: string): CapLedger => {
    let ledger = ledgers.get(organisation);
    if (ledger === undefined) {
      ledger = createCapLedger();
      ledgers.set(organisation, ledger);
    }
    return ledger;
  };

  const isReachable = (partition: number) =>
    !openCalls.has(partition) && owners.get(partition)?.limits !== undefined;

  const planLimits = (): Map<number, Map<string, Size>> => {
    const planned = new Map<number, Map<string, Size>>();
    for (const [organisation, cap] of caps.all()) {
      const limits = ledgerOf(organisation).plan({
        cap,
        highestCap: caps.highestOf(organisation),
        partitions: partitions(),
        isReachable,
      });
      for (const [partition, limit] of limits) {
        const ofPartition = planned.get(partition) ?? new Map<string, Size>();
        planned.set(partition, ofPartition.set(organisation, limit));
      }
    }
    return planned;
  };

  /** Tells the ledgers what an owner uses and to which limits it keeps. */
  const hear = (
    partition: number,
    limits: ReadonlyMap<string, Size>,
    uses: LimitAnswer["uses"],
  ) => {
    const names = new Set([
      ...caps.all().keys(),
      ...ledgers.keys(),
      ...limits.keys(),
      ...uses.keys(),
    ]);
    for (const name of names) {
      const limit = limits.get(name) ?? NOTHING;
      ledgerOf(name).hear(partition, { ...(uses.get(name) ?? UNUSED), limit });
    }
  };

  return {
    nextMessages({ onlyLimits } = { onlyLimits: false }) {
      const messages = new Map<number, LimitMessage>();
      if (isSuperseded) return messages;
      const planned = planLimits();
      for (const partition of partitions()) {
        if (openCalls.has(partition)) continue;
        if (onlyLimits && !planned.has(partition)) continue;
        openCalls.add(partition);
        const ownerEpoch = isKnown(owners.get(partition))
          ? owners.get(partition)!.epoch
          : 0;
        messages.set(partition, {
          brokerEpoch: epoch,
          sequence: ++sequence,
          ownerEpoch,
          limits: planned.get(partition) ?? new Map(),
        });
      }
      return messages;
    },
    handleAnswer(partition, message, answer) {
      openCalls.delete(partition);
      const owner = owners.get(partition);
      const isEarlier = answer !== undefined && owner !== undefined &&
        answer.ownerEpoch < owner.epoch;
      if (answer === undefined || answer.isOutdated || isEarlier) {
        isSuperseded ||= answer?.isOutdated === true;
        // Whether the owner has got the message shows its next full answer.
        if (owner !== undefined) owner.limits = undefined;
        return;
      }
      const { ownerEpoch, uses } = answer;
      const isApplied = ownerEpoch === message.ownerEpoch;
      const limits = new Map(isApplied ? owner?.limits : []);
      if (isApplied) {
        for (const [name, limit] of message.limits) limits.set(name, limit);
      }
      for (const [name, { limit }] of uses) limits.set(name, limit);
      owners.set(partition, { epoch: ownerEpoch, limits });
      hear(partition, limits, uses);
    },
    mayRun: () =>
      new Map(
        [...ledgers].map(([name, ledger]) => [name, ledger.mayRun()]),
      ),
    isSuperseded: () => isSuperseded,
  };
}

/** Use of an organisation of which nothing runs or waits. */
const UNUSED: CapUse = {
  mayRun: NOTHING,
  waiting: NOTHING,
  unit: NOTHING,
  waitedMs: 0,
  limit: NOTHING,
};

function isKnown(owner: KnownOwner | undefined): boolean {
  return owner?.limits !== undefined;
}
