/**
 * Construction of the capacity controller from its parts.
 *
 * @module
 */

import { FENCING_TIMEOUT_MS } from "@lagoonloom/decisions";
import {
  createDeciderLoop,
  type DeciderLoop,
  type DeciderLoopOptions,
} from "./decider_loop.ts";
import { createHostProbes } from "./host_probes.ts";
import { createLogClock } from "./log_clock.ts";
import {
  createWorkObserver,
  type WorkObserverOptions,
} from "./work_observer.ts";
import { createPoolDemand, type PoolDemandOptions } from "./pool_demand.ts";

/** Options of {@linkcode createCapacityController}. */
export type CapacityControllerOptions =
  & Omit<
    DeciderLoopOptions,
    "probes" | "work" | "demand" | "logNowMs"
  >
  & Omit<WorkObserverOptions, "lossFenceMs">
  & PoolDemandOptions
  & {
    /** Whether the platform's list has the host; true without a list. */
    isListed: (host: string) => boolean;
    /** Longest run time of a request in milliseconds. */
    longestRequestMs: number;
  };

/**
 * Creates the capacity controller of a daemon: the decider loop with its host
 * probes, observer of work and estimates of demand.
 *
 * @example
 * ```ts
 * const capacity = createCapacityController(options);
 * capacity.tick(performance.now());
 * ```
 */
export function createCapacityController(
  options: CapacityControllerOptions,
): DeciderLoop {
  const logNowMs = createLogClock(options.fold);
  const lossFenceMs = FENCING_TIMEOUT_MS + options.longestRequestMs;
  const { dataCentre, isListed } = options;
  return createDeciderLoop({
    ...options,
    logNowMs,
    probes: createHostProbes({ dataCentre, isListed, logNowMs }),
    work: createWorkObserver({ ...options, lossFenceMs }),
    demand: createPoolDemand(options),
  });
}
