import {
  advanceClaims,
  type ClaimAction,
  type ClaimEvent,
  type ClaimsState,
  createClaims,
} from "@lagoonloom/decisions";
import type { ClaimRecord } from "@lagoonloom/records";
import { createEventQueue, runUntil, schedule } from "../event_queue.ts";
import type { MeasureRow } from "../measure_row.ts";
import {
  type Arrival,
  computeRunLength,
  drawArrivals,
  rotateDemand,
} from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";

/** Time in which the log stores a record in milliseconds. */
const LOG_WRITE_MS = 5;

/** Appends of answers of all entry hosts together per second. */
const ANSWER_APPENDS_PER_S = 20;

/** Desk whose requests are safe to repeat and need no claim. */
const IDEMPOTENT_DESK = "quoting";

/** Targets of the design page. */
const BOUND_P99_MS = 100;
const BOUND_APPENDS_PER_S = 200;

/** Entry host of the simulation. */
type Member = {
  state: ClaimsState;
  /** Next record to fold. */
  offset: number;
  isPolling: boolean;
  /** Answers that wait for their append. */
  unkept: string[];
  isKeeping: boolean;
};

/**
 * Measures the time from an order to its folded claim and the appends per
 * second of claims, ends and answers in the busiest second, at today's rotating
 * demand. All desks but the quoting one are taken as orders.
 *
 * @example
 * ```ts
 * const rows = measureClaimCost();
 * ```
 */
export function measureClaimCost(): MeasureRow[] {
  return DEPLOYMENTS.flatMap((deployment) => {
    const { waitsMs, appendTimesMs, orders } = simulateClaims(deployment);
    waitsMs.sort((a, b) => a - b);
    const rank = (share: number) =>
      waitsMs[Math.min(waitsMs.length - 1, Math.floor(share * waitsMs.length))];
    const row = (measure: string, value: number, unit: string): MeasureRow => ({
      measure,
      deployment: deployment.name,
      policy: "chosen",
      value: Number(value.toFixed(1)),
      unit,
    });
    const p99 = row("claim-cost-p99", rank(0.99) ?? 0, "ms");
    const appends = row(
      "claim-cost-appends",
      countBusiestSecond(appendTimesMs),
      "appends/s",
    );
    const lengthS = computeRunLength(deployment) / 1_000;
    return [
      row("claim-cost-orders", orders / lengthS, "orders/s"),
      row("claim-cost-p50", rank(0.5) ?? 0, "ms"),
      p99,
      { ...p99, policy: "bound", value: BOUND_P99_MS },
      appends,
      { ...appends, policy: "bound", value: BOUND_APPENDS_PER_S },
    ];
  });
}

function countBusiestSecond(timesMs: readonly number[]): number {
  const counts = new Map<number, number>();
  for (const timeMs of timesMs) {
    const second = Math.floor(timeMs / 1_000);
    counts.set(second, (counts.get(second) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values());
}

function simulateClaims(deployment: Deployment) {
  const { entryHosts, latencyMs } = deployment;
  const events = createEventQueue();
  const log: { id: string; timeMs: number; body: ClaimRecord }[] = [];
  const members = Array.from({ length: entryHosts }, (_, index): Member => ({
    state: createClaims({ member: `entry-${index}`, incarnation: "1" }),
    offset: 0,
    isPolling: true,
    unkept: [],
    isKeeping: false,
  }));
  const arrivals = drawArrivals(rotateDemand(deployment), {
    seed: 1,
    members: entryHosts,
  }).filter(({ service }) => service !== IDEMPOTENT_DESK);
  const byId = new Map(arrivals.map((arrival) => [arrival.id, arrival]));
  const waitsMs: number[] = [];
  const appendTimesMs: number[] = [];
  const after = (delayMs: number, run: () => void) =>
    schedule(events, events.nowMs + delayMs, run);
  for (const member of members) {
    advance(member, { type: "members", live: entryHosts });
  }
  arrivals.forEach((arrival, index) => {
    schedule(events, arrival.atMs, () => order(arrival, index));
  });
  runUntil(events, computeRunLength(deployment));
  return { waitsMs, appendTimesMs, orders: arrivals.length };

  function order(arrival: Arrival, index: number): void {
    const key = encodeKey(index);
    const { id, deadlineAtMs } = arrival;
    const event = { id, key, request: key, deadlineAtMs } as const;
    advance(members[arrival.member]!, { type: "order-received", ...event });
  }

  function advance(member: Member, event: ClaimEvent): void {
    for (const action of advanceClaims(member.state, event, events.nowMs)) {
      perform(member, action);
    }
  }

  function perform(member: Member, action: ClaimAction): void {
    if (action.type === "append") append(member, action);
    else if (action.type === "wake") {
      schedule(events, action.atMs, () => advance(member, { type: "tick" }));
    } else if (action.type === "send") {
      const { atMs, runMs } = byId.get(action.id)!;
      waitsMs.push(events.nowMs - atMs);
      const { key } = action;
      after(runMs, () => {
        advance(member, { type: "ended", key, end: "answered" });
        member.unkept.push(key);
        keepAnswers(member);
      });
    }
  }

  function append(
    member: Member,
    action: Extract<ClaimAction, { type: "append" }>,
  ): void {
    appendTimesMs.push(events.nowMs);
    const { recordId, record } = action;
    after(latencyMs + LOG_WRITE_MS, () => {
      log.push({ id: recordId, timeMs: events.nowMs, body: record });
      for (const reader of members) if (reader.isPolling) answerPoll(reader);
    });
    after(
      2 * latencyMs + LOG_WRITE_MS,
      () =>
        advance(member, {
          type: "append-result",
          recordId,
          result: "appended",
        }),
    );
  }

  /** Sends the new records to a waiting reader, which then polls again. */
  function answerPoll(member: Member): void {
    member.isPolling = false;
    const records = log.slice(member.offset);
    member.offset = log.length;
    after(latencyMs, () => {
      for (const record of records) {
        advance(member, { type: "folded", ...record });
      }
    });
    after(2 * latencyMs, () => {
      if (member.offset < log.length) answerPoll(member);
      else member.isPolling = true;
    });
  }

  function keepAnswers(member: Member): void {
    if (member.isKeeping || member.unkept.length === 0) return;
    member.isKeeping = true;
    appendTimesMs.push(events.nowMs);
    const keys = member.unkept.splice(0);
    after(2 * latencyMs + LOG_WRITE_MS, () => {
      for (const key of keys) {
        advance(member, { type: "answer-kept", key, offset: 1 });
      }
    });
    after(entryHosts * 1_000 / ANSWER_APPENDS_PER_S, () => {
      member.isKeeping = false;
      keepAnswers(member);
    });
  }
}

/** Digest that is unique per order. */
function encodeKey(index: number): string {
  const bytes = Buffer.alloc(16);
  bytes.writeUInt32LE(Math.imul(index + 1, 2_654_435_761) >>> 0);
  bytes.writeUInt32LE(index, 4);
  return bytes.toString("base64url");
}
