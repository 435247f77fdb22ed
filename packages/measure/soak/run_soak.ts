/**
 * Run of a soak test of partition owners: rounds of faults and of calm, then a
 * long calm, in which all promises to callers have to hold.
 *
 * @module
 */

import { createRandom } from "../random.ts";
import { drawStep } from "./draw_step.ts";
import type { Violation } from "./soak_checker.ts";
import type { SoakPlan } from "./soak_plans.ts";
import { createSoakWorld, type SoakWorld } from "./soak_world.ts";

/** Interval of the checks. */
const STEP_MS = 20;

/** Interval of the reports to the owner of the machines. */
const REPORT_INTERVAL_MS = 400;

const ROUNDS = 3;
const CALM_MS = 9_000;
const FINAL_CALM_MS = 25_000;

/** Longest time for which the end of a run waits for executors to be back. */
const MAX_FINAL_MS = 120_000;

/** Outcome of a run. */
export type SoakOutcome = {
  seed: number;
  violations: Violation[];
  world: SoakWorld;
};

/**
 * Plays faults that follow from a seed, in paused time.
 *
 * @example
 * ```ts
 * const { violations } = await runSoak(7, { plan, advanceTime });
 * ```
 */
export async function runSoak(
  seed: number,
  { plan, advanceTime }: {
    plan: SoakPlan;
    advanceTime(ms: number): Promise<void>;
  },
): Promise<SoakOutcome> {
  const random = createRandom(seed);
  const world = createSoakWorld(random, plan);
  const { between, checker, owners } = world;
  let calmSinceMs: number | undefined;
  let lastReportMs = -Infinity;

  const advance = async (ms: number) => {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      await advanceTime(STEP_MS);
      expireLeases(world);
      const isCalm = calmSinceMs !== undefined && world.crashed.size === 0;
      checker.check(
        isCalm ? Math.max(calmSinceMs!, world.lastReturnMs) : undefined,
      );
      if (performance.now() - lastReportMs < REPORT_INTERVAL_MS) continue;
      lastReportMs = performance.now();
      reportMachines(world);
    }
  };

  for (let count = world.between(6, 9); count > 0; count--) {
    world.addExecutor();
  }
  owners.start();
  await advance(200);
  for (let count = world.between(1, 2); count > 0; count--) {
    const step = plan.drawLastingStep?.(between) ??
      drawStep({ between, isLasting: true });
    world.accept(step);
  }
  await advance(1_500);
  for (let round = 0; round < ROUNDS; round++) {
    const active = new Set<Promise<void>>();
    calmSinceMs = undefined;
    const endMs = performance.now() + world.between(2_000, 9_000);
    while (performance.now() < endMs) {
      const { faults } = plan;
      const fault = faults[Math.floor(random() * faults.length)]!;
      const ended: Promise<void> = fault(world)
        .finally(() => active.delete(ended));
      active.add(ended);
      if (random() < 0.5) acceptShort(world, plan);
      await advance(world.between(50, 1_000));
    }
    while (active.size > 0) await advance(STEP_MS);
    world.log("CALM");
    calmSinceMs = performance.now();
    await advance(round === ROUNDS - 1 ? FINAL_CALM_MS : CALM_MS);
  }
  const finalMs = performance.now() + MAX_FINAL_MS;
  while (isUnsettled(world) && performance.now() < finalMs) {
    await advance(STEP_MS);
  }
  await checkOutcomes(world);
  world.close();
  return { seed, violations: checker.violations, world };
}

/** Accepts jobs of short tasks. */
function acceptShort({ between, accept }: SoakWorld, plan: SoakPlan): void {
  const steps = plan.drawSteps?.(between) ??
    [drawStep({ between, isLasting: false })];
  for (const step of steps) accept(step);
}

/** Returns whether executors crashed too recently for a long calm. */
function isUnsettled({ crashed, lastReturnMs }: SoakWorld): boolean {
  return crashed.size > 0 ||
    performance.now() < lastReturnMs + FINAL_CALM_MS;
}

function expireLeases({ hosts, log }: SoakWorld): void {
  for (const { id, process, isUp } of hosts.values()) {
    if (process.clockMs() <= process.leaseExpiryMs) continue;
    process.lapsedAtMs = performance.now();
    if (!isUp || process.running.size === 0) continue;
    log(`lease of ${id} ends: ${[...process.running.keys()]}`);
    for (const task of [...process.running.keys()]) process.end(task, "lapsed");
  }
}

/** Plays the owner of the machines. */
function reportMachines(world: SoakWorld): void {
  const { current } = world.owners;
  world.idle = new Set();
  if (current === undefined || current.endReason !== undefined) return;
  if (!current.owner.isLoaded()) return;
  const report = current.owner.reserveAndReport(
    new Set(world.reserved),
    [...world.ended],
  );
  world.idle = new Set(report.idle);
  world.ended.clear();
}

/** Checks that all jobs that were accepted are known and have ended. */
async function checkOutcomes(world: SoakWorld): Promise<void> {
  const { checker, jobs, owners } = world;
  for (const job of jobs) {
    const { id, step, deadly, cancelledAtMs } = job;
    const result = await owners.current!.owner.getJobState(id);
    const state = result.type === "known" ? result.value : result.type;
    const mayFail = checker.mayFail(job);
    if (state === "failed" && mayFail) continue;
    const mayWait = world.cap?.mayFillUp(jobs) === true;
    if (mayWait && (state === "queued" || state === "running")) continue;
    const expected = cancelledAtMs !== undefined
      ? "cancelled"
      : step.isLasting
      ? "running"
      : deadly !== undefined
      ? "failed after two crashes"
      : "completed";
    if (state === expected) continue;
    const text = `is ${state} in the end, not ${expected}`;
    checker.violations.push({
      rule: "LOST",
      task: id,
      text,
      atMs: performance.now(),
    });
  }
}
