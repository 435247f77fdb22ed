import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createTestFleet } from "@lagoonloom/standins";
import {
  createDeployment,
  publicationOf,
  type TestDaemon,
} from "./_fixtures.ts";

const advanceTime = (ms: number) => jest.advanceTimersByTimeAsync(ms);

beforeEach(() => {
  jest.useFakeTimers({
    doNotFake: ["nextTick", "queueMicrotask", "setImmediate"],
  });
});

afterEach(() => {
  jest.clearAllTimers();
  jest.useRealTimers();
});

type Deployment = ReturnType<typeof createDeployment> & {
  daemons: TestDaemon[];
};

/** Fault that occurs just before the host is marked as leaving. */
type Fault = (deployment: Deployment) => unknown;

const FAULTS: Record<string, Fault> = {
  "the answer of the log is lost": ({ store }) => store.faults.lostAnswers = 2,
  "the log is slow": ({ store }) => store.faults.delayMs = 300,
  "an entry host is cut off": ({ daemons }) => daemons[1]!.isCutOff = true,
  "an entry host is killed": ({ kill, daemons }) => kill(daemons.pop()!),
  "an entry host starts": ({ start, daemons }) => daemons.push(start(3)),
  "another operator publishes": ({ daemons }) =>
    daemons[1]!.operatorHandlers.submitChange(
      publicationOf("p3", { expectedVersion: 1, set: createSet("leaving") }),
    ),
  "an entry host is cut off and an answer is lost": ({ store, daemons }) => {
    daemons[1]!.isCutOff = true;
    store.faults.lostAnswers = 2;
  },
};

function createSet(state: "in-service" | "leaving") {
  const set = createTestFleet({ pools: { quoting: 1 } });
  set.hosts["quoting-1"]!.state = state;
  return set;
}

function usableSlots({ requestPath }: TestDaemon): number {
  return requestPath.freeSlotsByPool().get("quoting") ?? 0;
}

async function createFleet(): Promise<Deployment> {
  const deployment = createDeployment();
  const daemons = [deployment.start(1), deployment.start(2)];
  await advanceTime(2_000);
  const set = createSet("in-service");
  const publication = publicationOf("p1", { expectedVersion: 0, set });
  void daemons[0]!.operatorHandlers.submitChange(publication);
  await advanceTime(2_000);
  expect(daemons.map(usableSlots)).toEqual([4, 4]);
  return { ...deployment, daemons };
}

async function markLeaving({ daemons }: Deployment): Promise<void> {
  const set = createSet("leaving");
  const publication = publicationOf("p2", { expectedVersion: 1, set });
  void daemons[0]!.operatorHandlers.submitChange(publication);
  await advanceTime(3_000);
}

describe("a leaving host", () => {
  // Guards against an entry host that sends new requests to a leaving host
  // because the mark did not reach it within 3 s of the fake clock.
  test.each(Object.entries(FAULTS))(
    "gets no work when %s",
    async (_, fault) => {
      const deployment = await createFleet();
      void fault(deployment);
      await markLeaving(deployment);
      const slots = deployment.daemons.map(usableSlots);
      expect(slots).toEqual(deployment.daemons.map(() => 0));
      const versions = deployment.daemons.map((it) =>
        it.fold.state().setVersion
      );
      expect(versions).toEqual(deployment.daemons.map(() => 2));
    },
  );

  // Guards against a mark that is lost while the log is down, also on an entry
  // host that loads its state from a peer.
  test("gets no work while the log is down", async () => {
    const deployment = await createFleet();
    await markLeaving(deployment);
    deployment.store.faults.isDown = true;
    const started = deployment.start(3);
    for (let second = 0; second < 20; second++) {
      await advanceTime(1_000);
      const all = [...deployment.daemons, started];
      expect(all.map(usableSlots)).toEqual([0, 0, 0]);
    }
    expect(started.isReady()).toBe(true);
  });
});
