/**
 * Handlers for the requests of operators.
 *
 * @module
 */

import {
  explainHost,
  explainJob,
  explainService,
  explainWave,
} from "@lagoonloom/decisions";
import type {
  DaemonStatus,
  Explanation,
  OperatorHandlers,
} from "@lagoonloom/operators";
import { whyLeaving } from "./build_topology.ts";
import type { PeerLinks } from "./peer_links.ts";
import { cancelJob, listJobs, submitJob } from "./jobs/mod.ts";
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
  /** Returns the connections to the other entry hosts. */
  links: () => PeerLinks;
};

/**
 * Creates the handlers for the requests of operators.
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
    explain: (kind, name) => explain(options, { kind, name }),
    publication: (id) => findPublication(id, fold),
    submitJob: (submission) => submitJob(submission, options),
    cancelJob: (job, cancellation) =>
      cancelJob({ job, ...cancellation }, options),
    listJobs: (wanted) => listJobs(wanted, fold),
  };
}

function describeMembers(
  { fold, links }: OperatorHandlersOptions,
): DaemonStatus["members"] {
  const nowMs = performance.now();
  return [...fold.state().members.values()].map((member) => {
    const { name, dataCentre } = member;
    const link = links().find(name);
    if (link?.answeredAtMs === undefined) return { name, dataCentre };
    return {
      name,
      dataCentre,
      version: link.setVersion,
      offset: link.nextOffset,
      heardMsAgo: nowMs - link.answeredAtMs,
    };
  });
}

function describeStatus(options: OperatorHandlersOptions): DaemonStatus {
  const state = options.fold.state();
  const source = { state, listedLeaving: options.listedLeaving() };
  const logAgeMs = options.logAgeMs();
  const hosts = [...state.hosts];
  return {
    daemon: options.name,
    dataCentre: options.dataCentre,
    members: describeMembers(options),
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

/** Explains an object; returns undefined if none has this name. */
function explain(
  { fold }: OperatorHandlersOptions,
  object: Pick<Explanation, "kind" | "name">,
): Explanation | undefined {
  const state = fold.state();
  const { kind, name } = object;
  const [isKnown, describe] = {
    host: [state.hosts.has(name), explainHost] as const,
    wave: [Object.hasOwn(state.set.waves, name), explainWave] as const,
    service: [Object.hasOwn(state.set.services, name), explainService] as const,
    job: [state.jobs.has(name), explainJob] as const,
  }[kind];
  return isKnown ? { ...object, ...describe(state, name) } : undefined;
}
