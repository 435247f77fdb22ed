/**
 * Membership of an entry host: joins, watchers, reports of losses and leaves.
 *
 * @module
 */

import {
  chooseWatcher,
  createWatcherState,
  findLosses,
  hasSlotRights,
  type Member,
  noteHeartbeat,
  retainMembers,
  type WatchedMember,
  withdrawReport,
} from "@lagoonloom/decisions";
import type { ControlRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { FoldedOutcome } from "./append_and_fold.ts";
import type { ControlFold } from "./control_fold.ts";
import type { PeerLink, PeerLinks } from "./peer_links.ts";

/** Delay in milliseconds before the append of a record is repeated. */
const RETRY_DELAY_MS = 1_000;

/**
 * Time in milliseconds without a promise of the watcher after which a member
 * names another one. It leaves half of the fencing timeout for the append.
 */
const WATCHER_TIMEOUT_MS = 1_500;

/** Membership of this entry host among all entry hosts. */
export type Membership = {
  incarnation(): string;
  isMember(): boolean;
  /** Returns whether this entry host may use its slots now. */
  hasSlotRights(): boolean;
  /** Returns whether the entry host is, or may be, a watcher of this one. */
  mayReportLossOfSelf(other: string): boolean;
  /**
   * Records a received heartbeat. Returns the time in milliseconds for which
   * this entry host promises not to report the sender as lost.
   */
  noteHeartbeat(sender: WatchedMember): number;
  /** Joins, names a watcher and reports lost members, as needed. */
  tick(nowMs: number): void;
  /** Leaves; resolves when the record is folded or the wait timed out. */
  leave(): Promise<void>;
};

/** Options of {@linkcode createMembership}. */
export type MembershipOptions = {
  name: string;
  dataCentre: string;
  peerAddress: string;
  operatorAddress: string;
  fold: ControlFold;
  links: () => PeerLinks;
  events: EventLog;
  logReadAtMs: () => number | undefined;
  /** Whether the state is loaded and as new as that of all reachable peers. */
  isCaughtUp: () => boolean;
  /** Appends a record once and waits for its fold. */
  append: (id: string, body: ControlRecord) => Promise<FoldedOutcome>;
  createIncarnation: () => string;
};

/**
 * Creates the membership of this entry host. Each member names another one as
 * its watcher; the watcher answers its heartbeats, each time with a promise not
 * to report it as lost for some time, and reports it when the heartbeats stop.
 *
 * @example
 * ```ts
 * const membership = createMembership(options);
 * setInterval(() => membership.tick(performance.now()), 100);
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
  const { name, fold, events } = options;
  const watch = createWatcherState();
  /** Watchers in records that are appended but not yet folded, by record id. */
  const pendingWatchers = new Map<string, string>();
  let incarnation = options.createIncarnation();
  let isLeaving = false;
  const nextAttemptAtMs = new Map<string, number>();
  /** Reported incarnations whose loss was logged. */
  const loggedLosses = new Set<string>();
  const ownMember = () => {
    const member = fold.state().members.get(name);
    return member?.incarnation === incarnation ? member : undefined;
  };
  fold.onChange((change) => {
    if (change.type === "record") pendingWatchers.delete(change.record.id);
    if (change.type !== "settled") return;
    const members = [...fold.state().members.values()];
    retainMembers(watch, members);
    const current = new Set(members.map(keyOf));
    for (const key of loggedLosses) {
      if (!current.has(key)) loggedLosses.delete(key);
    }
    if (fold.state().endedIncarnations.get(name)?.includes(incarnation)) {
      incarnation = options.createIncarnation();
      pendingWatchers.clear();
    }
  });

  /** Starts a task, unless it is running or ended less than a delay ago. */
  function runTask(task: string, run: () => Promise<void>): void {
    const nowMs = performance.now();
    if (nowMs < (nextAttemptAtMs.get(task) ?? 0)) return;
    nextAttemptAtMs.set(task, Infinity);
    run().catch((error: unknown) => {
      events.log("unexpectedFailure", { task, error: String(error) });
    }).finally(() =>
      nextAttemptAtMs.set(task, performance.now() + RETRY_DELAY_MS)
    );
  }

  async function join(): Promise<void> {
    const { dataCentre, peerAddress, operatorAddress } = options;
    // With the watcher named in the same record, the member can be reported as
    // lost from the start. Promises count only after the record is folded.
    const watcher = nextWatcher(undefined, performance.now());
    await options.append(`join.${name}.${incarnation}`, {
      type: "member.joined",
      member: name,
      incarnation,
      dataCentre,
      peerAddress,
      operatorAddress,
      ...(watcher === undefined ? {} : { watcher }),
    });
  }

  async function nameWatcher(watcher: string): Promise<void> {
    const id = `watch.${name}.${incarnation}.${fold.state().nextOffset}`;
    pendingWatchers.set(id, watcher);
    const outcome = await options.append(id, {
      type: "member.watched",
      member: name,
      incarnation,
      watcher,
    });
    // After an unknown outcome, the log may still name this watcher.
    if (outcome.type === "not-appended") pendingWatchers.delete(id);
    if (outcome.type === "folded" && outcome.outcome.type === "applied") {
      events.log("watcherNamed", { watcher });
    }
  }

  async function report(member: WatchedMember): Promise<void> {
    const id = `lost.${member.name}.${member.incarnation}.${name}`;
    const outcome = await options.append(id, {
      type: "member.lost",
      member: member.name,
      incarnation: member.incarnation,
      watcher: name,
    });
    const isDecided = outcome.type === "not-appended" ||
      (outcome.type === "folded" && outcome.outcome.type === "refused");
    if (isDecided) withdrawReport(watch, member);
  }

  /** Returns the entry host to name as the new watcher, if one is needed. */
  function nextWatcher(
    current: string | undefined,
    nowMs: number,
  ): string | undefined {
    const answering = options.links().all().filter((link) =>
      nowMs - (lastContactAtMs(link, current) ?? -Infinity) <
        WATCHER_TIMEOUT_MS &&
      isMemberOf(link, fold, options.dataCentre)
    ).map((link) => link.name);
    return chooseWatcher({ self: name, current, answering });
  }

  function tickWatcher(member: Member, nowMs: number): void {
    const next = nextWatcher(member.watcher, nowMs);
    if (next !== undefined) runTask("watch", () => nameWatcher(next));
  }

  function tickLosses(nowMs: number): void {
    const watched = [...fold.state().members.values()]
      .filter((member) => member.watcher === name && member.name !== name);
    for (const member of findLosses(watch, watched, nowMs)) {
      // The report is repeated while the log is unreachable, but logged once.
      if (loggedLosses.has(keyOf(member))) continue;
      loggedLosses.add(keyOf(member));
      const silentMs = nowMs -
        (watch.lastHeartbeatAtMs.get(keyOf(member)) ?? nowMs);
      events.log("lossReported", { member: member.name, silentMs });
    }
    for (const member of watched) {
      if (!watch.pendingReports.has(keyOf(member))) continue;
      runTask(`report ${member.name}`, () => report(member));
    }
  }

  /** Returns all entry hosts that may report the loss of this one. */
  function watchers(member: Member | undefined): Set<string> {
    const names = new Set(pendingWatchers.values());
    if (member?.watcher !== undefined) names.add(member.watcher);
    return names;
  }

  function contacts(member: Member) {
    return [...watchers(member)].map((watcher) => {
      const address = fold.state().members.get(watcher)?.peerAddress;
      const link = options.links().all().find((it) => it.address === address);
      return {
        promisedAtMs: link?.name === watcher ? link.promisedAtMs : undefined,
        refusedAtMs: link?.refusedAtMs,
      };
    });
  }

  return {
    incarnation: () => incarnation,
    isMember: () => ownMember() !== undefined,
    hasSlotRights() {
      const member = ownMember();
      if (member === undefined) return false;
      return hasSlotRights({
        isMember: true,
        logReadAtMs: options.logReadAtMs(),
        watchers: contacts(member),
      }, performance.now());
    },
    mayReportLossOfSelf: (other) => watchers(ownMember()).has(other),
    noteHeartbeat: (sender) => noteHeartbeat(watch, sender, performance.now()),
    tick(nowMs) {
      if (isLeaving || !options.isCaughtUp()) return;
      const member = ownMember();
      if (member === undefined) return runTask("join", join);
      tickWatcher(member, nowMs);
      tickLosses(nowMs);
    },
    async leave() {
      isLeaving = true;
      if (ownMember() === undefined) return;
      await options.append(`leave.${name}.${incarnation}`, {
        type: "member.left",
        member: name,
        incarnation,
      });
    },
  };
}

function keyOf(member: WatchedMember): string {
  return `${member.name} ${member.incarnation}`;
}

/**
 * Returns the time of the last contact that counts for the choice of a watcher.
 * For the current watcher this is its last promise. For any other peer it is
 * the last message, since this entry host may not be the one that sends
 * heartbeats.
 */
function lastContactAtMs(
  link: PeerLink,
  watcher: string | undefined,
): number | undefined {
  return link.name === watcher ? link.promisedAtMs : link.answeredAtMs;
}

function isMemberOf(
  link: PeerLink,
  fold: ControlFold,
  dataCentre: string,
): boolean {
  const member = fold.state().members.get(link.name);
  return member?.incarnation === link.incarnation &&
    member.dataCentre === dataCentre;
}
