/**
 * Checks of a soak test: what callers were promised, by what the executors ran.
 *
 * @module
 */

import type { Step } from "@lagoonloom/jobs";
import type { MemoryExecutor } from "@lagoonloom/standins";
import type { ExecutorHost, ExecutorHosts } from "./executor_hosts.ts";
import type { StartCall, StopCall } from "./executor_links.ts";

/** Calm after which a lasting task has to run again. */
export const RECOVERY_MS = 7_000;

/** Time for which a lasting task may have no run in calm. */
const MAX_AWAY_MS = 3_000;

/** Time after the last run of a lasting task for which it may have none. */
const MIN_SINCE_RUN_MS = 6_000;

/** Executors with capacity for a task from which its wait is a fault. */
const MIN_CANDIDATES = 2;

/** Time in calm in which the runs of a cancelled job have to end. */
const MAX_CANCELLING_MS = 3_500;

/** Time without work from which a task counts as away. */
const AWAY_NOTICE_MS = 4_500;

/** Longest transit of an order that its sender could foresee. */
const MAX_TRANSIT_MS = 200;

/** Time after harm to a link in which the orders over it may be held up. */
const HELD_UP_MS = 3_000;

/** Crashes under a task after which its starts are counted. */
const MAX_CRASHES = 3;

/** Starts of a task that are allowed after these crashes. */
const MAX_FURTHER_STARTS = 2;

/** Crashes under a task from which its job may be given up. */
const MIN_CRASHES_TO_FAIL = 2;

/** Time in which a lasting task that crashes executors starts so often. */
const LASTING_STARTS_MS = 60_000;

/** Task that crashes each executor on which it starts. */
export type DeadlyTask = {
  /** Index of the task in its step. */
  index: number;
  /** Longest time from a start to the crash, in milliseconds. */
  maxDelayMs: number;
};

/** Job as its caller knows it. */
export type SoakJob = {
  id: string;
  step: Step;
  /** Task that crashes executors, if there is one. */
  deadly: DeadlyTask | undefined;
  acceptedAtMs: number;
  cancelledAtMs: number | undefined;
};

/** Task as its runs show it. */
export type SoakTask = {
  name: string;
  job: SoakJob;
  /** How it crashes executors, if it does. */
  deadly: DeadlyTask | undefined;
  /** Executors that have crashed under it. */
  crashCount: number;
  /** Starts since the number of crashes from which they are counted. */
  furtherStarts: number;
  /** Monotonic times of its starts, if it crashes executors. */
  startsAtMs: number[];
  /** Monotonic time of the end of its last run. */
  lastRunMs: number;
  /** Monotonic time since which it is not at work. */
  awaySinceMs: number | undefined;
  /** Whether the last run was ended by an order. */
  isStopped: boolean;
  /** Whether an end as done was acknowledged. */
  isDoneNoted: boolean;
  /** Newest run that has ended as done, if any has. */
  doneRun: DoneRun | undefined;
  /** Newest start. */
  newestStart: { text: string; atMs: number } | undefined;
  /** Descriptions of runs whose starts were carried out late, by executor. */
  lateRuns: Map<string, string>;
};

/** Run that has ended as done on a process. */
type DoneRun = { process: MemoryExecutor; atMs: number };

/** Broken promise. */
export type Violation = {
  /**
   * Rule of the platform, or `UNUSED` for an executor that its owner counts as
   * unusable although it answers all calls.
   */
  rule:
    | "LOST"
    | "TWICE"
    | "LIMIT"
    | "UNASKED"
    | "AVAIL"
    | "BUDGET"
    | "QUOTA"
    | "UNUSED";
  task: string;
  text: string;
  atMs: number;
};

