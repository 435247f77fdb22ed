/**
 * Reports owners of partitions that give this member no answer.
 *
 * @module
 */

import { sleep } from "../_sleep.ts";
import type { JobEventLog } from "../job_event_log.ts";
import type { KeyedRecord, Store } from "../ports.ts";
import {
  encodeReport,
  encodeWithdrawal,
  REACH_PARTITION,
} from "./failure_report.ts";

/** Time for which all calls to an owner must have failed to report it. */
const SILENCE_MS = 2_000;

/** Failed calls that are needed to report an owner. */
const MIN_FAILURES = 2;

/** Time from which a call that gets no answer counts as failed. */
const MIN_CALL_TIMEOUT_MS = 500;

/** Longest wait for the answer to a probe. */
const PROBE_TIMEOUT_MS = 1_000;

/** Pause between two probes of a member. */
const PROBE_PAUSE_MS = 700;

/** Interval at which a report is repeated. */
const REPEAT_MS = 1_500;

/** Time for which a member is probed after it has left the owners. */
const PROBE_AFTER_LEAVE_MS = 60_000;

/** Age of an answer after which a member is probed to count as reached. */
const MAX_ANSWER_AGE_MS = 2_000;

/** Longest wait for the store's answer to one append. */
const APPEND_TIMEOUT_MS = 700;

/** Status of a call that had no answer in its time. */
const TIMEOUT_CODE = "deadline_exceeded";

/** Failed call as far as it matters here. */
export type FailedCall = { code: string; tookMs: number; timeoutMs: number };

/** Observer of the calls to other members, which reports silent owners. */
export type SilenceReporter = {
  /** Takes note of a call that failed. */
  noteFailure(address: string, call: FailedCall): void;
  /** Takes note of a call that was answered. */
  noteAnswer(address: string): void;
  /** Probes a member that another one reports. */
  probe(address: string): void;
  close(): void;
};

/** Options of {@linkcode createSilenceReporter}. */
export type SilenceReporterOptions = {
  store: Store;
  events: JobEventLog;
  ownAddress: string;
  /** Whether this member may report others. */
  mayReport(): boolean;
  /** Reads the addresses of the owners; undefined without an answer. */
  readOwners(): Promise<readonly string[] | undefined>;
  /** Calls a member; returns whether it answered. */
  reach(address: string, timeoutMs: number): Promise<boolean>;
};

/** Member that has not answered since a call failed. */
type Silence = {
  isOver: boolean;
  sinceMs: number;
  failures: number;
  /** Time of the last list of owners that named it. */
  ownerAtMs: number;
  /** Time of the last report; undefined if none was stored. */
  reportedAtMs: number | undefined;
};

/**
 * Creates a reporter of silent owners. After a failed call, it probes the
 * member until that answers. It reports a silent member that the store still
 * lists as an owner, but only while another owner answers this one: a member
 * that reaches nobody knows only that it is cut off itself. So nothing is
 * stored for an owner that loses its membership, nor while nobody reaches
 * anybody.
 *
 * @example
 * ```ts
 * const reporter = createSilenceReporter(options);
 * reporter.noteFailure("10.3.0.231:7060", failure);
 * ```
 */
