import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto, knownSize } from "../job_size.ts";
import type { JobRound } from "./job_round.ts";

/** Quota of a team and what is left of it in this round. */
export type TeamBudget = { quota: JobSize; remaining: JobSize };

/** Quotas by team. */
export type TeamBudgets = Map<string, TeamBudget>;

/**
 * Computes what is left of the quotas. A running job counts with its known
 * size, or with what it is seen to use if that is more.
 */
export function computeBudgets(round: JobRound): TeamBudgets {
  const budgets: TeamBudgets = new Map();
  const { state } = round;
  for (const [name, team] of Object.entries(state.set.teams)) {
    const quota = {
      cores: team.quota_cores,
      memory_gb: team.quota_memory_gb,
      accelerators: team.quota_accelerators,
    };
    const usage = state.usageByTeam.get(name);
    budgets.set(name, {
      quota,
      remaining: {
        cores: quota.cores - (usage?.cores ?? 0) / 1_000,
        memory_gb: quota.memory_gb - (usage?.memory ?? 0) / 1_000,
        accelerators: quota.accelerators - (usage?.accelerators ?? 0) / 1_000,
      },
    });
  }
  for (const { runs } of round.workers.values()) {
    for (const { job, task } of runs) {
      const left = budgets.get(job.team)?.remaining;
      if (left === undefined) continue;
      const known = knownSize(job);
      // A placement that is not folded yet is not in the folded usage.
      if (job.state !== "running") addSize(left, known, -1);
      else if (task !== undefined) {
        left.cores -= Math.max(0, task.used.cores - known.cores);
        left.memory_gb -= Math.max(0, task.used.memory_gb - known.memory_gb);
      }
    }
  }
  return budgets;
}

/** Returns the largest share of a quota that a team uses. */
export function usedShare({ quota, remaining: left }: TeamBudget): number {
  let share = 0;
  for (const field of ["cores", "memory_gb", "accelerators"] as const) {
    if (quota[field] > 0) {
      share = Math.max(share, 1 - left[field] / quota[field]);
    }
  }
  return share;
}

/** Reports whether a quota allows a job of a size. */
export function allowsJob(budgets: TeamBudgets, team: string, size: JobSize) {
  const budget = budgets.get(team);
  return budget !== undefined && fitsInto(size, budget.remaining);
}
