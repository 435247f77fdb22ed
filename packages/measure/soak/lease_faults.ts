/**
 * Faults of a soak test under which a lease may last longer than the owner of
 * its executor holds: restarts that show late, and calls that are carried out
 * by the next process under the same id.
 *
 * @module
 */

import type { Size, Step } from "@lagoonloom/jobs";
import {
  hostsUp,
  KINDS,
  pick,
  pickHost,
  sleep,
  type SoakFault,
} from "./_fault_draws.ts";
import {
  type ExecutorHost,
  showProcess,
  stopProcess,
} from "./executor_hosts.ts";
import { handOver, killOwner, SOAK_FAULTS } from "./fault_plan.ts";
import type { SoakWorld } from "./soak_world.ts";

/** Size of tasks of which each executor takes many. */
const SMALL_SIZE: Size = { cpu: 200, memoryMb: 500, accelerators: 0 };

/** Picks an executor that runs nothing, if there is one. */
function pickIdleHost(world: SoakWorld): ExecutorHost | undefined {
  const idle = hostsUp(world).filter(({ process }) =>
    process.running.size === 0
  );
  return idle.length === 0 ? pickHost(world) : pick(world, idle);
}

/** Draws a step with a task for each executor that is up. */
function drawSpreadStep(world: SoakWorld): Partial<Step> {
  return {
    count: hostsUp(world).length,
    maxPerExecutor: 1,
    estimateMs: pick(world, [800, 4_000, 9_000]),
    size: SMALL_SIZE,
  };
}

/** Cuts an executor off, often for as long as a lease may last. */
async function cutOff(world: SoakWorld, host: ExecutorHost): Promise<void> {
  const { process } = host;
  const ms = world.between(2_000, 14_000);
  world.log(`FAULT ${host.id} is cut off for ${ms} ms`);
  host.isSilent = true;
  await sleep(ms);
  // Another process may be cut off by now, or gone for good.
  if (host.process === process && host.isUp) host.isSilent = false;
}

/** Shows a new process in the list, unless there is a newer one by then. */
async function showLater(host: ExecutorHost, lagMs: number): Promise<void> {
  const { process } = host;
  await sleep(lagMs);
  if (host.process === process && host.isUp) showProcess(host);
}

/** Ends the owner in some cases, with a handover or without one. */
async function mayEndOwner(world: SoakWorld): Promise<void> {
  const fault = pick(world, [undefined, undefined, killOwner, handOver]);
  await fault?.(world);
}

/**
 * An executor starts again at once, the list lags behind, and the new process
 * is cut off before its first calls or after them. Its owner may end as well.
 */
async function restartAndCutOff(
  world: SoakWorld,
  host: ExecutorHost,
): Promise<void> {
  const downMs = world.between(20, 400);
  const lagMs = world.between(0, 2_000);
  const soundMs = pick(world, [0, 60, 300, 1_500]);
  world.log(`FAULT ${host.id} is down for ${downMs} ms, list lags ${lagMs} ms`);
  stopProcess(host);
  await sleep(downMs);
  // Another fault may have ended it, or started it again.
  if (!host.hasMachine || host.isUp) return;
  world.restart(host);
  world.accept(drawSpreadStep(world));
  const shown = showLater(host, lagMs);
  const { process } = host;
  await sleep(soundMs);
  const hasOwnerEnded = mayEndOwner(world);
  if (world.random() < 0.5) {
    world.accept(drawSpreadStep(world));
    await sleep(world.between(20, 1_500));
  }
  if (host.process === process && host.isUp) await cutOff(world, host);
  await Promise.all([shown, hasOwnerEnded]);
}

/** An idle executor restarts, so that no call shows it. */
async function restartIdleExecutor(world: SoakWorld): Promise<void> {
  const host = pickIdleHost(world);
  if (host === undefined || hostsUp(world).length <= 3) return;
  await restartAndCutOff(world, host);
}

/** Calls that an executor left unanswered are carried out after its restart. */
async function restartBesideLateCalls(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  const fault = {
    kind: pick(world, [...KINDS, "longPoll", "shortPoll"] as const),
    fate: "late" as const,
    probability: pick(world, [0.5, 1]),
    maxDelayMs: 12,
    remainingCalls: Infinity,
  };
  const ms = world.between(100, 1_500);
  world.log(`FAULT link to ${host.id} for ${ms} ms: ${JSON.stringify(fault)}`);
  host.faults.add(fault);
  world.accept(drawSpreadStep(world));
  await sleep(ms);
  host.faults.delete(fault);
  if (host.isUp) await restartAndCutOff(world, host);
}

/** An executor is cut off for longer than any lease. */
async function cutOffForLong(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  world.accept(drawSpreadStep(world));
  await sleep(world.between(0, 500));
  await cutOff(world, host);
}

/** Faults and planned changes, with those under which leases last long. */
export const LEASE_FAULTS: readonly SoakFault[] = [
  ...SOAK_FAULTS,
  restartIdleExecutor,
  restartIdleExecutor,
  restartIdleExecutor,
  restartBesideLateCalls,
  restartBesideLateCalls,
  restartBesideLateCalls,
  cutOffForLong,
];
