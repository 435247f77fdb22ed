import { expect, test } from "@jest/globals";
import type { PlatformClient } from "./platform_client.ts";
import { tailStream } from "./tail_stream.ts";

// Guards against a new daemon that refuses orders for as long as the longest
// wait, since its first read waits for a record.
test("tailStream() does not wait in its first read", async () => {
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
