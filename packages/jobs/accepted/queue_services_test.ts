import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createMemoryStore, type MemoryStore } from "@lagoonloom/standins";
import { advanceTime, createConfiguration } from "../_fixtures.ts";
import type { Queue } from "../fleet.ts";
import type { RecordOutcome } from "./accept_job.ts";
import {
  createQueueServices,
  QUEUES_PARTITION,
  type QueueServices,
} from "./queue_services.ts";

/** Time in which a service is stored or refused. */
const RECORD_MS = 2_000;

/** Creates the queue of the tests, sent to a service. */
function createQueue(service: string): Queue {
  return createConfiguration({ service }).queues[0]!;
}

describe("createQueueServices", () => {
  let store: MemoryStore;
  let open: QueueServices[];

  beforeEach(() => {
    jest.useFakeTimers();
    store = createMemoryStore({ partitions: 8 });
    open = [];
  });

  afterEach(() => {
    for (const queueServices of open) queueServices.close();
    jest.useRealTimers();
  });

  const create = async (): Promise<QueueServices> => {
    const queueServices = createQueueServices({
      store,
      events: { log: () => undefined },
    });
    open.push(queueServices);
    await advanceTime(10);
    return queueServices;
  };

  const record = async (
    queueServices: QueueServices,
    service: string,
  ): Promise<RecordOutcome> => {
    const recorded = queueServices.record(createQueue(service));
    await advanceTime(RECORD_MS);
    return await recorded;
  };

  // Guards against 410 for a job (LOST) from a member that has started later,
  // or whose configuration never had the service.
  test("knows the services that other members have stored", async () => {
    const first = await create();
    const second = await create();
    await record(first, "quoting");
    await record(second, "orders");
    for (const queueServices of [first, second, await create()]) {
      expect(queueServices.servicesOf(createQueue("shipping")))
        .toEqual(["shipping", "quoting", "orders"]);
      expect(queueServices.servicesOf(createQueue("orders")))
        .toEqual(["orders", "quoting"]);
    }
  });

  test("knows only the present service of a queue of another prefix", async () => {
    const queueServices = await create();
    await record(queueServices, "quoting");
    const other = { ...createQueue("orders"), pathPrefix: "/other/" };
    expect(queueServices.servicesOf(other)).toEqual(["orders"]);
  });

  // Guards against a call to the store for each submission.
  test("stores the service of a queue once", async () => {
    const queueServices = await create();
    await Promise.all([
      record(queueServices, "quoting"),
      record(queueServices, "quoting"),
    ]);
    const calls = { ...store.calls };
    expect(calls["append"]).toBe(1);
    const queue = createQueue("quoting");
    expect(await queueServices.record(queue))
      .toEqual({ type: "stored" });
    expect(store.calls).toEqual(calls);
  });

  // Guards against a job that is accepted, but can't be found after the next
  // change of its queue.
  test("refuses while the store does", async () => {
    const queueServices = await create();
    store.fault = "refusing";
    expect((await record(queueServices, "quoting")).type).toBe("refused");
    store.fault = undefined;
    expect((await record(queueServices, "quoting")).type).toBe("stored");
  });

  // Guards against refused submissions although the service is stored.
  test("takes a service as stored although the answer was lost", async () => {
    const queueServices = await create();
    store.fault = "losingAnswers";
    expect((await record(queueServices, "quoting")).type).toBe("stored");
  });

  // Guards against a member that serves no one as another writer has left a
  // record that can't be decoded.
  test("ignores a record that it can't decode", async () => {
    store.put(QUEUES_PARTITION, { key: "k", value: "{" });
    const queueServices = await create();
    expect(queueServices.isComplete()).toBe(true);
    expect((await record(queueServices, "quoting")).type).toBe("stored");
  });
});
