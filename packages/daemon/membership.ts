import {
  chooseWatcher,
  createWatch,
  findLosses,
  forgetMembers,
  hasSlotRights,
  type Member,
  noteHeartbeat,
  type WatchedMember,
  withdrawReport,
} from "@lagoonloom/decisions";
import type { ControlRecord } from "@lagoonloom/records";
import type { EventLog } from "@lagoonloom/telemetry";
import type { FoldedOutcome } from "./append_and_fold.ts";
import type { ControlFold } from "./control_fold.ts";
import type { PeerLink, PeerLinks } from "./peer_links.ts";

/** Delay in milliseconds before a membership record is tried again. */
const RETRY_DELAY_MS = 1_000;

/**
 * Time in milliseconds without a promise after which another watcher is named,
 * which leaves half of the fencing timeout for the record.
 */
const WATCHER_TIMEOUT_MS = 1_500;

/** Part of this entry host in the membership. */
export type Membership = {
  incarnation(): string;
  isMember(): boolean;
  hasSlotRights(): boolean;
  /** Whether the log names the entry host, or may, to report this one. */
  mayReportLossOfSelf(other: string): boolean;
  /** Notes a heartbeat; returns the promise in milliseconds. */
  noteHeartbeat(sender: WatchedMember): number;
  /** Joins, names a watcher and reports losses as needed. */
  tick(nowMs: number): void;
  /** Leaves; resolves when the log has the record or the wait is over. */
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
  /** Whether the state is loaded and as new as the reachable peers'. */
  isCaughtUp: () => boolean;
  /** Appends a record once and waits until it is folded. */
  append: (id: string, body: ControlRecord) => Promise<FoldedOutcome>;
  createIncarnation: () => string;
};

/**
 * Creates the part of this entry host in the membership.
 *
 * @example
 * ```ts
 * const membership = createMembership(options);
 * setInterval(() => membership.tick(performance.now()), 100);
 * ```
 */
export function createMembership(options: MembershipOptions): Membership {
  const { name, fold, events } = options;
  const watch = createWatch();
  /** Watchers that the log may name already, by record id. */
  const pendingWatchers = new Map<string, string>();
  let incarnation = options.createIncarnation();
  let isLeaving = false;
  const nextAttemptAtMs = new Map<string, number>();
  /** Reported incarnations whose event was written. */
  const loggedLosses = new Set<string>();
  const ownMember = () => {
    const member = fold.state().members.get(name);
    return member?.incarnation === incarnation ? member : undefined;
  };
  fold.onChange((change) => {
    if (change.type === "record") pendingWatchers.delete(change.record.id);
    if (change.type !== "settled") return;
    const members = [...fold.state().members.values()];
    forgetMembers(watch, members);
    const current = new Set(members.map(keyOf));
    for (const key of loggedLosses) {
      if (!current.has(key)) loggedLosses.delete(key);
    }
    if (fold.state().endedIncarnations.get(name)?.includes(incarnation)) {
      incarnation = options.createIncarnation();
      pendingWatchers.clear();
    }
  });

  /** Runs one task of a kind at a time, with a delay between two. */
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
    // Named with the join, it can report this member from the start. It grants
    // nothing before the fold, which tells whom the log named.
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
    // An unknown outcome leaves the watcher among those that may report.
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

  /** The entry host to name as the watcher, if another one has to be. */
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
      // Without the log a report is tried again and again.
      if (loggedLosses.has(keyOf(member))) continue;
      loggedLosses.add(keyOf(member));
      const silentMs = nowMs - (watch.heardAtMs.get(keyOf(member)) ?? nowMs);
      events.log("lossReported", { member: member.name, silentMs });
    }
    for (const member of watched) {
      if (!watch.reported.has(keyOf(member))) continue;
      runTask(`report ${member.name}`, () => report(member));
    }
  }

  /** Every entry host that may report the loss of this one. */
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
 * The present watcher has to answer with promises. For another one it is enough
 * that it is heard, since not every pair's heartbeats start on this side.
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
