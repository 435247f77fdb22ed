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
  computeRunLengthMs,
  createRotatingDemand,
  drawArrivals,
} from "./demand.ts";
import { type Deployment, DEPLOYMENTS } from "./deployment.ts";

/** Time that the log needs to store a record in milliseconds. */
const LOG_WRITE_MS = 5;

/** Limit on appends of answers per second, shared by all entry hosts. */
const ANSWER_APPENDS_PER_S = 20;

/** Desk whose requests are safe to repeat and need no claim. */
const IDEMPOTENT_DESK = "quoting";

/** Targets of docs/design.md. */
const BOUND_P99_MS = 100;
const BOUND_APPENDS_PER_S = 200;

/** Simulated entry host. */
type Member = {
  state: ClaimsState;
  /** Offset of the next record to read. */
  offset: number;
  /** Whether a poll of the log waits for new records. */
  isPolling: boolean;
  /** Keys of the answers that wait for their append. */
  unstoredKeys: string[];
  /** Whether the limit on appends of answers delays the next one. */
  isRateLimited: boolean;
};

/**
 * Measures the time from the arrival of an order until its claim is folded, and
 * the appends of claims, completions and answers in the busiest second, with
 * rotating demand. The requests of all desks except the quoting one count as
 * orders.
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
    const quantile = (share: number) =>
      waitsMs[Math.min(waitsMs.length - 1, Math.floor(share * waitsMs.length))];
    const row = (measure: string, value: number, unit: string): MeasureRow => ({
      measure,
      deployment: deployment.name,
      policy: "chosen",
      value: Number(value.toFixed(1)),
      unit,
    });
    const p99 = row("claim-cost-p99", quantile(0.99) ?? 0, "ms");
    const appends = row(
      "claim-cost-appends",
      countBusiestSecond(appendTimesMs),
      "appends/s",
    );
    const lengthS = computeRunLengthMs(deployment) / 1_000;
    return [
      row("claim-cost-orders", orders / lengthS, "orders/s"),
      row("claim-cost-p50", quantile(0.5) ?? 0, "ms"),
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
    unstoredKeys: [],
    isRateLimited: false,
  }));
  const arrivals = drawArrivals(createRotatingDemand(deployment), {
    seed: 1,
    members: entryHosts,
  }).filter(({ service }) => service !== IDEMPOTENT_DESK);
  const byId = new Map(arrivals.map((arrival) => [arrival.id, arrival]));
  const waitsMs: number[] = [];
  const appendTimesMs: number[] = [];
  const scheduleAfter = (delayMs: number, run: () => void) =>
    schedule(events, events.nowMs + delayMs, run);
  for (const member of members) {
    advance(member, { type: "members", live: entryHosts });
  }
  arrivals.forEach((arrival, index) => {
    schedule(events, arrival.atMs, () => receiveOrder(arrival, index));
  });
  runUntil(events, computeRunLengthMs(deployment));
  return { waitsMs, appendTimesMs, orders: arrivals.length };

  function receiveOrder(arrival: Arrival, index: number): void {
    const key = createOrderKey(index);
    const { id, deadlineAtMs } = arrival;
    const event = { id, key, request: key, deadlineAtMs } as const;
    advance(members[arrival.member]!, { type: "order-received", ...event });
  }

  function advance(member: Member, event: ClaimEvent): void {
    for (const action of advanceClaims(member.state, event, events.nowMs)) {
      performAction(member, action);
    }
  }

  function performAction(member: Member, action: ClaimAction): void {
    if (action.type === "append") append(member, action);
    else if (action.type === "wake") {
      schedule(events, action.atMs, () => advance(member, { type: "tick" }));
    } else if (action.type === "send") {
      const { atMs, runMs } = byId.get(action.id)!;
      waitsMs.push(events.nowMs - atMs);
      const { key } = action;
      scheduleAfter(runMs, () => {
        advance(member, { type: "ended", key, end: "answered" });
        member.unstoredKeys.push(key);
        storeAnswers(member);
      });
    }
  }

  function append(
    member: Member,
    action: Extract<ClaimAction, { type: "append" }>,
  ): void {
    appendTimesMs.push(events.nowMs);
    const { recordId, record } = action;
    scheduleAfter(latencyMs + LOG_WRITE_MS, () => {
      log.push({ id: recordId, timeMs: events.nowMs, body: record });
      for (const reader of members) if (reader.isPolling) answerPoll(reader);
    });
    scheduleAfter(
      2 * latencyMs + LOG_WRITE_MS,
      () =>
        advance(member, {
          type: "append-result",
          recordId,
          result: "appended",
        }),
    );
  }

  /** Answers a poll with the new records; the reader then polls again. */
  function answerPoll(member: Member): void {
    member.isPolling = false;
    const records = log.slice(member.offset);
    member.offset = log.length;
    scheduleAfter(latencyMs, () => {
      for (const record of records) {
        advance(member, { type: "folded", ...record });
      }
    });
    scheduleAfter(2 * latencyMs, () => {
      if (member.offset < log.length) answerPoll(member);
      else member.isPolling = true;
    });
  }

  function storeAnswers(member: Member): void {
    if (member.isRateLimited || member.unstoredKeys.length === 0) return;
    member.isRateLimited = true;
    appendTimesMs.push(events.nowMs);
    const keys = member.unstoredKeys.splice(0);
    scheduleAfter(2 * latencyMs + LOG_WRITE_MS, () => {
      for (const key of keys) {
        advance(member, { type: "answer-kept", key, offset: 1 });
      }
    });
    scheduleAfter(entryHosts * 1_000 / ANSWER_APPENDS_PER_S, () => {
      member.isRateLimited = false;
      storeAnswers(member);
    });
  }
}

/** Returns a claim key that is unique per order and looks like a digest. */
function createOrderKey(index: number): string {
  const bytes = Buffer.alloc(16);
  bytes.writeUInt32LE(Math.imul(index + 1, 2_654_435_761) >>> 0);
  bytes.writeUInt32LE(index, 4);
  return bytes.toString("base64url");
}
