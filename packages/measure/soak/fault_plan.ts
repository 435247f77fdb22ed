/**
 * Faults of a soak test. Each is active until its function resolves.
 *
 * @module
 */

import type { Size } from "@lagoonloom/jobs";
import {
  FATES,
  KINDS,
  pick,
  pickHost,
  pickHostUp,
  sleep,
  type SoakFault,
} from "./_fault_draws.ts";
import type { ExecutorHost } from "./executor_hosts.ts";
import { removeExecutor, showProcess, stopProcess } from "./executor_hosts.ts";
import { HOST_CAPACITY } from "./host_capacity.ts";
import { drawStep } from "./draw_step.ts";
import type { SoakWorld } from "./soak_world.ts";

/** Size of lasting tasks that are accepted beside faults. */
const SMALL_SIZE: Size = { cpu: 300, memoryMb: 500, accelerators: 0 };

/** Longest time until an executor reports a change. */
const HEARTBEAT_MS = 1_500;

/** All calls of some kind meet a fault for a while. */
async function harmLink(world: SoakWorld): Promise<void> {
  const host = pickHostUp(world);
  if (host === undefined) return;
  const fault = {
    kind: pick(world, KINDS),
    fate: pick(world, FATES),
    probability: pick(world, [0.2, 0.6, 1]),
    maxDelayMs: pick(world, [12, 300, 700]),
    remainingCalls: Infinity,
  };
  const ms = world.between(300, 4_500);
  world.log(`FAULT link to ${host.id} for ${ms} ms: ${JSON.stringify(fault)}`);
  host.faults.add(fault);
  await sleep(ms);
  host.faults.delete(fault);
}

/** The next call of some kind meets a fault. */
async function loseCall(world: SoakWorld): Promise<void> {
  const host = pickHostUp(world);
  if (host === undefined) return;
  const fault = {
    kind: pick(world, KINDS),
    fate: pick(world, FATES),
    probability: 1,
    maxDelayMs: 12,
    remainingCalls: 1,
  };
  world.log(`FAULT one call to ${host.id}: ${JSON.stringify(fault)}`);
  host.faults.add(fault);
  await sleep(1_500);
  host.faults.delete(fault);
}

/** Answers take long, so that they overtake each other. */
async function slowLink(world: SoakWorld): Promise<void> {
  const host = pickHostUp(world);
  if (host === undefined) return;
  const fault = {
    kind: undefined,
    fate: "answered" as const,
    probability: 0,
    maxDelayMs: world.between(50, 600),
    remainingCalls: Infinity,
  };
  const ms = world.between(500, 5_000);
  world.log(`FAULT slow link to ${host.id}, ${fault.maxDelayMs} ms each way`);
  host.faults.add(fault);
  await sleep(ms);
  host.faults.delete(fault);
}

async function cutExecutor(world: SoakWorld): Promise<void> {
  const host = pickHostUp(world);
  if (host === undefined) return;
  const ms = world.between(300, 7_000);
  const leavesList = world.random() < 0.4;
  world.log(`FAULT ${host.id} is cut off for ${ms} ms, list ${leavesList}`);
  host.isSilent = true;
  await sleep(ms / 2);
  if (leavesList) host.isListed = false;
  await sleep(ms / 2);
  host.isSilent = false;
  if (!leavesList) return;
  await sleep(world.between(0, 800));
  host.isListed = true;
}

async function leaveList(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  const ms = world.between(200, 6_000);
  world.log(`FAULT ${host.id} leaves the list for ${ms} ms`);
  host.isListed = false;
  await sleep(ms);
  host.isListed = true;
}

/** A process ends and another one starts under the same id. */
async function restartExecutor(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  const downMs = world.between(50, 2_500);
  const lagMs = world.between(0, 1_500);
  world.log(`FAULT ${host.id} is down for ${downMs} ms, list lags ${lagMs} ms`);
  stopProcess(host);
  host.isSilent = world.random() < 0.3;
  if (world.random() < 0.3) host.isListed = false;
  await sleep(downMs);
  world.restart(host);
  await sleep(lagMs);
  showProcess(host);
  host.isListed = true;
}

