import { findJoinBlocker } from "../budgets/find_join_blocker.ts";
import { findOutageBlocker } from "../budgets/find_outage_blocker.ts";
import { poolCapacity } from "../budgets/pool_capacity.ts";
import type { FleetState, HostState } from "../fold/fleet_state.ts";
import { getOwn } from "../fold/internal/outcomes.ts";
import { type Explanation, formatTime, unknownObject } from "./explanation.ts";

/**
 * Explains the state of a host, what it waits for and what would change that.
 *
 * @example
 * ```ts
 * const { sentences } = explainHost(state, "host-1");
 * ```
 */
export function explainHost(state: FleetState, name: string): Explanation {
  const host = state.hosts.get(name);
  const object = getOwn(state.set.hosts, name);
  if (host === undefined || object === undefined) {
    return unknownObject("host", name);
  }
  const sentences = [
    `Host "${name}" belongs to pool "${host.owner}" in rack "${object.rack}" of "${object.data_centre}".`,
    describeHealth(host),
  ];
  if (object.state === "leaving") {
    sentences.push(
      "The set marks it as leaving, so it gets no new work until an operator publishes it as in service.",
    );
  }
  sentences.push(...describePermit(state, host));
  if (host.permit === undefined) {
    const reason = findOutageBlocker(
      state,
      poolCapacity(state, host.owner),
      name,
    );
    sentences.push(
      reason === undefined
        ? "All budgets hold if it is taken out now."
        : `It cannot be taken out now: ${reason}`,
      ...describeWaves(state, name, host),
    );
    if (host.wish !== undefined) {
      sentences.push(
        `The set names pool "${host.wish}" for it, and it waits for a permit to move there.`,
      );
    }
  }
  return { sentences, facts: { ...host, set: object } };
}

function describeHealth(host: HostState): string {
  if (host.health === "in-service") return "It is in service as last observed.";
  return `It is ${host.health} since ${
    formatTime(host.healthSinceMs)
  } (${host.healthReason}) and counts as unavailable until it is observed in service.`;
}

function describePermit(state: FleetState, host: HostState): string[] {
  const { permit, move } = host;
  if (permit === undefined) return [];
  const sentences = [
    `It is out with a permit to ${permit.purpose} since ${
      formatTime(permit.grantedAtMs)
    }: ${permit.reason}`,
  ];
  if (move?.step === "started") {
    sentences.push(
      `It moves to "${move.to}" and waits until no request is in progress; no deadline cuts requests.`,
    );
  } else if (move?.step === "emptied") {
    const reason = findJoinBlocker(state, move.to);
    sentences.push(
      reason === undefined
        ? `It is empty and changes its owner to "${move.to}" next.`
        : `It is empty and waits to join "${move.to}": ${reason}`,
    );
  } else if (permit.downSinceMs === undefined) {
    sentences.push(
      "It waits until no request is in progress, and then restarts.",
    );
  } else if (host.health === "in-service") {
    sentences.push("It is back and waits for its return to be recorded.");
  } else {
    sentences.push("It has restarted and is not back yet.");
  }
  return sentences;
}

function describeWaves(
  state: FleetState,
  name: string,
  host: HostState,
): string[] {
  const sentences: string[] = [];
  for (const [waveName, wave] of Object.entries(state.set.waves)) {
    if (!wave.pools.includes(host.owner)) continue;
    const progress = state.waves.get(waveName);
    const doneAtMs = progress?.done.get(name);
    if (doneAtMs !== undefined) {
      sentences.push(
        `Wave "${waveName}" maintained it at ${formatTime(doneAtMs)}.`,
      );
    } else if (progress === undefined || progress.state !== "running") {
      sentences.push(
        `Wave "${waveName}" will maintain it once it runs; it is ${
          progress?.state ?? wave.state
        } now.`,
      );
    } else {
      sentences.push(
        `Wave "${waveName}" maintains it once all budgets hold with it out.`,
      );
    }
  }
  return sentences;
}
