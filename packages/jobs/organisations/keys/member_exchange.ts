/**
 * Exchange of the configuration over the calls between members.
 *
 * @module
 */

import type { JobEventLog } from "../../job_event_log.ts";
import type { OwnerAccess } from "../../queries/query_owner.ts";
import {
  type ConfigurationExchange,
  createConfigurationExchange,
} from "./configuration_exchange.ts";
import type { HeldConfiguration } from "./held_configuration.ts";

/** Options of {@linkcode startMemberExchange}. */
export type MemberExchangeOptions = {
  access: OwnerAccess;
  otherMembers(): string[];
  /** Time after which a key that was taken away must not be served. */
  maxRevocationMs: number | undefined;
  events: JobEventLog;
  /** Called after a change of the configuration. */
  onChange(): void;
};

/**
 * Starts to ask other members for the configuration where calls depend on its
 * age: where there are organisations, and a promise about keys taken away.
 *
 * @example
 * ```ts
 * const exchange = startMemberExchange(platform.held, options);
 * exchange?.close();
 * ```
 */
export function startMemberExchange(
  held: HeldConfiguration,
  options: MemberExchangeOptions,
): ConfigurationExchange | undefined {
  const { access, events } = options;
  if (options.maxRevocationMs === undefined) return undefined;
  return createConfigurationExchange({
    held,
    isNeeded: () => held.current()?.organisations !== undefined,
    otherMembers: options.otherMembers,
    findMembers: access.directory.readMembers,
    async ask(address, { knownVersion, timeout }) {
      const answer = await access.client(address)
        .configuration({ knownVersion }, timeout);
      if (answer === undefined) return undefined;
      const { version, ageMs = Infinity, record } = answer;
      return { version, ageMs, record };
    },
    onNewer(address, { version, ageMs }) {
      const age = Math.round(Math.min(ageMs, Number.MAX_SAFE_INTEGER));
      events.log("configurationFromMember", { address, version, ageMs: age });
      options.onChange();
    },
  });
}
