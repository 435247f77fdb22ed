import { describe, expect, test } from "@jest/globals";
import {
  createAccepted,
  createReport,
  createStep,
  JOB_ID,
} from "../_fixtures.ts";
import { createExecutorState } from "../executor_state.ts";
import { createJob, type TaskGroup } from "../job.ts";
import { openDueGroups } from "../occurrences.ts";
import { createTicketCache } from "./ticket_cache.ts";

function createGroup(): TaskGroup {
  const job = createJob(JOB_ID, {
    accepted: createAccepted([createStep()]),
    offset: 0,
    objectiveMs: 0,
    isInherited: false,
  });
  openDueGroups(job, { unixMs: 0, monotonicMs: 0, blockedUntilMs: 0 });
  return job.groups[0]!;
}

describe("createTicketCache", () => {
  // Guards against an owner whose memory grows with each step that has run.
  test("keeps no tickets of a step that is over", async () => {
    const requested: string[] = [];
    const tickets = createTicketCache({
      requestTickets(step, executors) {
        requested.push(step);
        return Promise.resolve({
          tickets: new Map(executors.map((id) => [id, "ticket"])),
          validMs: 60_000,
        });
      },
    }, { onChange: () => undefined });
    const group = createGroup();
    const executor = createExecutorState(createReport("e1"));
    expect(tickets.mayRun(group, [executor], executor)).toBe(false);
    await Promise.resolve();
    expect(tickets.mayRun(group, [executor], executor)).toBe(true);
    tickets.close(group);
    expect(tickets.ticketFor(group, executor)).toBeUndefined();
    expect(tickets.mayRun(group, [executor], executor)).toBe(false);
    expect(requested).toEqual([`${JOB_ID}.0.0`, `${JOB_ID}.0.0`]);
  });
});
