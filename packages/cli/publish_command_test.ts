import { describe, expect, test } from "@jest/globals";
import type { OperatorClient } from "@lagoonloom/operators";
import { Left, Right } from "purify-ts";
import { exampleHandlers, examplePublication } from "../operators/_fixtures.ts";
import {
  clientOf,
  CLOSED,
  exampleContext,
  failingClient,
  LOST,
} from "./_fixtures.ts";
import { publishCommand, type PublishRequest } from "./publish_command.ts";

type Handlers = ReturnType<typeof exampleHandlers>;
type Submit = OperatorClient["submitChange"];

const OTHER = examplePublication({
  operator: "ben",
  publicationId: "other-id",
  change: {
    put: { pools: { orders: { spare: false, min_hosts: 0 } } },
    removed: [],
  },
});
const returns = (outcome: object): Submit => async () =>
  Right(outcome) as Awaited<ReturnType<Submit>>;

/** What a daemon may do with a submission, by name. */
const steps = (handlers: Handlers): Record<string, Submit> => ({
  accept: async (sent) => Right(await handlers.submitChange(sent)),
  lose: async () => Left(LOST),
  acceptAndLose: async (sent) => {
    await handlers.submitChange(sent);
    return Left(LOST);
  },
  acceptAndForget: async ({ publicationId, ...sent }) => {
    await handlers.submitChange({ publicationId, ...sent });
    return Right({ type: "unknown", publicationId });
  },
  acceptAndConflict: async (sent) => {
    await handlers.submitChange(sent);
    const winners = await handlers.history(1);
    return Right({ type: "refused", cause: "conflict", reason: "", winners });
  },
  loseToOther: async (sent) => {
    await handlers.submitChange(OTHER);
    return Right(await handlers.submitChange(sent));
  },
  conflictWithoutWinner: returns({
    type: "refused",
    cause: "conflict",
    reason: "",
  }),
  noLog: returns({ type: "refused", cause: "unavailable", reason: "no log" }),
  findProblems: returns({
    type: "refused",
    cause: "invalid",
    reason: "",
    problems: [{ kind: "pools", name: "quoting", message: "expected hosts" }],
  }),
});

/** Steps of a daemon, exit code, submissions, and a part of the output. */
const CASES = `
accept | 0 | 1 | Version 1 was accepted
loseToOther | 1 | 1 | Version 1 was published by ben
acceptAndLose | 0 | 1 | Version 1 was accepted
acceptAndForget | 0 | 1 | Version 1 was accepted
acceptAndConflict | 0 | 1 | Version 1 was accepted
lose accept | 0 | 2 | Version 1 was accepted
lose loseToOther | 1 | 2 | by ben
lose lose lose | 3 | 3 | --id own-id
lose noLog noLog | 3 | 3 | --id own-id
lose conflictWithoutWinner lose | 3 | 3 | --id own-id
noLog noLog noLog | 3 | 3 | no log
noLog accept | 0 | 2 | Version 1 was accepted
findProblems | 1 | 1 | [pool quoting]: expected hosts
`;

type RunOptions = Partial<PublishRequest> & {
  clients?: OperatorClient[];
  isJson?: boolean;
};

async function run({ clients = [], isJson = false, ...rest }: RunOptions) {
  const { context, out, err } = exampleContext({ clients, isJson });
  const request = { files: ["set.ini"], expectedVersion: 0, ...rest };
  const exitCode = await publishCommand(request, context);
  return { exitCode, out, text: [...out, ...err].join("\n") };
}

describe("publishCommand()", () => {
  // Each row guards against a publication that takes effect twice, or whose
  // outcome is guessed.
  test.each(CASES.trim().split("\n").map((row) => row.split(" | ")))(
    "handles a daemon that does: %s",
    async (...row) => {
      const [names, exitCode, submissions, says] = row;
      const handlers = exampleHandlers();
      const sent: string[] = [];
      const submitChange: Submit = (publication) => {
        const name = names!.split(" ")[sent.length]!;
        sent.push(publication.publicationId);
        return steps(handlers)[name]!(publication);
      };
      const result = await run({
        clients: [clientOf(handlers, { submitChange })],
      });
      expect(result.text).toContain(says);
      expect(result.exitCode).toBe(Number(exitCode));
      expect(sent).toEqual(Array(Number(submissions)).fill("own-id"));
    },
  );

  test.each([
    [
      { type: "refused", refusal: { status: 401, title: "no key" } } as const,
      1,
    ],
    [{ type: "refused", refusal: { status: 500, title: "fault" } } as const, 3],
    [CLOSED, 3],
    [LOST, 3],
  ])("ends without a daemon after %j", async (error, exitCode) => {
    expect(await run({ clients: [failingClient(error)] }))
      .toMatchObject({ exitCode });
  });

  test("uses another daemon if one has closed its port meanwhile", async () => {
    const handlers = exampleHandlers();
    const submitChange: Submit = async () => Left(CLOSED);
    const clients = [clientOf(handlers, { submitChange }), clientOf(handlers)];
    expect(await run({ clients })).toMatchObject({ exitCode: 0 });
  });

  // Guards against a change made for another version than the one in force.
  test("refuses another version and accepts an id that took effect", async () => {
    const handlers = exampleHandlers();
    await handlers.submitChange(OTHER);
    const submitChange: Submit = () => Promise.reject(new Error("sent"));
    const clients = [clientOf(handlers, { submitChange })];
    expect(await run({ clients, expectedVersion: 2 }))
      .toMatchObject({ exitCode: 1 });
    expect(await run({ clients, id: "other-id" }))
      .toMatchObject({ exitCode: 0 });
    const { exitCode, out } = await run({ clients, isJson: true });
    expect(exitCode).toBe(1);
    expect(out).toHaveLength(1);
    expect(JSON.parse(out[0]!)).toMatchObject({
      type: "refused",
      cause: "conflict",
      winners: [{ operator: "ben", put: ["pools/orders"] }],
      difference: ["+ pool quoting", "- pool orders"],
    });
  });
});
