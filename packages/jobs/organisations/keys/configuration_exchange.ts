/**
 * Exchange of the newest configuration between members. Answers a member that
 * is cut off from the store, but not from other members, so that it goes on
 * serving calls with keys.
 *
 * @module
 */

import type { CallTimeout } from "@lagoonloom/peers";
import { sleep } from "../../_sleep.ts";
import type { HeldConfiguration } from "./held_configuration.ts";
import { earlierBy, readInstant } from "./instant.ts";

/** Age of the configuration from which other members are asked. */
const ASKING_AGE_MS = 1_500;

/** Interval between two rounds of questions. */
const INTERVAL_MS = 400;

/** Longest wait for an answer, whose age counts from the question on. */
const ANSWER_TIMEOUT: CallTimeout = { leastMs: 350, mostMs: 2_000 };

/** Number of members that are asked in a round. */
const FAN_OUT = 3;

/** Interval between searches for other members while none is known. */
const DISCOVERY_INTERVAL_MS = 5_000;

/** Answer of a member about its configuration. */
export type ConfigurationAnswer = {
  /** Time since it was certainly the newest one; infinite if unknown. */
  ageMs: number;
  version: number;
  /** Record of the configuration; undefined if the asking member has it. */
  record: string | undefined;
};

/** Options of {@linkcode createConfigurationExchange}. */
export type ConfigurationExchangeOptions = {
  held: HeldConfiguration;
  /** Whether calls depend on the age of the configuration. */
  isNeeded(): boolean;
  /** Returns the addresses of the other members. */
  otherMembers(): string[];
  /** Looks for other members while the store can still name them. */
  findMembers(): Promise<unknown>;
  /** Asks a member; undefined if it does not answer. */
  ask(
    address: string,
    options: { knownVersion: number; timeout: CallTimeout },
  ): Promise<ConfigurationAnswer | undefined>;
  /** Called after an answer with a newer configuration. */
  onNewer(address: string, answer: ConfigurationAnswer): void;
};

/** Running exchange. */
export type ConfigurationExchange = { close(): void };

/**
 * Starts to ask other members for the newest configuration while the own one is
 * getting old: first the member that helped last, then the others in turn.
 *
 * @example
 * ```ts
 * const exchange = createConfigurationExchange({
 *   held,
 *   isNeeded,
 *   otherMembers,
 *   findMembers,
 *   ask,
 *   onNewer,
 * });
 * ```
 */
export function createConfigurationExchange(
  options: ConfigurationExchangeOptions,
): ConfigurationExchange {
  const { held } = options;
  let isClosed = false;
  let turn = 0;
  let lastHelper: string | undefined;
  let searchedAtMs = -Infinity;

  /** Members that have not answered yet. */
  const asked = new Set<string>();

  const askMember = async (address: string) => {
    const knownVersion = held.current()?.version ?? -1;
    const ageBeforeMs = held.ageMs();
    const sentAt = readInstant();
    asked.add(address);
    const answer = await options.ask(address, {
      knownVersion,
      timeout: ANSWER_TIMEOUT,
    });
    asked.delete(address);
    if (answer === undefined || isClosed) return;
    takeAnswer(held, { ...answer, sentAt });
    if (held.ageMs() < ageBeforeMs) lastHelper = address;
    const version = held.current()?.version ?? -1;
    if (version > knownVersion) options.onNewer(address, answer);
  };

  /** Asks some members, without waiting for them in a round. */
  const askMembers = (members: readonly string[]) => {
    if (held.ageMs() < ASKING_AGE_MS) return;
    const addresses = chooseMembers(members, { turn, lastHelper, asked });
    turn += FAN_OUT;
    for (const address of addresses) void askMember(address);
  };

  const findMembers = async () => {
    const nowMs = performance.now();
    if (nowMs - searchedAtMs < DISCOVERY_INTERVAL_MS) return;
    searchedAtMs = nowMs;
    await options.findMembers();
  };

  const run = async () => {
    while (!isClosed) {
      if (options.isNeeded()) {
        const members = options.otherMembers();
        if (members.length === 0) await findMembers();
        else askMembers(members);
      }
      await sleep(INTERVAL_MS);
    }
  };
  void run();

  return {
    close() {
      isClosed = true;
    },
  };
}

/**
 * Takes the answer of a member to a question that was sent at an instant. The
 * time that the answer took counts as age.
 */
export function takeAnswer(
  held: HeldConfiguration,
  { version, ageMs, record, sentAt }: ConfigurationAnswer & {
    sentAt: ReturnType<typeof readInstant>;
  },
): void {
  const source = held.createSource();
  const isKnown = record === undefined &&
    version === held.current()?.version;
  if (record === undefined && !isKnown) return;
  source.offer(isKnown ? held.record() : record);
  if (ageMs >= 0 && Number.isFinite(ageMs)) {
    source.confirm(earlierBy(sentAt, ageMs));
  }
}

/**
 * Returns the last helper, and a few of the others from a turn on, without
 * those that have yet to answer.
 */
function chooseMembers(
  members: readonly string[],
  { turn, lastHelper, asked }: {
    turn: number;
    lastHelper: string | undefined;
    asked: ReadonlySet<string>;
  },
): string[] {
  const inTurn = members.map((_, index) =>
    members[(turn + index) % members.length]!
  );
  const first = members.filter((address) => address === lastHelper);
  const free = [...new Set([...first, ...inTurn])]
    .filter((address) => !asked.has(address));
  return free.slice(0, FAN_OUT);
}