/** An executor ends and another one appears. */
async function replaceExecutor(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  const lagMs = world.between(0, 3_000);
  world.log(`FAULT ${host.id} ends, list lags ${lagMs} ms`);
  removeExecutor(host);
  host.isSilent = world.random() < 0.6;
  await sleep(lagMs);
  host.isListed = false;
  world.addExecutor();
  if (world.random() < 0.3) {
    world.log(`${host.id} is replaced at its address`);
    host.isSilent = false;
    host.isReplaced = true;
  }
}

async function drainExecutor(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined) return;
  const ms = world.between(1_500, 6_000);
  world.log(`FAULT ${host.id} drains for ${ms} ms`);
  host.report = { ...host.report, isDraining: true, remainingMs: ms };
  await sleep(ms);
  world.log(`${host.id} is gone`);
  removeExecutor(host);
  host.isListed = false;
  world.addExecutor();
}

/** An owner ends without a handover. */
export async function killOwner(world: SoakWorld): Promise<void> {
  const { owners } = world;
  const { current } = owners;
  if (current === undefined) return;
  const ms = world.between(50, 2_500);
  world.log(`FAULT owner ${current.epoch} is killed, next one in ${ms} ms`);
  owners.current = undefined;
  owners.kill(current);
  await sleep(ms);
  owners.start();
}

/** An owner ends after it has stored its handover. */
export async function handOver(world: SoakWorld): Promise<void> {
  const { owners } = world;
  const { current } = owners;
  if (current === undefined) return;
  world.log(`FAULT owner ${current.epoch} hands over`);
  owners.current = undefined;
  await owners.release(current);
  await sleep(world.between(20, 400));
  owners.start();
}

/** The store does not confirm an owner, which may lose the partition then. */
async function isolateOwner(world: SoakWorld): Promise<void> {
  const { owners } = world;
  const { current } = owners;
  if (current === undefined) return;
  const ms = world.between(500, 4_000);
  const isCut = world.random() < 0.5;
  world.log(`FAULT owner ${current.epoch} unconfirmed ${ms} ms, cut ${isCut}`);
  current.confirmedAtMs = performance.now();
  current.storePath.isCut = isCut;
  const isReplaced = ms > 1_600;
  if (isReplaced) owners.current = undefined;
  await sleep(ms);
  current.storePath.isCut = false;
  if (!isReplaced) current.confirmedAtMs = "now";
  else owners.start();
}

async function harmStore(world: SoakWorld): Promise<void> {
  const { current } = world.owners;
  if (current === undefined) return;
  const ms = world.between(300, 3_000);
  const { storePath } = current;
  storePath.maxDelayMs = world.between(20, 400);
  storePath.lostAnswers = pick(world, [0, 0.3, 0.7]);
  world.log(`FAULT store for ${ms} ms: ${JSON.stringify(storePath)}`);
  await sleep(ms);
  storePath.maxDelayMs = 12;
  storePath.lostAnswers = 0;
}

async function stallList(world: SoakWorld): Promise<void> {
  const { current } = world.owners;
  if (current === undefined) return;
  world.log(`FAULT list of owner ${current.epoch} stalls`);
  current.isListStalled = true;
  await sleep(world.between(500, 3_000));
  current.isListStalled = false;
}

/** An owner does not reach half of the executors. */
async function cutOwner(world: SoakWorld): Promise<void> {
  const { current } = world.owners;
  if (current === undefined) return;
  const cut = [...world.hosts.keys()].filter(() => world.random() < 0.5);
  const ms = world.between(500, 4_000);
  world.log(`FAULT owner ${current.epoch} does not reach ${cut} for ${ms} ms`);
  for (const id of cut) current.cutExecutors.add(id);
  await sleep(ms);
  for (const id of cut) current.cutExecutors.delete(id);
}

