/**
 * Conversion of limits between members and their messages.
 *
 * @module
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  Amount,
  AmountSchema,
  LimitRequest,
  LimitRequestSchema,
  LimitResponse,
  LimitResponseSchema,
} from "@lagoonloom/peers";
import type { Size } from "../../submission.ts";
import { NOTHING } from "./_amounts.ts";
import type { LimitAnswer } from "./cap_broker.ts";
import type { LimitMessage } from "./organisation_limits.ts";

/** Amount that stands for no limit. */
const UNLIMITED = 0xffff_ffff;

/** Encodes a message to the owner of a partition. */
export function encodeLimits(
  partition: number,
  { brokerEpoch, sequence, ownerEpoch, limits }: LimitMessage,
): MessageInitShape<typeof LimitRequestSchema> {
  return {
    partition,
    brokerEpoch: BigInt(brokerEpoch),
    sequence: BigInt(sequence),
    ownerEpoch: BigInt(ownerEpoch),
    limits: [...limits].map(([organisation, limit]) => ({
      organisation,
      limit: encodeAmount(limit),
    })),
  };
}

/** Decodes a message to the owner of a partition. */
export function decodeLimits(request: LimitRequest): LimitMessage {
  return {
    brokerEpoch: Number(request.brokerEpoch),
    sequence: Number(request.sequence),
    ownerEpoch: Number(request.ownerEpoch),
    limits: new Map(request.limits.map(({ organisation, limit }) => [
      organisation,
      decodeAmount(limit),
    ])),
  };
}

/** Encodes the answer of an owner. */
export function encodeAnswer(
  answer: LimitAnswer | undefined,
): MessageInitShape<typeof LimitResponseSchema> {
  if (answer === undefined) return { isOwner: false };
  return {
    isOwner: true,
    ownerEpoch: BigInt(answer.ownerEpoch),
    isOutdated: answer.isOutdated,
    uses: [...answer.uses].map(([organisation, use]) => ({
      organisation,
      mayRun: encodeAmount(use.mayRun),
      waiting: encodeAmount(use.waiting),
      unit: encodeAmount(use.unit),
      waitedMs: Math.min(UNLIMITED, Math.max(0, Math.round(use.waitedMs))),
      limit: encodeAmount(use.limit),
    })),
  };
}

/** Decodes the answer of an owner; undefined if there was none. */
export function decodeAnswer(
  response: LimitResponse | undefined,
): LimitAnswer | undefined {
  if (response?.isOwner !== true) return undefined;
  return {
    ownerEpoch: Number(response.ownerEpoch),
    isOutdated: response.isOutdated,
    uses: new Map(response.uses.map((use) => [use.organisation, {
      mayRun: decodeAmount(use.mayRun),
      waiting: decodeAmount(use.waiting),
      unit: decodeAmount(use.unit),
      waitedMs: use.waitedMs,
      limit: decodeAmount(use.limit),
    }])),
  };
}

function encodeAmount(size: Size): MessageInitShape<typeof AmountSchema> {
  const encode = (amount: number) =>
    Math.min(UNLIMITED, Math.max(0, Math.ceil(amount)));
  return {
    cpu: encode(size.cpu),
    memoryMb: encode(size.memoryMb),
    accelerators: encode(size.accelerators),
  };
}

function decodeAmount(amount: Amount | undefined): Size {
  if (amount === undefined) return NOTHING;
  const decode = (it: number) => it === UNLIMITED ? Infinity : it;
  return {
    cpu: decode(amount.cpu),
    memoryMb: decode(amount.memoryMb),
    accelerators: decode(amount.accelerators),
  };
}
