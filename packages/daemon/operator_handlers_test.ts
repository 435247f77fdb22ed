import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import { EXIT_CODE, explainCommand } from "@lagoonloom/cli";
import { createOperatorClient } from "@lagoonloom/operators";
import { createFleetSet } from "@lagoonloom/standins/fleet";
import type { Server } from "node:http";
import { exampleContext } from "../cli/_fixtures.ts";
import { close, EXAMPLE_KEY, listen } from "../operators/_fixtures.ts";
import { createControlFold } from "./control_fold.ts";
import {
  createOperatorHandlers,
  type OperatorHandlersOptions,
} from "./operator_handlers.ts";

const set = createFleetSet({
  dataCentres: [{ name: "detroit", region: "great-lakes" }],
  pools: { orders: 4, spare: 2 },
  sparePool: "spare",
  minAvailablePercent: 50,
  maxOutPerRack: 4,
  cores: 16,
  memoryGb: 32,
  teams: 1,
  waves: { kernel: {} },
});
const RECORDS = [
  {
    type: "set.changed",
    expectedVersion: 0,
    change: { put: set, removed: [] },
    operator: "ana",
  },
  {
    type: "job.submitted",
    job: "j1",
    team: "team-1",
    urgency: "normal",
    declared: { cores: 1, memory_gb: 1, accelerators: 0 },
    declaredRunS: 1,
  },
  {
    type: "host.observed",
    host: "orders-2",
    generation: 0,
    health: "failed",
    reason: "test",
  },
];
let server: Server;
let address: string;

beforeAll(async () => {
  const fold = createControlFold();
  fold.fold(RECORDS.map((body, offset) => {
    return { offset, timeMs: 0, id: `r${offset}`, body };
  }));
  const options = { fold } as OperatorHandlersOptions;
  ({ server, address } = await listen(createOperatorHandlers(options)));
});

afterAll(() => close(server));

async function explain(kind: string, name: string, isJson = false) {
  const client = createOperatorClient({
    address,
    key: EXAMPLE_KEY,
    timeoutMs: 5_000,
  });
  const { context, out, err } = exampleContext({ clients: [client], isJson });
  const exitCode = await explainCommand({ kind, name }, context);
  return { exitCode, out: out.join("\n"), err: err.join("\n") };
}

// Guards against facts and sentences that are lost between the state of a
// daemon and the command line, and against an answer for an unknown name.
describe("explain through a daemon's listener", () => {
  test.each([
    ["host orders-2", "  It is failed since 1970-01-01", `"owner":"orders"`],
    ["wave kernel", "  It begins in the next round", `"done":0`],
    ["service orders", `  Budget "orders" demands 2`, `"available":3`],
    ["job j1", "  It can't run until the set changes", `"state":"queued"`],
  ])("answers for %s", async (object, sentence, fact) => {
    const [kind, name] = object.split(" ") as [string, string];
    const text = await explain(kind, name);
    expect(text.out).toContain(`${kind} ${name}\n`);
    expect(text.out).toContain(sentence);
    const json = await explain(kind, name, true);
    expect(JSON.parse(json.out)).toMatchObject({ kind, name });
    expect(json.out).toContain(fact);
    expect([text, json].map(({ exitCode }) => exitCode)).toEqual([0, 0]);
  });

  test.each(["host", "wave", "service", "job"])(
    "refuses an unknown %s",
    async (kind) => {
      const { exitCode, out, err } = await explain(kind, "constructor");
      expect(exitCode).toBe(EXIT_CODE.refused);
      expect(out).toBe("");
      expect(err).toContain(`There is no ${kind} "constructor".`);
    },
  );
});
