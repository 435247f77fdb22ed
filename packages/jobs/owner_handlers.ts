import { type OwnerHandlers, RelayResponse_Outcome } from "@lagoonloom/peers";
import { appendOnce } from "./accepted/accept_job.ts";
import type { HeldConfiguration } from "./organisations/keys/held_configuration.ts";
import { compactCaller } from "./organisations/keys/job_access.ts";
import {
  decodeLimits,
  encodeAnswer,
} from "./organisations/caps/limit_records.ts";
import type { PartitionOwner } from "./owned/partition_owner.ts";
import type { Store } from "./ports.ts";

/** Timeout of an append to the store on behalf of another member. */
const RELAY_TIMEOUT_MS = 500;

const RELAY_OUTCOMES = {
  stored: RelayResponse_Outcome.STORED,
  refused: RelayResponse_Outcome.REFUSED,
  rejected: RelayResponse_Outcome.REFUSED,
  unknown: RelayResponse_Outcome.UNKNOWN,
};

/**
 * Creates the handlers of calls from other members. They answer for the
 * partitions that this member owns and has loaded.
 *
 * @example
 * ```ts
 * const handlers = createOwnerHandlers(owners, {
 *   store,
 *   held,
 *   isStoreReached,
 * });
 * ```
 */
export function createOwnerHandlers(
  owners: ReadonlyMap<number, PartitionOwner>,
  { store, held, isStoreReached }: {
    store: Store;
    held: HeldConfiguration;
    isStoreReached(): boolean;
  },
): OwnerHandlers {
  const findLoaded = (partition: number) => {
    const owner = owners.get(partition);
    return owner?.isLoaded() === true ? owner : undefined;
  };
  return {
    async show({ partition, job, caller }) {
      const owner = findLoaded(partition);
      if (owner === undefined) return { isOwner: false };
      const state = await owner.getJobState(job, compactCaller(caller ?? {}));
      return {
        isOwner: true,
        state: state.type === "known" ? state.value : "",
        isUnavailable: state.type === "unavailable",
        ...(state.type === "elsewhere" ? { runsIn: state.partition } : {}),
        full: [...owner.fullServices()],
      };
    },
    countPending({ partition, queue }) {
      const owner = findLoaded(partition);
      if (owner === undefined) return { isOwner: false };
      return {
        isOwner: true,
        pending: owner.countPending(queue),
        full: [...owner.fullServices()],
      };
    },
    async relay({ partition, key, value }) {
      const outcome = await appendOnce(partition, { key, value }, {
        store,
        timeoutMs: RELAY_TIMEOUT_MS,
      });
      return { outcome: RELAY_OUTCOMES[outcome.type] };
    },
    reach: () => ({ isStoreReached: isStoreReached() }),
    configuration({ knownVersion }) {
      const version = held.current()?.version;
      if (version === undefined) return { version: -1 };
      const ageMs = held.ageMs();
      const isNewer = version > knownVersion;
      const record = isNewer ? held.record() : undefined;
      return {
        version,
        ...(Number.isFinite(ageMs) ? { ageMs } : {}),
        ...(record === undefined ? {} : { record }),
      };
    },
    limit: (request) =>
      encodeAnswer(
        findLoaded(request.partition)?.applyLimits(decodeLimits(request)),
      ),
    report({ partition, reserved, ended }) {
      const owner = findLoaded(partition);
      if (owner === undefined) return { isOwner: false };
      return {
        isOwner: true,
        ...owner.reserveAndReport(new Set(reserved), ended),
      };
    },
  };
}
