import type { FleetState } from "@lagoonloom/decisions";
import type {
  DaemonStatus,
  Explanation,
  OperatorHandlers,
} from "@lagoonloom/operators";
import { whyLeaving } from "./build_topology.ts";
import {
  findPublication,
  listHistory,
  publish,
  type PublishOptions,
} from "./publication.ts";

/** Options of {@linkcode createOperatorHandlers}. */
export type OperatorHandlersOptions = PublishOptions & {
  name: string;
  dataCentre: string;
  isReady: () => boolean;
  logAgeMs: () => number | undefined;
  listedLeaving: () => ReadonlySet<string>;
};

/**
 * Creates what the daemon does for operators.
 *
 * @example
 * ```ts
 * const app = createOperatorApp(createOperatorHandlers(options), { keys });
 * ```
 */
export function createOperatorHandlers(
  options: OperatorHandlersOptions,
): OperatorHandlers {
  const { fold } = options;
  return {
    submitChange: (publication) => publish(publication, options),
    currentSet: () => {
      const { setVersion: version, set } = fold.state();
      return { version, set };
    },
    status: () => describeStatus(options),
    history: (limit) => listHistory(fold).reverse().slice(0, limit),
    explain: (kind, name) => explain(fold.state(), { kind, name }),
    publication: (id) => findPublication(id, fold),
  };
}

function describeStatus(options: OperatorHandlersOptions): DaemonStatus {
  const state = options.fold.state();
  const source = { state, listedLeaving: options.listedLeaving() };
  const logAgeMs = options.logAgeMs();
  const hosts = [...state.hosts];
  return {
    daemon: options.name,
    dataCentre: options.dataCentre,
    ready: options.isReady(),
    version: state.setVersion,
    offset: state.nextOffset,
    ...(logAgeMs === undefined ? {} : { logAgeMs }),
    leaving: hosts.flatMap(([host, { owner: pool }]) => {
      const reason = whyLeaving(host, source);
      return reason === undefined ? [] : [{ host, pool, reason }];
    }),
    permits: hosts.flatMap(([host, { permit }]) => {
      if (permit === undefined) return [];
      const { purpose, wave, reason, grantedAtMs } = permit;
      const ofWave = wave === undefined ? {} : { wave };
      return [{ host, purpose, reason, grantedAtMs, ...ofWave }];
    }),
  };
}

/** Describes the folded decisions about an object. */
function explain(
  state: FleetState,
  object: Pick<Explanation, "kind" | "name">,
): Explanation | undefined {
  const decisions = decisionsAbout(state, object);
  if (decisions === undefined) return undefined;
  return {
    ...object,
    decisions: decisions.map((it) => ({ ...it, alternatives: [] })),
  };
}

type Decision = { timeMs?: number; decision: string; reason: string };

function decisionsAbout(
  state: FleetState,
  { kind, name }: Pick<Explanation, "kind" | "name">,
): Decision[] | undefined {
  switch (kind) {
    case "host":
      return aboutHost(state, name);
    case "wave": {
      const wave = state.waves.get(name);
      if (wave === undefined) return state.set.waves[name] && [];
      const { state: decision, reason, sinceMs: timeMs } = wave;
      return [{ timeMs, decision, reason }];
    }
    case "job": {
      const job = state.jobs.get(name);
      if (job === undefined) return undefined;
      const { state: decision, reason, sinceMs: timeMs } = job;
      return [{ timeMs, decision, reason }];
    }
    case "service":
      return state.set.services[name] && [];
  }
}

function aboutHost(state: FleetState, name: string): Decision[] | undefined {
  const host = state.hosts.get(name);
  if (host === undefined) return undefined;
  const decisions: Decision[] = [{
    timeMs: host.healthSinceMs,
    decision: host.health,
    reason: host.healthReason,
  }];
  if (host.permit !== undefined) {
    const { purpose, reason, grantedAtMs: timeMs } = host.permit;
    decisions.unshift({ timeMs, decision: `permit to ${purpose}`, reason });
  }
  if (host.move !== undefined) {
    const { to, step, reason, startedAtMs: timeMs } = host.move;
    const decision = `move to ${to}: ${step}`;
    decisions.unshift({ timeMs, decision, reason });
  }
  return decisions;
}
