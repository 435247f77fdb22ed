import type { FleetState } from "../fleet_state.ts";
import type { JobSize, JobState, TeamUsage } from "../job_state.ts";
import { own } from "./outcomes.ts";

/** Returns the size that a job is charged with. */
export function chargedSize(job: JobState): JobSize {
  return job.used ?? job.declared;
}

/** Adds a job that starts (1) or ends (-1) to the usage of its team. */
export function countUsage(
  state: FleetState,
  job: JobState,
  sign: 1 | -1,
): void {
  const size = toUsage(chargedSize(job));
  const usage = state.usageByTeam.get(job.team) ?? noUsage();
  const next = {
    cores: usage.cores + sign * size.cores,
    memory: usage.memory + sign * size.memory,
    accelerators: usage.accelerators + sign * size.accelerators,
  };
  const isNothing = Object.values(next).every((value) => value === 0);
  // A state decoded from a checkpoint has no entry for an idle team.
  if (isNothing) state.usageByTeam.delete(job.team);
  else state.usageByTeam.set(job.team, next);
}

/** Returns which quota a job would exceed, or undefined. */
export function exceededQuota(
  state: FleetState,
  job: JobState,
): string | undefined {
  const team = own(state.set.teams, job.team);
  if (team === undefined) return `Team "${job.team}" is unknown.`;
  const usage = state.usageByTeam.get(job.team) ?? noUsage();
  const size = toUsage(chargedSize(job));
  const quota = toUsage({
    cores: team.quota_cores,
    memory_gb: team.quota_memory_gb,
    accelerators: team.quota_accelerators,
  });
  for (const resource of ["cores", "memory", "accelerators"] as const) {
    if (usage[resource] + size[resource] <= quota[resource]) continue;
    return `Team "${job.team}" would exceed its quota of ${resource}.`;
  }
  return undefined;
}

function noUsage(): TeamUsage {
  return { cores: 0, memory: 0, accelerators: 0 };
}

function toUsage(size: JobSize): TeamUsage {
  return {
    cores: Math.round(size.cores * 1_000),
    memory: Math.round(size.memory_gb * 1_000),
    accelerators: Math.round(size.accelerators * 1_000),
  };
}
