/**
 * Values that are longer than a record of the store may be, split into pieces
 * under keys of their own.
 *
 * @module
 */

import { z } from "zod";
import type { KeyedRecord } from "../ports.ts";

/** Longest value that is stored in one record. */
const MAX_PIECE_BYTES = 196_608;

/** Schema of the record that stands in place of a value in pieces. */
const PieceCount = z.strictObject({ pieces: z.int().min(2) });

const PIECE_KEY = /^(.+)\/(\d+)$/;

/**
 * Returns the records that store a value. They have to be appended together, as
 * the pieces of two values don't fit to each other. `previousCount` is the
 * number of pieces of the value before; those that are left over are deleted.
 */
export function splitValue(
  { key, value }: KeyedRecord,
  previousCount: number,
): KeyedRecord[] {
  const pieces = cutValue(value ?? "");
  const isSplit = pieces.length > 1;
  const main = isSplit ? JSON.stringify({ pieces: pieces.length }) : value;
  const records: KeyedRecord[] = [{ key, value: main }];
  const count = Math.max(isSplit ? pieces.length : 0, previousCount);
  for (let index = 0; index < count; index++) {
    const piece = isSplit ? pieces[index] : undefined;
    records.push({ key: pieceKey(key, index), value: piece });
  }
  return records;
}

/** Returns the number of pieces of a split value; 0 if it is in one record. */
export function countPieces([main]: readonly KeyedRecord[]): number {
  if (main?.value === undefined || !main.value.startsWith(`{"pieces":`)) {
    return 0;
  }
  const parsed = PieceCount.safeParse(JSON.parse(main.value));
  return parsed.success ? parsed.data.pieces : 0;
}

/** Values by key, and the number of pieces of those that were split. */
export type JoinedValues = {
  values: Map<string, string | undefined>;
  pieceCounts: Map<string, number>;
};

/** Joins the values of the newest records of a partition. */
export function joinValues(records: readonly KeyedRecord[]): JoinedValues {
  const stored = new Map(records.map(({ key, value }) => [key, value]));
  const joined: JoinedValues = { values: new Map(), pieceCounts: new Map() };
  for (const [key, value] of stored) {
    if (PIECE_KEY.test(key)) continue;
    const count = countPieces([{ key, value }]);
    if (count > 0) joined.pieceCounts.set(key, count);
    const pieces = Array.from(
      { length: count },
      (_, index) => stored.get(pieceKey(key, index)) ?? "",
    );
    joined.values.set(key, count === 0 ? value : pieces.join(""));
  }
  return joined;
}

function pieceKey(key: string, index: number): string {
  return `${key}/${index}`;
}

/** Cuts a text into pieces of a limited length, none within a character. */
function cutValue(value: string): string[] {
  if (Buffer.byteLength(value) <= MAX_PIECE_BYTES) return [value];
  const pieces: string[] = [];
  const bytes = Buffer.from(value);
  for (let start = 0; start < bytes.length;) {
    let end = Math.min(start + MAX_PIECE_BYTES, bytes.length);
    while (end < bytes.length && isContinuation(bytes[end]!)) end--;
    pieces.push(bytes.toString("utf8", start, end));
    start = end;
  }
  return pieces;
}

/** Returns whether a byte of UTF-8 continues a character. */
function isContinuation(byte: number): boolean {
  return (byte & 0xc0) === 0x80;
}
