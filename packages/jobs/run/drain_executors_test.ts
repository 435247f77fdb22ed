import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import {
  advanceTime,
  createOwnerFixture,
  createReport,
  createStep,
  JOB_ID,
  type OwnerFixture,
} from "../_fixtures.ts";

describe("draining", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  // Guards against a step that loses one task on a reserved executor and one on
  // an executor that leaves at the same time (AVAIL on a hunted Bizerte day).
  test("stops no reserved run while another executor leaves", async () => {
    const reserved = fixture.addExecutor("e1");
    const leaving = fixture.addExecutor("e2");
    const owner = await fixture.startOwner(1);
    const step = { count: 2, isLasting: true, maxPerExecutor: 1, maxAway: 1 };
    fixture.accept(JOB_ID, [createStep(step)]);
    await advanceTime(2_500);
    expect([reserved.running.size, leaving.running.size]).toEqual([1, 1]);
    const [task] = [...leaving.running.keys()];
    const spare = fixture.addExecutor("e3");
    // The task is not ready for a while where it is placed next.
    spare.progress.set(task!, 50);
    owner.refresh();
    await advanceTime(100);
    fixture.reports.set("e2", createReport("e2", { isDraining: true }));
    owner.refresh();
    owner.reserveAndReport(new Set(["e1"]), []);
    await advanceTime(1_000);
    expect([...spare.running.keys()]).toEqual([task]);
    expect(reserved.running.size).toBe(1);
  });
});
