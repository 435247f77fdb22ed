import { describe, expect, jest, test } from "@jest/globals";
import type { JobOutcome, OperatorClient } from "@lagoonloom/operators";
import { Left, Right } from "purify-ts";
import { exampleHandlers } from "../operators/_fixtures.ts";
import {
  CONNECTION_REFUSED,
  createDirectClient,
  exampleContext,
  RESPONSE_LOST,
} from "./_fixtures.ts";
import { cancelJobCommand, submitJobCommand } from "./job_command.ts";
import { runProgram } from "./program.ts";

type Cancel = OperatorClient["cancelJob"];

const ACCEPTED: JobOutcome = { type: "accepted", job: "j1", offset: 7 };

/** Results of one request to a daemon, by name. */
const RESULTS: Record<string, Awaited<ReturnType<Cancel>>> = {
  accept: Right(ACCEPTED),
  lose: Left(RESPONSE_LOST),
  closed: Left(CONNECTION_REFUSED),
  noKey: Left({ type: "refused", refusal: { status: 401, title: "no key" } }),
  noLog: Right({ type: "refused", cause: "unavailable", reason: "no log" }),
  ended: Right({ type: "refused", cause: "invalid", reason: "succeeded" }),
  forget: Right({ type: "unknown", requestId: "own-id" }),
};

describe("job commands", () => {
  // Guards against a retry with another id, which would take effect twice, and
  // against an unknown outcome that is reported as known.
  test.each([
    ["accept", 0, 1, "cancelled at offset 7"],
    ["lose accept", 0, 2, "offset 7"],
    ["forget ended", 1, 2, "succeeded"],
    ["lose noLog noLog", 3, 3, "--id own-id"],
    ["lose lose lose", 3, 3, "--id own-id"],
    ["closed noLog noLog", 3, 3, "no log"],
    ["noKey", 1, 1, "no key"],
  ])("handle the daemon's results: %s", async (...row) => {
    const [steps, code, calls, expectedText] = row;
    const results = steps.split(" ").map((name) => RESULTS[name]!);
    const cancelJob = jest.fn<Cancel>(async () => results.shift()!);
    const clients = [createDirectClient(exampleHandlers(), { cancelJob })];
    const { context, out, err } = exampleContext({ clients });
    expect(await cancelJobCommand({ job: "j1" }, context)).toBe(code);
    expect([...out, ...err].join("\n")).toContain(expectedText);
    const ids = cancelJob.mock.calls.map(([, { requestId }]) => requestId);
    expect(ids).toEqual(Array(calls).fill("own-id"));
  });

  // Guards against a job that waits without the operator being told why.
  test("print why an accepted job can't run", async () => {
    const submitJob = async () => Right({ ...ACCEPTED, blocked: "too large" });
    const clients = [createDirectClient(exampleHandlers(), { submitJob })];
    const { context, err } = exampleContext({ clients });
    const job = {
      job: "j1",
      team: "a",
      urgency: "normal" as const,
      cores: 1,
      memory_gb: 1,
      accelerators: 0,
      run_s: 1,
      data_centres: [],
    };
    expect(await submitJobCommand(job, context)).toBe(0);
    expect(err.join()).toContain("too large");
  });

  // Guards against options that are parsed as other values than were given.
  test.each([
    ["submit", "expected"],
    ["submit j1 --team a --cores x --memory-gb 1 --run-s 1", "--cores"],
    ["submit j1 --team a --cores= --memory-gb 1 --run-s 1", "--cores"],
    ["submit j1 --cores 1 --memory-gb 1 --run-s 1", "--team"],
    ["cancel", "expected job cancel name"],
    ["wait j1", "expected job submit"],
  ])("refuse the arguments %s", async (line, expectedText) => {
    const { context, err } = exampleContext();
    const code = await runProgram(["job", ...line.split(" ")], {
      ...context,
      variables: {},
      isTerminal: false,
    });
    expect(code).toBe(2);
    expect(err.join().toLowerCase()).toContain(expectedText);
  });
});
