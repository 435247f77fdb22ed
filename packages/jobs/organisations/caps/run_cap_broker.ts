/**
 * Rounds of the broker of the caps.
 *
 * @module
 */

import type { JobEventLog } from "../../job_event_log.ts";
import { createCapBroker, type LimitAnswer } from "./cap_broker.ts";
import type { OrganisationCaps } from "./organisation_caps.ts";
import type { LimitMessage } from "./organisation_limits.ts";

/** Interval between two rounds, which show the broker who needs more. */
const ROUND_INTERVAL_MS = 250;

/**
 * Messages to each owner, on average, that may follow at once in a round: one
 * takes back what an owner leaves unused, and one passes it on.
 */
const FOLLOW_UPS_PER_OWNER = 2;

/** Running broker. */
export type CapBrokerRun = {
  /** Sends no further messages. */
  close(): void;
};

/** Options of {@linkcode runCapBroker}. */
export type CapBrokerOptions = {
  /** Epoch of the ownership of the machines, which the broker goes with. */
  epoch: number;
  caps: OrganisationCaps;
  /** Returns the partitions whose owners start tasks. */
  partitions(): ReadonlySet<number>;
  /** Whether no other member can be the broker now. */
  isConfirmed(): boolean;
  /** Sends a message to the owner of a partition; undefined without answer. */
  send(
    partition: number,
    message: LimitMessage,
  ): Promise<LimitAnswer | undefined>;
  events: JobEventLog;
};

/**
 * Divides the caps among the owners of partitions until it is closed. It sends
 * nothing while no organisation has a cap, or while its ownership is not
 * confirmed, as another broker may then be at work.
 *
 * @example
 * ```ts
 * const broker = runCapBroker({ epoch: 7, ...options });
 * ```
 */
export function runCapBroker(options: CapBrokerOptions): CapBrokerRun {
  const { epoch, caps, partitions, isConfirmed, send, events } = options;
  const broker = createCapBroker({ epoch, caps, partitions });
  let hasLoggedLoss = false;
  let isClosed = false;
  let followUpsLeft = 0;

  const sendOne = async (partition: number, message: LimitMessage) => {
    const answer = await send(partition, message);
    broker.handleAnswer(partition, message, answer);
    if (broker.isSuperseded() && !hasLoggedLoss) {
      hasLoggedLoss = true;
      events.log("capBrokerReplaced", { epoch });
    }
    if (answer !== undefined && followUpsLeft > 0) {
      followUpsLeft -= sendAll({ onlyLimits: true });
    }
  };

  /** Sends the next messages; returns how many. */
  const sendAll = (options: { onlyLimits: boolean }): number => {
    if (isClosed || !caps.hasCaps() || !isConfirmed()) return 0;
    const messages = broker.nextMessages(options);
    for (const [partition, message] of messages) {
      void sendOne(partition, message);
    }
    return messages.size;
  };

  const timer = setInterval(() => {
    followUpsLeft = FOLLOW_UPS_PER_OWNER * partitions().size;
    sendAll({ onlyLimits: false });
  }, ROUND_INTERVAL_MS);

  return {
    close() {
      isClosed = true;
      clearInterval(timer);
    },
  };
}