/** Checker of the runs of a soak test. */
export type SoakChecker = {
  tasks: Map<string, SoakTask>;
  violations: Violation[];
  addJob(job: SoakJob): void;
  onStarted(host: ExecutorHost, task: string, start: StartCall): void;
  onStopped(
    host: ExecutorHost,
    task: string,
    options: StopCall,
  ): void;
  /** Notes that a run of a task has ended as done. */
  onDone(host: ExecutorHost, task: string): void;
  onAcknowledged(host: ExecutorHost, sequence: number): void;
  /** Notes the end of a process, while its runs are still there. */
  onProcessEnd(host: ExecutorHost): void;
  /**
   * Returns whether so many executors crashed that a job may be given up. A
   * lasting job never is.
   */
  mayFail(job: SoakJob): boolean;
  /** Checks the state of all tasks; calm since a monotonic time, or not. */
  check(calmSinceMs: number | undefined): void;
  cpuOf(task: string): number;
};

/** Options of {@linkcode createSoakChecker}. */
export type SoakCheckerOptions = {
  /** Describes what the owner knows of a task, to trace a broken promise. */
  describeOwner(task: string): string;
  /** Whether the owner may give tasks to an executor. */
  isUsed(executor: string): boolean;
  /** Returns a text if the organisation of the jobs runs too much. */
  findExcess(): string | undefined;
  /** Whether tasks may wait for the cap of the organisation. */
  mayWait(): boolean;
};

