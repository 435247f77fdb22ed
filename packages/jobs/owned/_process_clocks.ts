/**
 * Processes that a test can stop: each has a monotonic clock and timers of its
 * own, on top of the fake timers of the test.
 *
 * @module
 */

import { AsyncLocalStorage } from "node:async_hooks";

/** Process in a test, with everything that its asynchronous calls start. */
export type Process = {
  /** Runs a function whose clock and timers are those of the process. */
  run<Result>(action: () => Result): Result;
  /** Resolves at once, or when the process goes on. */
  whenRunning(): Promise<void>;
  /** Stops the process; both clocks go on. */
  pause(): void;
  /** Suspends its machine; only the time of day goes on. */
  suspend(): void;
  /** Continues the process after a pause or a suspension. */
  resume(): void;
  /** Ends the process for good. */
  kill(): void;
};

type Timer = {
  callback: () => void;
  dueMs: number;
  repeatMs: number | undefined;
  handle: NodeJS.Timeout | undefined;
};

type TimedProcess = Process & {
  nowMs(): number;
  schedule(callback: () => void, ms: number, repeatMs?: number): Timer;
  cancel(timer: Timer): void;
};

/** Difference between the clocks of two processes that start one by one. */
const CLOCK_SPACING_MS = 7_000;

/** Process whose code runs; undefined outside of all. */
const current = new AsyncLocalStorage<TimedProcess | undefined>();

/** Process by its timers, which `clearTimeout` gets. */
const processOf = new WeakMap<object, TimedProcess>();

/** Clocks and processes of a test. */
export type ProcessClocks = {
  createProcess(): Process;
  /** Ends all processes and restores the clock; call it before real timers. */
  restore(): void;
};

/** Runs a function by the clock and the timers of the test. */
export function runOutside<Result>(action: () => Result): Result {
  return current.run(undefined, action);
}

/**
 * Gives processes clocks and timers of their own. The test must use fake timers
 * already.
 */
export function installProcessClocks(): ProcessClocks {
  const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
  const { performance } = globalThis;
  const testNow = performance.now;
  const processes: TimedProcess[] = [];
  const nowMs = () => testNow.call(performance);

  performance.now = () => current.getStore()?.nowMs() ?? nowMs();
  const schedule = (
    isRepeated: boolean,
    callback: (...values: unknown[]) => void,
    ...[ms = 0, ...values]: [number?, ...unknown[]]
  ) => {
    const process = current.getStore();
    if (process === undefined) {
      const set = isRepeated ? setInterval : setTimeout;
      return set(callback, ms, ...values);
    }
    const repeatMs = isRepeated ? ms : undefined;
    return process.schedule(() => callback(...values), ms, repeatMs);
  };
  const cancel = (timer: unknown) => {
    const process = processOf.get(Object(timer) as object);
    if (process !== undefined) process.cancel(timer as Timer);
    else clearTimeout(timer as NodeJS.Timeout);
  };
  Object.assign(globalThis, {
    setTimeout: schedule.bind(undefined, false),
    setInterval: schedule.bind(undefined, true),
    clearTimeout: cancel,
    clearInterval: cancel,
  });

  return {
    createProcess() {
      // The monotonic clocks of processes have nothing in common.
      const originMs = CLOCK_SPACING_MS * processes.length;
      const process = createProcess({
        nowMs: () => nowMs() + originMs,
        setTimeout,
        clearTimeout,
      });
      processes.push(process);
      return process;
    },
    restore() {
      for (const process of processes) process.kill();
      performance.now = testNow;
      Object.assign(globalThis, {
        setTimeout,
        setInterval,
        clearTimeout,
        clearInterval,
      });
    },
  };
}

type TestTimers = {
  nowMs(): number;
  setTimeout: typeof globalThis.setTimeout;
  clearTimeout: typeof globalThis.clearTimeout;
};

function createProcess(test: TestTimers): TimedProcess {
  let state: "running" | "paused" | "suspended" | "ended" = "running";
  let suspendedMs = 0;
  let suspendedAtMs = 0;
  /** Timers that were due while the process stood still. */
  const held = new Set<Timer>();
  let waiting: (() => void)[] = [];

  const arm = (timer: Timer) => {
    const ms = Math.max(0, timer.dueMs - process.nowMs());
    timer.handle = test.setTimeout(() => fire(timer), ms);
  };

  const fire = (timer: Timer) => {
    if (state === "ended") return;
    if (state !== "running") return void held.add(timer);
    if (timer.dueMs > process.nowMs()) return arm(timer);
    if (timer.repeatMs !== undefined) {
      timer.dueMs = process.nowMs() + timer.repeatMs;
      arm(timer);
    }
    current.run(process, timer.callback);
  };

  const process: TimedProcess = {
    run: (action) => current.run(process, action),
    whenRunning: () =>
      state === "running"
        ? Promise.resolve()
        : new Promise((resolve) => waiting.push(resolve)),
    pause() {
      if (state === "running") state = "paused";
    },
    suspend() {
      if (state !== "running") return;
      state = "suspended";
      suspendedAtMs = test.nowMs();
    },
    resume() {
      if (state !== "paused" && state !== "suspended") return;
      if (state === "suspended") suspendedMs += test.nowMs() - suspendedAtMs;
      state = "running";
      // Timers that are due come before answers, as in Node.js.
      const timers = [...held].sort((a, b) => a.dueMs - b.dueMs);
      held.clear();
      for (const timer of timers) arm(timer);
      const resumed = waiting;
      waiting = [];
      for (const resolve of resumed) test.setTimeout(resolve, 1);
    },
    kill() {
      state = "ended";
      held.clear();
      waiting = [];
    },
    nowMs: () =>
      (state === "suspended" ? suspendedAtMs : test.nowMs()) - suspendedMs,
    schedule(callback, ms, repeatMs) {
      const dueMs = process.nowMs() + ms;
      const timer: Timer = { callback, dueMs, repeatMs, handle: undefined };
      processOf.set(timer, process);
      arm(timer);
      return timer;
    },
    cancel(timer) {
      held.delete(timer);
      test.clearTimeout(timer.handle);
      timer.repeatMs = undefined;
      timer.callback = () => undefined;
    },
  };
  return process;
}
