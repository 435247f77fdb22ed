import { beforeEach, describe, expect, test } from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import {
  createAccepted,
  createStep,
  JOB_ID,
  NEXT_JOB_ID,
  PARTITION,
} from "../_record_fixtures.ts";
import { encodeCancellation } from "../owned/load_partition.ts";
import type { AcceptedJob } from "../submission.ts";
import { JOBS_TOPIC, PROGRESS_TOPIC } from "../topics.ts";
import { createStoredStates, type StoredStates } from "./stored_states.ts";

const OTHER_PARTITION = 5;

let store: MemoryStore;
let states: StoredStates;

/** Stores the record of an accepted job. */
function accept(id: string, fields: Partial<AcceptedJob> = {}): void {
  const accepted = { ...createAccepted([createStep()]), ...fields };
  const partition = { topic: JOBS_TOPIC, partition: PARTITION };
  store.put(partition, { key: id, value: JSON.stringify(accepted) });
}

/** Stores a document of the progress topic. */
function putProgress(key: string, document: object): void {
  store.put({ topic: PROGRESS_TOPIC, partition: PARTITION }, {
    key,
    value: JSON.stringify({ done: {}, failed: {}, ...document }),
  });
}

const find = (id = JOB_ID, organisation?: string) =>
  states.find(PARTITION, {
    job: id,
    caller: organisation === undefined ? {} : { organisation },
  });

beforeEach(() => {
  store = createMemoryStore({ partitions: 8 });
  states = createStoredStates({
    store,
    layout: () =>
      new Map([["quoting", [PARTITION]], ["orders", [OTHER_PARTITION]]]),
  });
});

describe("createStoredStates", () => {
  // Guards against an end that no owner has stored.
  test("shows a job as ended only once its end is stored", async () => {
    accept(JOB_ID);
    expect(await find()).toEqual({ type: "known", value: "queued" });
    putProgress(JOB_ID, { service: "quoting" });
    expect(await find()).toEqual({ type: "known", value: "queued" });
    putProgress(JOB_ID, { service: "quoting", hasStarted: true });
    expect(await find()).toEqual({ type: "known", value: "running" });
    putProgress(JOB_ID, { service: "quoting", done: { "0.0": "3" } });
    expect(await find()).toEqual({ type: "known", value: "running" });
    putProgress(JOB_ID, { outcome: "completed", endedAtMs: 5 });
    expect(await find()).toEqual({ type: "known", value: "completed" });
  });

  // Guards against a cancellation that is shown as the end of a job which
  // completes before its owner reads it.
  test("shows a cancelled job as ended only once its end is stored", async () => {
    accept(JOB_ID);
    putProgress(JOB_ID, { service: "quoting", hasStarted: true });
    store.put(
      { topic: JOBS_TOPIC, partition: PARTITION },
      encodeCancellation(JOB_ID, { cancelledAtMs: 1 }),
    );
    expect(await find()).toEqual({ type: "known", value: "running" });
    putProgress(JOB_ID, { outcome: "cancelled", endedAtMs: 5 });
    expect(await find()).toEqual({ type: "known", value: "cancelled" });
  });

  // Guards against an accepted job that is denied, as its record is not there
  // yet or the store does not answer.
  test("never tells that there is no job", async () => {
    expect(await find(NEXT_JOB_ID)).toBeUndefined();
    accept(JOB_ID);
    store.fault = "refusing";
    expect(await find()).toBeUndefined();
    store.fault = undefined;
    expect(await find()).toEqual({ type: "known", value: "queued" });
  });

  // Guards against a state that is older than the question.
  test("reads what was stored since the last query, also behind a gap", async () => {
    accept(JOB_ID);
    await find();
    accept(NEXT_JOB_ID);
    putProgress(JOB_ID, { outcome: "failed", endedAtMs: 5 });
    for (const topic of [JOBS_TOPIC, PROGRESS_TOPIC]) {
      store.dropHistory({ topic, partition: PARTITION });
    }
    expect(await find()).toEqual({ type: "known", value: "failed" });
    expect(await find(NEXT_JOB_ID)).toEqual({ type: "known", value: "queued" });
    const partition = { topic: JOBS_TOPIC, partition: PARTITION };
    store.put(partition, { key: NEXT_JOB_ID, value: undefined });
    expect(await find(NEXT_JOB_ID)).toBeUndefined();
  });

  // Guards against the job of another organisation.
  test("shows a job to its organisation only", async () => {
    accept(JOB_ID, { organisation: "north" });
    expect(await find(JOB_ID, "north")).toMatchObject({ type: "known" });
    expect(await find(JOB_ID, "south")).toBeUndefined();
  });

  // Guards against a state that the partition of another service decides.
  test("names the partition of a job that was handed on", async () => {
    accept(JOB_ID, { service: "orders" });
    expect(await find()).toEqual({ type: "known", value: "queued" });
    // It is being handed on, and may have ended there.
    putProgress(JOB_ID, { service: "orders" });
    expect(await find()).toBeUndefined();
    putProgress(JOB_ID, { service: "orders", isForwarded: true });
    expect(await find()).toEqual({
      type: "elsewhere",
      partition: OTHER_PARTITION,
    });
  });

  // Guards against a long schedule that can't be shown.
  test("shows a job whose progress is stored in pieces as running", async () => {
    accept(JOB_ID);
    store.put({ topic: PROGRESS_TOPIC, partition: PARTITION }, {
      key: JOB_ID,
      value: JSON.stringify({ pieces: 2 }),
    });
    expect(await find()).toEqual({ type: "known", value: "running" });
  });

  // Guards against all queries of a silent owner's jobs reading its partition.
  test("shares the reads of queries at the same time", async () => {
    accept(JOB_ID);
    await Promise.all(Array.from({ length: 50 }, () => find()));
    expect(store.calls["readNewest"]).toBeLessThanOrEqual(2);
    expect(store.calls["read"]).toBeLessThanOrEqual(2);
  });
});
