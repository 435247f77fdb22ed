/**
 * Crash of an executor of a soak test, after which its machine comes back.
 *
 * @module
 */

import type { Random } from "../random.ts";
import {
  type ExecutorHost,
  removeExecutor,
  showProcess,
  stopProcess,
} from "./executor_hosts.ts";

/** What a crash draws from and changes. */
export type CrashOptions = {
  random: Random;
  /** Returns a whole number from a range, both ends included. */
  between(low: number, high: number): number;
  /** Adds an executor at an address. */
  addExecutor(address: string): ExecutorHost;
  /** Starts a new process on an executor. */
  restart(host: ExecutorHost): void;
  log(text: string): void;
};

/**
 * Ends the process of an executor. Seconds later, another one starts on its
 * machine: under its id, or under another id at the same address. The
 * platform's list lags behind. Resolves once the list shows the new process.
 */
export async function crashExecutor(
  host: ExecutorHost,
  { random, between, addExecutor, restart, log }: CrashOptions,
): Promise<void> {
  const downMs = between(2_000, 6_000);
  const lagMs = between(0, 1_500);
  const hasNewId = random() < 0.5;
  const returns = hasNewId ? "another id" : "its id";
  log(
    `FAULT ${host.id} crashes, back in ${downMs} ms under ${returns}, ` +
      `list lags ${lagMs} ms; it ran ${[...host.process.running.keys()]}`,
  );
  stopProcess(host);
  host.isSilent = random() < 0.3;
  const leavesList = random() < 0.3;
  await sleep(downMs / 2);
  if (leavesList) host.isListed = false;
  await sleep(downMs / 2);
  // Another fault may have taken the machine away meanwhile.
  if (!host.hasMachine) return;
  const { address } = host.report;
  if (!hasNewId) {
    restart(host);
    await sleep(lagMs);
    showProcess(host);
    host.isListed = true;
    return;
  }
  removeExecutor(host);
  host.isSilent = false;
  host.isReplaced = true;
  const next = addExecutor(address);
  next.isListed = false;
  await sleep(lagMs);
  host.isListed = false;
  next.isListed = true;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
