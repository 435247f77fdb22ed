import type { ObjectSet } from "@lagoonloom/objects";
import type { FleetState } from "../fold/fleet_state.ts";
import type { JobSize, JobState } from "../fold/job_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { workersOf } from "./internal/set_workers.ts";
import { fitsInto, knownSize } from "./job_size.ts";

/**
 * Returns the reason why no worker of the set can ever run a job, or undefined
 * if one can. Only a change to the set or another size of the job removes it.
 *
 * @example
 * ```ts
 * const reason = findPlacementBlocker(state, job);
 * ```
 */
export function findPlacementBlocker(
  state: FleetState,
  job: JobState,
): string | undefined {
  const size = knownSize(job);
  const quota = findQuotaBlocker(state.set, job);
  if (quota !== undefined) return quota;
  const { distinctSizes } = workersOf(state.set);
  const allowed = job.dataCentres.length === 0
    ? [...distinctSizes.keys()]
    : job.dataCentres;
  const withWorkers = allowed.filter((name) => distinctSizes.has(name));
  if (withWorkers.length === 0) {
    return allowed.length === 0
      ? "No host of the set has a worker."
      : `No host with a worker is in "${allowed.join('", "')}".`;
  }
  const candidates = withWorkers.flatMap((name) =>
    distinctSizes.get(name) ?? []
  );
  if (candidates.some((workerSize) => fitsInto(size, workerSize))) {
    return undefined;
  }
  return describeTooLarge(size, candidates);
}

function findQuotaBlocker(set: ObjectSet, job: JobState): string | undefined {
  const team = getOwn(set.teams, job.team);
  if (team === undefined) return `Team "${job.team}" is not in the set.`;
  const { cores, memory_gb, accelerators } = knownSize(job);
  const parts = [
    ["cores", cores, team.quota_cores],
    ["GB of memory", memory_gb, team.quota_memory_gb],
    ["accelerators", accelerators, team.quota_accelerators],
  ] as const;
  const exceeded = parts.find(([, needed, quota]) => needed > quota);
  if (exceeded === undefined) return undefined;
  const [unit, needed, quota] = exceeded;
  return `It needs ${needed} ${unit}, but the quota of team "${job.team}" is ${quota}.`;
}

function describeTooLarge(
  size: JobSize,
  workerSizes: readonly JobSize[],
): string {
  const parts = [
    ["accelerators", "accelerators"],
    ["cores", "cores"],
    ["GB of memory", "memory_gb"],
  ] as const;
  for (const [unit, field] of parts) {
    const largest = Math.max(
      ...workerSizes.map((workerSize) => workerSize[field]),
    );
    if (size[field] <= largest) continue;
    return `It needs ${
      size[field]
    } ${unit}, but the largest worker has ${largest}.`;
  }
  return "No worker has enough cores, memory and accelerators together.";
}
