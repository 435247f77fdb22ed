/**
 * Resources that the running jobs of teams use, and checks of team quotas.
 *
 * @module
 */

import type { FleetState } from "../fleet_state.ts";
import type { JobSize, JobState, TeamUsage } from "../job_state.ts";
import { getOwn } from "./outcomes.ts";

/** Returns the learned or else the declared size, which the quota counts. */
export function getChargedSize(job: JobState): JobSize {
  return job.used ?? job.declared;
}

/** Adds a job to the usage of its team, or subtracts it if `sign` is -1. */
export function addUsage(
  state: FleetState,
  job: JobState,
  sign: 1 | -1,
): void {
  const size = toThousandths(getChargedSize(job));
  const usage = state.usageByTeam.get(job.team) ?? zeroUsage();
  const next = {
    cores: usage.cores + sign * size.cores,
    memory: usage.memory + sign * size.memory,
    accelerators: usage.accelerators + sign * size.accelerators,
  };
  const isZero = Object.values(next).every((value) => value === 0);
  // A state that is decoded from a checkpoint must equal this one, and has no
  // entry for an idle team.
  if (isZero) state.usageByTeam.delete(job.team);
  else state.usageByTeam.set(job.team, next);
}

/** Returns a sentence on the quota that a job would exceed, or undefined. */
export function findExceededQuota(
  state: FleetState,
  job: JobState,
): string | undefined {
  const team = getOwn(state.set.teams, job.team);
  if (team === undefined) return `Team "${job.team}" is unknown.`;
  const usage = state.usageByTeam.get(job.team) ?? zeroUsage();
  const size = toThousandths(getChargedSize(job));
  const quota = toThousandths({
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

function zeroUsage(): TeamUsage {
  return { cores: 0, memory: 0, accelerators: 0 };
}

function toThousandths(size: JobSize): TeamUsage {
  return {
    cores: Math.round(size.cores * 1_000),
    memory: Math.round(size.memory_gb * 1_000),
    accelerators: Math.round(size.accelerators * 1_000),
  };
}
