/**
 * Workers of the set, grouped by data centre.
 *
 * @module
 */

import type { Host, ObjectSet } from "@lagoonloom/objects";
import type { JobSize } from "../../fold/job_state.ts";

/** Host of the set with a worker. */
export type SetWorker = { name: string; host: Host };

/** Workers of a set by data centre, which is a decider's scope. */
export type SetWorkers = {
  byScope: Map<string, SetWorker[]>;
  /** Data centres with workers. */
  scopes: string[];
  /** Sizes of the workers by data centre, each size once. */
  distinctSizes: Map<string, JobSize[]>;
};

const cache = new WeakMap<ObjectSet, SetWorkers>();

/**
 * Returns the workers of a set. The result is cached by the set object, which
 * is never changed in place.
 */
export function workersOf(set: ObjectSet): SetWorkers {
  let found = cache.get(set);
  if (found === undefined) {
    found = collect(set);
    cache.set(set, found);
  }
  return found;
}

function collect(set: ObjectSet): SetWorkers {
  const byScope = new Map<string, SetWorker[]>();
  const shapes = new Map<string, Map<string, JobSize>>();
  for (const [name, host] of Object.entries(set.hosts)) {
    if (host.worker_address === undefined) continue;
    const scope = host.data_centre;
    if (!byScope.has(scope)) byScope.set(scope, []);
    byScope.get(scope)!.push({ name, host });
    if (!shapes.has(scope)) shapes.set(scope, new Map());
    const { cores, memory_gb, accelerators } = host;
    const key = `${cores} ${memory_gb} ${accelerators}`;
    shapes.get(scope)!.set(key, { cores, memory_gb, accelerators });
  }
  return {
    byScope,
    scopes: [...byScope.keys()],
    distinctSizes: new Map(
      [...shapes].map(([scope, sizes]) => [scope, [...sizes.values()]]),
    ),
  };
}
