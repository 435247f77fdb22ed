import { describe, expect, test } from "@jest/globals";
import { applyRecord, emptyFleetState } from "@lagoonloom/decisions";
import { createTestFleet } from "@lagoonloom/standins";
import type { PeerLinks } from "../peer_links.ts";
import { createPoolDemand } from "./pool_demand.ts";

function createState() {
  const state = emptyFleetState();
  const set = createTestFleet({ pools: { quoting: 2 } });
  applyRecord(state, {
    offset: 0,
    timeMs: 1,
    id: "set",
    body: {
      type: "set.changed",
      expectedVersion: 0,
      change: { put: set, removed: [] },
      operator: "ada",
    },
  });
  return state;
}

describe("createPoolDemand()", () => {
  // Guards against lent slots that count as demand of the pool that lends them,
  // which would move further hosts to it.
  test.each([
    [{ free: 16, lent: 0 }, 0],
    [{ free: 0, lent: 16 }, 0],
    [{ free: 4, lent: 4 }, 1],
    [{ free: 0, lent: 0 }, 2],
  ])("counts %j as %d busy hosts", (slots, hosts) => {
    const demand = createPoolDemand({
      name: "detroit-1",
      links: () => ({ find: () => undefined }) as unknown as PeerLinks,
      reportSlots: () => [{ pool: "quoting", ...slots }],
    });
    demand.observe(createState(), 1_000);
    expect(demand.hostsByPool().get("quoting")).toBeCloseTo(hosts);
  });
});
