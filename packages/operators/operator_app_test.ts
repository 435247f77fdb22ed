import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createServer, type Server } from "node:http";
import { connect } from "node:net";
import {
  close,
  EXAMPLE_KEY,
  EXAMPLE_KEYS,
  exampleHandlers,
  examplePublication,
  listen,
  listenOn,
} from "./_fixtures.ts";
import { MAX_BODY_BYTES } from "./operator_app.ts";
import { createOperatorClient } from "./operator_client.ts";
import type { OperatorHandlers } from "./operator_handlers.ts";
import type { PublicationOutcome } from "./publication.ts";

const onError = jest.fn();
const submitChange = jest.fn<OperatorHandlers["submitChange"]>();
let server: Server;
let address: string;

beforeEach(async () => {
  const status = () => {
    throw new Error("broken");
  };
  const handlers = exampleHandlers({ status });
  submitChange.mockReset().mockImplementation(handlers.submitChange);
  handlers.submitChange = submitChange;
  ({ server, address } = await listen(handlers, {
    onError,
    bodyTimeoutMs: 200,
  }));
});

afterEach(() => close(server));

function client(options: { key?: string; address?: string } = {}) {
  return createOperatorClient({
    address,
    key: EXAMPLE_KEY,
    timeoutMs: 5_000,
    ...options,
  });
}

/** Sends a request with a valid key unless `init` has other headers. */
async function request(path: string, init: RequestInit = {}) {
  const headers = {
    authorization: `Bearer ${EXAMPLE_KEY}`,
    "content-type": "application/json",
    ...init.headers,
  };
  const response = await fetch(`http://${address}${path}`, {
    ...init,
    headers,
  });
  return { status: response.status, body: await response.text() };
}

describe("createOperatorApp()", () => {
  // Guards against a request that changes the object set without a valid key.
  test.each([
    ["Bearer other-key"],
    [`Bearer ${EXAMPLE_KEY}x`],
    [`Basic ${EXAMPLE_KEY}`],
    ["Bearer"],
    [""],
  ])("refuses the authorization %j", async (authorization) => {
    const { status, body } = await request("/v1/changes", {
      method: "POST",
      headers: { authorization },
      body: JSON.stringify(examplePublication()),
    });
    expect(status).toBe(401);
    expect(body).not.toContain(EXAMPLE_KEY);
    expect(submitChange).not.toHaveBeenCalled();
  });

  // Guards against malformed or oversized bodies that reach the handler.
  test.each<[string, number, RequestInit]>([
    ["no JSON", 400, { body: "{" }],
    ["invalid UTF-8", 400, { body: new Uint8Array([0x22, 0xff, 0x22]) }],
    ["an unknown field", 400, {
      body: JSON.stringify({ ...examplePublication(), other: 1 }),
    }],
    ["a bad id", 400, {
      body: JSON.stringify(examplePublication({ publicationId: "a/b" })),
    }],
    ["a bad object", 400, {
      body: JSON.stringify(examplePublication()).replace(
        `"put":{}`,
        `"put":{"pools":{"UPPER":{}}}`,
      ),
    }],
    // Guards against a history that names another operator as the publisher.
    ["another operator's name", 403, {
      body: JSON.stringify({ ...examplePublication(), operator: "bo" }),
    }],
    ["another type", 415, { body: "a=1", headers: { "content-type": "a/b" } }],
    ["an encoding", 415, { body: "", headers: { "content-encoding": "gzip" } }],
    ["too many bytes", 413, { body: "1".repeat(MAX_BODY_BYTES + 1) }],
  ])("refuses a body with %s", async (_name, expected, init) => {
    const sent = await request("/v1/changes", { ...init, method: "POST" });
    expect(sent.status).toBe(expected);
    expect(submitChange).not.toHaveBeenCalled();
  });

  test.each([
    ["/", "GET", 404],
    ["/v1/set", "DELETE", 405],
    ["/v1/history?limit=0", "GET", 400],
    ["/v1/history?limit=9999999", "GET", 400],
    ["/v1/explain/planet/earth", "GET", 404],
    ["/v1/explain/host/none", "GET", 404],
    ["/v1/explain/host/%ff", "GET", 400],
    ["/v1/publications/a%2Fb", "GET", 400],
    ["/v1/jobs?state=asleep", "GET", 400],
    ["/v1/jobs?state=queued", "GET", 200],
    ["/v1/jobs", "POST", 400],
    ["/v1/jobs/j1/cancel", "GET", 405],
    ["/v1/status", "GET", 500],
  ])("answers %s with %s by %i", async (path, method, expected) => {
    expect((await request(path, { method })).status).toBe(expected);
  });

  test("reports errors of handlers to the daemon but not to the client", async () => {
    expect((await request("/v1/status")).body).not.toContain("broken");
    expect(onError).toHaveBeenCalledWith(new Error("broken"));
  });

  // Guards against clients that occupy a connection by sending slowly. The body
  // without a length also tests the limit on bytes as they arrive.
  test.each([
    ["content-length: 10\r\n\r\n12", "408"],
    [
      "transfer-encoding: chunked\r\n\r\n500000\r\n" + "1".repeat(0x500_000),
      "413",
    ],
  ])(
    "refuses a body that does not end or is too large",
    async (rest, status) => {
      const [host, port] = address.split(":");
      const socket = connect(Number(port), host);
      socket.write(
        `POST /v1/changes HTTP/1.1\r\nhost: a\r\n` +
          `authorization: Bearer ${EXAMPLE_KEY}\r\n` +
          `content-type: application/json\r\n${rest}`,
      );
      const [data] = await new Promise<Buffer[]>((resolve) =>
        socket.once("data", (chunk) => resolve([chunk]))
      );
      socket.destroy();
      expect(String(data)).toContain(`HTTP/1.1 ${status} `);
      expect(submitChange).not.toHaveBeenCalled();
    },
  );
});

