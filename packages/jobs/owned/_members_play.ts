/**
 * Plays of members under random faults, whose executors run jobs.
 *
 * @module
 */

import { createRandom, type Random } from "../../measure/random.ts";
import { createStep } from "../_record_fixtures.ts";
import { drawFaults, drawInt, type MemberFault } from "./_member_faults.ts";
import {
  createMembersWorld,
  MAX_CLOCK_LAG,
  type MembersWorld,
  type WorldExecutor,
  type WorldMember,
} from "./_members_world.ts";

/** Time in which faults begin, and duration of a play. */
const FAULTS_UNTIL_MS = 32_000;
export const PLAY_MS = 45_000;

/** Time after which a member that leaves is killed. */
const GRACE_MS = 6_000;

/** Longest time that a run needs to stop. */
const MAX_STOP_MS = 400;

/** Time that a lasting task needs until its progress is complete. */
const STARTUP_MS = 400;

/** Play in which time has not advanced yet. */
export type MembersPlay = {
  world: MembersWorld;
  faults: readonly MemberFault[];
};

/** Starts a play. Advancing the fake timers by its duration plays it. */
export function startPlay(seed: number): MembersPlay {
  const random = createRandom(seed);
  const startedAtMs = performance.now();
  const nowMs = () => performance.now() - startedAtMs;
  const names = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) => `${prefix}${index}`);
  const addresses = names("m", drawInt(random, 2, 4));
  const executors = names("e", drawInt(random, 2, 6));
  const plan = drawFaults(random, {
    members: addresses,
    executors,
    untilMs: FAULTS_UNTIL_MS,
    nowMs,
  });
  const world = createMembersWorld({
    ...plan,
    onTick: createRunner(random),
  });
  for (const id of executors) {
    world.addExecutor(id, {
      cpu: 6_000,
      clockLag: MAX_CLOCK_LAG * random(),
      stopMs: drawInt(random, 0, MAX_STOP_MS),
    });
  }
  startMembers(world, { addresses, faults: plan.faults });
  acceptJobs(world, random);
  return { world, faults: plan.faults };
}

/** Starts the members and lets the faults happen to them. */
function startMembers(
  world: MembersWorld,
  { addresses, faults }: {
    addresses: readonly string[];
    faults: readonly MemberFault[];
  },
): void {
  const members = new Map<string, WorldMember | undefined>();
  const start = (address: string) =>
    members.set(address, world.startMember(address));
  for (const address of addresses) start(address);

  for (const { kind, member: address, atMs, endsMs } of faults) {
    const durationMs = endsMs - atMs;
    setTimeout(() => {
      const member = members.get(address);
      if (kind === "reassign") return world.group.reassign();
      if (member === undefined) return;
      if (kind === "kill" || kind === "restart") {
        members.set(address, undefined);
        const graceMs = Math.min(durationMs, GRACE_MS);
        const kill = () => member.process.kill();
        if (kind === "kill") kill();
        else {
          void member.leave().then(kill);
          setTimeout(kill, graceMs);
        }
        setTimeout(() => start(address), durationMs);
      } else if (kind === "pause" || kind === "suspend") {
        member.process[kind]();
        setTimeout(() => member.process.resume(), durationMs);
      }
    }, atMs);
  }
}

/** Accepts lasting jobs at the start, and short ones all the time or never. */
function acceptJobs(world: MembersWorld, random: Random): void {
  let accepted = 0;
  const accept = (isLasting: boolean) => {
    const id = (++accepted).toString(16).padStart(16, isLasting ? "a" : "0");
    const count = drawInt(random, 1, 3);
    world.accept(id, [createStep({ count, isLasting, estimateMs: 1_500 })]);
  };
  for (let count = 0; count < 4; count++) setTimeout(accept, 500, true);
  const isQuiet = random() < 0.5;
  const intervalMs = drawInt(random, 300, 2_000);
  const endsMs = isQuiet ? 2_000 : PLAY_MS;
  for (let ms = 600; ms < endsMs; ms += intervalMs) {
    setTimeout(accept, ms, false);
  }
}

/** Returns the function that lets runs progress and end on the executors. */
function createRunner(random: Random): (world: MembersWorld) => void {
  const durations = new Map<string, number>();
  const durationOf = (task: string) => {
    let durationMs = durations.get(task);
    if (durationMs === undefined) {
      const longestMs = random() < 0.5 ? 800 : 8_000;
      durationMs = drawInt(random, 200, longestMs);
      durations.set(task, durationMs);
    }
    return durationMs;
  };
  const step = (executor: WorldExecutor) => {
    for (const [task, { startedAtMs }] of [...executor.running]) {
      const ranMs = performance.now() - startedAtMs;
      const isLasting = task.startsWith("a");
      const fullMs = isLasting ? STARTUP_MS : durationOf(task);
      const percent = Math.min(100, Math.floor(100 * ranMs / fullMs));
      executor.progress.set(task, percent);
      if (isLasting || ranMs < fullMs) continue;
      executor.end(task, random() < 0.05 ? "failed" : "done");
    }
  };
  return ({ executors }) => {
    for (const executor of executors.values()) step(executor);
  };
}
