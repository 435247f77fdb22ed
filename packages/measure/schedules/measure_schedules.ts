/**
 * Measures what a job that runs many times costs its owner, the store and the
 * next owner.
 *
 * @module
 */

import {
  createPartitionOwner,
  type ExecutorReport,
  JOBS_TOPIC,
  type PartitionOwner,
} from "@lagoonloom/jobs";
import {
  createMemoryExecutors,
  createMemoryStore,
  type MemoryExecutor,
  type MemoryExecutors,
  type MemoryStore,
} from "@lagoonloom/standins";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createAccepted,
  createReport,
  createStep,
  JOB_ID,
  PARTITION,
} from "../../jobs/_record_fixtures.ts";
import type { MeasureRow } from "../measure_row.ts";

/** Numbers of times for which a job is measured. */
export const SCHEDULE_SIZES = [10, 1_000, 20_160, 525_600, 100_000_000];

/** When the times of a job are due. */
export type ScheduleDue = "long-ago" | "now" | "future";

const EXECUTORS = 8;

/** Time for which the first owner runs the job. */
const RUN_MS = 3_000;

/** Interval at which executors end what they run, as done. */
const WORK_MS = 20;

/** Longest wait for the first start by the next owner. */
const TAKEOVER_MS = 10_000;

const MINUTE_MS = 60_000;

/** Schedule of a job by the time at which its runs are due. */
function scheduleOf(due: ScheduleDue, times: number) {
  const nowMs = Date.now();
  switch (due) {
    case "long-ago":
      return { firstRunMs: 0, intervalMs: 0 };
    case "now":
      return { firstRunMs: nowMs, intervalMs: 1 };
    case "future":
      // All but the first times come later.
      return { firstRunMs: nowMs, intervalMs: times > 1 ? MINUTE_MS : 0 };
  }
}

/** Platform in memory with one job and the executors of its service. */
type Scene = {
  store: MemoryStore;
  executors: MemoryExecutors;
  hosts: MemoryExecutor[];
  reports: Map<string, ExecutorReport>;
};

function createScene(due: ScheduleDue, times: number): Scene {
  const scene: Scene = {
    store: createMemoryStore({ partitions: PARTITION + 1 }),
    executors: createMemoryExecutors(),
    hosts: [],
    reports: new Map(),
  };
  for (let index = 0; index < EXECUTORS; index++) {
    const report = createReport(`e${index}`);
    scene.reports.set(report.id, report);
    scene.hosts.push(scene.executors.add(report));
  }
  const step = createStep({ count: 1, estimateMs: WORK_MS });
  const accepted = createAccepted([step]);
  Object.assign(accepted.submission, {
    ...scheduleOf(due, times),
    occurrences: times,
  });
  scene.store.put({ topic: JOBS_TOPIC, partition: PARTITION }, {
    key: JOB_ID,
    value: JSON.stringify(accepted),
  });
  return scene;
}

function startOwner(scene: Scene, epoch: number): PartitionOwner {
  return createPartitionOwner({
    partition: PARTITION,
    epoch,
    store: scene.store,
    executorClient: scene.executors,
    adviceClient: undefined,
    view: {
      configuration: () => undefined,
      layout: () => new Map([["quoting", [PARTITION]]]),
      requestLayout: () => undefined,
      executors: () => scene.reports,
      hasExecutorList: () => true,
      executorsReadAtMs: () => performance.now(),
    },
    listMachines: () => Promise.resolve([]),
    leaseMs: 4_500,
    maxLeaseMs: 6_000,
    confirmedAtMs: () => performance.now(),
    undisputedAtMs: () => performance.now(),
    endedJobRetentionMs: 120_000,
    queryJob: () => Promise.resolve({ type: "unavailable" }),
    events: { log: () => undefined },
    onLoadTimeout: () => undefined,
    onLost: () => undefined,
  });
}

function countStarts({ hosts }: Scene): number {
  return hosts.reduce((sum, { starts }) => sum + starts.length, 0);
}

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns the bytes of the heap that are in use after a collection. */
function measureHeapBytes(): number {
  setFlagsFromString("--expose_gc");
  (runInNewContext("gc") as () => void)();
  return process.memoryUsage().heapUsed;
}

/** Measures one job; a next owner takes over from one that is killed. */
export async function measureSchedule(
  due: ScheduleDue,
  times: number,
): Promise<MeasureRow[]> {
  const scene = createScene(due, times);
  const { store } = scene;
  let longestBytes = 0;
  const { append } = store;
  store.append = (partition, options) => {
    for (const { value } of options.records) {
      longestBytes = Math.max(longestBytes, Buffer.byteLength(value ?? ""));
    }
    return append(partition, options);
  };
  const heapBefore = measureHeapBytes();
  const startedAtMs = performance.now();
  const first = startOwner(scene, 1);
  const work = setInterval(() => {
    for (const host of scene.hosts) {
      for (const task of [...host.running.keys()]) host.end(task, "done");
    }
  }, WORK_MS);
  await pause(RUN_MS);
  const starts = countStarts(scene);
  const ranMs = performance.now() - startedAtMs;
  const heapBytes = measureHeapBytes() - heapBefore;
  first.close();
  const killedAtMs = performance.now();
  const next = startOwner(scene, 2);
  while (
    countStarts(scene) === starts &&
    performance.now() - killedAtMs < TAKEOVER_MS
  ) await pause(1);
  const hasStarted = countStarts(scene) > starts;
  const takeoverMs = performance.now() - killedAtMs;
  next.close();
  clearInterval(work);
  const rowOf = (measure: string, value: number, unit: string) => ({
    measure: `schedule-${measure}`,
    deployment: `${times} ${due}`,
    policy: "chosen",
    value,
    unit,
  });
  return [
    rowOf("owner-heap", heapBytes / 1_048_576, "MB"),
    rowOf("longest-record", longestBytes, "B"),
    rowOf("starts", 1_000 * starts / ranMs, "/s"),
    // A job that is done, or whose next time comes later, starts no more.
    ...(hasStarted ? [rowOf("next-owner-start", takeoverMs, "ms")] : []),
  ];
}

/** Measures jobs of all sizes, due long ago, now and later. */
export async function measureSchedules(): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = [];
  for (const due of ["long-ago", "now", "future"] as const) {
    for (const times of SCHEDULE_SIZES) {
      rows.push(...await measureSchedule(due, times));
    }
  }
  return rows;
}
