/**
 * Fuzz properties of the HTTP servers for callers and operators.
 *
 * @module
 */

import {
  type CallerOutcome,
  type CallerRequest,
  createCallerApp,
  createCallerServer,
} from "@lagoonloom/callers";
import {
  createOperatorServer,
  JobSubmission,
  type OperatorHandlers,
  Publication,
} from "@lagoonloom/operators";
import fc from "fast-check";
import type { FuzzProperty } from "./fuzz_property.ts";
import { mutatedValues } from "./mutated_input.ts";
import { type Pipeline, pipelines } from "./http_messages.ts";
import { listenOnLoopback, sendRaw, splitBytes } from "./raw_exchange.ts";

const TOKEN = "sixteen-characters";
const BODY = JSON.stringify({
  publicationId: "p1",
  expectedVersion: 0,
  operator: "ada",
  change: { put: { pools: { a: { spare: false } } }, removed: [] },
});

const JOB = {
  requestId: "r1",
  job: "j1",
  team: "a",
  cores: 1,
  memory_gb: 1,
  run_s: 1,
  operator: "ada",
};

/** Body that is posted to a path of the server for operators. */
type Post = { path: string; body: string };

const mutatedPosts: fc.Arbitrary<Post> = fc.oneof(
  mutatedValues(JSON.parse(BODY)).map((value) => ["/v1/changes", value]),
  mutatedValues(JOB).map((value) => ["/v1/jobs", value]),
).chain(([path, value]) => {
  const text = JSON.stringify(value);
  return fc.constantFrom(text, `${text}}`, text.slice(0, -1), "")
    .map((body) => ({ path: String(path), body }));
});

/** Properties of the servers for callers and operators. */
export const HTTP_PROPERTIES: readonly FuzzProperty[] = [
  {
    // Only complete and unambiguous requests are handled, each exactly once.
    name: "callers-http",
    async check(run) {
      const handled: CallerRequest[] = [];
      const server = await listenOnLoopback(serveCallers(handled));
      const path = "/v1/services/orders/a";
      const options = { method: "POST", path, token: TOKEN, body: BODY };
      const property = fc.asyncProperty(
        pipelines(options),
        async (generated) => {
          handled.length = 0;
          const answer = await sendPipeline(server.port, generated);
          const bodies = handled.map(({ body }) =>
            Buffer.from(body).toString()
          );
          expectOnlyValidHandled(generated, { answer, bodies, body: BODY });
          if (handled.some((request) => request.path !== path)) {
            throw new Error("A smuggled request was handled.");
          }
          await expectAlive(server.port, "/livez");
        },
      );
      await fc.assert(property, run).finally(() => server.close());
    },
  },
  {
    // Only valid publications and jobs reach the handlers, and no input causes
    // an internal error.
    name: "operators-http",
    async check(run) {
      const received: unknown[] = [];
      const errors: unknown[] = [];
      const server = await listenOnLoopback(createOperatorServer(
        operatorHandlers((publication) => received.push(publication)),
        {
          keysByOperator: new Map([["ada", TOKEN]]),
          bodyTimeoutMs: 100,
          onError: (error) => errors.push(error),
        },
      ));
      const path = "/v1/changes";
      const options = { method: "POST", path, token: TOKEN, body: BODY };
      const generated = fc.tuple(pipelines(options), mutatedPosts);
      const property = fc.asyncProperty(generated, async ([pipeline, post]) => {
        received.length = 0;
        const answer = await sendPipeline(server.port, pipeline);
        const accepted = received.map((it) => JSON.stringify(it));
        const expected = JSON.stringify(Publication.parse(JSON.parse(BODY)));
        expectOnlyValidHandled(pipeline, {
          answer,
          bodies: accepted,
          body: expected,
        });
        received.length = 0;
        await postBody(server.port, post);
        const schema = post.path === path ? Publication : JobSubmission;
        if (!received.every((it) => schema.safeParse(it).success)) {
          throw new Error("A malformed body reached the handlers.");
        }
        if (errors.length > 0) throw errors[0];
      });
      await fc.assert(property, run).finally(() => server.close());
    },
  },
];

function serveCallers(handled: CallerRequest[]) {
  const app = createCallerApp({
    teamsByToken: new Map([[TOKEN, "desk"]]),
    maxBodyBytes: 1_000,
    bodyTimeoutMs: 100,
    isLive: () => true,
    isReady: () => true,
    isStopping: () => false,
    metrics: () => Promise.resolve(""),
    handle(request) {
      handled.push(request);
      return Promise.resolve<CallerOutcome>({
        type: "answered",
        status: 200,
        headers: {},
        body: Buffer.from("done"),
        release: () => undefined,
      });
    },
  });
  return createCallerServer(app);
}

function operatorHandlers(
  onSubmit: (publication: unknown) => void,
): OperatorHandlers {
  return {
    submitChange(publication) {
      onSubmit(publication);
      return { type: "unknown", publicationId: publication.publicationId };
    },
    submitJob(submission) {
      onSubmit(submission);
      return { type: "unknown", requestId: submission.requestId };
    },
    cancelJob: (_, { requestId }) => ({ type: "unknown", requestId }),
    listJobs: () => Promise.reject(new Error("Not asked for.")),
    currentSet: () => Promise.reject(new Error("Not asked for.")),
    status: () => Promise.reject(new Error("Not asked for.")),
    history: () => [],
    explain: () => undefined,
    publication: (publicationId) => ({ type: "unknown", publicationId }),
  };
}

function sendPipeline(port: number, pipeline: Pipeline): Promise<string> {
  const text = pipeline.messages.map((message) => message.text).join("");
  return sendRaw(
    port,
    splitBytes(Buffer.from(text, "latin1"), pipeline.splitPoints),
  );
}

type PipelineResult = { answer: string; bodies: string[]; body: string };

/** Checks that only valid requests were handled, each with the right body. */
function expectOnlyValidHandled(
  { messages }: Pipeline,
  seen: PipelineResult,
): void {
  const { answer, bodies, body } = seen;
  const valid = messages.filter(({ isValid }) => isValid).length;
  if (bodies.length > valid || bodies.some((it) => it !== body)) {
    throw new Error(
      `${bodies.length} requests were handled, ${valid} were valid.`,
    );
  }
  if (answer !== "" && !/^HTTP\/1\.1 \d{3} /.test(answer)) {
    throw new Error(`malformed response: ${answer.slice(0, 200)}`);
  }
}

async function expectAlive(port: number, path: string): Promise<void> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`);
  if (response.status !== 200) throw new Error("The server is not live.");
  await response.arrayBuffer();
}

async function postBody(port: number, { path, body }: Post): Promise<void> {
  const response = await fetch(`http://127.0.0.1:${port}${path}`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${TOKEN}`,
      "content-type": "application/json",
    },
    body,
  });
  await response.arrayBuffer();
  if (![400, 403, 413, 422, 504].includes(response.status)) {
    throw new Error(`Unexpected status ${response.status}.`);
  }
}
