import { planMoves, planWave } from "@lagoonloom/decisions";
import {
  createFleetModel,
  createFleetSet,
  failHost,
  type FleetModel,
  publish,
  stepFleet,
} from "@lagoonloom/standins/fleet";
import type { MeasureRow } from "../measure_row.ts";
import { createRandom, type Random } from "../random.ts";
import {
  CAPACITY_DEPLOYMENTS,
  type CapacityDeployment,
  createDeciders,
  FAILURES_PER_HOST_DAY,
} from "./deployments.ts";

const SEED = 23;

/** Number of simulated steps. */
const STEPS = 240;
const STEP_MS = 5_000;

/** Mean number of steps between two faults. */
const FAULT_GAP_STEPS = 6;

/**
 * Counts violations of invariants while waves and moves run under faults:
 * deciders crash or pause for longer than their lease, the log is down, answers
 * of the log are lost, records are duplicated, operators publish at the same
 * time, and hosts and racks fail.
 *
 * @example
 * ```ts
 * const rows = measureSafety();
 * ```
 */
export function measureSafety(): MeasureRow[] {
  return CAPACITY_DEPLOYMENTS.flatMap((deployment) => {
    const model = simulateFaults(deployment);
    const { violations } = model.checker;
    const counts: [string, number][] = [
      ["budget-violations", violations.budget.length],
      ["double-owned", violations.owner.length],
      ["reverts", violations.revert.length + model.disagreements.length],
      [
        "late-fenced-actions",
        violations.fenced.length + model.restartsWithoutPermit.length,
      ],
    ];
    return counts.map(([measure, value]) => ({
      measure,
      deployment: deployment.name,
      policy: "chosen",
      value,
      unit: "count",
    }));
  });
}

function simulateFaults({ shape }: CapacityDeployment): FleetModel {
  const random = createRandom(SEED);
  const set = createFleetSet({ ...shape, waves: { all: { outage_s: 60 } } });
  const demand = new Map(
    Object.entries(shape.pools).map(([pool, hosts]) => [
      pool,
      pool === shape.sparePool ? 0 : hosts * (0.6 + 0.3 * random()),
    ]),
  );
  const shortages = [...demand.keys()]
    .map((pool) => ({ pool, hosts: 1, sinceMs: -1e9 }));
  const model = createFleetModel({
    set,
    drainMs: 10_000,
    restartMs: () => 60_000,
    daemons: createDeciders(shape),
    planner: (state, { term, nowMs, observations }) => {
      const wave = planWave(state, observations, { term, nowMs });
      const options = { term, nowMs, demand, shortages };
      const moves = planMoves(state, observations, options);
      return {
        records: [...wave.records, ...moves.records],
        reboots: [...wave.reboots, ...moves.reboots],
      };
    },
  });
  for (let step = 0; step < STEPS; step++) {
    if (random() < 1 / FAULT_GAP_STEPS) injectFault(model, random);
    failHosts(model, random);
    stepFleet(model, { stepMs: STEP_MS });
  }
  return model;
}

function failHosts(model: FleetModel, random: Random): void {
  const { nowMs } = model;
  const share = FAILURES_PER_HOST_DAY * STEP_MS / 86_400_000;
  for (const name of model.hosts.hosts.keys()) {
    if (random() >= share) continue;
    failHost(model.hosts, name, { nowMs, untilMs: nowMs + 600_000 });
  }
}

/** Injects one fault, with pauses twice as likely as each of the others. */
function injectFault(model: FleetModel, random: Random): void {
  const { nowMs, daemons, log, referenceState } = model;
  const drawInt = (count: number) => Math.floor(random() * count);
  const untilMs = nowMs + 40_000;
  const daemon = daemons[drawInt(daemons.length)]!;
  switch (drawInt(7)) {
    case 0:
      daemon.plannedFault = {
        afterActions: drawInt(6),
        kind: "crash",
        untilMs,
      };
      break;
    case 1:
    case 2:
      daemon.plannedFault = {
        afterActions: drawInt(6),
        kind: "pause",
        untilMs,
      };
      break;
    case 3:
      log.downUntilMs = nowMs + 20_000;
      break;
    case 4:
      log.lostAnswers += 3;
      log.duplicates += 3;
      break;
    case 5:
      for (const id of [`ana-${nowMs}`, `ben-${nowMs}`]) {
        const put = { teams: referenceState.set.teams };
        publish(model, { put, expectedVersion: referenceState.setVersion, id });
      }
      break;
    default:
      failRack(model, drawInt(Object.keys(referenceState.set.hosts).length));
  }
}

/** Fails all hosts in the rack of the host with an index. */
function failRack(model: FleetModel, index: number): void {
  const { referenceState, nowMs, hosts } = model;
  const objects = referenceState.set.hosts;
  const failing = Object.values(objects)[index]!;
  for (const [name, { rack, data_centre }] of Object.entries(objects)) {
    if (rack !== failing.rack || data_centre !== failing.data_centre) continue;
    failHost(hosts, name, { nowMs, untilMs: nowMs + 300_000 });
  }
}
