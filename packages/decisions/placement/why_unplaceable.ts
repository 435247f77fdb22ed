import type { ObjectSet } from "@lagoonloom/objects";
import type { FleetState } from "../fold/fleet_state.ts";
import type { JobSize, JobState } from "../fold/job_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { workersOf } from "./internal/set_workers.ts";
import { fitsInto, knownSize } from "./job_size.ts";

/**
 * Returns why no worker of the fleet could ever run a job, or undefined. Only a
 * change of the set or of the job can help.
 *
 * @example
 * ```ts
 * const reason = whyUnplaceable(state, job);
 * ```
 */
export function whyUnplaceable(
  state: FleetState,
  job: JobState,
): string | undefined {
  const size = knownSize(job);
  const quota = whyOverQuota(state.set, job);
  if (quota !== undefined) return quota;
  const { shapes } = workersOf(state.set);
  const named = job.dataCentres.length === 0
    ? [...shapes.keys()]
    : job.dataCentres;
  const known = named.filter((name) => shapes.has(name));
  if (known.length === 0) {
    return named.length === 0
      ? "No host of the set has a worker."
      : `No host with a worker is in "${named.join('", "')}".`;
  }
  const candidates = known.flatMap((name) => shapes.get(name) ?? []);
  if (candidates.some((shape) => fitsInto(size, shape))) return undefined;
  return whyTooLarge(size, candidates);
}

function whyOverQuota(set: ObjectSet, job: JobState): string | undefined {
  const team = getOwn(set.teams, job.team);
  if (team === undefined) return `Team "${job.team}" is not in the set.`;
  const { cores, memory_gb, accelerators } = knownSize(job);
  const parts = [
    ["cores", cores, team.quota_cores],
    ["GB of memory", memory_gb, team.quota_memory_gb],
    ["accelerators", accelerators, team.quota_accelerators],
  ] as const;
  const over = parts.find(([, needed, quota]) => needed > quota);
  if (over === undefined) return undefined;
  const [unit, needed, quota] = over;
  return `It needs ${needed} ${unit}, but the quota of team "${job.team}" is ${quota}.`;
}

function whyTooLarge(size: JobSize, shapes: readonly JobSize[]): string {
  const parts = [
    ["accelerators", "accelerators"],
    ["cores", "cores"],
    ["GB of memory", "memory_gb"],
  ] as const;
  for (const [unit, field] of parts) {
    const largest = Math.max(...shapes.map((shape) => shape[field]));
    if (size[field] <= largest) continue;
    return `It needs ${
      size[field]
    } ${unit}, but the largest worker has ${largest}.`;
  }
  return "No worker has enough cores, memory and accelerators together.";
}
