import { beforeEach, describe, expect, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";

const MEMBERS = 3;

describe("a gang with checkpoints", () => {
  let fixture: OwnerFixture;
  let executors: MemoryExecutor[];

  setUpOwners((created) => fixture = created);

  beforeEach(async () => {
    executors = ["e1", "e2", "e3", "e4"].map((id) => fixture.addExecutor(id));
    await fixture.startOwner(1);
    fixture.accept(JOB_ID, [
      createStep({
        count: MEMBERS,
        size: { cpu: 9_000, memoryMb: 1, accelerators: 0 },
        isGang: true,
        isCheckpointing: true,
      }),
    ]);
    await advanceTime(500);
  });

  function runningOf(executor: MemoryExecutor) {
    return [...executor.running].map(([task, { run, checkpoint }]) => ({
      task,
      run,
      checkpoint,
    }));
  }

  /** Ends the member on an executor as the end of another member does. */
  function breakMember(executor: MemoryExecutor, checkpoint: string) {
    for (const [task, run] of [...executor.running]) {
      run.checkpoint = checkpoint;
      executor.end(task, "broken");
    }
  }

  // Guards against members that resume from different checkpoints, so that the
  // gang never works again after one of its executors has crashed (LOST, GANG).
  test("resumes as a whole from one checkpoint after a crash", async () => {
    const members = executors.filter(({ running }) => running.size > 0);
    expect(members).toHaveLength(MEMBERS);
    const [crashed, ...others] = members;
    for (const run of crashed!.running.values()) run.checkpoint = "old";
    await advanceTime(1_500);
    fixture.reports.delete(crashed!.report.id);
    crashed!.fault = "unreachable";
    others.forEach((executor, index) =>
      breakMember(executor, `saved-${index}`)
    );
    await advanceTime(15_000);
    const resumed = executors.filter((executor) => executor !== crashed)
      .flatMap(runningOf);
    expect(resumed).toHaveLength(MEMBERS);
    const checkpoints = new Set(resumed.map(({ checkpoint }) => checkpoint));
    expect([...checkpoints]).toEqual(["saved-1"]);
    expect(new Set(resumed.map(({ run }) => run)).size).toBe(1);
  });
});
