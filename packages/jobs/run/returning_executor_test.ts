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

describe("an executor that comes back to the list", () => {
  let fixture: OwnerFixture;

  beforeEach(() => {
    jest.useFakeTimers();
    fixture = createOwnerFixture();
  });

  afterEach(() => {
    fixture.close();
    jest.useRealTimers();
  });

  // Guards against a lasting task that counts as running for good (LOST).
  test("runs a task whose start was lost before it left the list", async () => {
    const executor = fixture.addExecutor("e1");
    const owner = await fixture.startOwner(1);
    executor.fault = "unreachable";
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(1_000);
    expect(fixture.logged.some((line) => line.startsWith("taskPlaced")))
      .toBe(true);
    fixture.reports.delete("e1");
    owner.refresh();
    await advanceTime(500);
    executor.fault = undefined;
    fixture.reports.set("e1", createReport("e1"));
    owner.refresh();
    await advanceTime(10_000);
    expect([...executor.running.keys()]).toEqual([`${JOB_ID}.0.0.0`]);
  });
});
