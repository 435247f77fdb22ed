/**
 * Configuration that a member holds, and how long ago it was certainly the
 * newest one. Answers the failures of a member that is cut off, frozen or
 * served by a store that lags: it must know that its keys may have been taken
 * away.
 *
 * @module
 */

import type { Configuration } from "../../fleet.ts";
import { ageOfInstant, type Instant } from "./instant.ts";

/** Sequence of answers of one origin about the newest configuration. */
export type ConfigurationSource = {
  /** Takes a record that the origin holds, if it is newer than what is held. */
  offer(record: string | undefined): void;
  /**
   * Notes that the record offered last was the newest one at an instant. Has no
   * effect if it can't be decoded or is older than the held configuration.
   */
  confirm(requestedAt: Instant): void;
};

/** Configuration that a member holds. */
export type HeldConfiguration = {
  current(): Configuration | undefined;
  /** Record of the configuration, as other members decode it. */
  record(): string | undefined;
  /**
   * Time since the configuration was certainly the newest one, in milliseconds;
   * infinite if that was never known.
   */
  ageMs(): number;
  createSource(): ConfigurationSource;
};

/** Options of {@linkcode createHeldConfiguration}. */
export type HeldConfigurationOptions = {
  /** Returns undefined if a record is malformed. */
  decode(record: string | undefined): Configuration | undefined;
  onTaken(configuration: Configuration): void;
  onUnreadable(): void;
  /** Returns the time since an instant; by default on this machine's clocks. */
  ageOf?(instant: Instant): number;
};

/**
 * Creates the holder of the newest configuration. It never goes back to a lower
 * version. An instant counts if the request was sent then whose answer showed
 * that nothing newer existed, so that slow answers make nothing look newer.
 *
 * @example
 * ```ts
 * const held = createHeldConfiguration({ decode, onTaken, onUnreadable });
 * const source = held.createSource();
 * source.offer(record);
 * source.confirm(requestedAt);
 * ```
 */
export function createHeldConfiguration(
  { decode, onTaken, onUnreadable, ageOf = ageOfInstant }:
    HeldConfigurationOptions,
): HeldConfiguration {
  let current: Configuration | undefined;
  let currentRecord: string | undefined;
  let confirmedAt: Instant | undefined;

  const ageMs = () => confirmedAt === undefined ? Infinity : ageOf(confirmedAt);

  /** Returns the version of a record; undefined if it is malformed. */
  const take = (record: string | undefined) => {
    if (current !== undefined && record === currentRecord) {
      return current.version;
    }
    const next = decode(record);
    if (next === undefined) {
      onUnreadable();
      return undefined;
    }
    if (next.version > (current?.version ?? -Infinity)) {
      current = next;
      currentRecord = record;
      onTaken(next);
    }
    return next.version;
  };

  return {
    current: () => current,
    record: () => currentRecord,
    ageMs,
    createSource() {
      let offeredVersion: number | undefined;
      return {
        offer(record) {
          offeredVersion = take(record);
        },
        confirm(requestedAt) {
          // An origin that holds an older version may lag by any time.
          if (offeredVersion === undefined) return;
          if (offeredVersion !== current?.version) return;
          if (ageOf(requestedAt) < ageMs()) confirmedAt = requestedAt;
        },
      };
    },
  };
}