describe("createOperatorClient()", () => {
  // Guards against two concurrent publications that both take effect, and
  // against a refusal that does not name the publication that did.
  test("names the accepted publication in a conflict", async () => {
    const names = ["ada", "ben"] as const;
    const outcomes = await Promise.all(names.map((operator) => {
      const publicationId = `by-${operator}`;
      return client({ key: EXAMPLE_KEYS[operator] }).submitChange(
        examplePublication({ operator, publicationId }),
      );
    }));
    const values = outcomes.map((outcome) => outcome.unsafeCoerce());
    const winner = values.findIndex(({ type }) => type === "accepted");
    expect(values[winner]).toMatchObject({ type: "accepted", version: 1 });
    expect(values[1 - winner]).toMatchObject({
      type: "refused",
      cause: "conflict",
      currentVersion: 1,
      winners: [{ operator: ["ada", "ben"][winner] }],
    });
    const id = `by-${["ada", "ben"][winner]}`;
    expect((await client().publication(id)).extract())
      .toMatchObject({ type: "accepted", version: 1 });
    expect((await client().history(5)).extract())
      .toMatchObject([{ publicationId: id }]);
    expect((await client().currentSet()).extract())
      .toMatchObject({ version: 1 });
  });

  // Guards against an unknown outcome that is reported as accepted or refused.
  test.each<PublicationOutcome>([
    { type: "unknown", publicationId: "publication-1" },
    { type: "refused", cause: "unavailable", reason: "no log" },
    { type: "refused", cause: "invalid", reason: "bad", problems: [] },
  ])("returns the outcome %j as it is", async (outcome) => {
    submitChange.mockReturnValue(outcome);
    const found = await client().submitChange(examplePublication());
    expect(found.extract()).toEqual(outcome);
  });

  test("returns the refusal of a wrong key and of an unknown object", async () => {
    expect((await client({ key: "other" }).status()).extract())
      .toMatchObject({ type: "refused", refusal: { status: 401 } });
    expect((await client().explain("host", "none")).extract())
      .toMatchObject({ type: "refused", refusal: { status: 404 } });
    expect((await client().explain("host", "a b/c")).extract())
      .toMatchObject({ name: "a b/c" });
  });

  // Guards against a request about a job that loses a field or its id.
  test("sends requests about jobs", async () => {
    const common = { requestId: "r1", operator: "ada" };
    const job = { job: "j.1", team: "a", cores: 1, memory_gb: 1, run_s: 1 };
    const found = await client().submitJob({
      ...job,
      ...common,
      urgency: "urgent",
      accelerators: 0,
      data_centres: [],
    });
    expect(found.extract()).toMatchObject({ type: "accepted", job: "j.1" });
    expect((await client().cancelJob("none", common)).extract())
      .toMatchObject({ type: "refused", cause: "invalid" });
    expect((await client().listJobs("queued")).extract())
      .toMatchObject({ jobs: [] });
    const malformed = { ...common, requestId: "" };
    expect((await client().cancelJob("j1", malformed)).extract())
      .toMatchObject({ type: "refused", refusal: { status: 400 } });
  });

  // Guards against a change that was made but is reported as not made, since
  // its response was lost.
  test.each([
    ["a closed connection", { type: "unreachable", sent: true }],
    ["a foreign body", { type: "invalid-response" }],
  ])("returns an error after %s", async (name, expected) => {
    const other = createServer((request, response) => {
      if (name === "a foreign body") response.end("<html>");
      else request.destroy();
    });
    const found = await client({ address: await listenOn(other) })
      .submitChange(examplePublication());
    await close(other);
    expect(found.extract()).toMatchObject(expected);
  });

  test("reports that nothing was sent to a closed port", async () => {
    const other = createServer();
    const closed = await listenOn(other);
    await close(other);
    const found = await client({ address: closed }).status();
    expect(found.extract()).toMatchObject({ type: "unreachable", sent: false });
  });
});
