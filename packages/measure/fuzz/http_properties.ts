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
import { editedValues } from "./hostile_text.ts";
import { type Pipeline, pipelines } from "./http_messages.ts";
import { cutBytes, listenOnLoopback, sendRaw } from "./raw_exchange.ts";

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

/** Body that is posted to a path of the operators' listener. */
type Post = { path: string; body: string };

const editedPosts: fc.Arbitrary<Post> = fc.oneof(
  editedValues(JSON.parse(BODY)).map((value) => ["/v1/changes", value]),
  editedValues(JOB).map((value) => ["/v1/jobs", value]),
).chain(([path, value]) => {
  const text = JSON.stringify(value);
  return fc.constantFrom(text, `${text}}`, text.slice(0, -1), "")
    .map((body) => ({ path: String(path), body }));
});

/** Properties of the listeners for callers and operators. */
export const HTTP_PROPERTIES: readonly FuzzProperty[] = [
  {
    // Only whole, unambiguous requests are acted on, each once.
    name: "callers-http",
    async check(run) {
      const handled: CallerRequest[] = [];
      const server = await listenOnLoopback(serveCallers(handled));
      const path = "/v1/services/orders/a";
      const options = { method: "POST", path, token: TOKEN, body: BODY };
      const property = fc.asyncProperty(pipelines(options), async (drawn) => {
        handled.length = 0;
        const answer = await sendPipeline(server.port, drawn);
        const bodies = handled.map(({ body }) => Buffer.from(body).toString());
        expectValid(drawn, { answer, bodies, body: BODY });
        if (handled.some((request) => request.path !== path)) {
          throw new Error("A request in the body of another one was handled.");
        }
        await expectAlive(server.port, "/livez");
      });
      await fc.assert(property, run).finally(() => server.close());
    },
  },
  {
    // Only valid publications and jobs reach the daemon; no input is its fault.
    name: "operators-http",
    async check(run) {
      const sent: unknown[] = [];
      const errors: unknown[] = [];
      const server = await listenOnLoopback(createOperatorServer(
        operatorHandlers((publication) => sent.push(publication)),
        {
          keysByOperator: new Map([["ada", TOKEN]]),
          bodyTimeoutMs: 100,
          onError: (error) => errors.push(error),
        },
      ));
      const path = "/v1/changes";
      const options = { method: "POST", path, token: TOKEN, body: BODY };
      const drawn = fc.tuple(pipelines(options), editedPosts);
      const property = fc.asyncProperty(drawn, async ([pipeline, post]) => {
        sent.length = 0;
        const answer = await sendPipeline(server.port, pipeline);
        const whole = sent.map((it) => JSON.stringify(it));
        const known = JSON.stringify(Publication.parse(JSON.parse(BODY)));
        expectValid(pipeline, { answer, bodies: whole, body: known });
        sent.length = 0;
        await postBody(server.port, post);
        const schema = post.path === path ? Publication : JobSubmission;
        if (!sent.every((it) => schema.safeParse(it).success)) {
          throw new Error("A malformed body reached the daemon.");
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
  return sendRaw(port, cutBytes(Buffer.from(text, "latin1"), pipeline.cuts));
}

type Seen = { answer: string; bodies: string[]; body: string };

/** No more requests are acted on than were valid, and each has its body. */
function expectValid({ messages }: Pipeline, seen: Seen): void {
  const { answer, bodies, body } = seen;
  const valid = messages.filter(({ isValid }) => isValid).length;
  if (bodies.length > valid || bodies.some((it) => it !== body)) {
    throw new Error(`Acted on ${bodies.length} of ${valid} valid requests.`);
  }
  if (answer !== "" && !/^HTTP\/1\.1 \d{3} /.test(answer)) {
    throw new Error(`Malformed answer: ${answer.slice(0, 200)}`);
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
