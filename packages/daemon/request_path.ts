/**
 * Request path of a daemon, connected to the rest of it.
 *
 * @module
 */

import { AnswerRecord } from "@lagoonloom/records";
import type { ControlFold } from "./control_fold.ts";
import type { DaemonDependencies } from "./daemon_dependencies.ts";
import type { Membership } from "./membership.ts";
import { awaitOutcomeAt, forwardTo } from "./peer_handlers.ts";
import type { PeerLinks } from "./peer_links.ts";
import { createRequestPath, type RequestPath } from "./requests/mod.ts";
import type { RunningSlots } from "./running_slots.ts";

/** Options of {@linkcode createDaemonRequestPath}. */
export type DaemonRequestPathOptions = {
  dependencies: DaemonDependencies;
  fold: ControlFold;
  membership: Membership;
  running: RunningSlots;
  links: () => PeerLinks;
  isReady: () => boolean;
  logIsFresh: () => boolean;
};

/**
 * Creates the request path of a daemon and connects it to the fold, the
 * membership, the log and the other entry hosts.
 *
 * @example
 * ```ts
 * const path = createDaemonRequestPath(options);
 * ```
 */
export function createDaemonRequestPath(
  options: DaemonRequestPathOptions,
): RequestPath {
  const { dependencies, fold, membership, links } = options;
  const { settings, platform, events, metrics } = dependencies;
  const { bounds } = settings;
  const ownValue = <Value>(record: Record<string, Value>, name: string) =>
    Object.hasOwn(record, name) ? record[name] : undefined;
  return createRequestPath({
    settings: {
      member: settings.daemon.name,
      // The incarnation changes when this process was reported as lost.
      get incarnation() {
        return membership.incarnation();
      },
      teamsByToken: new Map(
        Object.entries(settings.caller).map(([team, { key }]) => [key, team]),
      ),
      maxBodyBytes: bounds.body_bytes,
      bodyTimeoutMs: bounds.body_ms,
      maxTransitBytes: bounds.transit_bytes,
      maxConnections: bounds.executor_connections,
      claimWindowMs: bounds.claim_window_ms,
      longestRequestMs: bounds.longest_request_ms,
    },
    hasSlotRights: membership.hasSlotRights,
    logIsFresh: options.logIsFresh,
    setVersion: () => fold.state().setVersion,
    isLive: () => true,
    isReady: options.isReady,
    findService: (name) => ownValue(fold.state().set.services, name),
    hostAddress: (name) => ownValue(fold.state().set.hosts, name)?.address,
    append: (stream, id, body) => platform.append({ stream, id, body }),
    async readAnswer(offset) {
      const outcome = await platform.read({
        stream: "answers",
        from: offset,
        limit: 1,
        waitMs: 0,
      });
      if (outcome.type !== "read") return undefined;
      const record = outcome.page.records[0];
      if (record?.offset !== offset) return undefined;
      return AnswerRecord.safeParse(record.body).data;
    },
    async forward(member, request) {
      const link = links().find(member);
      if (link === undefined) return { type: "not-sent" };
      return await forwardTo(link.client, request);
    },
    async awaitOutcomeAt(member, key, waitMs) {
      const link = links().find(member);
      if (link === undefined) return { type: "unknown" };
      return await awaitOutcomeAt(link.client, { key, waitMs });
    },
    isCurrentMember: (name, incarnation) =>
      fold.state().members.get(name)?.incarnation === incarnation,
    otherMembers: () =>
      [...fold.state().members.keys()]
        .filter((name) => name !== settings.daemon.name),
    liveMembers: () => fold.state().members.size,
    observeSchedule: options.running.observe,
    events,
    metrics,
    nowMs: () => performance.now(),
  });
}
