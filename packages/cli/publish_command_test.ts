import { describe, expect, test } from "@jest/globals";
import type { OperatorClient } from "@lagoonloom/operators";
import { Left, Right } from "purify-ts";
import { exampleHandlers, examplePublication } from "../operators/_fixtures.ts";
import {
  CONNECTION_REFUSED,
  createDirectClient,
  createFailingClient,
  exampleContext,
  RESPONSE_LOST,
} from "./_fixtures.ts";
import { publishCommand, type PublishRequest } from "./publish_command.ts";

type Handlers = ReturnType<typeof exampleHandlers>;
type Submit = OperatorClient["submitChange"];

/** Publication of another operator. */
const OTHER_PUBLICATION = examplePublication({
  operator: "ben",
  publicationId: "other-id",
  change: {
    put: { pools: { orders: { spare: false, min_hosts: 0 } } },
    removed: [],
  },
});
const returns = (outcome: object): Submit => async () =>
  Right(outcome) as Awaited<ReturnType<Submit>>;

/** Ways in which a daemon handles a submission; `lose` loses the response. */
const steps = (handlers: Handlers): Record<string, Submit> => ({
  accept: async (sent) => Right(await handlers.submitChange(sent)),
  lose: async () => Left(RESPONSE_LOST),
  acceptAndLose: async (sent) => {
    await handlers.submitChange(sent);
    return Left(RESPONSE_LOST);
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
    await handlers.submitChange(OTHER_PUBLICATION);
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

/**
 * Steps of the daemon, exit code, number of submissions, part of the output.
 */
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
  // unknown outcome is reported as known.
  test.each(CASES.trim().split("\n").map((row) => row.split(" | ")))(
    "handles the daemon's steps: %s",
    async (...row) => {
      const [names, exitCode, submissions, expectedText] = row;
      const handlers = exampleHandlers();
      const sent: string[] = [];
      const submitChange: Submit = (publication) => {
        const name = names!.split(" ")[sent.length]!;
        sent.push(publication.publicationId);
        return steps(handlers)[name]!(publication);
      };
      const result = await run({
        clients: [createDirectClient(handlers, { submitChange })],
      });
      expect(result.text).toContain(expectedText);
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
    [CONNECTION_REFUSED, 3],
    [RESPONSE_LOST, 3],
  ])("exits if every daemon fails with %j", async (error, exitCode) => {
    expect(await run({ clients: [createFailingClient(error)] }))
      .toMatchObject({ exitCode });
  });

  test("uses another daemon if one refuses connections", async () => {
    const handlers = exampleHandlers();
    const submitChange: Submit = async () => Left(CONNECTION_REFUSED);
    const clients = [
      createDirectClient(handlers, { submitChange }),
      createDirectClient(handlers),
    ];
    expect(await run({ clients })).toMatchObject({ exitCode: 0 });
  });

  // Guards against a change to another version than the one in force.
  test("refuses another version and accepts an id that took effect", async () => {
    const handlers = exampleHandlers();
    await handlers.submitChange(OTHER_PUBLICATION);
    const submitChange: Submit = () => Promise.reject(new Error("sent"));
    const clients = [createDirectClient(handlers, { submitChange })];
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
