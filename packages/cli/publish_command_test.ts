import type { OperatorClient, Publication } from "@lagoonloom/operators";
import { describe, expect, test } from "@jest/globals";
import { Left, Right } from "purify-ts";
import { exampleHandlers, examplePublication } from "../operators/_fixtures.ts";
import {
  clientOf,
  CLOSED,
  exampleContext,
  failingClient,
  LOST,
} from "./_fixtures.ts";
import { publishCommand } from "./publish_command.ts";

type Handlers = ReturnType<typeof exampleHandlers>;
type Submit = OperatorClient["submitChange"];
type Scenario = {
  /** Makes the submission of the only daemon. */
  submit?: (handlers: Handlers) => Submit;
  clients?: (handlers: Handlers) => OperatorClient[];
  expectedVersion?: number;
  id?: string;
  before?: (handlers: Handlers) => unknown;
  exitCode: number;
  /** Number of publications sent to the daemon, all with the same id. */
  sent: number;
  says: string;
};

const UNAVAILABLE = { type: "refused", cause: "unavailable", reason: "no log" };
const OTHER = examplePublication({
  operator: "ben",
  publicationId: "other-id",
  change: {
    put: { pools: { orders: { spare: false, min_hosts: 0 } } },
    removed: [],
  },
});
const lose: Scenario["submit"] = () => async () => Left(LOST);
const returns = (outcome: object) => () => async () =>
  Right(outcome) as Awaited<ReturnType<Submit>>;

/** Runs the steps of a daemon's submissions one after the other. */
function sequence(...steps: NonNullable<Scenario["submit"]>[]) {
  return (handlers: Handlers): Submit => {
    const calls = steps.map((step) => step(handlers));
    let next = 0;
    return (publication) =>
      calls[Math.min(next++, calls.length - 1)]!(publication);
  };
}
const accept: NonNullable<Scenario["submit"]> = (handlers) => async (sent) =>
  Right(await handlers.submitChange(sent));
const acceptAndLose: typeof accept = (handlers) => async (sent) => {
  await handlers.submitChange(sent);
  return Left(LOST);
};
const loseToOther: typeof accept = (handlers) => async (sent) => {
  await handlers.submitChange(OTHER);
  return Right(await handlers.submitChange(sent));
};

async function run(scenario: Scenario, isJson = false) {
  const handlers = exampleHandlers();
  await scenario.before?.(handlers);
  const sent: string[] = [];
  const submit = (scenario.submit ?? accept)(handlers);
  const only = clientOf(handlers, {
    submitChange: (publication: Publication) => {
      sent.push(publication.publicationId);
      return submit(publication);
    },
  });
  const clients = scenario.clients?.(handlers) ?? [only];
  const { context, out, err } = exampleContext({ clients, isJson });
  const { expectedVersion = 0, id } = scenario;
  const request = { files: ["set.ini"], expectedVersion, id };
  const exitCode = await publishCommand(request, context);
  return { exitCode, sent, out, err };
}

describe("publishCommand()", () => {
  // Each row guards against a publication that takes effect twice, or whose
  // outcome is guessed.
  test.each<[string, Scenario]>([
    ["an accepted change", {
      exitCode: 0,
      sent: 1,
      says: "Version 1 was accepted",
    }],
    ["the loser of a race", {
      submit: loseToOther,
      exitCode: 1,
      sent: 1,
      says: "Version 1 was published by ben",
    }],
    ["an old expected version", {
      before: (handlers) => handlers.submitChange(OTHER),
      exitCode: 1,
      sent: 0,
      says: "  - pool orders",
    }],
    ["an expected version that no daemon has", {
      expectedVersion: 3,
      exitCode: 1,
      sent: 0,
      says: "newest",
    }],
    ["a lost answer of an accepted change", {
      submit: acceptAndLose,
      exitCode: 0,
      sent: 1,
      says: "Version 1 was accepted",
    }],
    ["a change that was lost", {
      submit: sequence(lose, accept),
      exitCode: 0,
      sent: 2,
      says: "Version 1 was accepted",
    }],
    ["an unknown answer of an accepted change", {
      submit: sequence((handlers) => async (sent) => {
        await handlers.submitChange(sent);
        return Right({ type: "unknown", publicationId: "own-id" });
      }),
      exitCode: 0,
      sent: 1,
      says: "Version 1 was accepted",
    }],
    ["only lost answers", {
      submit: lose,
      exitCode: 3,
      sent: 3,
      says: "--id own-id",
    }],
    ["a lost answer and then no log", {
      submit: sequence(lose, returns(UNAVAILABLE)),
      exitCode: 3,
      sent: 3,
      says: "--id own-id",
    }],
    ["a lost answer and then a lost race", {
      submit: sequence(lose, loseToOther),
      exitCode: 1,
      sent: 2,
      says: "by ben",
    }],
    ["a lost answer and then a conflict without a winner", {
      submit: sequence(
        lose,
        returns({ type: "refused", cause: "conflict", reason: "?" }),
      ),
      exitCode: 3,
      sent: 3,
      says: "--id own-id",
    }],
    ["a conflict with the same publication", {
      submit: sequence((handlers) => async (sent) => {
        await handlers.submitChange(sent);
        const winners = await handlers.history(1);
        return Right({
          type: "refused",
          cause: "conflict",
          reason: "",
          winners,
        });
      }),
      exitCode: 0,
      sent: 1,
      says: "Version 1 was accepted",
    }],
    ["no log", {
      submit: returns(UNAVAILABLE),
      exitCode: 3,
      sent: 3,
      says: "no log",
    }],
    ["problems that the daemon finds", {
      submit: returns({
        type: "refused",
        cause: "invalid",
        reason: "The set is invalid.",
        problems: [{
          kind: "pools",
          name: "quoting",
          field: "min_hosts",
          message: "expected 0",
        }],
      }),
      exitCode: 1,
      sent: 1,
      says: "[pool quoting] min_hosts: expected 0",
    }],
    ["a bad key", {
      clients: () => [
        failingClient({
          type: "refused",
          refusal: { status: 401, title: "no valid key" },
        }),
      ],
      exitCode: 1,
      sent: 0,
      says: "no valid key",
    }],
    ["no daemon", {
      clients: () => [failingClient(CLOSED)],
      exitCode: 3,
      sent: 0,
      says: "connection refused",
    }],
    ["a daemon that closed its port meanwhile", {
      clients: (handlers) => [
        clientOf(handlers, { submitChange: async () => Left(CLOSED) }),
        clientOf(handlers),
      ],
      exitCode: 0,
      sent: 0,
      says: "Version 1 was accepted",
    }],
    ["an id that took effect before", {
      before: (handlers) => handlers.submitChange(OTHER),
      id: "other-id",
      exitCode: 0,
      sent: 0,
      says: "Version 1 was accepted",
    }],
  ])("handles %s", async (_name, scenario) => {
    const { exitCode, sent, out, err } = await run(scenario);
    expect(exitCode).toBe(scenario.exitCode);
    expect(sent).toEqual(Array(scenario.sent).fill("own-id"));
    expect([...out, ...err].join("\n")).toContain(scenario.says);
  });

  test("prints one line of JSON with the winner and the difference", async () => {
    const scenario = { submit: loseToOther, exitCode: 1, sent: 0, says: "" };
    const { out } = await run(scenario, true);
    expect(out).toHaveLength(1);
    expect(JSON.parse(out[0]!)).toMatchObject({
      type: "refused",
      cause: "conflict",
      winners: [{ operator: "ben", put: ["pools/orders"] }],
      difference: ["+ pool quoting", "- pool orders"],
    });
  });
});
