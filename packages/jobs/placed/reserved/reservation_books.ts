/**
 * Reservations of an owner by service, with their log.
 *
 * @module
 */

import type { Configuration } from "../../fleet.ts";
import type { JobEventLog } from "../../job_event_log.ts";
import {
  createReservationBook,
  type ReservationBook,
  type ReservationEvent,
} from "./reservation_book.ts";

/** Where room is reserved. */
export type ReservationMode =
  | "never"
  /** Where the configuration has organisations, which compete for room. */
  | "organisations"
  | "always";

/** Returns whether an owner reserves room now. */
export function mayReserve(
  { reservesRoom, view }: {
    reservesRoom?: ReservationMode | undefined;
    view: { configuration(): Configuration | undefined };
  },
): boolean {
  if (reservesRoom === "always") return true;
  return reservesRoom === "organisations" &&
    view.configuration()?.organisations !== undefined;
}

/** Records of the reservations of an owner. */
export type ReservationBooks = {
  /** Returns the record of the reservations of a service. */
  bookOf(service: string): ReservationBook;
  /** Closes a round of placement, in which services may have had no jobs. */
  endRound(nowMs: number): void;
};

/** Creates the records of an owner without any reservation. */
export function createReservationBooks(events: JobEventLog): ReservationBooks {
  const books = new Map<string, ReservationBook>();
  return {
    bookOf(service) {
      let book = books.get(service);
      if (book === undefined) {
        book = createReservationBook((event) => logEvent(events, event));
        books.set(service, book);
      }
      return book;
    },
    endRound(nowMs) {
      for (const book of books.values()) book.endRound(nowMs);
    },
  };
}

function logEvent(events: JobEventLog, event: ReservationEvent): void {
  const { group } = event;
  const step = `${group.job.id}.${group.occurrence}.${group.stepIndex}`;
  switch (event.type) {
    case "made": {
      const { aheadMs, tasks } = event;
      const { cpu } = group.step.size;
      return events.log("roomReserved", {
        step,
        tasks,
        cpu,
        aheadMs: Math.round(aheadMs),
      });
    }
    case "moved": {
      const laterMs = Math.round(event.laterMs);
      const reason = "runs take longer than estimated or others have ended";
      return events.log("reservationMoved", { step, laterMs, reason });
    }
    case "kept":
    case "missed": {
      const isKept = event.type === "kept";
      const waitedMs = Math.round(event.waitedMs);
      return events.log("reservationOver", { step, isKept, waitedMs });
    }
  }
}
