import type { ControlRecord } from "@lagoonloom/records";
import { findJoinBlocker } from "../../budgets/find_join_blocker.ts";
import { type DeciderTerm, planRecord } from "../../deciders/planned_record.ts";
import type { FleetState, HostState } from "../../fold/fleet_state.ts";
import { getOwn } from "../../fold/internal/outcomes.ts";
import {
  hasReturned,
  isDrained,
  type WorkObservation,
  type WorkObservations,
} from "../../waves/work_observation.ts";
import type { MovePlan } from "../move_plan.ts";

type PlanOpenMovesOptions = { plan: MovePlan; term: DeciderTerm };

/**
 * Plans the next step of each open move of a data centre. It depends only on
 * the folded state and the observations, so a new decider can continue a move.
 */
export function planOpenMoves(
  state: FleetState,
  observations: WorkObservations,
  { plan, term }: PlanOpenMovesOptions,
): void {
  for (const [name, host] of state.hosts) {
    if (host.permit?.purpose !== "move") continue;
    if (getOwn(state.set.hosts, name)?.data_centre !== term.scope) continue;
    const observation = observations.get(name);
    const step = findNextStep(state, host, observation);
    if (step === "reboot") plan.reboots.push(name);
    if (step === "reboot" || step === undefined) continue;
    const { generation } = host;
    const body = { ...step, ...term, host: name, generation };
    plan.records.push(planRecord(state, body as ControlRecord));
  }
}

function findNextStep(
  state: FleetState,
  host: HostState,
  observation: WorkObservation | undefined,
) {
  const { permit, move } = host;
  const to = move?.to ?? permit?.to;
  if (permit === undefined) return undefined;
  const hasTarget = to !== undefined && to !== host.owner &&
    getOwn(state.set.pools, to) !== undefined;
  if (move !== undefined) {
    if (!hasTarget) {
      return createAdvance("abandoned", move.to, "The target pool is gone.");
    }
    if (move.step === "emptied") {
      if (findJoinBlocker(state, move.to) !== undefined) return undefined;
      return createAdvance("finished", move.to, "The host is empty.");
    }
    if (!isDrained(observation)) return undefined;
    return createAdvance("emptied", move.to, "No request is in progress.");
  }
  if (host.movedAtMs >= permit.grantedAtMs) {
    return planRestart(host, observation);
  }
  if (hasTarget) return createAdvance("started", to, permit.reason);
  return {
    type: "permit.returned" as const,
    outcome: "abandoned" as const,
    reason: "The permit names no pool that the host can move to.",
  };
}

/** Plans the restart of a host that changed its owner, and then its return. */
function planRestart(
  host: HostState,
  observation: WorkObservation | undefined,
) {
  if (hasReturned(host, observation, { sinceMs: host.movedAtMs })) {
    return {
      type: "permit.returned" as const,
      outcome: "done" as const,
      reason: `The host serves pool "${host.owner}".`,
    };
  }
  if (host.health !== "in-service") return undefined;
  return "reboot" as const;
}

function createAdvance(
  step: "started" | "emptied" | "finished" | "abandoned",
  to: string,
  reason: string,
) {
  return { type: "move.advanced" as const, step, to, reason };
}