/** Creates a checker without jobs. */
export function createSoakChecker(
  hosts: ExecutorHosts,
  { describeOwner, isUsed, findExcess, mayWait }: SoakCheckerOptions,
): SoakChecker {
  const tasks = new Map<string, SoakTask>();
  const violations: Violation[] = [];
  const reported = new Set<string>();

  const report = (violation: Omit<Violation, "atMs">) => {
    const key = `${violation.rule} ${violation.task}`;
    if (reported.has(key)) return;
    reported.add(key);
    const text = `${violation.text}; ${describeOwner(violation.task)}`;
    violations.push({ ...violation, text, atMs: performance.now() });
  };

  const hostsRunning = (task: string) =>
    [...hosts.values()].filter(({ isUp, process }) =>
      isUp && process.running.has(task)
    );

  const isAtWork = (task: string) =>
    hostsRunning(task).some(({ process }) =>
      (process.progress.get(task) ?? 100) >= 100
    );

  const tasksOf = (job: SoakJob) =>
    [...tasks.values()].filter((task) => task.job === job);

  const isHeldBack = ({ deadly, crashCount }: SoakTask) =>
    deadly !== undefined && crashCount >= MIN_CRASHES_TO_FAIL;

  const mayFail = (job: SoakJob) =>
    !job.step.isLasting && tasksOf(job).some(isHeldBack);

  const checkLastingStarts = (host: ExecutorHost, task: SoakTask) => {
    const nowMs = performance.now();
    const recent = task.startsAtMs.filter((atMs) =>
      nowMs - atMs < LASTING_STARTS_MS
    );
    task.startsAtMs = [...recent, nowMs];
    const { length } = task.startsAtMs;
    if (length <= MAX_CRASHES + MAX_FURTHER_STARTS) return;
    const text = `starts on ${host.id}, ${length} times within a minute`;
    report({ rule: "BUDGET", task: task.name, text });
  };

  const checkCrashes = (host: ExecutorHost, task: SoakTask, run: number) => {
    const { name, job, deadly, crashCount } = task;
    if (deadly === undefined) return;
    if (job.step.isLasting) return checkLastingStarts(host, task);
    if (crashCount < MAX_CRASHES) return;
    if (++task.furtherStarts <= MAX_FURTHER_STARTS) return;
    const text = `run ${run} starts on ${host.id} after ${crashCount} crashes`;
    report({ rule: "BUDGET", task: name, text });
  };

  const checkCapacity = (
    host: ExecutorHost,
    name: string,
    { run, sinceSentMs }: StartCall,
  ) => {
    // A start that arrives late may be from before the capacity has shrunk.
    const delayMs = sinceSentMs > MAX_TRANSIT_MS ? sinceSentMs : 0;
    const cpu = host.capacity.countedCpu(performance.now() - delayMs);
    if (host.guardsCapacity || host.usedCpu() <= cpu) return;
    const text = `run ${run} brings ${host.id} to ${host.usedCpu()} mcpu of ` +
      `${cpu} mcpu`;
    report({ rule: "LIMIT", task: name, text });
  };

  /** An end that is acknowledged counts from then on, unless a lease lapsed. */
  const checkStartsSince = (process: MemoryExecutor, task: SoakTask) => {
    const { doneRun, newestStart } = task;
    if (doneRun?.process !== process || newestStart === undefined) return;
    if (newestStart.atMs <= doneRun.atMs) return;
    const isLapsed = process.lapsedAtMs >= doneRun.atMs ||
      process.clockMs() > process.leaseExpiryMs;
    if (isLapsed) return;
    const text = `${newestStart.text} had started after the end as done that ` +
      `${process.report.id} is told to forget`;
    report({ rule: "TWICE", task: task.name, text });
  };

  const countCandidates = ({ job }: SoakTask): number => {
    const { size, maxPerExecutor } = job.step;
    let count = 0;
    for (const host of hosts.values()) {
      if (!host.isUp || !host.isListed || host.report.isDraining) continue;
      const { capacity, report } = host;
      const cpu = Math.min(capacity.currentCpu(), report.capacity.cpu);
      if (host.usedCpu() + size.cpu > cpu) continue;
      const ofStep = [...host.process.running.keys()]
        .filter((name) => tasks.get(name)?.job === job).length;
      if (maxPerExecutor > 0 && ofStep >= maxPerExecutor) continue;
      count++;
    }
    return count;
  };

  const checkRunning = (task: SoakTask, calmSinceMs: number) => {
    const nowMs = performance.now();
    const { job, name } = task;
    if (job.cancelledAtMs !== undefined || isHeldBack(task)) return;
    const sinceMs = Math.max(
      task.lastRunMs + MIN_SINCE_RUN_MS,
      job.acceptedAtMs + MIN_SINCE_RUN_MS,
      calmSinceMs + RECOVERY_MS,
      task.lastRunMs + MAX_AWAY_MS,
    );
    if (!job.step.isLasting || nowMs < sinceMs) return;
    if (hostsRunning(name).length > 0 || mayWait()) return;
    const candidates = countCandidates(task);
    if (candidates < MIN_CANDIDATES) return;
    report({
      rule: "LOST",
      task: name,
      text: `is to last and does not run, with ${candidates} candidates`,
    });
  };

  const checkUsed = (host: ExecutorHost, calmSinceMs: number) => {
    if (performance.now() < calmSinceMs + RECOVERY_MS) return;
    if (!host.isUp || !host.isListed || host.report.isDraining) return;
    if (isUsed(host.id)) return;
    report({ rule: "UNUSED", task: host.id, text: "gets no tasks" });
  };

  const checkCancelled = (task: SoakTask, calmSinceMs: number) => {
    const { job, name } = task;
    if (job.cancelledAtMs === undefined) return;
    const sinceMs = Math.max(job.cancelledAtMs, calmSinceMs);
    if (performance.now() < sinceMs + MAX_CANCELLING_MS) return;
    if (hostsRunning(name).length === 0) return;
    report({ rule: "UNASKED", task: name, text: "runs though cancelled" });
  };

  return {
    tasks,
    violations,
    mayFail,
    cpuOf: (task) => tasks.get(task)?.job.step.size.cpu ?? 0,
    addJob(job) {
      for (let index = 0; index < job.step.count; index++) {
        const name = `${job.id}.0.0.${index}`;
        tasks.set(name, {
          name,
          job,
          deadly: index === job.deadly?.index ? job.deadly : undefined,
          crashCount: 0,
          furtherStarts: 0,
          startsAtMs: [],
          lastRunMs: job.acceptedAtMs,
          awaySinceMs: performance.now(),
          isStopped: false,
          isDoneNoted: false,
          doneRun: undefined,
          newestStart: undefined,
          lateRuns: new Map(),
        });
      }
    },
    onStarted(host, name, start) {
      const { run, sinceSentMs } = start;
      const task = tasks.get(name);
      if (task === undefined) {
        report({ rule: "UNASKED", task: name, text: "is not known" });
        return;
      }
      task.lateRuns.delete(host.id);
      if (sinceSentMs > MAX_TRANSIT_MS) {
        const lateness = `${Math.round(sinceSentMs)} ms after it was sent`;
        task.lateRuns.set(host.id, `${host.id} (${lateness})`);
      }
      const describe = ({ id }: ExecutorHost) => task.lateRuns.get(id) ?? id;
      const place = describe(host);
      const others = hostsRunning(name).filter((other) => other !== host);
      if (others.length > 0) {
        const ids = others.map(describe).join(" and ");
        report({
          rule: "TWICE",
          task: name,
          text: `run ${run} starts on ${place} while it runs on ${ids}`,
        });
      }
      if (task.isDoneNoted) {
        const text = `run ${run} starts on ${place} after an end as done`;
        report({ rule: "TWICE", task: name, text });
      }
      task.newestStart = {
        text: `run ${run} on ${place}`,
        atMs: performance.now(),
      };
      checkCapacity(host, name, start);
      const excess = findExcess();
      if (excess !== undefined) {
        const text = `run ${run} on ${place} ${excess}`;
        report({ rule: "QUOTA", task: name, text });
      }
      checkCrashes(host, task, run);
    },
    onStopped(host, name, { run, sinceSentMs, lastHarmMs }) {
      const task = tasks.get(name);
      if (task === undefined) return;
      const { job } = task;
      const wasAtWork = (host.process.progress.get(name) ?? 100) >= 100;
      const isSound = host.isListed && !host.report.isDraining;
      task.isStopped = true;
      if (!job.step.isLasting || job.cancelledAtMs !== undefined) return;
      if (!wasAtWork || !isSound || sinceSentMs > MAX_TRANSIT_MS) return;
      if (performance.now() - lastHarmMs < HELD_UP_MS) return;
      if (hostsRunning(name).length > 0) return;
      const nowMs = performance.now();
      const away = tasksOf(job).filter((other) =>
        other !== task && !isAtWork(other.name) &&
        (other.isStopped ||
          nowMs - (other.awaySinceMs ?? nowMs) >= AWAY_NOTICE_MS)
      );
      if (away.length < Math.max(job.step.maxAway, 1)) return;
      const names = away.map((other) => other.name.slice(-1)).join(", ");
      report({
        rule: "AVAIL",
        task: name,
        text: `run ${run} is stopped on ${host.id} while ${names} are away`,
      });
    },
    onDone({ process }, name) {
      const task = tasks.get(name);
      if (task === undefined) return;
      task.doneRun = { process, atMs: performance.now() };
    },
    onAcknowledged({ process }, sequence) {
      for (const end of process.ends) {
        if (end.sequence > sequence || end.result !== "done") continue;
        const task = tasks.get(end.task);
        if (task === undefined) continue;
        task.isDoneNoted = true;
        checkStartsSince(process, task);
      }
    },
    onProcessEnd({ process }) {
      for (const name of process.running.keys()) {
        const task = tasks.get(name);
        if (task !== undefined) task.crashCount++;
      }
    },
    check(calmSinceMs) {
      const nowMs = performance.now();
      for (const task of tasks.values()) {
        if (hostsRunning(task.name).length > 0) task.lastRunMs = nowMs;
        if (isAtWork(task.name)) {
          task.awaySinceMs = undefined;
          task.isStopped = false;
        } else task.awaySinceMs ??= nowMs;
        if (calmSinceMs === undefined) continue;
        checkRunning(task, calmSinceMs);
        checkCancelled(task, calmSinceMs);
      }
      if (calmSinceMs === undefined) return;
      for (const host of hosts.values()) checkUsed(host, calmSinceMs);
    },
  };
}