/** Executors are reserved, and their machines are moved once they are idle. */
async function reserve(world: SoakWorld): Promise<void> {
  const host = pickHost(world);
  if (host === undefined || world.reserved.size >= 2) return;
  world.log(`FAULT ${host.id} is reserved`);
  world.reserved.add(host.id);
  const endMs = performance.now() + world.between(1_000, 6_000);
  while (performance.now() < endMs) {
    await sleep(200);
    if (!world.idle.has(host.id)) continue;
    world.log(`${host.id} is moved`);
    removeExecutor(host);
    host.isSilent = true;
    world.ended.add(host.id);
    await sleep(world.between(0, 2_000));
    host.isListed = false;
    world.addExecutor();
    break;
  }
  world.reserved.delete(host.id);
}

async function replaceJob(world: SoakWorld): Promise<void> {
  const lasting = world.jobs.filter(({ step, cancelledAtMs }) =>
    step.isLasting && cancelledAtMs === undefined
  );
  if (lasting.length === 0) return;
  const job = pick(world, lasting);
  world.cancel(job);
  await sleep(world.between(0, 1_000));
  world.accept(job.step);
}

/** A job is accepted, one task of which crashes each executor it starts on. */
async function acceptDeadlyJob(world: SoakWorld): Promise<void> {
  const { between, random } = world;
  // Many lasting tasks of such jobs would fill all executors.
  const step = random() < 0.3
    ? { isLasting: true, count: between(1, 2), size: SMALL_SIZE }
    : drawStep({ between, isLasting: false });
  const index = between(0, step.count! - 1);
  const maxDelayMs = pick(world, [10, 10, 250]);
  world.log(`FAULT a deadly job, which crashes within ${maxDelayMs} ms`);
  world.accept(step, { index, maxDelayMs });
  await sleep(0);
}

/** An executor reports its capacity with its next heartbeat. */
async function reportCapacity(
  world: SoakWorld,
  host: ExecutorHost,
): Promise<void> {
  const { process } = host;
  await sleep(world.between(0, HEARTBEAT_MS));
  if (host.process !== process) return;
  const cpu = host.capacity.currentCpu();
  host.report = { ...host.report, capacity: { ...HOST_CAPACITY, cpu } };
}

/** The capacity of an executor shrinks, and grows back while it runs. */
async function shrinkCapacity(world: SoakWorld): Promise<void> {
  const { between } = world;
  const host = pickHostUp(world);
  if (host === undefined) return;
  const { process } = host;
  const cpu = between(30, 80) * HOST_CAPACITY.cpu / 100;
  const endMs = performance.now() + between(5_000, 12_000);
  world.log(`FAULT ${host.id} shrinks to ${cpu} mcpu`);
  host.capacity.set(cpu);
  await reportCapacity(world, host);
  while (performance.now() < endMs) {
    // Without waiting tasks, nothing would start there.
    world.accept(drawStep({ between, isLasting: false }));
    await sleep(between(100, 900));
  }
  // A new process has the full capacity.
  if (host.process !== process) return;
  world.log(`${host.id} grows again`);
  host.capacity.set(HOST_CAPACITY.cpu);
  await reportCapacity(world, host);
}

/** Faults and planned changes, more frequent ones several times. */
export const SOAK_FAULTS: readonly SoakFault[] = [
  harmLink,
  harmLink,
  loseCall,
  loseCall,
  slowLink,
  cutExecutor,
  leaveList,
  restartExecutor,
  replaceExecutor,
  drainExecutor,
  killOwner,
  handOver,
  isolateOwner,
  harmStore,
  stallList,
  cutOwner,
  reserve,
  replaceJob,
];

/** The same, with tasks that crash the executors on which they start. */
export const DEADLY_FAULTS: readonly SoakFault[] = [
  ...SOAK_FAULTS,
  acceptDeadlyJob,
  acceptDeadlyJob,
];

/** The same, with capacities that shrink and grow. */
export const CAPACITY_FAULTS: readonly SoakFault[] = [
  ...SOAK_FAULTS,
  shrinkCapacity,
  shrinkCapacity,
  shrinkCapacity,
];
