import { fingerprintOf } from "./_claim_table.ts";

/** Sorted fingerprints of claims of about the same age. */
type Segment = {
  /** Upper 32 bits of the fingerprints. */
  high: Uint32Array;
  /** Lower 8 bits of the fingerprints. */
  low: Uint8Array;
  /** Log time of the newest claim in seconds. */
  newestS: number;
};

/**
 * Set of 5-byte fingerprints of claims that are too old for the table.
 *
 * Among 11 million claims, a key that was never claimed is found with a
 * probability of 1 in 100,000. Its order is then refused with an unknown
 * outcome and does not run, which is safe.
 */
export class ClaimFingerprints {
  #segments: Segment[] = [];
  #size = 0;

  /** Number of claims. */
  get size(): number {
    return this.#size;
  }

  /** Memory of the fingerprints in bytes. */
  get bytes(): number {
    return this.#size * 5;
  }

  /** Adds claims, and sorts the passed array. */
  add(claims: { fingerprints: Float64Array; newestS: number }): void {
    const sorted = claims.fingerprints.sort();
    const high = new Uint32Array(sorted.length);
    const low = new Uint8Array(sorted.length);
    sorted.forEach((fingerprint, index) => {
      high[index] = Math.floor(fingerprint / 256);
      low[index] = fingerprint % 256;
    });
    this.#segments.push({ high, low, newestS: claims.newestS });
    this.#size += sorted.length;
  }

  /** Returns whether a key was probably claimed; false is always right. */
  has(key: string): boolean {
    if (this.#size === 0) return false;
    const fingerprint = fingerprintOf(key);
    const high = Math.floor(fingerprint / 256);
    const low = fingerprint % 256;
    return this.#segments.some((segment) => contains(segment, high, low));
  }

  /** Removes the segments whose claims are all older than a log time. */
  evictBefore(timeS: number): void {
    while (this.#segments[0] && this.#segments[0].newestS < timeS) {
      this.#size -= this.#segments.shift()!.high.length;
    }
  }
}

/** Returns whether a segment contains a fingerprint, by binary search. */
function contains(segment: Segment, high: number, low: number): boolean {
  let start = 0;
  let end = segment.high.length;
  while (start < end) {
    const middle = (start + end) >> 1;
    if (segment.high[middle]! < high) start = middle + 1;
    else end = middle;
  }
  for (; segment.high[start] === high; start += 1) {
    if (segment.low[start] === low) return true;
  }
  return false;
}
