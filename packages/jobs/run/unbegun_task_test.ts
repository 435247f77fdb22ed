import { beforeEach, describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  setUpOwners,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";

/** Time for which a crashed executor is away. */
const DOWN_MS = 400;

/** Most starts in a minute of a task under which executors crash. */
const MAX_STARTS = 5;

describe("a task whose starts get no answer before its executors crash", () => {
  let fixture: OwnerFixture;
  let owner: PartitionOwner;
  /** Starts that got no answer. */
  let lostStarts: number;
  /** Time from a start to the crash of its executor, which has not begun it. */
  let crashDelayMs: number;

  setUpOwners((created) => fixture = created);

  beforeEach(() => {
    lostStarts = 0;
    crashDelayMs = 400;
  });

  /** Has the first starts get no answer and their executors crash. */
  const crashExecutors = async (maxLostStarts: number) => {
    const hosts = new Map(
      ["e1", "e2", "e3", "e4", "e5", "e6"].map((id) => [
        id,
        fixture.addExecutor(id),
      ]),
    );
    const { start } = fixture.executors;
    fixture.executors.start = async (target, request) => {
      if (lostStarts >= maxLostStarts) return start(target, request);
      lostStarts++;
      await new Promise((resolve) => setTimeout(resolve, crashDelayMs));
      const host = hosts.get(target.id)!;
      host.fault = "unreachable";
      setTimeout(() => {
        const startedAtMs = host.report.startedAtMs + 1;
        hosts.set(target.id, fixture.addExecutor(target.id, { startedAtMs }));
      }, DOWN_MS);
      return { type: "unknown", reason: "ECONNRESET" };
    };
    owner = await fixture.startOwner(1);
    fixture.accept(JOB_ID, [createStep({ count: 1 })]);
    return hosts;
  };

  const play = async (seconds: number) => {
    for (let ms = 0; ms < 1_000 * seconds; ms += 400) {
      owner.refresh();
      await advanceTime(400);
    }
  };

  // Guards against a job that fails though no run of it has begun (LOST).
  test.each([100, 400, 650])(
    "is done once a start is carried out, with crashes after %i ms",
    async (delayMs) => {
      crashDelayMs = delayMs;
      const hosts = await crashExecutors(4);
      await play(60);
      expect(lostStarts).toBe(4);
      const [host, ...others] = [...hosts.values()].filter(({ running }) =>
        running.size > 0
      );
      expect(others).toEqual([]);
      host!.end(`${JOB_ID}.0.0.0`, "done");
      await play(1);
      expect(await owner.getJobState(JOB_ID))
        .toEqual({ type: "known", value: "completed" });
    },
  );

  // Guards against a task that crashes executor after executor as no crash
  // counts without evidence (BUDGET).
  test("takes few executors in a time", async () => {
    await crashExecutors(Infinity);
    await play(60);
    expect(lostStarts).toBeGreaterThanOrEqual(3);
    expect(lostStarts).toBeLessThanOrEqual(MAX_STARTS);
    expect(await owner.getJobState(JOB_ID))
      .toEqual({ type: "known", value: "queued" });
  });

  // Guards against a wait that ends with the owner (BUDGET).
  test("takes few executors in a time although owners change", async () => {
    await crashExecutors(Infinity);
    for (let epoch = 2; epoch <= 9; epoch++) {
      await play(8);
      owner.close();
      owner = await fixture.startOwner(epoch);
    }
    expect(lostStarts).toBeGreaterThanOrEqual(3);
    expect(lostStarts).toBeLessThanOrEqual(MAX_STARTS);
  });
});
