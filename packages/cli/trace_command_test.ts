import { describe, expect, test } from "@jest/globals";
import type { CommandContext } from "./command_context.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { traceCommand } from "./trace_command.ts";

const JOB = "5c0e7a21d94b36f8";

function line(second: number, fields: Record<string, unknown>): string {
  const time = `2026-04-13T08:11:${String(second).padStart(2, "0")}.000Z`;
  const common = { message: "event", level: "INFO", node: "edge-1", time };
  return JSON.stringify({ ...common, id: "LL6000", ...fields });
}

async function trace(
  subject: string,
  files: Record<string, string[]>,
  isJson = true,
) {
  const printed: string[] = [];
  const errors: string[] = [];
  const context: CommandContext = {
    print: (text) => printed.push(text),
    printError: (text) => errors.push(text),
    isJson,
    useColour: false,
    readFile: (path) =>
      files[path] === undefined
        ? Promise.reject(new Error("no such file"))
        : Promise.resolve(files[path].join("\n")),
  };
  const paths = Object.keys(files);
  const exitCode = await traceCommand(subject, { paths, context });
  return { exitCode, printed, errors };
}

describe("traceCommand", () => {
  // Guards against a history that ends where the job changed its owner, since
  // the next owner logs elsewhere.
  test("orders the events of a job across members", async () => {
    const { exitCode, printed } = await trace(JOB, {
      "a.log": [
        line(9, { id: "LL6306", task: `${JOB}.0.0.1`, how: "done" }),
        line(1, { id: "LL6101", job: JOB }),
      ],
      "b.log": [line(4, { id: "LL6302", task: `${JOB}.0.0.1`, node: "b" })],
    });
    expect(exitCode).toBe(EXIT_CODE.ok);
    expect(printed.map((text) => JSON.parse(text).id))
      .toEqual(["LL6101", "LL6302", "LL6306"]);
  });

  // Guards against an end before its start, as both were logged in the same
  // millisecond.
  test("keeps the order of lines with equal times", async () => {
    const ids = Array.from({ length: 40 }, (_, index) => `LL${6000 + index}`);
    const { printed } = await trace(JOB, {
      "a.log": ids.map((id) => line(1, { id, job: JOB })),
    });
    expect(printed.map((text) => JSON.parse(text).id)).toEqual(ids);
  });

  // Guards against a gap that nothing explains, while the owner of the
  // partition or the executor had failed.
  test("adds the takeovers and executor failures of that time", async () => {
    const { printed } = await trace(JOB, {
      "a.log": [
        line(0, { id: "LL6203", partition: 3 }),
        line(1, { id: "LL6301", job: JOB, partition: 3 }),
        line(2, { id: "LL6302", task: `${JOB}.0.0.0`, executor: "e1" }),
        line(3, { id: "LL6403", executor: "e1", level: "WARN" }),
        line(3, { id: "LL6403", executor: "e2", level: "WARN" }),
        line(4, { id: "LL6203", partition: 3 }),
        line(4, { id: "LL6203", partition: 4 }),
        line(4, { id: "LL6401", partition: 3, executor: "e2" }),
        line(5, {
          id: "LL6302",
          task: "00000000000000a1.0.0.0",
          executor: "e1",
        }),
        line(6, { id: "LL6307", job: JOB }),
      ],
    });
    expect(printed.map((text) => JSON.parse(text).id))
      .toEqual(["LL6301", "LL6302", "LL6403", "LL6203", "LL6307"]);
  });

  // Guards against a log of several programs that can't be read at all.
  test("skips prefixes and other output", async () => {
    const { printed } = await trace(JOB, {
      "a.log": [
        "(node:7) Warning: something",
        "{not json",
        `  20.9910 edge-2 ${line(1, { job: JOB, reason: "the store" })}`,
      ],
    }, false);
    expect(printed).toEqual([
      `2026-04-13T08:11:01.000Z  edge-1  LL6000  event  job=${JOB}  ` +
      `reason="the store"`,
    ]);
  });

  // Guards against orders that can't be found by the wave that asked for them.
  test("finds the orders and the end of a wave", async () => {
    const { printed } = await trace("wave.7", {
      "a.log": [
        line(1, { id: "LL6501", machine: "m1", reason: "wave 7" }),
        line(2, { id: "LL6501", machine: "m2", reason: "wave 71" }),
        line(3, { id: "LL6502", wave: 7, machines: 1 }),
      ],
    });
    expect(printed.map((text) => JSON.parse(text).id))
      .toEqual(["LL6501", "LL6502"]);
  });

  // Guards against a mistyped id or path that looks like an empty history.
  test("fails if nothing is found or a file can't be read", async () => {
    const unknown = await trace("0000000000000000", { "a.log": [line(1, {})] });
    expect([unknown.exitCode, unknown.errors])
      .toEqual([EXIT_CODE.refused, [
        "None of 1 log lines is about 0000000000000000.",
      ]]);
    const context = { readFile: () => Promise.reject(new Error("missing")) };
    const exitCode = await traceCommand(JOB, {
      paths: ["a.log"],
      context: {
        ...context,
        print: () => undefined,
        printError: () => undefined,
        isJson: false,
        useColour: false,
      },
    });
    expect(exitCode).toBe(EXIT_CODE.usage);
  });
});
