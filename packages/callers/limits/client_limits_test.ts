import { describe, expect, test } from "@jest/globals";
import { createBodyBuffer, createSegmentPool } from "./body_buffer.ts";
import { createChunkPace } from "./chunk_pace.ts";
import { checkClientLimits, deriveClientLimits } from "./client_limits.ts";

const MB = 1_024 * 1_024;

describe("deriveClientLimits()", () => {
  // Guards against limits that leave a machine no sockets or memory of its own.
  test.each([
    [160, 900],
    [250, 4_100],
    [350, 4_100],
    [2_000, 20_000],
  ])("keeps a part of %i MB and %i descriptors", (memoryMb, descriptors) => {
    const resources = {
      memoryBytes: memoryMb * MB,
      heapBytes: 160 * MB,
      sockets: descriptors - 200,
    };
    const limits = deriveClientLimits(resources);
    expect(checkClientLimits(limits, resources)).toEqual([]);
    expect(limits.maxBytes).toBeLessThanOrEqual(memoryMb * MB / 4);
    const forClients = limits.maxConnections + limits.maxPeerConnections +
      2 * limits.maxProbeConnections;
    expect(forClients).toBeLessThanOrEqual(0.75 * resources.sockets);
  });

  // Guards against starting with settings that use up the descriptors.
  test("reports settings beyond the machine", () => {
    const resources = {
      memoryBytes: 250 * MB,
      heapBytes: 160 * MB,
      sockets: 700,
    };
    const limits = deriveClientLimits(resources, { maxConnections: 5_000 });
    expect(checkClientLimits(limits, resources)).toHaveLength(1);
  });
});

describe("createChunkPace()", () => {
  // Guards against refusing one body of the largest size in chunks of one byte,
  // and against reading hundreds of them.
  test("reads one body of small chunks, and not very many", () => {
    let nowMs = 0;
    const pace = createChunkPace(100_000, () => nowMs);
    const readBody = () => {
      for (let size = 1; size <= 262_144; size++) {
        if (!pace.take(size, size)) return false;
      }
      return true;
    };
    const readCount = Array.from({ length: 10 }, readBody)
      .filter((isRead) => isRead).length;
    expect(readCount).toBe(2);
    nowMs += 6_000;
    expect(readBody()).toBe(true);
  });
});

describe("createBodyBuffer()", () => {
  // Guards against wrong bodies at the borders of segments, and against a pool
  // that hands out a segment in use.
  test.each([1, 7, 16_383, 16_384, 16_385, 40_000])(
    "joins chunks of %i bytes",
    (chunkBytes) => {
      const pool = createSegmentPool();
      const sent = Buffer.from(
        Array.from({ length: 50_000 }, (_, index) => index % 251),
      );
      const buffers = [createBodyBuffer(pool), createBodyBuffer(pool)];
      for (let from = 0; from < sent.length; from += chunkBytes) {
        const chunk = sent.subarray(from, from + chunkBytes);
        for (const buffer of buffers) buffer.append(chunk);
      }
      for (const buffer of buffers) {
        expect(Buffer.compare(buffer.finish(), sent)).toBe(0);
      }
    },
  );
});
