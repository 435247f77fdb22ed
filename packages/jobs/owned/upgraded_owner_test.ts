import { describe, expect, test } from "@jest/globals";
import {
  advanceTime,
  createStep,
  JOB_ID,
  type OwnerFixture,
  PARTITION,
  setUpOwners,
} from "../_fixtures.ts";
import { PROGRESS_TOPIC, USED_EXECUTORS_KEY } from "../topics.ts";

/** Leases of a site whose executors grant more than owners request. */
const LEASES = { leaseMs: 4_000, maxLeaseMs: 10_000 };

/** Time after which no lease of an owner of the earlier version is left. */
const LONG_AGO_MS = 60_000;

/** Wait for an executor that has not restarted since its first use. */
const USUAL_WAIT_MS = 8_200;

/** Time from the end of that wait until a task has certainly started. */
const START_MS = 1_500;

describe("an owner whose predecessor had an earlier version", () => {
  let fixture: OwnerFixture;
  setUpOwners((created) => fixture = created, LEASES);

  // Guards against tasks that wait for longest leases at each takeover for
  // ever, as the start times of executors used before are never stored (LOST).
  test("stores when the executors started that it has heard of", async () => {
    const executor = fixture.addExecutor("e1");
    fixture.store.put({ topic: PROGRESS_TOPIC, partition: PARTITION }, {
      key: USED_EXECUTORS_KEY,
      value: JSON.stringify(["e1"]),
    });
    const owner = await fixture.startOwner(1);
    await advanceTime(LONG_AGO_MS);
    fixture.accept(JOB_ID, [createStep({ count: 1, isLasting: true })]);
    await advanceTime(500);
    expect(executor.starts).toHaveLength(1);
    owner.close();
    executor.fault = "unreachable";
    const other = fixture.addExecutor("e2");
    await fixture.startOwner(2);
    await advanceTime(USUAL_WAIT_MS + START_MS);
    expect(other.starts).toHaveLength(1);
  });
});
