import { expect, test } from "@jest/globals";
import type { PlatformClient } from "./platform_client.ts";
import { tailStream } from "./tail_stream.ts";

// Guards against a daemon that refuses orders after its start until the long
// poll of its first read is over.
test("tailStream() does not wait for records in its first read", async () => {
  const stopped = new AbortController();
  const waits: number[] = [];
  const page = { records: [], nextOffset: 0, oldestOffset: 0, retentionMs: 1 };
  const read: PlatformClient["read"] = ({ waitMs }) => {
    waits.push(waitMs);
    if (waits.length === 3) stopped.abort();
    return Promise.resolve({ type: "read", page });
  };
  await tailStream({ read } as PlatformClient, {
    nextOffset: () => 0,
    onRecords: () => undefined,
    onExpired: () => Promise.resolve(),
    onUnreachable: () => undefined,
  }, { stream: "claims", signal: stopped.signal, waitMs: 1_500 });
  expect(waits).toEqual([0, 1_500, 1_500]);
});