export function createSilenceReporter(
  options: SilenceReporterOptions,
): SilenceReporter {
  const { store, events, ownAddress } = options;
  const silences = new Map<string, Silence>();
  /** Time of the last answer, by address. */
  const answeredAtMs = new Map<string, number>();
  let isClosed = false;

  const append = (record: KeyedRecord) =>
    store.append(REACH_PARTITION, {
      records: [record],
      timeoutMs: APPEND_TIMEOUT_MS,
    });

  /** Returns whether a member answers, by its last answer or by a probe. */
  const isReached = async (address: string): Promise<boolean> => {
    if (silences.get(address)?.isOver === false) return false;
    const ageMs = performance.now() - (answeredAtMs.get(address) ?? -Infinity);
    return ageMs < MAX_ANSWER_AGE_MS ||
      await options.reach(address, PROBE_TIMEOUT_MS);
  };

  /** Counts the owners, apart from a silent one, that answer this member. */
  const countReached = async (
    target: string,
    owners: readonly string[],
  ): Promise<number> => {
    const others = owners
      .filter((address) => address !== target && address !== ownAddress);
    const answers = await Promise.all(others.map(isReached));
    return answers.filter(Boolean).length;
  };

  const reportIfDue = async (
    target: string,
    silence: Silence,
    reached: number,
  ) => {
    const { failures, sinceMs, reportedAtMs } = silence;
    const nowMs = performance.now();
    const silentMs = Math.round(nowMs - sinceMs);
    if (silentMs < SILENCE_MS || failures < MIN_FAILURES) return;
    if (nowMs - (reportedAtMs ?? -Infinity) < REPEAT_MS) return;
    if (!options.mayReport()) return;
    if (reportedAtMs === undefined) {
      const call = { address: target, silentMs, failures, reached };
      events.log("ownerReported", call);
    }
    silence.reportedAtMs = nowMs;
    await append(encodeReport({ target, reporter: ownAddress }));
  };

  /** Forgets failures in a time in which this member was cut off itself. */
  const restart = (silence: Silence) => {
    silence.sinceMs = performance.now();
    silence.failures = 0;
  };

  /** Probes a member once, and reports it if that is due. */
  const check = async (target: string, silence: Silence) => {
    await options.reach(target, PROBE_TIMEOUT_MS);
    if (silence.isOver) return;
    const owners = await options.readOwners();
    if (owners === undefined) return restart(silence);
    const isOwner = owners.includes(target);
    if (isOwner) silence.ownerAtMs = performance.now();
    const hasLeft = silence.reportedAtMs === undefined ||
      performance.now() - silence.ownerAtMs > PROBE_AFTER_LEAVE_MS;
    silence.isOver ||= !isOwner && hasLeft;
    if (silence.isOver) return;
    const reached = await countReached(target, owners);
    if (reached === 0) return restart(silence);
    // The reports of other members don't count.
    const isOwnerToo = owners.includes(ownAddress);
    if (!silence.isOver && isOwnerToo) {
      await reportIfDue(target, silence, reached);
    }
  };

  const withdraw = async (target: string, { sinceMs }: Silence) => {
    const silentMs = Math.round(performance.now() - sinceMs);
    events.log("ownerReportWithdrawn", { address: target, silentMs });
    await append(encodeWithdrawal({ target, reporter: ownAddress }));
  };

  const run = async (target: string, silence: Silence) => {
    while (!silence.isOver && !isClosed) {
      await check(target, silence);
      if (!silence.isOver && !isClosed) await sleep(PROBE_PAUSE_MS);
    }
    if (silences.get(target) === silence) silences.delete(target);
    if (isClosed || silence.reportedAtMs === undefined) return;
    await withdraw(target, silence);
  };

  /** Returns the silence of a member, which may begin with a call. */
  const silenceOf = (address: string, sinceMs: number): Silence => {
    const known = silences.get(address);
    if (known !== undefined && !known.isOver) return known;
    const silence: Silence = {
      isOver: false,
      sinceMs,
      failures: 0,
      ownerAtMs: -Infinity,
      reportedAtMs: undefined,
    };
    silences.set(address, silence);
    void run(address, silence);
    return silence;
  };

  return {
    noteFailure(address, { code, tookMs, timeoutMs }) {
      const isShort = code === TIMEOUT_CODE && timeoutMs < MIN_CALL_TIMEOUT_MS;
      if (isClosed || isShort || address === ownAddress) return;
      silenceOf(address, performance.now() - tookMs).failures++;
    },
    noteAnswer(address) {
      answeredAtMs.set(address, performance.now());
      const silence = silences.get(address);
      if (silence !== undefined) silence.isOver = true;
    },
    probe(address) {
      if (isClosed || address === ownAddress) return;
      silenceOf(address, performance.now());
    },
    close() {
      isClosed = true;
    },
  };
}
