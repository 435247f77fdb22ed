/**
 * Quotas of teams and what remains of them in a round.
 *
 * @module
 */

import type { JobSize } from "../../fold/job_state.ts";
import { addSize, fitsInto, knownSize } from "../job_size.ts";
import type { JobRound } from "./job_round.ts";

/** Quota of a team and what remains of it in this round. */
export type TeamBudget = { quota: JobSize; remaining: JobSize };

/** Quotas by team. */
export type TeamBudgets = Map<string, TeamBudget>;

/**
 * Computes what remains of each team's quota. A running job counts with its
 * known size, or with its reported usage if that is more.
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
      const remaining = budgets.get(job.team)?.remaining;
      if (remaining === undefined) continue;
      const known = knownSize(job);
      // The folded usage lacks jobs whose placement is not folded yet.
      if (job.state !== "running") addSize(remaining, known, -1);
      else if (task !== undefined) {
        remaining.cores -= Math.max(0, task.used.cores - known.cores);
        remaining.memory_gb -= Math.max(
          0,
          task.used.memory_gb - known.memory_gb,
        );
      }
    }
  }
  return budgets;
}

/** Returns the largest share that a team uses of its quota of any resource. */
export function usedShare({ quota, remaining }: TeamBudget): number {
  let share = 0;
  for (const field of ["cores", "memory_gb", "accelerators"] as const) {
    if (quota[field] > 0) {
      share = Math.max(share, 1 - remaining[field] / quota[field]);
    }
  }
  return share;
}

/** Reports whether a team's quota has room for a job of a size. */
export function allowsJob(budgets: TeamBudgets, team: string, size: JobSize) {
  const budget = budgets.get(team);
  return budget !== undefined && fitsInto(size, budget.remaining);
}
