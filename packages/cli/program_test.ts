import {
  afterAll,
  beforeAll,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { readFileSync } from "node:fs";
import type { Server } from "node:http";
import {
  close,
  EXAMPLE_KEY,
  exampleHandlers,
  listen,
} from "../operators/_fixtures.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { runProgram } from "./program.ts";

const SET =
  "[pool quoting]\n[service quotes]\npool = quoting\nrun_time_ms = 40\n";
const handlers = exampleHandlers();
let server: Server;
let files: Record<string, string>;

beforeAll(async () => {
  const listening = await listen({
    ...handlers,
    status: async () => ({
      ...await handlers.status(),
      leaving: [{ host: "q1", pool: "quoting", reason: "wave kernel" }],
      permits: [{
        host: "q1",
        purpose: "reboot" as const,
        wave: "kernel",
        reason: "kernel",
        grantedAtMs: 0,
      }],
    }),
    explain: (kind, name) =>
      name === "none" ? undefined : ({
        kind,
        name,
        sentences: ["It waits.", "It returns."],
        facts: { owner: "quoting" },
      }),
  });
  server = listening.server;
  const settings = (addresses: string, key = EXAMPLE_KEY) =>
    `[operator]\nname = ada\nkey = ${key}\n[daemons]\naddresses = ${addresses}\n` +
    "[requests]\ntimeout_ms = 2000\nretry_delay_ms = 0\n";
  files = {
    "set.ini": SET,
    "bad.ini": "[pool quoting]\nmin_hosts = 3\n",
    "cli.ini": settings(`${listening.address}, 127.0.0.1:1`),
    "none.ini": settings("127.0.0.1:1"),
    "key.ini": settings(listening.address, "wrong-key"),
    "broken.ini": "[operator]\nkey = two words\n",
  };
});

afterAll(() => close(server));

async function run(
  line: string,
  options: { isTerminal?: boolean; noColor?: string } = {},
) {
  const out: string[] = [];
  const err: string[] = [];
  const exitCode = await runProgram(line.split(" "), {
    print: (text) => out.push(text),
    printError: (text) => err.push(text),
    readFile: async (path) => files[path] ?? readFileSync(path, "utf8"),
    createId: () => "publication-1",
    wait: () => Promise.resolve(),
    variables: {
      LAGOONLOOM_SETTINGS: "cli.ini",
      NO_COLOR: options.noColor,
    },
    isTerminal: options.isTerminal ?? false,
  });
  return { exitCode, out: out.join("\n"), err: err.join("\n") };
}

describe("runProgram()", () => {
  // The rows run in this order; the later ones show what an earlier one
  // published.
  test.each([
    ["check set.ini", EXIT_CODE.ok, "The set is valid: 1 pools"],
    ["check set.ini --json", EXIT_CODE.ok, `"services":1`],
    ["check examples/lakeshore.ini", EXIT_CODE.ok, "35 hosts"],
    ["check examples/nyabarongo.ini", EXIT_CODE.ok, "35 hosts"],
    ["check bad.ini", EXIT_CODE.refused, "bad.ini:2: [pool quoting] min_hosts"],
    ["check bad.ini --json", EXIT_CODE.refused, `"line":2`],
    ["check missing.ini", EXIT_CODE.usage, "missing.ini: cannot be read"],
    ["check", EXIT_CODE.usage, "Expected at least one file"],
    ["trace 0012345678901234 set.ini", EXIT_CODE.refused, "0012345678901234"],
    ["trace 12e4567890123456 set.ini", EXIT_CODE.refused, "12e4567890123456"],
    ["trace", EXIT_CODE.usage, "subject"],
    ["diff set.ini", EXIT_CODE.ok, "2 difference(s) to version 0."],
    ["publish bad.ini --expected-version 0", EXIT_CODE.refused, "bad.ini:2"],
    ["publish set.ini", EXIT_CODE.usage, "Expected --expected-version N"],
    ["publish set.ini --expected-version 1e1", EXIT_CODE.usage, `found "1e1"`],
    [
      "publish set.ini --expected-version=0 --expected-version=1",
      EXIT_CODE.usage,
      "once",
    ],
    ["publish set.ini --expected-version 0 --id a/b", EXIT_CODE.usage, "--id"],
    ["publish set.ini --expected-version 0", EXIT_CODE.ok, "Version 1 was"],
    [
      "publish set.ini --expected-version 1",
      EXIT_CODE.ok,
      "nothing to publish",
    ],
    ["status", EXIT_CODE.ok, "unknown: 1 of 2 daemon(s)"],
    ["status", EXIT_CODE.ok, "q1      reboot   kernel  1970-01-01"],
    ["status --json", EXIT_CODE.ok, `"status":"unknown"`],
    ["status --settings none.ini", EXIT_CODE.unknown, "unknown"],
    ["status --settings none.ini --json", EXIT_CODE.unknown, "ECONNREFUSED"],
    ["status --settings key.ini", EXIT_CODE.refused, "no valid operator key"],
    [
      "status --settings broken.ini",
      EXIT_CODE.usage,
      "broken.ini:2: [operator]",
    ],
    ["status --settings missing.ini", EXIT_CODE.usage, "cannot be read"],
    ["status --other", EXIT_CODE.usage, "Unknown option"],
    ["get", EXIT_CODE.ok, "[pool quoting]"],
    ["get services quotes", EXIT_CODE.ok, "; version 1\n\n[service quotes]"],
    ["get pool none", EXIT_CODE.refused, "Version 1 has no pool none."],
    ["get planet", EXIT_CODE.usage, "Expected one of the kinds pool"],
    ["get pool quoting --json", EXIT_CODE.ok, `{"version":1,"set":{"pools":`],
    ["history", EXIT_CODE.ok, "ada       publication-1  2 put"],
    ["history --limit 0", EXIT_CODE.usage, "Expected 1 to 1000"],
    ["explain host q1", EXIT_CODE.ok, "host q1\n  It waits.\n  It returns."],
    ["explain host q1 --json", EXIT_CODE.ok, `"facts":{"owner":"quoting"}`],
    ["explain host none", EXIT_CODE.refused, `There is no host "none".`],
    ["explain host none --json", EXIT_CODE.refused, `"type":"refused"`],
    ["explain host q1 --settings none.ini", EXIT_CODE.unknown, "ECONNREFUSED"],
    ["explain planet q1", EXIT_CODE.usage, "Expected one of the kinds host"],
    ["explain host", EXIT_CODE.usage, "missing required args"],
    ["launch", EXIT_CODE.usage, `There is no command "launch"`],
  ])("runs %s", async (line, expected, text) => {
    const { exitCode, out, err } = await run(line);
    expect(`${out}\n${err}`).toContain(text);
    expect(exitCode).toBe(expected);
    expect(out + err).not.toMatch(/\u001b|wrong-key|two words/);
    expect(out + err).not.toContain(EXAMPLE_KEY);
  });

  test.each([
    [{ isTerminal: true }, true],
    [{ isTerminal: false }, false],
    [{ isTerminal: true, noColor: "1" }, false],
  ])("prints in colour with %j: %j", async (options, expected) => {
    const { out } = await run("check set.ini", options);
    expect(out.includes("\u001b[32m")).toBe(expected);
  });

  test.each([
    "check",
    "publish",
    "status",
    "get",
    "history",
    "diff",
    "explain",
    "trace",
  ])(
    "prints an example and the exit codes for %s --help",
    async (command) => {
      const info = jest.spyOn(console, "info").mockImplementation(() =>
        undefined
      );
      expect(await run(`${command} --help`)).toMatchObject({ exitCode: 0 });
      const text = String(info.mock.calls[0]?.[0]);
      info.mockRestore();
      expect(text).toContain(`Examples:\n  $ lagoonloom ${command} `.trimEnd());
      expect(text).toContain("3  unknown outcome, or no daemon reachable");
    },
  );
});
