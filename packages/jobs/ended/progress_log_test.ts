import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore } from "@lagoonloom/standins";
import { advanceTime } from "../_fixtures.ts";
import { PROGRESS_TOPIC } from "../topics.ts";
import { createProgressLog } from "./progress_log.ts";

/** More records than one append holds. */
const RECORDS = 600;

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
    const log = createProgressLog({
      store,
      partition: { topic: PROGRESS_TOPIC, partition: 0 },
      writer: { name: "owner-0", epoch: 1 },
      onFenced: () => undefined,
      onFailure: () => undefined,
    });
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
});
