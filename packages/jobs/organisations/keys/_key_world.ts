/**
 * Fake of a store, two members and the clocks of their machine, in which tests
 * publish configurations and delay what the members learn of them.
 *
 * @module
 */

import { decodeKeys, encodeKeys, QUEUE } from "./_key_fixtures.ts";
import { authorizeCall, type CallDecision } from "./authorize_call.ts";
import {
  type ConfigurationAnswer,
  takeAnswer,
} from "./configuration_exchange.ts";
import {
  createHeldConfiguration,
  type HeldConfiguration,
} from "./held_configuration.ts";
import { elapsedMs, type Instant } from "./instant.ts";

/** Time after which a key that was taken away must not be served. */
export const MAX_REVOCATION_MS = 5_000;

/** Answer that is under way. */
type Pending = { dueMs: number; run(): void };

/** Times that a request takes to its receiver, and its answer back. */
export type Delays = { thereMs: number; backMs: number };

/** World of the tests. */
export class KeyWorld {
  readonly members = [this.#createMember(), this.#createMember()] as const;
  /** Elapsed time, which no clock of a member shows. */
  #nowMs = 0;
  #clocks: Instant = { monotonicMs: 0, unixMs: 0, bootMs: 0 };
  #versions: { keys: readonly string[]; atMs: number }[] = [];
  #pending: Pending[] = [];

  #createMember(): HeldConfiguration {
    return createHeldConfiguration({
      decode: decodeKeys,
      onTaken: () => undefined,
      onUnreadable: () => undefined,
      ageOf: (instant) => elapsedMs(instant, this.#clocks),
    });
  }

  /** Publishes a version with some keys. */
  publish(keys: readonly string[]): void {
    this.#versions.push({ keys, atMs: this.#nowMs });
  }

  /** Lets a member read the store. */
  readStore(member: HeldConfiguration, { thereMs, backMs }: Delays): void {
    const sentAt = this.#clocks;
    this.#later(thereMs, () => {
      const version = this.#versions.length;
      const newest = this.#versions.at(-1);
      this.#later(backMs, () => {
        if (newest === undefined) return;
        const source = member.createSource();
        source.offer(encodeKeys(version, newest.keys));
        source.confirm(sentAt);
      });
    });
  }

  /** Lets a member ask the other one. */
  askMember(index: 0 | 1, { thereMs, backMs }: Delays): void {
    const member = this.members[index];
    const other = this.members[1 - index]!;
    const sentAt = this.#clocks;
    const knownVersion = member.current()?.version ?? -1;
    this.#later(thereMs, () => {
      const version = other.current()?.version ?? -1;
      const answer: ConfigurationAnswer = {
        version,
        ageMs: other.ageMs(),
        record: version > knownVersion ? other.record() : undefined,
      };
      this.#later(backMs, () => takeAnswer(member, { ...answer, sentAt }));
    });
  }

  /** Lets time pass; a suspension stops the monotonic clock. */
  pass(ms: number, { isSuspended = false } = {}): void {
    this.#nowMs += ms;
    this.#clocks = {
      monotonicMs: this.#clocks.monotonicMs + (isSuspended ? 0 : ms),
      unixMs: this.#clocks.unixMs + ms,
      bootMs: this.#clocks.bootMs + ms,
    };
  }

  /** Sets the time of day. */
  stepClock(ms: number): void {
    this.#clocks = { ...this.#clocks, unixMs: this.#clocks.unixMs + ms };
  }

  /** Lets the answers arrive that are due; without it, members are frozen. */
  deliver(): void {
    let due: Pending | undefined;
    const isDue = ({ dueMs }: Pending) => dueMs <= this.#nowMs;
    while ((due = this.#pending.find(isDue)) !== undefined) {
      this.#pending.splice(this.#pending.indexOf(due), 1);
      due.run();
    }
  }

  /** Decides about a call that is sent now. */
  call(member: HeldConfiguration, key: string): CallDecision | undefined {
    const configuration = member.current();
    return configuration && authorizeCall(configuration, {
      queue: QUEUE,
      key,
      configurationAgeMs: member.ageMs,
      maxRevocationMs: MAX_REVOCATION_MS,
    });
  }

  /** Returns whether the newest version had a key at any time since then. */
  wasValidWithin(ms: number, key: string): boolean {
    return this.#versions.some(({ keys }, index) => {
      const endMs = this.#versions[index + 1]?.atMs ?? Infinity;
      return keys.includes(key) && endMs >= this.#nowMs - ms;
    });
  }

  #later(ms: number, run: () => void): void {
    this.#pending.push({ dueMs: this.#nowMs + ms, run });
  }
}
