/**
 * Limits that the owner of a partition keeps to: what tasks of each
 * organisation may run at its executors.
 *
 * @module
 */

import type { Size } from "../../submission.ts";
import { largerOf, NOTHING, sizeOf } from "./_amounts.ts";

/** Message of a broker to the owner of a partition. */
export type LimitMessage = {
  /** Epoch of the broker. */
  brokerEpoch: number;
  /** Number of the message; it rises with each message to the partition. */
  sequence: number;
  /** Epoch of the owner that the limits are for; 0 if none is known. */
  ownerEpoch: number;
  /** Limits by organisation. */
  limits: ReadonlyMap<string, Size>;
};

/** Limits of an owner. */
export type OrganisationLimits = {
  /**
   * Applies a message, unless a later one has come, or one of a later broker.
   * Limits for an earlier owner are ignored.
   *
   * @returns whether it was not outdated
   */
  apply(message: LimitMessage): boolean;
  /** Returns the limits that a broker has set, by organisation. */
  granted(): ReadonlyMap<string, Size>;
  /** Returns the limit to keep to: the granted one, or the own floor. */
  limitOf(organisation: string, cap: Size): Size;
};

/**
 * Creates the limits of a new owner. Until a broker has set one, only the floor
 * is free: the part of the cap that may be exceeded, divided by the number of
 * partitions. No broker hands it out, so that all floors together stay within
 * what is allowed.
 *
 * @example
 * ```ts
 * const limits = createOrganisationLimits({ epoch: 7, ...options });
 * limits.limitOf("northwind", cap);
 * ```
 */
export function createOrganisationLimits(
  { epoch, capOvershoot, partitionCount }: {
    epoch: number;
    /** Part of its cap by which an organisation may exceed it. */
    capOvershoot: number;
    /** Returns the number of partitions whose owners start tasks. */
    partitionCount(): number;
  },
): OrganisationLimits {
  const granted = new Map<string, Size>();
  let newest = { brokerEpoch: 0, sequence: 0 };
  return {
    apply({ brokerEpoch, sequence, ownerEpoch, limits }) {
      const isLater = brokerEpoch > newest.brokerEpoch ||
        (brokerEpoch === newest.brokerEpoch && sequence > newest.sequence);
      if (!isLater) return false;
      newest = { brokerEpoch, sequence };
      if (ownerEpoch !== epoch) return true;
      for (const [organisation, limit] of limits) {
        granted.set(organisation, limit);
      }
      return true;
    },
    granted: () => granted,
    limitOf(organisation, cap) {
      const share = capOvershoot / Math.max(1, partitionCount());
      const floor = sizeOf((resource) => cap[resource] * share);
      const limit = largerOf(granted.get(organisation) ?? NOTHING, floor);
      return sizeOf((it) => cap[it] === Infinity ? Infinity : limit[it]);
    },
  };
}
