import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime } from "../_fixtures.ts";
import { PROGRESS_TOPIC } from "../topics.ts";
import {
  createProgressLog,
  type ProgressLog,
  type ProgressLogOptions,
} from "./progress_log.ts";
import { joinValues } from "./record_pieces.ts";

/** More records than one append holds. */
const RECORDS = 600;

const PROGRESS = { topic: PROGRESS_TOPIC, partition: 0 };

/** Length that no append to the store may have. */
const REJECTED_BYTES = 3_000_000;

/** Length of a value that the store takes only in pieces. */
const LONG_BYTES = 700_000;

/** Creates a log of the first writer, with some options replaced. */
function createLog(
  store: MemoryStore,
  options: Partial<ProgressLogOptions> = {},
): ProgressLog {
  return createProgressLog({
    store,
    partition: PROGRESS,
    writer: { name: "owner-0", epoch: 1 },
    onFenced: () => undefined,
    onFailure: () => undefined,
    onRejected: () => undefined,
    ...options,
  });
}

describe("createProgressLog", () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  /** Puts many records, and some of them again, and returns what is stored. */
  async function storeRecords(): Promise<string[][]> {
    const store = createMemoryStore({ partitions: 1 });
    const { append } = store;
    const batches: string[][] = [];
    store.append = (partition, request) => {
      batches.push(request.records.map(({ key }) => key));
      return append(partition, request);
    };
    const log = createLog(store);
    log.put("first", () => "{}");
    log.put("handover", () => undefined);
    for (let index = 0; index < RECORDS; index++) {
      log.put(`job-${index}`, () => "{}");
    }
    log.put("handover", () => "{}", { isLast: true });
    for (let index = 0; index < RECORDS; index += 2) {
      log.put(`job-${index}`, () => "{}");
    }
    await advanceTime(1_000);
    log.close();
    return batches;
  }

  // Guards against a handover that is stored before the ends of runs that it
  // leaves out, so that the next owner starts their tasks again (TWICE).
  test("stores a last value after all that were put before it", async () => {
    const batches = await storeRecords();
    expect(batches.flat()).toHaveLength(RECORDS + 2);
    expect(batches.at(-1)!.at(-1)).toBe("handover");
  });

  // Guards against ends of runs that a later end of their job moves behind the
  // handover that leaves them out (TWICE).
  test("stores a value that is put again where it was", async () => {
    const keys = (await storeRecords()).flat();
    const jobs = keys.filter((key) => key.startsWith("job-"));
    expect(jobs).toEqual(
      Array.from({ length: RECORDS }, (_, index) => `job-${index}`),
    );
  });

  /** Creates a log that tells of rejected values, and a reader of its store. */
  function createRejectingLog(
    onRejected: (key: string, log: ProgressLog) => void,
  ) {
    const store = createMemoryStore({ partitions: 1 });
    const log: ProgressLog = createLog(store, {
      onRejected: ({ largestKey }) => onRejected(largestKey, log),
    });
    const stored = () => {
      const values = store.readNewestValues(PROGRESS);
      return joinValues([...values].map(([key, value]) => ({ key, value })));
    };
    return { log, store, stored };
  }

  // Guards against a value that the store never takes and that is repeated for
  // good, so that nothing else of its partition is stored (LOST).
  test("stores all values but the one that the store rejects", async () => {
    const rejected: string[] = [];
    const { log, stored } = createRejectingLog((key) => rejected.push(key));
    for (let index = 0; index < 10; index++) {
      log.put(
        `job-${index}`,
        () => index === 6 ? "x".repeat(REJECTED_BYTES) : `{"index":${index}}`,
      );
    }
    await advanceTime(1_000);
    expect(rejected).toEqual(["job-6"]);
    expect([...stored().values.keys()].sort()).toEqual(
      [0, 1, 2, 3, 4, 5, 7, 8, 9].map((index) => `job-${index}`),
    );
    log.put("later", () => "{}");
    await advanceTime(500);
    expect(stored().values.has("later")).toBe(true);
  });

  // Guards against a task that starts, or an end that is acknowledged, though
  // nothing of it is stored (TWICE).
  test("calls back once what replaces a rejected value is stored", async () => {
    const { log, stored } = createRejectingLog((key, log) =>
      log.put(key, () => "failed")
    );
    log.put("job", () => "x".repeat(REJECTED_BYTES));
    let valueAtCall: string | undefined;
    log.whenStored(() => valueAtCall = stored().values.get("job"));
    await advanceTime(1_000);
    expect(valueAtCall).toBe("failed");
  });

  // Guards against a job or a handover that is lost as it is longer than one
  // record of the store may be.
  test("stores a long value in pieces and deletes those left over", async () => {
    const { log, store, stored } = createRejectingLog(() => {
      throw new Error("rejected");
    });
    const long = "long é".repeat(LONG_BYTES / 6);
    log.put("job", () => long);
    await advanceTime(500);
    expect(stored().values.get("job")).toBe(long);
    log.put("job", () => long.slice(0, LONG_BYTES / 2));
    await advanceTime(500);
    expect(stored().values.get("job")).toBe(long.slice(0, LONG_BYTES / 2));
    log.put("job", () => "{}");
    await advanceTime(500);
    expect([...store.readNewestValues(PROGRESS)]).toEqual([["job", "{}"]]);
  });

  // Guards against pieces of an earlier owner that stay in the store.
  test("deletes the pieces that an earlier writer has left", async () => {
    const { log, store, stored } = createRejectingLog(() => undefined);
    log.put("job", () => "x".repeat(LONG_BYTES));
    await advanceTime(500);
    const next = createLog(store, { writer: { name: "owner-0", epoch: 2 } });
    next.restorePieces(stored().pieceCounts);
    next.put("job", () => undefined);
    await advanceTime(500);
    expect(store.readNewestValues(PROGRESS).size).toBe(0);
  });
});
