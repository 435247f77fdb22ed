import { describe, expect, test } from "@jest/globals";
import { createGroup, createReport, JOB_ID } from "../_fixtures.ts";
import { createExecutorState } from "../executor_state.ts";
import { createTicketCache } from "./ticket_cache.ts";

describe("createTicketCache", () => {
  // Guards against calls that pay for executors which may not run the step, as
  // another service shares the partition.
  test("requests tickets only for executors of the service", async () => {
    const requested: string[] = [];
    const tickets = createTicketCache({
      requestTickets(_, executors) {
        requested.push(...executors);
        return Promise.resolve(undefined);
      },
    }, { onChange: () => undefined });
    const foreign = createExecutorState(
      createReport("e1", { service: "orders" }),
    );
    const own = createExecutorState(createReport("e2"));
    tickets.mayRun(createGroup(), [foreign, own], own);
    await Promise.resolve();
    expect(requested).toEqual(["e2"]);
  });

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
