import { afterEach, expect, test } from "@jest/globals";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import {
  type CallFailure,
  createOwnerClient,
  type OwnerClient,
} from "./create_owner_client.ts";

const sockets = new Set<Socket>();
let server: Server | undefined;
let client: OwnerClient;

/** Creates a client whose failures are collected. */
function createObservedClient(address: string): CallFailure[] {
  const failures: CallFailure[] = [];
  client = createOwnerClient(address, {
    onFailure: (failure) => failures.push(failure),
  });
  return failures;
}

/** Listens on loopback and answers nothing. */
async function listenSilently(): Promise<string> {
  server = createServer((socket) => sockets.add(socket));
  await new Promise<void>((resolve) =>
    server!.listen(0, "127.0.0.1", () => resolve())
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
  client.close();
  for (const socket of sockets) socket.destroy();
  server?.close();
});

// Guards against a record that does not tell which call for which job failed
// at a silent owner, and after how long.
test("names the call, the job and the times of a call without an answer", async () => {
  const failures = createObservedClient(await listenSilently());
  const request = { partition: 3, job: "5c0e7a21d94b36f8", caller: {} };
  expect(await client.show(request, 150)).toBeUndefined();
  expect(failures).toEqual([{
    call: "show",
    partition: 3,
    job: "5c0e7a21d94b36f8",
    code: "deadline_exceeded",
    reason: expect.any(String),
    tookMs: expect.any(Number),
    timeoutMs: 150,
    connection: expect.stringMatching(/connecting|open/),
    silentMs: undefined,
  }]);
  expect(failures[0]!.tookMs).toBeGreaterThanOrEqual(149);
});

// Guards against a refused connection that looks like a silent member.
test("names the reason of a refused connection", async () => {
  const address = await listenSilently();
  await new Promise((resolve) => server!.close(resolve));
  const failures = createObservedClient(address);
  expect(await client.reach(1_000)).toBeUndefined();
  const reason = expect.stringContaining("ECONNREFUSED");
  expect(failures).toMatchObject([{ call: "reach", reason }]);
});
